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

// TestDecodeCompletes guards against lost, repeated or reordered tokens and
// against slots and chunks that stay reserved after a normal end.
func TestDecodeCompletes(t *testing.T) {
	runWithHarness(t, newFakeEngine(engine.RoleDecode), func(h *harness) {
		d := h.decode(reserveFrame("a", "x"))
		defer d.Close()
		if d.until(isGranted) == nil {
			t.Fatal("the request was not granted")
		}
		d.start("h")
		next := uint64(0)
		last := d.until(func(m *wire.DecodeReply) bool {
			if k := m.GetTokens(); k != nil {
				if k.Index != next || k.Attempt != 1 {
					t.Fatalf("tokens at index %d of attempt %d, want index %d of attempt 1", k.Index, k.Attempt, next)
				}
				next += uint64(len(k.Text))
			}
			return isFinal(m)
		})
		if next != 20 || last.GetDone().GetTotalTokens() != 20 || last.GetDone().GetFinishReason() != "stop" {
			t.Fatalf("got %d tokens and final frame %v", next, last)
		}
		synctest.Wait()
		st := h.sidecar.State()
		if st.Decode.SlotsUsed != 0 || st.Decode.ChunksUsed != 0 || st.Requests != 0 {
			t.Fatalf("still reserved: %+v", st.Decode)
		}
	})
}

// TestMemoryIsFreedAtEveryStep guards against engine memory that stays allocated
// after the entry cancelled the request, closed the stream or went silent, at
// every step of a request.
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
		end   func(h *harness, d *decodeStream)
		bound time.Duration
	}{
		{"cancel", func(_ *harness, d *decodeStream) { d.cancel() }, 250 * time.Millisecond},
		{"close", func(_ *harness, d *decodeStream) { d.Close() }, 250 * time.Millisecond},
		{"silence", func(h *harness, _ *decodeStream) { h.net.Blackhole(testAddr, true) }, 3 * time.Second},
		{"cancel with a lost answer", func(h *harness, d *decodeStream) {
			h.engine.lostCancelResponses = 1
			d.cancel()
		}, 250 * time.Millisecond},
	}
	for _, step := range steps {
		for _, end := range ends {
			t.Run(step.name+"/"+end.name, func(t *testing.T) {
				f := newFakeEngine(engine.RoleDecode)
				f.outputTokens = 10_000
				runWithHarness(t, f, func(h *harness) {
					d := h.decode(reserveFrame("a", "x"))
					defer d.Close()
					step.to(d)
					end.end(h, d)
					time.Sleep(end.bound)
					synctest.Wait()
					if n := h.engine.held(); n != 0 {
						t.Fatalf("engine holds %d tokens %v after the end of the stream", n, end.bound)
					}
					if st := h.sidecar.State().Decode; st.SlotsUsed != 0 || st.ChunksUsed != 0 {
						t.Fatalf("the reservation was not released: %+v", st)
					}
				})
			})
		}
	}
}

// TestStalledTransferIsRetried guards against a stalled transfer that keeps memory
// of the decode engine allocated, blocks the link or loses the reservation.
func TestStalledTransferIsRetried(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.stallImports = transferConcurrency
	runWithHarness(t, f, func(h *harness) {
		a, b := h.decode(reserveFrame("a", "x")), h.decode(reserveFrame("b", "x"))
		defer a.Close()
		defer b.Close()
		for _, d := range []*decodeStream{a, b} {
			d.until(isGranted)
			d.start("h")
		}
		begin := time.Now()
		for _, d := range []*decodeStream{a, b} {
			if m := d.until(isFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_TRANSFER {
				t.Fatalf("got %v, want a failed transfer", m)
			}
		}
		// The source holds its output for 800 ms.
		if n, elapsed := h.engine.held(), time.Since(begin); n != 0 || elapsed > 500*time.Millisecond {
			t.Fatalf("engine holds %d tokens; the failure was reported after %v, too late for another transfer", n, elapsed)
		}
		a.start("h")
		if m := a.until(isFinal); m.GetDone() == nil {
			t.Fatalf("got %v, want the answer from the second transfer", m)
		}
		b.start("evicted")
		if m := b.until(isFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_EVICTED {
			t.Fatalf("got %v, want evicted", m)
		}
	})
}

// TestNoGrantBeyondSlotsOrChunks guards against grants that exceed the engine's
// slots or chunks, and against an engine with free capacity while requests wait.
func TestNoGrantBeyondSlotsOrChunks(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	runWithHarness(t, f, func(h *harness) {
		done := make(chan *wire.DecodeReply)
		const n = 12
		for i := range n {
			d := h.decode(reserveFrame(string(rune('a'+i)), "x"))
			go func() {
				defer d.Close()
				if d.until(isGranted) == nil {
					done <- nil
					return
				}
				time.Sleep(100 * time.Millisecond)
				d.start("h")
				done <- d.until(isFinal)
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
			t.Fatalf("peak of %d requests, want all slots used", f.peak.running)
		}
	})
}

// TestGrowthPreemptsStream guards against streams that exceed the engine's memory
// as their output grows, against preempting more streams than necessary, and
// against output that is lost when a stream is preempted.
func TestGrowthPreemptsStream(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 280 // 4 chunks together with the prompt
	runWithHarness(t, f, func(h *harness) {
		done := make(chan *wire.DecodeReply)
		for _, id := range []string{"a", "b", "c", "d"} {
			d := h.decode(reserveFrame(id, id))
			go func() {
				defer d.Close()
				d.until(isGranted)
				d.start("h")
				next := uint64(0)
				done <- d.until(func(m *wire.DecodeReply) bool {
					if k := m.GetTokens(); k != nil && k.Index != next {
						t.Errorf("tokens at index %d, want %d", k.Index, next)
					}
					next += uint64(len(m.GetTokens().GetText()))
					return isFinal(m)
				})
			}()
		}
		completed, preempted := 0, 0
		for range 4 {
			m := <-done
			if m.GetDone().GetTotalTokens() == 280 {
				completed++
			}
			if m.GetFailed().GetKind() == wire.FailureKind_FAILURE_PREEMPTED {
				preempted++
			}
		}
		// Four streams of 4 chunks each need 16 chunks; the engine has 8.
		if completed != 2 || preempted != 2 || f.peak.chunks > 8 {
			t.Fatalf("%d completed, %d preempted, peak of %d chunks; want 2, 2 and at most 8", completed, preempted, f.peak.chunks)
		}
	})
}

// TestAnticipation guards against an anticipation setting that has no effect, and
// against an import that begins before its slot is free.
func TestAnticipation(t *testing.T) {
	for _, c := range []struct {
		anticipation float64
		early        bool
	}{{0, false}, {1, true}} {
		f := newFakeEngine(engine.RoleDecode)
		f.info.Slots, f.outputTokens = 1, 50
		runWithHarness(t, f, func(h *harness) {
			first := h.decode(reserveFrame("a", "x"))
			defer first.Close()
			first.until(isGranted)
			first.start("h")
			first.until(isTokens)
			time.Sleep(300 * time.Millisecond)
			m := reserveFrame("b", "x")
			m.PrefillMs = 2000
			second := h.decode(m)
			defer second.Close()
			g := second.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isQueued(m) })
			if early := g.GetGranted().GetFreeInMs() > 0; early != c.early {
				t.Fatalf("anticipation %v: got %v", c.anticipation, g)
			}
			if !c.early && second.until(isGranted).GetGranted().GetFreeInMs() != 0 {
				t.Fatal("granted before the slot was free")
			}
			second.start("h")
			if m := second.until(isFinal); m.GetDone() == nil || f.peak.running > 1 {
				t.Fatalf("got %v with a peak of %d requests in one slot", m, f.peak.running)
			}
		}, func(p *config.Policy) { p.Anticipation = c.anticipation })
	}
}

// TestUnusedGrantIsCounted guards against slots that are granted and renewed but
// never used, without any visible sign of it.
func TestUnusedGrantIsCounted(t *testing.T) {
	runWithHarness(t, newFakeEngine(engine.RoleDecode), func(h *harness) {
		d := h.decode(reserveFrame("a", "x"))
		d.until(isGranted)
		time.Sleep(10 * time.Second)
		if st := h.sidecar.State().Decode; st.Granted != 1 {
			t.Fatalf("a renewed grant was dropped: %+v", st)
		}
		d.Close()
		time.Sleep(time.Second)
		// 10 s minus 100 ms of prefill time and startGrace.
		if ms := h.sidecar.State().Decode.UnusedSlotMS; ms < 9000 || ms > 9500 {
			t.Fatalf("unused for %d ms, want about 9400", ms)
		}
	})
}

// TestCancelWhileEntryDoesNotRead guards against a cancel that frees no memory
// because the session is blocked in a write to an entry that does not read.
func TestCancelWhileEntryDoesNotRead(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 10_000
	f.tokenPadding = strings.Repeat("x", 256<<10)
	runWithHarness(t, f, func(h *harness) {
		d := h.decode(reserveFrame("a", "x"))
		defer d.Close()
		d.until(isGranted)
		d.stopReading.Store(true)
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

// TestOutputOrder guards against output with a missing or repeated token that is
// passed on.
func TestOutputOrder(t *testing.T) {
	o := newOutputBuffer(3)
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
	if b := o.drain(); b.index != 3 || len(b.text) != 3 || b.total != 6 || b.finish != "stop" {
		t.Fatalf("got %+v", b)
	}
}
