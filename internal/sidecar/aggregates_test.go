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

// TestReservationsStateMachine guards against slots or chunks that two
// reservations own, that are lost, or that stay free while a reservation waits for
// them, after any sequence of operations.
func TestReservationsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := Capacity{Slots: 4, Chunks: 10, ChunkTokens: 100}
		r := NewReservations(capacity)
		now := time.Duration(0)
		var live []*Reservation
		pick := func(t *rapid.T) *Reservation {
			if len(live) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(live).Draw(t, "reservation")
		}
		release := func(res *Reservation) {
			r.Release(now, res)
			r.Promote(now)
			for i, other := range live {
				if other == res {
					live = append(live[:i:i], live[i+1:]...)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) {
				res := &Reservation{
					ID:     fmt.Sprint(len(live)),
					Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
					Share:  1,
					Chunks: rapid.IntRange(1, 4).Draw(t, "chunks"),
				}
				fits := r.FitsNow(res.Chunks)
				if r.Grant(now, res) != fits {
					t.Fatal("a reservation must be firm if and only if it fits")
				}
				live = append(live, res)
			},
			"start": func(t *rapid.T) {
				res := pick(t)
				r.Start(now, res, rapid.IntRange(1, 300).Draw(t, "tokens"), 50)
			},
			"advance": func(t *rapid.T) {
				res := pick(t)
				if res.state != started {
					t.Skip("not started")
				}
				running := r.count(started)
				if victim := r.Advance(now, res, res.Tokens+rapid.IntRange(1, 120).Draw(t, "more"), 8); victim != nil {
					if victim.state != started || running < 2 {
						t.Fatalf("victim %+v of %d running streams, want a started one of at least two", victim, running)
					}
					release(victim)
				}
			},
			"release": func(t *rapid.T) { release(pick(t)) },
			"tick":    func(t *rapid.T) { now += time.Second },
			"": func(t *rapid.T) {
				ownedSlots, ownedChunks := 0, 0
				for _, res := range live {
					if res.state != anticipated {
						ownedSlots++
						ownedChunks += res.Chunks
					}
				}
				usedSlots, usedChunks := r.Used()
				if ownedSlots != usedSlots || ownedChunks != usedChunks || ownedSlots > capacity.Slots || ownedChunks > capacity.Chunks {
					t.Fatalf("reservations own %d slots and %d chunks, accounted are %d and %d of %+v", ownedSlots, ownedChunks, usedSlots, usedChunks, capacity)
				}
				for _, res := range live {
					if res.pendingChunks > 0 && usedChunks < capacity.Chunks {
						t.Fatalf("%d chunks are free while %+v waits for some", capacity.Chunks-usedChunks, res)
					}
				}
			},
		})
	})
}

// TestPreemptionVictim guards against preempting a stream of a caller below its
// share, the oldest stream of a caller, or the only stream.
func TestPreemptionVictim(t *testing.T) {
	grant := func(r *Reservations, caller string, share float64, start bool) *Reservation {
		res := &Reservation{Caller: caller, Share: share, Chunks: 2}
		r.Grant(0, res)
		if start {
			r.Start(0, res, 200, 0)
		}
		return res
	}
	newReservations := func() *Reservations { return NewReservations(Capacity{Slots: 8, Chunks: 6, ChunkTokens: 100}) }

	r := newReservations()
	grant(r, "a", 1, true)
	last := grant(r, "a", 1, true)
	b := grant(r, "b", 1, true)
	if victim := r.Advance(0, b, 200, 8); victim != last {
		t.Fatalf("victim %+v, want the most recent stream of the caller furthest over its share", victim)
	}
	a := r.list[0]
	if victim := r.Advance(0, a, 200, 8); victim != nil {
		t.Fatalf("second victim %+v, although the first one frees enough for both streams", victim)
	}
	r = newReservations()
	grant(r, "a", 4, true)
	grant(r, "a", 4, true)
	b = grant(r, "b", 1, true)
	if victim := r.Advance(0, b, 200, 8); victim != b {
		t.Fatalf("victim %+v, want the growing stream of the caller furthest over its share", victim)
	}
	r = newReservations()
	only := grant(r, "a", 1, true)
	unstarted := []*Reservation{grant(r, "b", 1, false), grant(r, "b", 1, false)}
	if victim := r.Advance(0, only, 200, 8); victim != nil || unstarted[1].state != anticipated || only.Chunks != 3 {
		t.Fatalf("victim %+v, want none and the chunks of an unstarted reservation", victim)
	}
	r.Release(0, unstarted[0])
	r.Release(0, unstarted[1])
	if victim := r.Advance(0, only, 800, 8); victim != nil {
		t.Fatalf("victim %+v, which is the only stream", victim)
	}
}

// TestSuspects guards against a suspect that is refused forever, a request that
// crashes an engine repeatedly, and records that grow without bound with the
// number of crashes.
func TestSuspects(t *testing.T) {
	s := NewSuspects()
	s.AddInFlight("1/1", "fp")
	s.AddInFlight("2/1", "other")
	s.RemoveInFlight("2/1")
	if n := s.RecordCrash(0); n != 1 || !s.Refuses(0, "fp", false) || s.Refuses(0, "fp", true) || s.Refuses(0, "other", false) {
		t.Fatal("only the request in flight must be refused, and only if it is not marked as a suspect")
	}
	s.AddInFlight("1/2", "fp")
	s.RecordCrash(0)
	if !s.Refuses(0, "fp", true) {
		t.Fatal("a marked suspect must be refused after two crashes of the engine")
	}
	if s.Refuses(2*suspectRetention, "fp", false) {
		t.Fatal("the fingerprint is refused after suspectRetention")
	}
	for i := range 2 * maxSuspects {
		s.AddInFlight("x", fingerprint(fmt.Sprint(i)))
		s.RecordCrash(0)
	}
	if s.Remembered() > maxSuspects {
		t.Fatalf("%d fingerprints remembered, want at most %d", s.Remembered(), maxSuspects)
	}
}

// TestPrefillAllocations guards against prefill memory that is allocated twice or
// never freed.
func TestPrefillAllocations(t *testing.T) {
	a := NewPrefillAllocations(Capacity{Chunks: 4, ChunkTokens: 100}, 1)
	if a.TooLarge(400) || !a.TooLarge(401) || !a.Fits(400) {
		t.Fatal("wrong limits for the size of a prefill")
	}
	a.Begin("a", 200)
	if a.Fits(100) {
		t.Fatal("a second prefill fits while one runs")
	}
	a.MarkHeld(time.Second, "a", "h", 300, time.Second)
	if !a.Fits(100) || a.Fits(101) || a.Expired(1999*time.Millisecond, "a") || !a.Expired(2*time.Second, "a") {
		t.Fatal("a held output must occupy its actual size until its eviction time")
	}
	a.AddOrphan("orphan", 100)
	if a.Fits(1) {
		t.Fatal("a prefill fits into the memory of an orphan")
	}
	a.Evict("a")
	a.Release("a")
	a.Release("orphan")
	if _, _, free := a.Counts(); free != 4 || a.Evicted != 1 {
		t.Fatalf("%d chunks free and %d evicted, want 4 and 1", free, a.Evicted)
	}
}

// TestTransferConcurrency guards against more concurrent imports than the limit,
// and against a lost permit when a waiting import is abandoned.
func TestTransferConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewTransferScheduler(2, 1000)
		if d := s.Deadline(500); d != transferSetupTime+2*time.Second {
			t.Fatalf("timeout %v, want twice the time at half the rate plus transferSetupTime", d)
		}
		var mu sync.Mutex
		active, maxActive, done := 0, 0, 0
		count := func(activeChange, doneChange int) {
			mu.Lock()
			defer mu.Unlock()
			active += activeChange
			maxActive = max(maxActive, active)
			done += doneChange
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
		if st := s.State(); maxActive != 2 || st.Active != 0 || st.Waiting != 0 || st.Done != done || done < 8 {
			t.Fatalf("at most %d imports at once, %d done, state %+v", maxActive, done, st)
		}
	})
}

// BenchmarkGrantPending measures one check of the queued claims against the forecasts
// for a full engine with a long queue. The check runs every grantInterval.
func BenchmarkGrantPending(b *testing.B) {
	policy := config.DefaultPolicy()
	policy.QueueLimit = time.Hour // the default limit would refuse most of the claims
	s := newScheduler(config.StaticSource{Fixed: config.BuildSnapshot(1, config.DecodedObjects{Policy: &policy})})
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
		b.Fatalf("%d claims queued, want at least 150", s.decode.queue.Len())
	}
	for b.Loop() {
		s.grantPending()
	}
}
