package plain

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"
)

// serveResets answers each request on a loopback socket early with the head of a response
// without a length and a part of its body, and resets the connection after the pause.
func serveResets(t *testing.T, pause time.Duration) *url.URL {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(c, make([]byte, 64))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}
}

// Guards against the part of a response that arrived before a reset which only the sender of
// the request noticed, and that the sidecar passes on as whole.
func TestResetDuringUploadToService(t *testing.T) {
	const tries = 40
	body := make([]byte, 8<<20)
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			s := NewSidecar(SidecarOptions{Upstream: "u", Target: serveResets(t, pause)})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			whole := 0
			for range tries {
				req, err := http.NewRequest(http.MethodPost, server.URL+pathPrefix+"/x", bytes.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set(headerUpstream, "u")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					continue
				}
				if _, err = io.ReadAll(resp.Body); err == nil && resp.Header.Get(headerVerdict) == string(verdictAnswered) {
					whole++
				}
				_ = resp.Body.Close()
			}
			if whole > 0 {
				t.Errorf("%d of %d broken answers were passed on as whole", whole, tries)
			}
		})
	}
}
