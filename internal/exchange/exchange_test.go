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

// upstream answers each request on a connection with the next of its answers,
// verbatim; an empty answer closes the connection.
func upstream(t *testing.T, answers ...string) (address string, requests *atomic.Int64) {
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
			go serve(c, answers, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serve(c net.Conn, answers []string, requests *atomic.Int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, answer := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests.Add(1)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nEcho: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(address, id string) *Request {
	return &Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", EchoHeader: "Echo", EchoID: id, MaxIdle: time.Second}
}

func exchange(p *Pool, r *Request) (string, *Response, error) {
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

// Guards against an answer to an earlier request that is taken for this one's.
func TestLateAnswerIsDropped(t *testing.T) {
	address, _ := upstream(t, answer("1", "one"), answer("1", "late")+answer("2", "two"))
	p := NewPool(nil)
	if body, _, err := exchange(p, request(address, "1")); err != nil || body != "one" {
		t.Fatalf("first: %q, %v", body, err)
	}
	body, resp, err := exchange(p, request(address, "2"))
	if err != nil || body != "two" || !resp.Reused {
		t.Errorf("second: %q, %v; want its own answer on the kept connection", body, err)
	}
}

// Guards against the reuse of a connection that carries bytes which belong to no
// request, or that the upstream has closed.
func TestSpoiledConnectionIsNotReused(t *testing.T) {
	for name, first := range map[string]string{
		"bytes after the answer": answer("1", "one") + "stray",
		"announced close":        strings.Replace(answer("1", "one"), "Echo", "Connection: close\r\nEcho", 1),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, first, answer("2", "bad"))
			p := NewPool(nil)
			if _, _, err := exchange(p, request(address, "1")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			_, resp, err := exchange(p, request(address, "2"))
			if err == nil && resp.Reused {
				t.Error("the spoiled connection was used again")
			}
		})
	}
}

// Guards against a library that sends a request once more by itself.
func TestNeverRepeats(t *testing.T) {
	address, requests := upstream(t, answer("1", "one"), "")
	p := NewPool(nil)
	if _, _, err := exchange(p, request(address, "1")); err != nil {
		t.Fatal(err)
	}
	_, _, err := exchange(p, request(address, "2"))
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("error %v; want one that says that the request was sent", err)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests arrived; want 2", n)
	}
}

// Guards the promise "not sent" when nothing listens.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, _, err = exchange(NewPool(nil), request(address, "1"))
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error %v; want one that says that nothing was sent", err)
	}
}

// Guards the limit on connections to one upstream.
func TestConnectionLimit(t *testing.T) {
	address, _ := upstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	p := NewPool(nil)
	r := request(address, "")
	r.EchoHeader, r.MaxConns = "", 1
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	first, err := p.Do(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Do(ctx, r); !errors.Is(err, ErrTooManyConns) {
		t.Errorf("second connection: %v; want the limit", err)
	}
	_ = first.Body.Close()
	if _, err := p.Do(ctx, r); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
}

// Guards against an upstream that goes on working after its caller has left.
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
	if _, err := NewPool(nil).Do(ctx, request(l.Addr().String(), "1")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v; want the deadline", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against kept connections that stay open for good, such as those to an
// upstream that is gone.
func TestSweep(t *testing.T) {
	address, _ := upstream(t, answer("1", "one"))
	p := NewPool(nil)
	if _, _, err := exchange(p, request(address, "1")); err != nil {
		t.Fatal(err)
	}
	p.CloseExpired(time.Now())
	if len(p.idle[address]) != 1 {
		t.Error("a fresh connection was closed")
	}
	p.CloseExpired(time.Now().Add(defaultIdle + time.Second))
	if len(p.idle) != 0 || len(p.open) != 0 {
		t.Errorf("%d kept and %d open connections after their time", len(p.idle), len(p.open))
	}
}
