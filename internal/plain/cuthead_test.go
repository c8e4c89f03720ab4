package plain

import (
	"io"
	"net/http/httptest"
	"testing"
)

// Guards against a response of a service that was broken off, in its head or after it, and
// that the sidecar passes on as whole.
func TestServiceResponseCutAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for framing, response := range map[string]string{
		"length":  head + "Content-Length: 5\r\n\r\nwhole",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for cut := range response {
			s := NewSidecar(SidecarOptions{Upstream: "u", Target: serveOnce(t, response[:cut], false)})
			server := httptest.NewServer(s.Handler())
			if resp, err := postToSidecar(t, server, nil); err == nil {
				_, err = io.ReadAll(resp.Body)
				if err == nil && resp.Header.Get(headerVerdict) == string(verdictAnswered) {
					t.Errorf("%s: %d bytes passed as an answer", framing, cut)
				}
				_ = resp.Body.Close()
			}
			server.Close()
		}
	}
}
