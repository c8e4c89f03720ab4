package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"
)

// serveOnce answers one request on a loopback socket with the given bytes and closes the
// connection in order, and before that the listener if crash is set.
func serveOnce(t *testing.T, response string, crash bool) *url.URL {
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
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
		time.Sleep(20 * time.Millisecond)
		if crash {
			_ = l.Close()
		}
		_ = c.Close()
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}
}

// Guards against a service's response without a length that looks whole, and is kept as
// the outcome of a key, although the service crashed.
func TestBrokenServiceResponseNeverLooksComplete(t *testing.T) {
	for _, crash := range []bool{false, true} {
		for _, body := range []string{"", "some text"} {
			t.Run(fmt.Sprintf("crash %v, %d bytes", crash, len(body)), func(t *testing.T) {
				s := NewSidecar(SidecarOptions{Upstream: "u", Target: serveOnce(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body, crash)})
				server := httptest.NewServer(s.Handler())
				defer server.Close()
				complete := false
				if resp, err := postToSidecar(t, server, nil); err == nil {
					_, err = io.ReadAll(resp.Body)
					complete = err == nil
					_ = resp.Body.Close()
				}
				if complete == crash {
					t.Errorf("complete %v", complete)
				}
			})
		}
	}
}
