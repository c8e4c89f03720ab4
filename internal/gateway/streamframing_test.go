package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/exchange"
)

// serveRaw answers one request on a loopback socket with the given bytes, without a
// length or chunks. It then closes the connection, with a reset if reset is set.
func serveRaw(t *testing.T, body string, reset bool) *exchange.Response {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		request := make([]byte, 4096)
		if _, err := c.Read(request); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+body)
		// The reader gets the bytes before the end of the connection.
		time.Sleep(50 * time.Millisecond)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	var dialer net.Dialer
	pool := exchange.NewPool(dialer.DialContext)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	resp, err := pool.Do(ctx, &exchange.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a stream that was broken off inside an event and is passed on as
// complete, and against a whole stream without a length that is not.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cases := []struct {
		name, body string
		reset      bool
		complete   bool
	}{
		{"whole", events, false, true},
		{"ends inside an event", events + "id: 3\nda", false, false},
		{"ends before the empty line", events + "id: 3\ndata: c\n", false, false},
		{"ends before the first event", "", false, false},
		{"reset between events", events, true, false},
		{"reset inside an event", events + "id: 3", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := serveRaw(t, c.body, c.reset)
			defer func() { _ = resp.Body.Close() }()
			w := httptest.NewRecorder()
			relay := newStreamRelay(w)
			relay.beginRun(resp)
			if err := relay.copy(resp.Body); (err == nil) != c.complete {
				t.Errorf("error %v; complete must be %v", err, c.complete)
			}
			if want := c.body[:len(c.body)/len(events)*len(events)]; w.Body.String() != want {
				t.Errorf("passed on %q; want the whole events only", w.Body.String())
			}
		})
	}
}

// Guards against a plain answer without a length that is taken as whole although its
// connection was reset.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		body, err := readResponse(serveRaw(t, "whole", reset))
		if (err == nil) == reset {
			t.Errorf("reset %v: error %v", reset, err)
		}
		if !reset && string(body) != "whole" {
			t.Errorf("body %q", body)
		}
	}
}
