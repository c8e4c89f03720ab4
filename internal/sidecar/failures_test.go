package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// Guards against orphans of a former sidecar that keep their memory, and
// against grants of memory that the orphans still hold.
func TestOrphansAfterRestart(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	runWithHarness(t, f, func(h *harness) {
		for _, id := range []string{"old/1", "old/2", "old/3"} {
			if _, _, err := f.begin(id, engine.PhaseDecoding, 200); err != nil {
				t.Fatal(err)
			}
		}
		next := New(Options{Upstream: "up", Engine: f, Config: h.sidecar.opts.Config, Logger: h.sidecar.opts.Logger})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h.stop()
		f.mu.Lock()
		f.requests["old/4"] = f.requests["old/1"]
		f.mu.Unlock()
		go func() { _ = next.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		st := next.State()
		if st.Orphans == 0 || st.Decode.ChunksUsed != st.Orphans*2 {
			t.Fatalf("orphans are not accounted for: %+v", st)
		}
		time.Sleep(2900 * time.Millisecond)
		if n := f.held(); n != 0 {
			t.Fatalf("orphans hold %d tokens 3 s after the start", n)
		}
		if st := next.State(); st.Decode.ChunksUsed != 0 || st.Orphans != 0 {
			t.Fatalf("accounting kept: %+v", st)
		}
		cancel()
	})
}

// Guards against a crash that is not told to the requests in flight, against
// blaming requests that the engine did not have, and against a known crasher
// that runs again unmarked.
func TestCrashIsReportedToRequestsInFlight(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 10_000
	runWithHarness(t, f, func(h *harness) {
		running, waiting := h.decode(reserveFrame("a", "x")), h.decode(reserveFrame("b", "x"))
		defer running.Close()
		defer waiting.Close()
		running.until(isGranted)
		waiting.until(isGranted)
		running.start("h")
		running.until(isTokens)
		f.crash()
		if m := running.until(isFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE_LOST {
			t.Fatalf("got %v, want engine lost", m)
		}
		f.mu.Lock()
		f.outputTokens = 20
		f.mu.Unlock()
		waiting.start("h")
		if m := waiting.until(isFinal); m.GetDone() == nil {
			t.Fatalf("got %v, want the answer of the request that was not in flight", m)
		}
		again := reserveFrame("a", "x")
		again.Attempt = 2
		d := h.decode(again)
		defer d.Close()
		if m := d.until(isFinal); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_SUSPECT {
			t.Fatalf("got %v, want a refusal", m)
		}
		again.Attempt, again.Suspect = 3, true
		d = h.decode(again)
		defer d.Close()
		if d.until(isGranted) == nil {
			t.Fatal("a marked suspect was refused")
		}
	})
}

// Guards against two suspects beside each other, one of which would be blamed
// for the other's crash.
func TestSuspectsNeverRunTogether(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	runWithHarness(t, f, func(h *harness) {
		done := make(chan *wire.DecodeReply)
		for _, id := range []string{"a", "b", "c"} {
			m := reserveFrame(id, id)
			m.Suspect = true
			d := h.decode(m)
			go func() {
				defer d.Close()
				d.until(isGranted)
				d.start("h")
				done <- d.until(isFinal)
			}()
		}
		for range 3 {
			if m := <-done; m.GetDone() == nil {
				t.Fatalf("got %v, want an answer", m)
			}
		}
		if f.peak.running != 1 {
			t.Fatalf("%d suspects ran together", f.peak.running)
		}
	})
}

// Guards against a suspect that holds up everybody else while it waits for
// another one to end.
func TestWaitingSuspectDoesNotBlockQueue(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens, f.info.CapacityTokens = 10_000, 100_000
	runWithHarness(t, f, func(h *harness) {
		for _, id := range []string{"a", "b"} {
			m := reserveFrame(id, id)
			m.Suspect = true
			d := h.decode(m)
			defer d.Close()
			d.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isQueued(m) })
			d.start("h")
		}
		time.Sleep(13 * time.Second) // the second one is aged by now
		d := h.decode(reserveFrame("c", "c"))
		defer d.Close()
		if m := d.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isQueued(m) }); m.GetGranted() == nil {
			t.Fatalf("got %v, want a grant at once", m)
		}
	})
}

// Guards against new work at a leaving upstream, a leaving that entries learn
// late, and a drain that interrupts work or ends before it.
func TestLeaveAndDrain(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 100
	runWithHarness(t, f, func(h *harness) {
		d := h.decode(reserveFrame("a", "x"))
		defer d.Close()
		d.until(isGranted)
		d.start("h")
		d.until(isTokens)
		drained := make(chan error, 1)
		begin := time.Now()
		go func() { drained <- h.sidecar.Drain(context.Background()) }()
		synctest.Wait()
		if d.until(func(m *wire.DecodeReply) bool { return m.GetLoad().GetLeaving() }) == nil || time.Since(begin) > 0 {
			t.Fatalf("the leaving was told after %v, want at once", time.Since(begin))
		}
		late := h.decode(reserveFrame("b", "x"))
		defer late.Close()
		if m := late.until(isFinal); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_LEAVING {
			t.Fatalf("got %v, want a refusal", m)
		}
		select {
		case err := <-drained:
			t.Fatalf("drain ended (%v) while a request runs", err)
		default:
		}
		if m := d.until(isFinal); m.GetDone().GetTotalTokens() != 100 {
			t.Fatalf("got %v, want the whole answer", m)
		}
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a wait beyond the limit without a refusal, and against a flood
// that gets a quiet caller refused.
func TestQueueLimitRespectsShares(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 400
	limit := func(p *config.Policy) { p.QueueLimit = 3 * time.Second }
	runWithHarness(t, f, func(h *harness) {
		refused, open := 0, []*decodeStream{}
		for i := range 30 {
			d := h.decode(reserveFrame(string(rune('A'+i)), "flood"))
			open = append(open, d)
			m := d.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isQueued(m) || isFinal(m) })
			if m.GetGranted() != nil {
				d.start("h")
			}
			if ref := m.GetRefused(); ref != nil {
				refused++
				if ref.GetKind() != wire.RefusalKind_REFUSAL_OVERLOADED || ref.GetRetryAfterMs() < 3000 {
					t.Fatalf("got %v, want overloaded with the wait", ref)
				}
			}
		}
		if refused == 0 || refused > 25 {
			t.Fatalf("%d of 30 refused", refused)
		}
		d := h.decode(reserveFrame("q", "quiet"))
		if m := d.until(func(m *wire.DecodeReply) bool { return isQueued(m) || isFinal(m) }); m.GetQueued() == nil {
			t.Fatalf("got %v, want the quiet caller queued", m)
		}
		for _, d := range append(open, d) {
			d.Close()
		}
	}, limit)
}
