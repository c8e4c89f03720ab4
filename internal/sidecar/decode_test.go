package sidecar

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// Guards against lost, repeated or reordered tokens and against memory and
// slots that stay owned after a normal end.
func TestDecodeRunsToItsEnd(t *testing.T) {
	inRig(t, newFakeEngine(engine.RoleDecode), func(r *rig) {
		d := r.decode(reserveFrame("a", "x"))
		defer d.Close()
		if d.until(isGranted) == nil {
			t.Fatal("no grant")
		}
		d.start("h")
		next := uint64(0)
		last := d.until(func(m *wire.DecodeReply) bool {
			if k := m.GetTokens(); k != nil {
				if k.Index != next || k.Attempt != 1 {
					t.Fatalf("tokens at %d of attempt %d, want %d of 1", k.Index, k.Attempt, next)
				}
				next += uint64(len(k.Text))
			}
			return isLast(m)
		})
		if next != 20 || last.GetDone().GetTotalTokens() != 20 || last.GetDone().GetFinishReason() != "stop" {
			t.Fatalf("got %d tokens, end %v", next, last)
		}
		synctest.Wait()
		st := r.side.State()
		if st.Decode.SlotsUsed != 0 || st.Decode.ChunksUsed != 0 || st.Requests != 0 {
			t.Fatalf("still owned: %+v", st.Decode)
		}
	})
}

// Guards against engine memory that stays held after a Cancel or on a stream
// that went silent, at every step of a request.
func TestMemoryIsFreedAtEveryStep(t *testing.T) {
	steps := []struct {
		name string
		to   func(d *decodeStream)
	}{
		{"granted", func(d *decodeStream) { d.until(isGranted) }},
		{"importing", func(d *decodeStream) {
			d.until(isGranted)
			d.start("h")
			time.Sleep(10 * time.Millisecond)
		}},
		{"imported", func(d *decodeStream) {
			d.until(isGranted)
			d.start("h")
			d.until(isImported)
		}},
		{"decoding", func(d *decodeStream) {
			d.until(isGranted)
			d.start("h")
			d.until(isTokens)
		}},
	}
	ends := []struct {
		name  string
		end   func(r *rig, d *decodeStream)
		bound time.Duration
	}{
		{"cancel", func(_ *rig, d *decodeStream) { d.cancel() }, 250 * time.Millisecond},
		{"close", func(_ *rig, d *decodeStream) { d.Close() }, 250 * time.Millisecond},
		{"silence", func(r *rig, _ *decodeStream) { r.net.Blackhole(testAddr, true) }, 3 * time.Second},
		{"cancel with a lost answer", func(r *rig, d *decodeStream) {
			r.engine.lostCancels = 1
			d.cancel()
		}, 250 * time.Millisecond},
	}
	for _, step := range steps {
		for _, end := range ends {
			t.Run(step.name+"/"+end.name, func(t *testing.T) {
				f := newFakeEngine(engine.RoleDecode)
				f.outputTokens = 10_000
				inRig(t, f, func(r *rig) {
					d := r.decode(reserveFrame("a", "x"))
					defer d.Close()
					step.to(d)
					end.end(r, d)
					time.Sleep(end.bound)
					synctest.Wait()
					if n := r.engine.held(); n != 0 {
						t.Fatalf("engine holds %d tokens %v after the end", n, end.bound)
					}
					if st := r.side.State().Decode; st.SlotsUsed != 0 || st.ChunksUsed != 0 {
						t.Fatalf("reservation kept: %+v", st)
					}
				})
			})
		}
	}
}

// Guards against a stalled transfer that holds memory at the decode end, blocks
// the link or loses the reservation.
func TestStalledTransferCanBeRepeated(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.stallImports = transferConcurrency
	inRig(t, f, func(r *rig) {
		a, b := r.decode(reserveFrame("a", "x")), r.decode(reserveFrame("b", "x"))
		defer a.Close()
		defer b.Close()
		for _, d := range []*decodeStream{a, b} {
			d.until(isGranted)
			d.start("h")
		}
		begin := time.Now()
		for _, d := range []*decodeStream{a, b} {
			if m := d.until(isLast); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_TRANSFER {
				t.Fatalf("got %v, want a failed transfer", m)
			}
		}
		// The source holds its output for 800 ms.
		if n, took := r.engine.held(), time.Since(begin); n != 0 || took > 500*time.Millisecond {
			t.Fatalf("engine holds %d tokens; told after %v, too late to try again", n, took)
		}
		a.start("h")
		if m := a.until(isLast); m.GetDone() == nil {
			t.Fatalf("got %v, want the answer from the second transfer", m)
		}
		b.start("evicted")
		if m := b.until(isLast); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_EVICTED {
			t.Fatalf("got %v, want evicted", m)
		}
	})
}

// Guards against grants beyond what the engine holds, and against an engine
// that idles while requests wait.
func TestNoGrantBeyondSlotsOrChunks(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	inRig(t, f, func(r *rig) {
		done := make(chan *wire.DecodeReply)
		const n = 12
		for i := range n {
			d := r.decode(reserveFrame(string(rune('a'+i)), "x"))
			go func() {
				defer d.Close()
				if d.until(isGranted) == nil {
					done <- nil
					return
				}
				time.Sleep(100 * time.Millisecond)
				d.start("h")
				done <- d.until(isLast)
			}()
		}
		for range n {
			if m := <-done; m.GetDone() == nil {
				t.Fatalf("got %v, want an answer", m)
			}
		}
		if f.peak.running > f.info.Slots || f.peak.chunks*f.info.ChunkTokens > f.info.CapacityTokens {
			t.Fatalf("peak of %d requests and %d chunks on an engine with %d slots", f.peak.running, f.peak.chunks, f.info.Slots)
		}
		if f.peak.running < f.info.Slots {
			t.Fatalf("peak of %d requests, want the engine full", f.peak.running)
		}
	})
}

// Guards against streams that outgrow the engine's memory, against pausing more
// than is needed, and against output that is lost when a stream is paused.
func TestGrowthPausesAStream(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 280 // with the prompt, 4 chunks
	inRig(t, f, func(r *rig) {
		done := make(chan *wire.DecodeReply)
		for _, id := range []string{"a", "b", "c", "d"} {
			d := r.decode(reserveFrame(id, id))
			go func() {
				defer d.Close()
				d.until(isGranted)
				d.start("h")
				next := uint64(0)
				done <- d.until(func(m *wire.DecodeReply) bool {
					if k := m.GetTokens(); k != nil && k.Index != next {
						t.Errorf("tokens at %d, want %d", k.Index, next)
					}
					next += uint64(len(m.GetTokens().GetText()))
					return isLast(m)
				})
			}()
		}
		whole, paused := 0, 0
		for range 4 {
			m := <-done
			if m.GetDone().GetTotalTokens() == 280 {
				whole++
			}
			if m.GetFailed().GetKind() == wire.FailureKind_FAILURE_PREEMPTED {
				paused++
			}
		}
		// Four streams of 4 chunks each want 16 chunks of 8.
		if whole != 2 || paused != 2 || f.peak.chunks > 8 {
			t.Fatalf("%d whole, %d paused, peak of %d chunks; want 2, 2 and at most 8", whole, paused, f.peak.chunks)
		}
	})
}

// Guards against an anticipation setting that is not followed, and against an
// import into a place that is not free yet.
func TestAnticipation(t *testing.T) {
	for _, c := range []struct {
		anticipation float64
		early        bool
	}{{0, false}, {1, true}} {
		f := newFakeEngine(engine.RoleDecode)
		f.info.Slots, f.outputTokens = 1, 50
		inRig(t, f, func(r *rig) {
			first := r.decode(reserveFrame("a", "x"))
			defer first.Close()
			first.until(isGranted)
			first.start("h")
			first.until(isTokens)
			time.Sleep(300 * time.Millisecond)
			m := reserveFrame("b", "x")
			m.PrefillMs = 2000
			second := r.decode(m)
			defer second.Close()
			g := second.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isQueued(m) })
			if early := g.GetGranted().GetFreeInMs() > 0; early != c.early {
				t.Fatalf("anticipation %v: got %v", c.anticipation, g)
			}
			if !c.early && second.until(isGranted).GetGranted().GetFreeInMs() != 0 {
				t.Fatal("granted before the place was free")
			}
			second.start("h")
			if m := second.until(isLast); m.GetDone() == nil || f.peak.running > 1 {
				t.Fatalf("got %v with a peak of %d requests in one slot", m, f.peak.running)
			}
		}, func(p *config.Policy) { p.Anticipation = c.anticipation })
	}
}

// Guards against slots that are granted, renewed and never used without anybody
// being able to see it.
func TestUnusedGrantIsCounted(t *testing.T) {
	inRig(t, newFakeEngine(engine.RoleDecode), func(r *rig) {
		d := r.decode(reserveFrame("a", "x"))
		d.until(isGranted)
		time.Sleep(10 * time.Second)
		if st := r.side.State().Decode; st.Granted != 1 {
			t.Fatalf("a renewed grant was dropped: %+v", st)
		}
		d.Close()
		time.Sleep(time.Second)
		// 10 s less 100 ms of prefill and the margin.
		if ms := r.side.State().Decode.UnusedSlotMS; ms < 9000 || ms > 9500 {
			t.Fatalf("unused for %d ms, want about 9400", ms)
		}
	})
}

// Guards against memory that stays held while a frame to an entry that does not
// read is being written.
func TestCancelOfAnEntryThatDoesNotRead(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 10_000
	f.padding = strings.Repeat("x", 256<<10)
	inRig(t, f, func(r *rig) {
		d := r.decode(reserveFrame("a", "x"))
		defer d.Close()
		d.until(isGranted)
		d.unread.Store(true)
		d.start("h")
		time.Sleep(time.Second)
		if f.held() == 0 {
			t.Fatal("decode ended early")
		}
		d.cancel()
		time.Sleep(250 * time.Millisecond)
		if n := f.held(); n != 0 {
			t.Fatalf("engine holds %d tokens", n)
		}
	})
}

// Guards against output with a gap or a repetition that is passed on.
func TestOutputOrder(t *testing.T) {
	o := newOutput(3)
	for i, c := range []struct {
		index int
		ok    bool
	}{{3, true}, {4, true}, {4, false}, {6, false}, {5, true}} {
		if isToken, err := o.add(engine.Token{Index: c.index, Text: "t"}); isToken != c.ok || (err == nil) != c.ok {
			t.Fatalf("line %d with index %d: %v, %v", i, c.index, isToken, err)
		}
	}
	if _, err := o.add(engine.Token{Index: 6, FinishReason: "stop"}); err != nil {
		t.Fatal(err)
	}
	if b := o.take(); b.index != 3 || len(b.text) != 3 || b.total != 6 || b.finish != "stop" {
		t.Fatalf("got %+v", b)
	}
}
