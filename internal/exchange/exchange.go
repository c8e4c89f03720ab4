// Package exchange sends single HTTP/1.1 requests to upstreams over pooled
// connections.
//
// Unlike the transport of net/http, it lets a router know what happened to a
// request. It never repeats a request, reports whether any byte was sent, skips late
// responses to earlier requests, and limits the connections to an address.
package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Request is an HTTP request to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the request target of the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names the response header in which the upstream repeats EchoID. A
	// response with a different value belongs to an earlier request and is skipped.
	// One without a value is an error, unless the connection is new. If EchoHeader is
	// empty, responses are not checked.
	EchoHeader string
	EchoID     string
	// MaxIdle limits how long a reused connection may have been idle. 0 forces a new
	// connection.
	MaxIdle time.Duration
	// MaxConns limits the open connections to the address. 0 means no limit.
	MaxConns int
	// Carried, if set, holds the connections that must not carry the request. The one that
	// carries it is added.
	Carried *Carried
	// Admit, if set, is called when a connection is ready, right before the request is
	// sent. If it returns an error, nothing is sent.
	Admit func() error
}

// Response is the head of a response. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the length is unknown.
	ContentLength int64
	Body          *Body
	// Framing tells how the end of the body is marked.
	Framing Framing
	// Bodiless is set if the response never has a body, whatever its headers say.
	Bodiless bool
	// Reused reports whether the connection had carried earlier requests.
	Reused bool
	// Echoed reports whether the response names the request.
	Echoed bool
}

// Error is the error of a failed exchange.
type Error struct {
	// Sent reports whether the upstream may have received the request.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Sent {
		return "not sent: " + e.Cause.Error()
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrTooManyConns is the cause of an Error when the open connections to the address
// have reached Request.MaxConns.
var ErrTooManyConns = errors.New("connection limit of the upstream reached")

// errUnexpectedResponses is the cause when a connection carries too many, or too
// long, responses to earlier requests.
var errUnexpectedResponses = errors.New("connection carries responses to other requests")

// maxSkippedResponses limits how many responses to earlier requests are skipped
// while waiting for the response to the current one.
const maxSkippedResponses = 2

// maxSkippedBody limits how much of a skipped response body is read, in bytes.
const maxSkippedBody = 256 << 10

// maxInterimResponses limits the 1xx responses before the final one.
const maxInterimResponses = 8

// Do sends the request and returns the head of the response. The context applies to
// the whole exchange, including reading the response body.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	c.bindContext(ctx)
	if err := r.admit(); err != nil {
		c.release(true, 0)
		return nil, &Error{Cause: err}
	}
	r.Carried.add(c)
	resp, err := c.roundTrip(r)
	if err != nil {
		sent := c.bytesSent.Load()
		c.discard()
		if ctxErr := context.Cause(ctx); ctxErr != nil {
			err = errors.Wrap(ctxErr, err.Error())
		}
		return nil, &Error{Sent: sent, Cause: err}
	}
	return resp, nil
}

func (r *Request) admit() error {
	if r.Admit == nil {
		return nil
	}
	return r.Admit()
}

// roundTrip sends the request and reads the head of the response.
func (c *conn) roundTrip(r *Request) (*Response, error) {
	written := make(chan error, 1)
	head := r.encodeHead()
	if len(head)+len(r.Body) <= inlineWriteBytes {
		if err := c.write(head, r.Body); err != nil {
			return nil, errors.Wrap(err, "send request")
		}
		written <- nil
	} else {
		// A long body is written while the response is read, because the upstream
		// may respond before it has read the whole body.
		go func() { written <- c.write(head, r.Body) }()
	}
	resp, err := c.readResponse(r)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	framing := framingOf(resp, r.Method)
	body := &Body{conn: c, reader: resp.Body, written: written, framing: framing}
	body.reusable = !resp.Close && framing != CloseDelimited
	body.keepAlive = keepAlive(resp.Header)
	out := &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          body,
		Framing:       framing,
		Bodiless:      isBodiless(resp.StatusCode, r.Method),
		Reused:        c.requestCount > 1,
		Echoed:        r.EchoHeader != "" && resp.Header.Get(r.EchoHeader) == r.EchoID,
	}
	return out, nil
}

// inlineWriteBytes is the request size up to which a write does not block, because
// the socket buffer takes all of it at once.
const inlineWriteBytes = 32 << 10

func (r *Request) encodeHead() []byte {
	b := make([]byte, 0, 768)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readResponse reads the final response to r. It skips interim responses and
// responses to earlier requests.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	skipped, interim := 0, 0
	for {
		c.source.beginHead()
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		c.source.endHead()
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if isInterimStatus(resp.StatusCode) {
			if interim++; interim > maxInterimResponses {
				return nil, errors.New("too many interim responses")
			}
			continue
		}
		echoed := resp.Header.Get(r.EchoHeader)
		if r.EchoHeader == "" || echoed == r.EchoID {
			return resp, nil
		}
		if echoed == "" {
			// On a new connection, it can only answer this request. On another one, it
			// may be a second copy of an earlier answer.
			if c.requestCount == 1 {
				return resp, nil
			}
			return nil, errors.Wrap(errUnexpectedResponses, "response names no request")
		}
		if skipped++; skipped > maxSkippedResponses {
			return nil, errUnexpectedResponses
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody))
		if err != nil {
			return nil, errors.Wrap(err, "skip response to an earlier request")
		}
		if n == maxSkippedBody || resp.Close {
			return nil, errors.Wrap(errUnexpectedResponses, fmt.Sprintf("skipped response has at least %d bytes", n))
		}
	}
}

// Body is a response body. The connection returns to the pool when the body has been
// read to its end.
type Body struct {
	conn      *conn
	reader    io.ReadCloser
	written   chan error
	framing   Framing
	reusable  bool
	keepAlive time.Duration
	done      bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.framing == CloseDelimited {
		if sendErr := b.endSending(); sendErr != nil {
			_ = b.Close()
			return n, errors.Wrap(errNotWhole, sendErr.Error())
		}
		b.written <- nil
	}
	b.complete()
	return n, io.EOF
}

// errNotWhole is the error of a response that ended with its connection before the request
// had been sent to its end. The kernel reports a reset of the connection only once: if the
// sender of the request gets it, the reader of the response sees an orderly end.
var errNotWhole = errors.New("the response ended with its connection while the request was still being sent")

// endSending stops sending the request and returns the error with which that ended, or nil
// if all of it was sent.
func (b *Body) endSending() error {
	select {
	case err := <-b.written:
		return err
	default:
	}
	_ = b.conn.SetWriteDeadline(time.Now()) // the send that it unblocks reports the error
	return <-b.written
}

// complete releases the connection after the whole body has been read.
func (b *Body) complete() {
	b.done = true
	select {
	case err := <-b.written:
		b.reusable = b.reusable && err == nil
	default:
		// The upstream responded before it read the request body. The rest of the
		// body must not precede the next request on the connection.
		b.reusable = false
	}
	b.conn.release(b.reusable && b.conn.reader.Buffered() == 0, b.keepAlive)
}

// Close ends the exchange. It closes the connection if the body has not been read to
// its end.
func (b *Body) Close() error {
	if !b.done {
		b.done = true
		b.conn.release(false, 0)
	}
	return nil
}

// keepAlive returns how long the upstream keeps an idle connection open, or 0 if the
// response does not say.
func keepAlive(h http.Header) time.Duration {
	const prefix = "timeout="
	v := h.Get("Keep-Alive")
	if len(v) <= len(prefix) || v[:len(prefix)] != prefix {
		return 0
	}
	end := len(prefix)
	for end < len(v) && v[end] >= '0' && v[end] <= '9' {
		end++
	}
	seconds, err := strconv.Atoi(v[len(prefix):end])
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// conn is a connection to an upstream. It carries at most one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	// serial is unique within the pool.
	serial uint64
	// source is what reader reads from.
	source       *headLimiter
	reader       *bufio.Reader
	requestCount int
	// idleSince and idleUntil are set while the connection is in the pool.
	idleSince, idleUntil time.Time
	exchangeState
}
