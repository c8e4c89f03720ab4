package kvservice

import (
	"testing"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/standin/endless"
)

// Guards against a KV service whose head of a response never ends and takes up the memory of
// the process that calls it.
func TestHeadsWithoutEndOfKVService(t *testing.T) {
	for _, interim := range []bool{false, true} {
		server := &endless.Server{Interim: interim}
		c := newHTTPClient(server.Dial)
		resp, err := c.Get("http://kv:80/")
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("interim %t: no error", interim)
		}
		if taken := server.Taken.Load(); taken > 2*exchange.MaxHeadBytes {
			t.Errorf("interim %t: the client read %d bytes of a head", interim, taken)
		}
	}
}
