package sidecar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
)

// Guards against slots or chunks that are owned twice, lost or never given to
// those that wait, in any order of steps.
func TestReservationsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Capacity{Slots: 4, Chunks: 10, ChunkTokens: 100}
		r := NewReservations(shape)
		now := time.Duration(0)
		var live []*Reservation
		pick := func(t *rapid.T) *Reservation {
			if len(live) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(live).Draw(t, "reservation")
		}
		drop := func(x *Reservation) {
			r.Release(now, x)
			r.Promote(now)
			for i, y := range live {
				if y == x {
					live = append(live[:i:i], live[i+1:]...)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) {
				x := &Reservation{
					ID:     fmt.Sprint(len(live)),
					Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
					Share:  1,
					Chunks: rapid.IntRange(1, 4).Draw(t, "chunks"),
				}
				fits := r.FitsNow(x.Chunks)
				if r.Grant(now, x) != fits {
					t.Fatal("a reservation that fits must be firm, and no other")
				}
				live = append(live, x)
			},
			"start": func(t *rapid.T) {
				x := pick(t)
				r.Start(now, x, rapid.IntRange(1, 300).Draw(t, "tokens"), 50)
			},
			"advance": func(t *rapid.T) {
				x := pick(t)
				if x.state != started {
					t.Skip("not started")
				}
				running := r.count(started)
				if v := r.Advance(now, x, x.Tokens+rapid.IntRange(1, 120).Draw(t, "more"), 8); v != nil {
					if v.state != started || running < 2 {
						t.Fatalf("paused %+v of %d running", v, running)
					}
					drop(v)
				}
			},
			"release": func(t *rapid.T) { drop(pick(t)) },
			"tick":    func(t *rapid.T) { now += time.Second },
			"": func(t *rapid.T) {
				slots, chunks := 0, 0
				for _, x := range live {
					if x.state != anticipated {
						slots++
						chunks += x.Chunks
					}
				}
				usedSlots, usedChunks := r.Used()
				if slots != usedSlots || chunks != usedChunks || slots > shape.Slots || chunks > shape.Chunks {
					t.Fatalf("owned %d slots and %d chunks, accounted %d and %d of %+v", slots, chunks, usedSlots, usedChunks, shape)
				}
				for _, x := range live {
					if x.pendingChunks > 0 && usedChunks < shape.Chunks {
						t.Fatalf("%d chunks are free while %+v waits for some", shape.Chunks-usedChunks, x)
					}
				}
			},
		})
	})
}

// Guards against taking memory from a caller below its share, from the oldest
// stream, or from the only one.
func TestPreemptionVictim(t *testing.T) {
	grant := func(r *Reservations, caller string, share float64, start bool) *Reservation {
		x := &Reservation{Caller: caller, Share: share, Chunks: 2}
		r.Grant(0, x)
		if start {
			r.Start(0, x, 200, 0)
		}
		return x
	}
	full := func() *Reservations { return NewReservations(Capacity{Slots: 8, Chunks: 6, ChunkTokens: 100}) }

	r := full()
	grant(r, "a", 1, true)
	last := grant(r, "a", 1, true)
	b := grant(r, "b", 1, true)
	if v := r.Advance(0, b, 200, 8); v != last {
		t.Fatalf("paused %+v, want the most recent stream of the caller furthest over its share", v)
	}
	a := r.list[0]
	if v := r.Advance(0, a, 200, 8); v != nil {
		t.Fatalf("paused %+v as well, while the first pause frees enough for both", v)
	}
	r = full()
	grant(r, "a", 4, true)
	grant(r, "a", 4, true)
	b = grant(r, "b", 1, true)
	if v := r.Advance(0, b, 200, 8); v != b {
		t.Fatalf("paused %+v, want the growing stream of the caller furthest over its share", v)
	}
	r = full()
	only := grant(r, "a", 1, true)
	idle := []*Reservation{grant(r, "b", 1, false), grant(r, "b", 1, false)}
	if v := r.Advance(0, only, 200, 8); v != nil || idle[1].state != anticipated || only.Chunks != 3 {
		t.Fatalf("paused %+v, want the place of an unstarted reservation", v)
	}
	r.Release(0, idle[0])
	r.Release(0, idle[1])
	if v := r.Advance(0, only, 800, 8); v != nil {
		t.Fatalf("paused %+v, the only stream", v)
	}
}

// Guards against a suspect that is refused for ever, one that crashes an engine
// again and again, and memory that grows with the number of crashes.
func TestSuspects(t *testing.T) {
	s := NewSuspects()
	s.AddInFlight("1/1", "fp")
	s.AddInFlight("2/1", "other")
	s.RemoveInFlight("2/1")
	if n := s.RecordCrash(0); n != 1 || !s.Refuses(0, "fp", false) || s.Refuses(0, "fp", true) || s.Refuses(0, "other", false) {
		t.Fatal("only the request in flight is a suspect, and it may run when marked")
	}
	s.AddInFlight("1/2", "fp")
	s.RecordCrash(0)
	if !s.Refuses(0, "fp", true) {
		t.Fatal("two crashes of one engine must be enough")
	}
	if s.Refuses(2*suspectRetention, "fp", false) {
		t.Fatal("remembered for ever")
	}
	for i := range 2 * maxSuspects {
		s.AddInFlight("x", fingerprint(fmt.Sprint(i)))
		s.RecordCrash(0)
	}
	if s.Remembered() > maxSuspects {
		t.Fatalf("%d remembered", s.Remembered())
	}
}

// Guards against prefill memory that is promised twice or never given back.
func TestPrefillAllocations(t *testing.T) {
	h := NewPrefillAllocations(Capacity{Chunks: 4, ChunkTokens: 100}, 1)
	if h.TooLarge(400) || !h.TooLarge(401) || !h.Fits(400) {
		t.Fatal("wrong size limits")
	}
	h.Begin("a", 200)
	if h.Fits(100) {
		t.Fatal("a second prefill at once")
	}
	h.MarkHeld(time.Second, "a", "h", 300, time.Second)
	if !h.Fits(100) || h.Fits(101) || h.Expired(1999*time.Millisecond, "a") || !h.Expired(2*time.Second, "a") {
		t.Fatal("the held output does not count as it is")
	}
	h.AddOrphan("orphan", 100)
	if h.Fits(1) {
		t.Fatal("an orphan's memory was promised")
	}
	h.Evict("a")
	h.Release("a")
	h.Release("orphan")
	if _, _, free := h.Counts(); free != 4 || h.Evicted != 1 {
		t.Fatalf("%d chunks free, %d evicted", free, h.Evicted)
	}
}

// Guards against more imports at once than the link takes, and against places
// that are lost when a waiting import is given up.
func TestTransferConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewTransferScheduler(2, 1000)
		if d := s.Deadline(500); d != transferSetupTime+2*time.Second {
			t.Fatalf("deadline %v, want twice the time at half the rate and the base", d)
		}
		var mu sync.Mutex
		active, most, done := 0, 0, 0
		count := func(change, ended int) {
			mu.Lock()
			defer mu.Unlock()
			active += change
			most = max(most, active)
			done += ended
		}
		for i := range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7+1)*10*time.Millisecond)
			go func() {
				defer cancel()
				if s.Acquire(ctx) != nil {
					return
				}
				count(1, 0)
				time.Sleep(10 * time.Millisecond)
				count(-1, 1)
				s.Release(false)
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if st := s.State(); most != 2 || st.Active != 0 || st.Waiting != 0 || st.Done != done || done < 8 {
			t.Fatalf("at most %d at once, %d done, %+v", most, done, st)
		}
	})
}

// BenchmarkGrantPending measures what a full engine with a long queue costs per look at
// the forecasts, which happens every tickInterval.
func BenchmarkGrantPending(b *testing.B) {
	s := newScheduler(config.Static{Current: config.Build(1, config.Objects{})})
	s.setEngineInfo(engine.Info{Role: engine.RoleDecode, Slots: 20, CapacityTokens: 80_000, ChunkTokens: 2000})
	s.setEngineUp(true)
	for i := range 200 {
		m := reserveFrame(fmt.Sprint(i), fmt.Sprint("caller-", i%16))
		m.PromptTokens, m.PrefillMs = uint64(500+i*10), 10
		if c, ref := s.admitDecode(m); ref == nil && len(c.granted) > 0 {
			s.startDecode(c, 0, 400)
		}
	}
	if s.decode.queue.Len() < 150 {
		b.Fatalf("%d queued", s.decode.queue.Len())
	}
	for b.Loop() {
		s.grantPending()
	}
}
