package engine

import (
	"context"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/standin/endless"
)

// Guards against an engine whose head of a response never ends and takes up the memory of the
// process that calls it.
func TestHeadsWithoutEndOfEngine(t *testing.T) {
	for _, interim := range []bool{false, true} {
		server := &endless.Server{Interim: interim}
		c := NewHTTPClient(HTTPOptions{BaseURL: "http://engine:80", Dial: server.Dial, CallTimeout: 10 * time.Second})
		if err := c.Health(context.Background()); err == nil {
			t.Errorf("interim %t: no error", interim)
		}
		c.Close()
		if taken := server.Taken.Load(); taken > 2*exchange.MaxHeadBytes {
			t.Errorf("interim %t: the client read %d bytes of a head", interim, taken)
		}
	}
}
