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

// TestOrphansAfterRestart guards against requests of an earlier run of the sidecar
// that keep their memory, and against grants of memory that these orphans still
// hold.
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
			t.Fatalf("orphans hold %d tokens 3 s after the start of the sidecar", n)
		}
		if st := next.State(); st.Decode.ChunksUsed != 0 || st.Orphans != 0 {
			t.Fatalf("orphans are still accounted for: %+v", st)
		}
		cancel()
	})
}

// TestCrashIsReportedToRequestsInFlight guards against a crash that is not
// reported to the requests in flight, against failing a granted request that was
// not in the engine, and against a later attempt of a request in flight that runs
// without the mark of a suspect.
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
			t.Fatalf("got %v, want a failure because the engine is lost", m)
		}
		f.mu.Lock()
		f.outputTokens = 20
		f.mu.Unlock()
		waiting.start("h")
		if m := waiting.until(isFinal); m.GetDone() == nil {
			t.Fatalf("got %v, want the request that was not in flight to complete", m)
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

// TestSuspectsNeverRunTogether guards against two suspects that run at the same
// time, because a crash by one of them would be attributed to the other as well.
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

// TestWaitingSuspectDoesNotBlockQueue guards against a suspect that blocks the
// whole queue while it waits for another suspect to end.
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
		time.Sleep(13 * time.Second) // the second suspect is past its MaxYield by now
		d := h.decode(reserveFrame("c", "c"))
		defer d.Close()
		if m := d.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isQueued(m) }); m.GetGranted() == nil {
			t.Fatalf("got %v, want a grant at once", m)
		}
	})
}

// TestLeaveAndDrain guards against new work on a leaving upstream, against entries
// that learn late that the upstream is leaving, and against a drain that
// interrupts running work or returns before the work has ended.
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
			t.Fatalf("leaving was announced after %v, want at once", time.Since(begin))
		}
		late := h.decode(reserveFrame("b", "x"))
		defer late.Close()
		if m := late.until(isFinal); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_LEAVING {
			t.Fatalf("got %v, want a refusal", m)
		}
		select {
		case err := <-drained:
			t.Fatalf("drain returned (%v) while a request runs", err)
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

// TestQueueLimitRespectsShares guards against a wait beyond the queue limit
// without a refusal, and against refusing a caller with few requests because
// another caller sends many.
func TestQueueLimitRespectsShares(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 400
	limit := func(p *config.Policy) { p.QueueLimit = 3 * time.Second }
	runWithHarness(t, f, func(h *harness) {
		refused, streams := 0, []*decodeStream{}
		for i := range 30 {
			d := h.decode(reserveFrame(string(rune('A'+i)), "flood"))
			streams = append(streams, d)
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
			t.Fatalf("%d of 30 requests refused, want 1 to 25", refused)
		}
		d := h.decode(reserveFrame("q", "quiet"))
		if m := d.until(func(m *wire.DecodeReply) bool { return isQueued(m) || isFinal(m) }); m.GetQueued() == nil {
			t.Fatalf("got %v, want the quiet caller queued", m)
		}
		for _, d := range append(streams, d) {
			d.Close()
		}
	}, limit)
}
