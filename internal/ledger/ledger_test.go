package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/go-faster/errors"
)

func wantFault(t *testing.T, err error, kind fault.Kind, outcome fault.Outcome) {
	t.Helper()
	var f *fault.Error
	if !errors.As(err, &f) || f.Kind != kind || f.Outcome != outcome {
		t.Fatalf("got %v (%+v), want %s %s", err, f, kind, outcome)
	}
}

func wantState(t *testing.T, n *node, key, state string) Record {
	t.Helper()
	rec, err := n.Lookup(t.Context(), "c", key)
	if err != nil || rec.State != state {
		t.Fatalf("lookup of %s: %+v, %v; want %s", key, rec, err, state)
	}
	return rec
}

func mustBegin(t *testing.T, n *node, key string) *Claim {
	t.Helper()
	c, a, err := n.Begin(t.Context(), call(key))
	if err != nil || a != nil || c == nil {
		t.Fatalf("begin %s: %v, %v, %v", key, c, a, err)
	}
	return c
}

// Guards against a re-sent call that runs again or gets another answer than
// each state of its key allows, through whichever entry it comes.
func TestReplies(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		c := mustBegin(t, f.entry(0), "k")
		_, _, err := f.entry(1).Begin(t.Context(), call("k"))
		wantFault(t, err, fault.KindKeyRunning, fault.Unknown)
		wantState(t, f.entry(1), "k", "running")
		c.NotRun()
		time.Sleep(time.Second)
		wantState(t, f.entry(2), "k", "not-run")
		c = mustBegin(t, f.entry(2), "k")
		c.Done(kept("run 1"))
		c.Unknown() // the first settlement holds
		_, a, err := f.entry(1).Begin(t.Context(), call("k"))
		if err != nil || a == nil || string(a.Body) != "run 1" || a.Status != 201 {
			t.Fatalf("replay: %+v, %v", a, err)
		}
		rec := wantState(t, f.entry(0), "k", "done")
		if rec.Answer == nil || rec.Answer.Body != "run 1" || rec.Outcome != fault.Ran {
			t.Fatalf("record %+v", rec)
		}
		other := call("k")
		other.Digest = NewDigest([]byte("another body"))
		_, _, err = f.entry(0).Begin(t.Context(), other)
		wantFault(t, err, fault.KindKeyReused, fault.NotRun)
		if _, err := f.entry(0).Lookup(t.Context(), "another caller", "k"); err == nil {
			t.Fatal("a caller could read another caller's outcome")
		}
		big := mustBegin(t, f.entry(0), "big")
		big.Done(kept(strings.Repeat("x", MaxAnswerBytes+1)))
		mustBegin(t, f.entry(0), "lost").Unknown()
		time.Sleep(time.Second)
		_, _, err = f.entry(1).Begin(t.Context(), call("big"))
		wantFault(t, err, fault.KindAnswerNotKept, fault.Ran)
		_, _, err = f.entry(1).Begin(t.Context(), call("lost"))
		wantFault(t, err, fault.KindOutcomeUnknown, fault.Unknown)
	})
}

// Guards against an intent of a dead entry that is reported as not-run, stays
// running for ever, or lets its key run again.
func TestDeadEntryLeavesUnknown(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		mustBegin(t, f.entry(0), "k")
		f.entry(0).stop()
		f.net.Disconnect("entry-0:1")
		wantState(t, f.entry(1), "k", "running")
		f.remove(0)
		time.Sleep(testRunTime + 2*observeEvery)
		// Also a process that has only just started knows.
		wantState(t, f.start("entry-3"), "k", "unknown")
		_, _, err := f.entry(2).Begin(t.Context(), call("k"))
		wantFault(t, err, fault.KindOutcomeUnknown, fault.Unknown)
	})
}

// Guards against an outage that lets a call run unrecorded, or leaves a call
// that was refused as not-run recorded as running or unknown.
func TestOutageRefusesBeforeSubmission(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		for _, fail := range []struct {
			name string
			set  func(on bool)
		}{
			{"down", f.kv.setDown},
			{"late", func(on bool) {
				f.kv.setFaults(0, 0, 0)
				if on {
					f.kv.setFaults(0, 1, 0)
				}
			}},
		} {
			fail.set(true)
			for n := range 3 {
				began := time.Now()
				c, _, err := f.entry(n).Begin(t.Context(), call(fail.name))
				if err == nil && fail.name == "late" {
					c.NotRun() // its record took effect in time
					continue
				}
				if err == nil {
					t.Fatalf("%s: a call was admitted without a record", fail.name)
				}
				if k := fault.From(err).Kind; k != fault.KindStoreUnavailable && k != fault.KindKeyRunning {
					t.Fatalf("%s: %v", fail.name, err)
				}
				if d := time.Since(began); d > commitTimeout {
					t.Errorf("%s: refused after %v", fail.name, d)
				}
			}
			fail.set(false)
			time.Sleep(20 * time.Second)
			if rec, err := f.entry(0).Lookup(t.Context(), "c", fail.name); err == nil && rec.State != "not-run" {
				t.Fatalf("%s: a refused call is recorded as %s", fail.name, rec.State)
			}
			mustBegin(t, f.entry(1), fail.name)
		}
	})
}

// Guards against a lost acknowledgement that refuses or doubles a call.
func TestLostAcknowledgementIsReadBack(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.kv.setFaults(1, 0, 0)
		for n := range 20 {
			mustBegin(t, f.entry(n), fmt.Sprint(n))
		}
	})
}

// Guards against keys that are lost or run again after they moved to segments,
// and against a head that grows with every key.
func TestSpilledKeysAreStillKnown(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.kv.setFaults(0.02, 0.02, 0.02)
		const keys = 6000
		var done [keys]atomic.Bool
		var wg sync.WaitGroup
		for n := range keys {
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				c, _, err := f.entry(n).Begin(t.Context(), call(fmt.Sprint(n)))
				if err == nil {
					c.Done(kept(fmt.Sprint("answer ", n)))
					done[n].Store(true)
				}
			})
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
		f.kv.setFaults(0, 0, 0)
		fresh := f.start("entry-2") // knows no segment yet
		for n := 0; n < keys; n += 37 {
			_, a, err := fresh.Begin(t.Context(), call(fmt.Sprint(n)))
			if done[n].Load() && (a == nil || string(a.Body) != fmt.Sprint("answer ", n)) {
				t.Fatalf("key %d: %v, %v", n, a, err)
			}
		}
		for n, s := range fresh.shards {
			e, _ := f.kv.Get(t.Context(), s.store.headKey())
			h, err := decodeHead(e.Value)
			if err != nil || len(h.segments) == 0 || len(e.Value) > softHeadBytes*3/2 {
				t.Errorf("shard %d: %d bytes, %v", n, len(e.Value), err)
			}
		}
	})
}

// Guards against a full shard that accepts what it cannot keep.
func TestFullShardRefuses(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		h := newHead()
		for n := 0; h.bytes <= fullHeadBytes; n++ {
			h.put(Intent{Key: HashKey("x", fmt.Sprint(n)), State: Committed, MaxRunTime: time.Hour})
		}
		for _, s := range f.entry(0).shards {
			f.kv.swap(s.store.headKey(), h.encode(), 0)
		}
		_, _, err := f.entry(0).Begin(t.Context(), call("k"))
		wantFault(t, err, fault.KindLedgerFull, fault.NotRun)
	})
}

// Guards against keys that expire before 24 h because one process saw more
// time pass than the one that committed them, and against keys that never expire.
func TestKeysExpireAfterADay(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		f.isolated = true // each entry writes itself
		first := f.entry(0)
		mustBegin(t, first, "old").Done(kept("old"))
		time.Sleep(12 * time.Hour)
		// The fresh process knows nothing of the time before its start.
		fresh := f.start("entry-1")
		mustBegin(t, fresh, "young").Done(kept("young"))
		time.Sleep(13 * time.Hour)
		wantState(t, first, "young", "done")
		if _, a, _ := first.Begin(t.Context(), call("young")); a == nil {
			t.Fatal("a key of 13 h ran again")
		}
		time.Sleep(13 * time.Hour)
		mustBegin(t, first, "old")
		mustBegin(t, first, "young")
	})
}

// Guards against a refused call that is recorded later: the write of another
// entry that commits it is late, and the key was held when it was given up.
func TestLateWriteOfGivenUpCallLoses(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		s := f.entry(0).shards[0]
		holder := Intent{Key: HashKey("c", "k"), Attempt: Attempt{1}, State: Committed, MaxRunTime: time.Minute}
		refused := holder
		refused.Attempt = Attempt{2}
		end := func(i Intent) operation {
			i.State = NotRun
			return operation{settles: true, proves: i.Attempt == refused.Attempt, intent: i}
		}
		do := func(o operation) {
			p := newPending(t.Context(), o)
			s.enqueue(p)
			<-p.result
		}
		do(operation{intent: holder})
		e, _ := f.kv.Get(t.Context(), s.store.headKey())
		late, err := decodeHead(e.Value)
		if err != nil {
			t.Fatal(err)
		}
		late.apply(end(holder), nil)
		late.apply(operation{intent: refused}, nil)
		do(end(refused))
		if f.kv.swap(s.store.headKey(), late.encode(), e.Index) {
			t.Fatal("the late write took effect")
		}
	})
}

// Guards against too many writes or too long waits at the peak of bookings:
// 2,000 bookings/s, at most 150 writes/s and 25 ms added at the 95th percentile.
func TestPeakOfBookings(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		const rate, seconds = 2000, 10
		rng := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var waits []time.Duration
		var wg sync.WaitGroup
		began := time.Now()
		for n := 0; time.Since(began) < seconds*time.Second; n++ {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
			wg.Go(func() {
				start := time.Now()
				c, _, err := f.entry(n).Begin(t.Context(), call(fmt.Sprint(n)))
				wait := time.Since(start)
				if err != nil {
					t.Errorf("booking %d: %v", n, err)
					return
				}
				mu.Lock()
				waits = append(waits, wait)
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
				c.Done(kept(fmt.Sprintf(`{"id":"order-%06d","booked":true}`, n)))
			})
		}
		writes, reads := f.kv.calls()
		wg.Wait()
		slices.Sort(waits)
		p95 := waits[len(waits)*95/100]
		t.Logf("%d bookings in %d s: %d writes/s, %d reads/s, added p50 %v, p95 %v, max %v", len(waits), seconds,
			writes/seconds, reads/seconds, waits[len(waits)/2], p95, waits[len(waits)-1])
		if writes > 150*seconds || p95 > 25*time.Millisecond {
			t.Errorf("over the bound")
		}
	})
}
