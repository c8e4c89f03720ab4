package plain

import (
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/standin/endless"
)

// Guards against a service whose head of a response never ends and takes up the memory of the
// sidecar: each call may keep a small part of it.
func TestHeadsWithoutEndOfService(t *testing.T) {
	for _, interim := range []bool{false, true} {
		service := &endless.Server{Interim: interim}
		s := NewSidecar(SidecarOptions{Upstream: "u", Target: &url.URL{Scheme: "http", Host: "service:80"}, Dial: service.Dial})
		server := httptest.NewServer(s.Handler())
		resp, err := postToSidecar(t, server, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		server.Close()
		if got := resp.Header.Get(headerVerdict); got != string(verdictNoResponse) {
			t.Errorf("interim %t: verdict %q; want %q", interim, got, verdictNoResponse)
		}
		if taken := service.Taken.Load(); taken > 2*exchange.MaxHeadBytes {
			t.Errorf("interim %t: the sidecar read %d bytes of a head", interim, taken)
		}
	}
}
