package demo

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/memnet"
)

// testOptions returns the default options with an in-memory network.
func testOptions(t *testing.T) Options {
	o := DefaultOptions()
	o.Network = memnet.New(time.Millisecond)
	o.Addresses = InMemoryAddresses()
	o.Logger = log.New(io.Discard)
	if testing.Verbose() {
		o.Logger = log.NewWithOptions(t.Output(), log.Options{Level: log.WarnLevel})
	}
	return o
}

// Guards against requests that are refused, lost or corrupted although no fault
// is injected.
func TestFleetWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, err := Start(t.Context(), testOptions(t))
		if err != nil {
			t.Fatal(err)
		}
		// Pending timers and dials end within this virtual time after Stop, and
		// synctest requires that all goroutines have exited.
		defer time.Sleep(postStopWait)
		defer cluster.Stop()
		load := DefaultLoad(20 * time.Second)
		r := cluster.Run(t.Context(), load)
		r.Print(t.Output())
		if len(r.Violations) > 0 || len(r.Failures) > 0 || len(r.Refusals) > 0 || r.Completed == 0 {
			t.Fatalf("violations %v, failures %v, refusals %v, %d requests completed", r.Violations, r.Failures, r.Refusals, r.Completed)
		}
	})
}
