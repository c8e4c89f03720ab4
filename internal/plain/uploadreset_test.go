package plain

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/rawserver"
)

// postToSidecar sends the sidecar of upstream u a call with the body, which may be nil.
func postToSidecar(t *testing.T, sidecar *httptest.Server, body io.Reader) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, sidecar.URL+pathPrefix+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerUpstream, "u")
	return http.DefaultClient.Do(req)
}

// Guards against the part of a response that arrived before a reset which only the sender of
// the request noticed, and that the sidecar passes on as whole.
func TestResetDuringUploadToService(t *testing.T) {
	const tries = 40
	body := make([]byte, 8<<20)
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			service, err := rawserver.Start(rawserver.AnswerAndReset(64, "HTTP/1.1 200 OK\r\n\r\npart", pause))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = service.Close() }()
			s := NewSidecar(SidecarOptions{Upstream: "u", Target: &url.URL{Scheme: "http", Host: service.Address()}})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			whole := 0
			for range tries {
				resp, err := postToSidecar(t, server, bytes.NewReader(body))
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
