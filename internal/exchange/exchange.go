// Package exchange sends single HTTP/1.1 requests to upstreams over kept
// connections.
//
// It differs from the transport of net/http where a router must know what
// became of a request: it never repeats one by itself, tells whether any byte
// was sent, drops late answers to earlier requests, and bounds the connections
// to one address.
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

// Request is one request to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names the response header that repeats EchoID. A response with
	// another value belongs to an earlier request and is dropped. Empty: no check.
	EchoHeader string
	EchoID     string
	// MaxIdle bounds how long a kept connection may have been idle to be used;
	// 0 asks for a new connection.
	MaxIdle time.Duration
	// MaxConns bounds the open connections to the address; 0: no limit.
	MaxConns int
}

// Response is the head of an answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64
	Body          *Body
	// Reused tells that the connection had carried earlier requests.
	Reused bool
}

// Error is a failed exchange.
type Error struct {
	// Sent tells that the upstream may have received the request.
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

// ErrTooManyConns is the cause when the address has as many connections as allowed.
var ErrTooManyConns = errors.New("connection limit of the upstream reached")

// errUnexpectedResponses is the cause when a connection carries too many answers to
// earlier requests.
var errUnexpectedResponses = errors.New("answers to other requests on the connection")

// maxSkippedResponses bounds the answers to earlier requests that are dropped
// while one waits for its own.
const maxSkippedResponses = 2

// maxSkippedBody bounds how much of a dropped answer is read.
const maxSkippedBody = 256 << 10

// maxInterimResponses bounds the 1xx responses before the final one.
const maxInterimResponses = 8

// Do sends the request and returns the head of its answer. The context bounds
// the whole exchange including the reading of the body.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	c.bindContext(ctx)
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

func (c *conn) roundTrip(r *Request) (*Response, error) {
	written := make(chan error, 1)
	head := r.encodeHead()
	if len(head)+len(r.Body) <= inlineWriteBytes {
		if err := c.write(head, r.Body); err != nil {
			return nil, errors.Wrap(err, "send request")
		}
		written <- nil
	} else {
		// A long body is written beside the reading: the upstream may answer
		// before it has read the whole body.
		go func() { written <- c.write(head, r.Body) }()
	}
	resp, err := c.readResponse(r)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	body := &Body{conn: c, reader: resp.Body, written: written, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}
	body.reusable = !resp.Close && body.framed
	body.keepAlive = keepAlive(resp.Header)
	out := &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          body,
		Reused:        c.requestCount > 1,
	}
	return out, nil
}

// inlineWriteBytes is what the socket takes at once without blocking.
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

// readResponse reads until the final response to r, past interim responses and
// answers to earlier requests.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	skipped, interim := 0, 0
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, errors.New("too many interim responses")
			}
			continue
		}
		echoed := ""
		if r.EchoHeader != "" {
			echoed = resp.Header.Get(r.EchoHeader)
		}
		if echoed == "" || echoed == r.EchoID {
			return resp, nil
		}
		if skipped++; skipped > maxSkippedResponses {
			return nil, errUnexpectedResponses
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody))
		if err != nil {
			return nil, errors.Wrap(err, "skip a late answer")
		}
		if n == maxSkippedBody || resp.Close {
			return nil, errors.Wrap(errUnexpectedResponses, fmt.Sprintf("%d bytes", n))
		}
	}
}

// Body is the body of an answer. The connection returns to the pool when the
// body was read to its end.
type Body struct {
	conn      *conn
	reader    io.ReadCloser
	written   chan error
	framed    bool
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
	if err == io.EOF {
		b.complete()
	}
	return n, err
}

// complete hands the connection back after a complete answer.
func (b *Body) complete() {
	b.done = true
	select {
	case err := <-b.written:
		b.reusable = b.reusable && err == nil
	default:
		// The upstream answered before it read the body; the rest of the body
		// must not meet the next request.
		b.reusable = false
	}
	b.conn.release(b.reusable && b.conn.reader.Buffered() == 0, b.keepAlive)
}

// Close ends the exchange; an answer that was not read to its end takes its
// connection with it.
func (b *Body) Close() error {
	if !b.done {
		b.done = true
		b.conn.release(false, 0)
	}
	return nil
}

// keepAlive returns how long the upstream keeps an idle connection; 0 if unsaid.
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

// conn is one connection to an upstream; at most one request uses it at a time.
type conn struct {
	net.Conn
	pool         *Pool
	address      string
	reader       *bufio.Reader
	requestCount int
	// idleSince and idleUntil are set while the connection is kept.
	idleSince, idleUntil time.Time
	exchangeState
}
