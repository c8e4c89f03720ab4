package sidecar

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// Guards against prefill memory that outlives its request, at every step, and
// against a silent connection that hides the end of a prefill.
func TestPrefillMemoryIsFreed(t *testing.T) {
	cases := []struct {
		name  string
		prep  func(f *fakeEngine)
		step  func(p *prefillStream)
		end   func(r *rig, p *prefillStream)
		bound time.Duration
	}{
		{"cancel while running", nil, func(p *prefillStream) { p.until(isStarted) }, func(_ *rig, p *prefillStream) { p.cancel() }, 250 * time.Millisecond},
		{"cancel while held", nil, func(p *prefillStream) { p.until(isReady) }, func(_ *rig, p *prefillStream) { p.cancel() }, 250 * time.Millisecond},
		{"silence while held long", func(f *fakeEngine) { f.holdTime = time.Minute }, func(p *prefillStream) { p.until(isReady) },
			func(r *rig, _ *prefillStream) { r.net.Blackhole(testAddr, true) }, 3 * time.Second},
		{"answer lost", func(f *fakeEngine) { f.loseAnswers = true }, func(p *prefillStream) {
			begin := time.Now()
			if m := p.until(isPrefillEnd); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE {
				p.t.Fatalf("got %v, want a failure", m)
			}
			if time.Since(begin) > 3*time.Second {
				p.t.Fatalf("told after %v", time.Since(begin))
			}
		}, func(*rig, *prefillStream) {}, 0},
		{"evicted", nil, func(p *prefillStream) {
			if m := p.until(isPrefillEnd); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_EVICTED {
				p.t.Fatalf("got %v, want evicted", m)
			}
		}, func(*rig, *prefillStream) {}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeEngine(engine.RolePrefill)
			if c.prep != nil {
				c.prep(f)
			}
			inRig(t, f, func(r *rig) {
				p := r.prefill(prefillFrame("a", "x"))
				defer p.Close()
				c.step(p)
				c.end(r, p)
				time.Sleep(c.bound)
				synctest.Wait()
				st := r.side.State()
				if f.held() != 0 || st.Requests != 0 || st.Prefill.FreeChunks != 8 {
					t.Fatalf("engine holds %d tokens, state %+v", f.held(), st)
				}
			})
		})
	}
}

// Guards against an import that is cut off because its source was released at
// the announced eviction time, although the engine still held it.
func TestHoldOutlivesItsTimeWhileTheEngineKeepsIt(t *testing.T) {
	f := newFakeEngine(engine.RolePrefill)
	f.holdTime = 2 * time.Second
	inRig(t, f, func(r *rig) {
		p := r.prefill(prefillFrame("a", "x"))
		defer p.Close()
		p.until(isReady)
		time.Sleep(1900 * time.Millisecond)
		if f.held() == 0 {
			t.Fatal("output released while the engine kept it")
		}
		if m := p.until(isPrefillEnd); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_EVICTED {
			t.Fatalf("got %v, want evicted", m)
		}
	})
}

// Guards against a caller that gets more than its share while others wait.
func TestPrefillsAreServedByShare(t *testing.T) {
	f := newFakeEngine(engine.RolePrefill)
	inRig(t, f, func(r *rig) {
		streams := []*prefillStream{}
		add := func(id, caller string, share float64) {
			m := prefillFrame(id, caller)
			m.Share = share
			p := r.prefill(m)
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
		if len(f.starts) != 15 {
			t.Fatalf("%d prefills ran, want 15", len(f.starts))
		}
		last := slices.Index(f.starts, "quiet-c/1")
		if last > 10 {
			t.Fatalf("the quiet caller's third request ran at place %d of %v", last, f.starts)
		}
	})
}
