package sidecar

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// TestPrefillMemoryIsFreed guards against prefill memory that stays allocated
// after its request ended, at any step, and against a prefill that never ends
// because its response was lost on a silent connection.
func TestPrefillMemoryIsFreed(t *testing.T) {
	cases := []struct {
		name  string
		prep  func(f *fakeEngine)
		step  func(p *prefillStream)
		end   func(h *harness, p *prefillStream)
		bound time.Duration
	}{
		{"cancel while running", nil, func(p *prefillStream) { p.until(isStarted) }, func(_ *harness, p *prefillStream) { p.cancel() }, 250 * time.Millisecond},
		{"cancel while held", nil, func(p *prefillStream) { p.until(isReady) }, func(_ *harness, p *prefillStream) { p.cancel() }, 250 * time.Millisecond},
		{"silence while held long", func(f *fakeEngine) { f.holdTime = time.Minute }, func(p *prefillStream) { p.until(isReady) },
			func(h *harness, _ *prefillStream) { h.net.Blackhole(testAddr, true) }, 3 * time.Second},
		{"answer lost", func(f *fakeEngine) { f.losePrefillResponses = true }, func(p *prefillStream) {
			begin := time.Now()
			if m := p.until(isPrefillFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE {
				p.t.Fatalf("got %v, want a failure", m)
			}
			if time.Since(begin) > 3*time.Second {
				p.t.Fatalf("the failure was reported after %v", time.Since(begin))
			}
		}, func(*harness, *prefillStream) {}, 0},
		{"evicted", nil, func(p *prefillStream) {
			if m := p.until(isPrefillFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_EVICTED {
				p.t.Fatalf("got %v, want evicted", m)
			}
		}, func(*harness, *prefillStream) {}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeEngine(engine.RolePrefill)
			if c.prep != nil {
				c.prep(f)
			}
			runWithHarness(t, f, func(h *harness) {
				p := h.prefill(prefillFrame("a", "x"))
				defer p.Close()
				c.step(p)
				c.end(h, p)
				time.Sleep(c.bound)
				synctest.Wait()
				st := h.sidecar.State()
				if f.held() != 0 || st.Requests != 0 || st.Prefill.FreeChunks != 8 {
					t.Fatalf("engine holds %d tokens, state %+v", f.held(), st)
				}
			})
		})
	}
}

// TestOutputIsHeldPastAnnouncedTime guards against releasing an output at the
// announced eviction time although the engine still holds it, which would abort a
// running import.
func TestOutputIsHeldPastAnnouncedTime(t *testing.T) {
	f := newFakeEngine(engine.RolePrefill)
	f.holdTime = 2 * time.Second
	runWithHarness(t, f, func(h *harness) {
		p := h.prefill(prefillFrame("a", "x"))
		defer p.Close()
		p.until(isReady)
		time.Sleep(1900 * time.Millisecond)
		if f.held() == 0 {
			t.Fatal("the output was released while the engine held it")
		}
		if m := p.until(isPrefillFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_EVICTED {
			t.Fatalf("got %v, want evicted", m)
		}
	})
}

// TestCrashWhileOutputIsHeld guards against a crash that counts as an eviction because the engine
// had computed the prefill already: a request that crashes engines could then crash one more.
func TestCrashWhileOutputIsHeld(t *testing.T) {
	f := newFakeEngine(engine.RolePrefill)
	f.holdTime = time.Minute
	runWithHarness(t, f, func(h *harness) {
		p := h.prefill(prefillFrame("a", "x"))
		defer p.Close()
		p.until(isReady)
		f.crash()
		if m := p.until(isPrefillFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE_LOST {
			t.Fatalf("got %v, want the loss of the engine", m)
		}
	})
}

// TestPrefillsAreServedByShare guards against a caller that gets more than its
// share while others wait.
func TestPrefillsAreServedByShare(t *testing.T) {
	f := newFakeEngine(engine.RolePrefill)
	runWithHarness(t, f, func(h *harness) {
		streams := []*prefillStream{}
		add := func(id, caller string, share float64) {
			m := prefillFrame(id, caller)
			m.Share = share
			p := h.prefill(m)
			time.Sleep(time.Millisecond)
			streams = append(streams, p)
			go func() {
				p.until(isReady)
				p.Close()
			}()
		}
		for i := range 12 {
			add("flood-"+string(rune('a'+i)), "flood", 1)
		}
		for i := range 3 {
			add("quiet-"+string(rune('a'+i)), "quiet", 1)
		}
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.startedIDs) != 15 {
			t.Fatalf("%d prefills ran, want 15", len(f.startedIDs))
		}
		last := slices.Index(f.startedIDs, "quiet-c/1")
		if last > 10 {
			t.Fatalf("the quiet caller's third request started at position %d of %v", last, f.startedIDs)
		}
	})
}
