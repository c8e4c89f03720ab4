package sidecar

import (
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// TestFirstAttemptPastQueueLimitIsRefused guards against a first attempt that
// waits beyond the queue limit because its wait was underestimated, and against
// refusing a later attempt, whose request was already accepted.
func TestFirstAttemptPastQueueLimitIsRefused(t *testing.T) {
	const limit = 3 * time.Second
	f := newFakeEngine(engine.RoleDecode)
	runWithHarness(t, f, func(h *harness) {
		for i := range f.info.Slots {
			d := h.decode(reserveFrame(string(rune('a'+i)), "holder"))
			defer d.Close()
			if d.until(isGranted) == nil {
				t.Fatal("a free slot was not granted")
			}
			go d.until(isFinal)
		}
		first := reserveFrame("first", "x")
		later := reserveFrame("again", "x")
		later.Attempt = firstAttempt + 1
		refused, waiting := h.decode(first), h.decode(later)
		defer refused.Close()
		defer waiting.Close()
		m := refused.until(isFinal)
		if m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_OVERLOADED {
			t.Errorf("got %v, want a refusal", m)
		}
		ended := make(chan *wire.DecodeReply, 1)
		go func() { ended <- waiting.until(isFinal) }()
		select {
		case m := <-ended:
			t.Errorf("the later attempt ended with %v, want it to wait", m)
		case <-time.After(2 * limit):
		}
	}, func(p *config.Policy) { p.QueueLimit = limit })
}
