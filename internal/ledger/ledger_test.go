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

func requireFault(t *testing.T, err error, kind fault.Kind, outcome fault.Outcome) {
	t.Helper()
	var f *fault.Error
	if !errors.As(err, &f) || f.Kind != kind || f.Outcome != outcome {
		t.Fatalf("got %v (%+v), want %s %s", err, f, kind, outcome)
	}
}

func requireState(t *testing.T, n *node, key, state string) Record {
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

// Guards against a re-sent call that runs again, or that gets a result which the
// state of its key does not allow, through any entry.
func TestReplies(t *testing.T) {
	runWithFleet(t, 3, func(t *testing.T, f *fleet) {
		c := mustBegin(t, f.entry(0), "k")
		_, _, err := f.entry(1).Begin(t.Context(), call("k"))
		requireFault(t, err, fault.KindKeyRunning, fault.Unknown)
		requireState(t, f.entry(1), "k", "running")
		c.NotRun()
		time.Sleep(time.Second)
		requireState(t, f.entry(2), "k", "not-run")
		c = mustBegin(t, f.entry(2), "k")
		c.Done(storedAnswer("run 1"))
		c.Unknown() // only the first settlement counts
		_, a, err := f.entry(1).Begin(t.Context(), call("k"))
		if err != nil || a == nil || string(a.Body) != "run 1" || a.Status != 201 {
			t.Fatalf("replay: %+v, %v", a, err)
		}
		rec := requireState(t, f.entry(0), "k", "done")
		if rec.Answer == nil || rec.Answer.Body != "run 1" || rec.Outcome != fault.Ran {
			t.Fatalf("got record %+v", rec)
		}
		other := call("k")
		other.Digest = NewDigest([]byte("another body"))
		_, _, err = f.entry(0).Begin(t.Context(), other)
		requireFault(t, err, fault.KindKeyReused, fault.NotRun)
		if _, err := f.entry(0).Lookup(t.Context(), "another caller", "k"); err == nil {
			t.Fatal("a caller could read another caller's outcome")
		}
		big := mustBegin(t, f.entry(0), "big")
		big.Done(storedAnswer(strings.Repeat("x", MaxAnswerBytes+1)))
		mustBegin(t, f.entry(0), "lost").Unknown()
		time.Sleep(time.Second)
		_, _, err = f.entry(1).Begin(t.Context(), call("big"))
		requireFault(t, err, fault.KindAnswerNotKept, fault.Ran)
		_, _, err = f.entry(1).Begin(t.Context(), call("lost"))
		requireFault(t, err, fault.KindOutcomeUnknown, fault.Unknown)
	})
}

// Guards against an intent of a dead entry that is reported as not-run, stays
// running forever, or lets its key run again.
func TestDeadEntryLeavesUnknown(t *testing.T) {
	runWithFleet(t, 3, func(t *testing.T, f *fleet) {
		mustBegin(t, f.entry(0), "k")
		f.entry(0).stop()
		f.net.Disconnect("entry-0:1")
		requireState(t, f.entry(1), "k", "running")
		f.remove(0)
		time.Sleep(testRunTime + 2*checkInterval)
		// A process that has just started reports it as well.
		requireState(t, f.start("entry-3"), "k", "unknown")
		_, _, err := f.entry(2).Begin(t.Context(), call("k"))
		requireFault(t, err, fault.KindOutcomeUnknown, fault.Unknown)
	})
}

// Guards against an outage that lets a call run without a record, or that leaves a
// call that was rejected as not-run recorded as running or unknown.
func TestOutageRefusesBeforeSubmission(t *testing.T) {
	runWithFleet(t, 3, func(t *testing.T, f *fleet) {
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
				start := time.Now()
				c, _, err := f.entry(n).Begin(t.Context(), call(fail.name))
				if err == nil && fail.name == "late" {
					c.NotRun() // the record was written in time
					continue
				}
				if err == nil {
					t.Fatalf("%s: a call was admitted without a record", fail.name)
				}
				if k := fault.From(err).Kind; k != fault.KindStoreUnavailable && k != fault.KindKeyRunning {
					t.Fatalf("%s: %v", fail.name, err)
				}
				if d := time.Since(start); d > commitTimeout {
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

// Guards against a lost acknowledgement that makes a call fail or run twice.
func TestLostAcknowledgementIsReadBack(t *testing.T) {
	runWithFleet(t, 2, func(t *testing.T, f *fleet) {
		f.kv.setFaults(1, 0, 0)
		for n := range 20 {
			mustBegin(t, f.entry(n), fmt.Sprint(n))
		}
	})
}

// Guards against keys that are lost or run again after they were moved to
// segments, and against a head that grows with every key.
func TestSpilledKeysAreStillKnown(t *testing.T) {
	runWithFleet(t, 2, func(t *testing.T, f *fleet) {
		f.kv.setFaults(0.02, 0.02, 0.02)
		const keys = 6000
		var done [keys]atomic.Bool
		var wg sync.WaitGroup
		for n := range keys {
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				c, _, err := f.entry(n).Begin(t.Context(), call(fmt.Sprint(n)))
				if err == nil {
					c.Done(storedAnswer(fmt.Sprint("answer ", n)))
					done[n].Store(true)
				}
			})
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
		f.kv.setFaults(0, 0, 0)
		fresh := f.start("entry-2") // has not loaded any segment
		for n := 0; n < keys; n += 37 {
			_, a, err := fresh.Begin(t.Context(), call(fmt.Sprint(n)))
			if done[n].Load() && (a == nil || string(a.Body) != fmt.Sprint("answer ", n)) {
				t.Fatalf("key %d: %v, %v", n, a, err)
			}
		}
		for n, s := range fresh.shards {
			e, _ := f.kv.Get(t.Context(), s.store.headKey())
			h, err := decodeHead(e.Value)
			if err != nil || len(h.segments) == 0 || len(e.Value) > spillHeadBytes*3/2 {
				t.Errorf("shard %d: head of %d bytes, %v", n, len(e.Value), err)
			}
		}
	})
}

// Guards against a full shard that accepts an intent it cannot keep.
func TestFullShardRefuses(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		h := newHead()
		for n := 0; h.bytes <= maxHeadBytes; n++ {
			h.put(Intent{Key: HashKey("x", fmt.Sprint(n)), State: Committed, MaxRunTime: time.Hour})
		}
		for _, s := range f.entry(0).shards {
			f.kv.swap(s.store.headKey(), h.encode(), 0)
		}
		_, _, err := f.entry(0).Begin(t.Context(), call("k"))
		requireFault(t, err, fault.KindLedgerFull, fault.NotRun)
	})
}

// Guards against keys that never expire, and against keys that expire before 24 h
// because one process measured more elapsed time than the process that committed
// them.
func TestKeysExpireAfterADay(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		f.isolated = true // each entry writes to the key-value service itself
		first := f.entry(0)
		mustBegin(t, first, "old").Done(storedAnswer("old"))
		time.Sleep(12 * time.Hour)
		// The new process does not know of the time before its start.
		fresh := f.start("entry-1")
		mustBegin(t, fresh, "young").Done(storedAnswer("young"))
		time.Sleep(13 * time.Hour)
		requireState(t, first, "young", "done")
		if _, a, _ := first.Begin(t.Context(), call("young")); a == nil {
			t.Fatal("a call ran again 13 h after its key was recorded")
		}
		time.Sleep(13 * time.Hour)
		mustBegin(t, first, "old")
		mustBegin(t, first, "young")
	})
}

// Guards against a rejected call that is recorded later: another entry's write
// that commits it arrives late, and the key was held by another call when the
// rejected one was abandoned.
func TestLateWriteOfAbandonedCallLoses(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		s := f.entry(0).shards[0]
		holder := Intent{Key: HashKey("c", "k"), Attempt: Attempt{1}, State: Committed, MaxRunTime: time.Minute}
		refused := holder
		refused.Attempt = Attempt{2}
		abandon := func(i Intent) operation {
			i.State = NotRun
			return operation{isSettlement: true, forcesWrite: i.Attempt == refused.Attempt, intent: i}
		}
		write := func(o operation) {
			p := newPendingOp(t.Context(), o)
			s.enqueue(p)
			<-p.result
		}
		write(operation{intent: holder})
		e, _ := f.kv.Get(t.Context(), s.store.headKey())
		late, err := decodeHead(e.Value)
		if err != nil {
			t.Fatal(err)
		}
		late.apply(abandon(holder), nil)
		late.apply(operation{intent: refused}, nil)
		write(abandon(refused))
		if f.kv.swap(s.store.headKey(), late.encode(), e.Index) {
			t.Fatal("the late write took effect")
		}
	})
}

// Guards against too many writes or too long waits at the peak rate of 2,000
// bookings/s: at most 150 writes/s, and at most 25 ms added latency at the 95th
// percentile.
func TestPeakOfBookings(t *testing.T) {
	runWithFleet(t, 4, func(t *testing.T, f *fleet) {
		const rate, seconds = 2000, 10
		rng := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var waits []time.Duration
		var wg sync.WaitGroup
		testStart := time.Now()
		for n := 0; time.Since(testStart) < seconds*time.Second; n++ {
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
				c.Done(storedAnswer(fmt.Sprintf(`{"id":"order-%06d","booked":true}`, n)))
			})
		}
		writes, reads := f.kv.calls()
		wg.Wait()
		slices.Sort(waits)
		p95 := waits[len(waits)*95/100]
		t.Logf("%d bookings in %d s: %d writes/s, %d reads/s, added p50 %v, p95 %v, max %v", len(waits), seconds,
			writes/seconds, reads/seconds, waits[len(waits)/2], p95, waits[len(waits)-1])
		if writes > 150*seconds || p95 > 25*time.Millisecond {
			t.Errorf("%d writes in %d s with p95 %v; want at most 150 writes/s and 25 ms", writes, seconds, p95)
		}
	})
}
