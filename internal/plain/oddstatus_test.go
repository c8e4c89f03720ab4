package plain

import (
	"io"
	"net/http/httptest"
	"testing"
)

// Guards against a status that no service can have meant, and that the sidecar passes on or
// fails to answer: the entry must learn that the outcome is unknown.
func TestServiceStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			target := serveOnce(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4\r\n\r\npart", false)
			s := NewSidecar(SidecarOptions{Upstream: "u", Target: target})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			resp, err := postToSidecar(t, server, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if got := resp.Header.Get(headerVerdict); got != string(verdictNoResponse) {
				t.Errorf("verdict %q with status %d; want %q", got, resp.StatusCode, verdictNoResponse)
			}
		})
	}
}
