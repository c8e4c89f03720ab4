package demo

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/memnet"
)

// testOptions returns a fleet on an in-memory network.
func testOptions(t *testing.T) Options {
	o := DefaultOptions()
	o.Network = memnet.New(time.Millisecond)
	o.Addresses = InMemory()
	o.Logger = log.New(io.Discard)
	if testing.Verbose() {
		o.Logger = log.NewWithOptions(t.Output(), log.Options{Level: log.WarnLevel})
	}
	return o
}

// Guards against a fault-free system that refuses, loses or garbles a request.
func TestFleetWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Start(t.Context(), testOptions(t))
		if err != nil {
			t.Fatal(err)
		}
		// Timers and dials that were under way end within the virtual seconds
		// after the stop.
		defer time.Sleep(stopBubbleEnd)
		defer f.Stop()
		load := DefaultLoad(20 * time.Second)
		r := f.Run(t.Context(), load)
		r.Print(t.Output())
		if len(r.Violations) > 0 || len(r.Failures) > 0 || len(r.Refusals) > 0 || r.Finished == 0 {
			t.Fatalf("broken %v, failures %v, refusals %v, finished %d", r.Violations, r.Failures, r.Refusals, r.Finished)
		}
	})
}
