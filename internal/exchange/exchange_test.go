package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// startUpstream starts a server that answers the requests on each connection with
// the given raw responses in turn. An empty response closes the connection.
func startUpstream(t *testing.T, responses ...string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, responses, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serveConn(c net.Conn, responses []string, requests *atomic.Int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, response := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests.Add(1)
		if response == "" {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nEcho: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newRequest(address, id string) *Request {
	return &Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", EchoHeader: "Echo", EchoID: id, MaxIdle: time.Second}
}

func doRequest(p *Pool, r *Request) (string, *Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), resp, err
}

// Guards against returning a late response to an earlier request as the response to
// the current one.
func TestLateResponseIsSkipped(t *testing.T) {
	address, _ := startUpstream(t, response("1", "one"), response("1", "late")+response("2", "two"))
	p := NewPool(nil)
	if body, _, err := doRequest(p, newRequest(address, "1")); err != nil || body != "one" {
		t.Fatalf("first: %q, %v", body, err)
	}
	body, resp, err := doRequest(p, newRequest(address, "2"))
	if err != nil || body != "two" || !resp.Reused {
		t.Errorf("second: %q, %v; want its own response on the reused connection", body, err)
	}
}

// Guards against reusing a connection that carries unexpected bytes or that the
// upstream has closed.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	for name, first := range map[string]string{
		"bytes after the response": response("1", "one") + "stray",
		"announced close":          strings.Replace(response("1", "one"), "Echo", "Connection: close\r\nEcho", 1),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, first, response("2", "bad"))
			p := NewPool(nil)
			if _, _, err := doRequest(p, newRequest(address, "1")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			_, resp, err := doRequest(p, newRequest(address, "2"))
			if err == nil && resp.Reused {
				t.Error("the unusable connection was reused")
			}
		})
	}
}

// Guards against a second transmission of a request that the caller did not ask for.
func TestRequestIsNeverRepeated(t *testing.T) {
	address, requests := startUpstream(t, response("1", "one"), "")
	p := NewPool(nil)
	if _, _, err := doRequest(p, newRequest(address, "1")); err != nil {
		t.Fatal(err)
	}
	_, _, err := doRequest(p, newRequest(address, "2"))
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("error %v; want an Error with Sent set", err)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("upstream received %d requests; want 2", n)
	}
}

// Guards against an error that claims the request was sent although the connection
// could not be established.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, _, err = doRequest(NewPool(nil), newRequest(address, "1"))
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error %v; want an Error without Sent", err)
	}
}

// Guards against exceeding the connection limit, and against counting connections
// that are closed.
func TestConnectionLimit(t *testing.T) {
	address, _ := startUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	p := NewPool(nil)
	r := newRequest(address, "")
	r.EchoHeader, r.MaxConns = "", 1
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	first, err := p.Do(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Do(ctx, r); !errors.Is(err, ErrTooManyConns) {
		t.Errorf("second connection: %v; want ErrTooManyConns", err)
	}
	_ = first.Body.Close()
	if _, err := p.Do(ctx, r); err != nil {
		t.Errorf("connection after the first was closed: %v", err)
	}
}

// Guards against an upstream that keeps working after the caller has given up.
func TestCancelClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := NewPool(nil).Do(ctx, newRequest(l.Addr().String(), "1")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v; want context.DeadlineExceeded", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the upstream's connection is still open after the cancellation")
	}
}

// Guards against idle connections that are never closed, such as those to an
// upstream that no longer exists.
func TestCloseExpired(t *testing.T) {
	address, _ := startUpstream(t, response("1", "one"))
	p := NewPool(nil)
	if _, _, err := doRequest(p, newRequest(address, "1")); err != nil {
		t.Fatal(err)
	}
	p.CloseExpired(time.Now())
	if len(p.idle[address]) != 1 {
		t.Error("a connection was closed before its idle timeout")
	}
	p.CloseExpired(time.Now().Add(defaultIdleTimeout + time.Second))
	if len(p.idle) != 0 || len(p.open) != 0 {
		t.Errorf("%d idle and %d open connections after the idle timeout; want none", len(p.idle), len(p.open))
	}
}

// startEndlessUpstream starts a server that answers each request with the given start
// and then repeats the rest until the caller closes the connection.
func startEndlessUpstream(t *testing.T, start, rest string) (address string, sent *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent = new(atomic.Int64)
	chunk := strings.Repeat(rest, 1+(64<<10)/len(rest))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				n, err := io.WriteString(c, start)
				for err == nil {
					sent.Add(int64(n))
					n, err = io.WriteString(c, chunk)
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}

// TestEndlessHead guards against an upstream that takes the memory of the process with
// a head that never ends: one line, many lines, many interim responses, bytes that are
// no head, or the trailer of a chunked body. The connection must be closed after a
// bounded number of bytes, long before the timeout of the request.
func TestEndlessHead(t *testing.T) {
	const maxSent = 8 << 20 // what the sockets hold is sent, but not read
	for name, upstream := range map[string]struct{ start, rest string }{
		"one line":          {"HTTP/1.1 200 OK\r\nX: ", "a"},
		"many lines":        {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n"},
		"no head":           {"", "x"},
		"no head, lines":    {"", "x\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nEcho: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"},
		"chunk size":        {"HTTP/1.1 200 OK\r\nEcho: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndlessUpstream(t, upstream.start, upstream.rest)
			began := time.Now()
			if body, _, err := doRequest(NewPool(nil), newRequest(address, "1")); err == nil {
				t.Errorf("answer %q, want an error", body)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the exchange ended after %v, want an end long before its timeout of 2 s", took)
			}
			if n := sent.Load(); n > maxSent {
				t.Errorf("the upstream could send %d bytes", n)
			}
		})
	}
}

// TestLongHead guards against a limit that is too low for sound answers.
func TestLongHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nEcho: 1\r\nContent-Length: 2\r\n" + strings.Repeat("X-Long: "+strings.Repeat("a", 990)+"\r\n", 30) + "\r\n"
	address, _ := startUpstream(t, head+"ok", response("2", "b"))
	p := NewPool(nil)
	if body, _, err := doRequest(p, newRequest(address, "1")); err != nil || body != "ok" {
		t.Errorf("first request: body %q, error %v; want ok", body, err)
	}
	if body, resp, err := doRequest(p, newRequest(address, "2")); err != nil || body != "b" || !resp.Reused {
		t.Errorf("second request: body %q, error %v; want b on the same connection", body, err)
	}
}

// TestResponseWithoutEcho guards against a late second copy of an answer, without the
// id of its request, that the next request on the connection takes for its own. On a
// new connection no other request can be answered.
func TestResponseWithoutEcho(t *testing.T) {
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	address, _ := startUpstream(t, response("1", "a"), unnamed)
	p := NewPool(nil)
	if body, _, err := doRequest(p, newRequest(address, "1")); err != nil || body != "a" {
		t.Fatalf("first request: body %q, error %v", body, err)
	}
	if body, _, err := doRequest(p, newRequest(address, "2")); err == nil {
		t.Errorf("second request: took %q, which may belong to another request", body)
	}
	fresh, _ := startUpstream(t, unnamed)
	if body, _, err := doRequest(p, newRequest(fresh, "3")); err != nil || body != "x" {
		t.Errorf("request on a new connection: body %q, error %v; want x", body, err)
	}
}

// Guards against a second request with the same ID on a connection, where a copy of the
// first response would pass for the second one.
func TestConnectionCarriesCallOnce(t *testing.T) {
	address, _ := startUpstream(t, response("1", "one"), response("2", "two"))
	p := NewPool(nil)
	var carried Carried
	for i := range 3 {
		r := newRequest(address, "1")
		r.Carried = &carried
		if body, resp, err := doRequest(p, r); err != nil || body != "one" || resp.Reused {
			t.Errorf("request %d: %q, error %v; want its own response on a new connection", i, body, err)
		}
	}
	other := newRequest(address, "2")
	other.Carried = new(Carried)
	if body, resp, err := doRequest(p, other); err != nil || body != "two" || !resp.Reused {
		t.Errorf("other call: %q, error %v; want its own response on a reused connection", body, err)
	}
}
