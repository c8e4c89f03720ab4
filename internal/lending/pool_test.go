package lending

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var (
	testTerms    = Terms{Loan: 700 * time.Millisecond, Window: 8 * time.Second, OvershootRatio: 0.1, OvershootFixed: 120_000}
	testCapacity = Capacity{Rate: 1000, Burst: 1000}
)

// newTestPool returns a pool with one resource of testCapacity for a number of holders.
func newTestPool(holders int, now time.Duration) *Pool {
	p := New(testTerms, 1, now)
	p.SetHolders(holders, now)
	setCapacity(p, testCapacity, now)
	return p
}

func setCapacity(p *Pool, c Capacity, now time.Duration) {
	p.SetCapacities(func(id ID) (Capacity, bool) { return c, id == account }, now)
}

// hear lets the pool receive an empty full report of each peer every 100 ms.
func hear(p *Pool, from, until time.Duration, peers ...string) {
	for now := from; now <= until; now += 100 * time.Millisecond {
		for _, name := range peers {
			p.Receive(name, Report{Incarnation: 1, Settled: true, Filled: time.Hour}, now)
		}
	}
}

// Level returns what is left of a resource, in units. limited is false if it has no limit.
func (p *Pool) Level(id ID, now time.Duration) (units float64, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	r := p.resource(id)
	if r == nil {
		return 0, false
	}
	return r.level, true
}

func wantLevel(t *testing.T, p *Pool, want float64, now time.Duration) {
	t.Helper()
	if got, _ := p.Level(account, now); math.Abs(got-want) > 1 {
		t.Errorf("level %.1f at %v, want %.1f", got, now, want)
	}
}

func entry(period uint32, spent, level float64) []Entry {
	return []Entry{{Resource: account, Period: period, Spent: spent, Level: level}}
}

// Guards against spending of others that is counted twice or not at all when reports are
// lost, repeated or begin a new period.
func TestReceiveCountsEachUnitOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries [][]Entry
		want    float64 // debited from a full bucket
	}{
		{"one report", [][]Entry{entry(1, 100, 0)}, 100},
		{"two reports", [][]Entry{entry(1, 100, 0), entry(1, 250, 0)}, 250},
		{"a report is lost", [][]Entry{entry(1, 100, 0), entry(1, 400, 0)}, 400},
		{"a report is repeated", [][]Entry{entry(1, 100, 0), entry(1, 100, 0), entry(1, 100, 0)}, 100},
		{"units are returned", [][]Entry{entry(1, 100, 0), entry(1, 400, 0), entry(1, 150, 0)}, 150},
		{"a new period", [][]Entry{entry(1, 300, 0), entry(2, 50, 0)}, 350},
		{"a period that was not used", [][]Entry{entry(0, 0, 0), entry(1, 70, 0)}, 70},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool(2, 0)
			hear(p, 0, 2*time.Second, "b")
			now := 2 * time.Second
			for _, e := range c.entries {
				p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: e}, now)
			}
			wantLevel(t, p, testCapacity.Burst-c.want, now)
		})
	}
}

// Guards against a counter of a peer that is debited as a whole although only its growth is
// new: the peer is known, but the resource was not limited or had been idle here.
func TestCounterWithUnknownBase(t *testing.T) {
	t.Run("the limit is set after the peer's", func(t *testing.T) {
		p := newTestPool(2, 0)
		p.SetCapacities(func(ID) (Capacity, bool) { return Capacity{}, false }, 0)
		hear(p, 0, 2*time.Second, "b")
		p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: entry(1, 5e6, 0)}, 2*time.Second)
		setCapacity(p, testCapacity, 2*time.Second)
		p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: entry(1, 5e6+100, 0)}, 2*time.Second)
		wantLevel(t, p, 900, 2*time.Second)
	})
	t.Run("the limit is lifted and set again", func(t *testing.T) {
		p := newTestPool(2, 0)
		hear(p, 0, time.Second, "b")
		p.Receive("b", Report{Incarnation: 1, Settled: true, Entries: entry(1, 300, 0), Filled: time.Hour}, time.Second)
		p.SetCapacities(func(ID) (Capacity, bool) { return Capacity{}, false }, time.Second)
		setCapacity(p, testCapacity, 1200*time.Millisecond)
		p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: entry(1, 5e6, 0)}, 1300*time.Millisecond)
		p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: entry(1, 5e6+100, 0)}, 1300*time.Millisecond)
		// The debt of the time without a limit is bounded.
		wantLevel(t, p, -9000, 1300*time.Millisecond)
	})
	t.Run("an idle resource is reported again", func(t *testing.T) {
		b := newTestPool(2, 0)
		hear(b, 0, 2*time.Second, "a")
		b.Take(account, 800, 2*time.Second)
		b.Report(true, 2*time.Second+testTerms.Loan)
		hear(b, 2*time.Second, 2*time.Second+2*reportedFor, "a")
		now := 2*time.Second + 2*reportedFor
		if r := b.Report(false, now); len(r.Entries) > 0 {
			t.Fatalf("idle resource reported: %+v", r)
		}
		a := newTestPool(2, now)
		a.Receive("b", b.Report(false, now), now)
		wantLevel(t, a, testCapacity.Burst, now)
		b.Receive("a", Report{Incarnation: 1, Partial: true, Entries: entry(1, 10, 0)}, now)
		a.Receive("b", b.Report(false, now), now)
		wantLevel(t, a, testCapacity.Burst, now)
		b.Take(account, 30, now)
		a.Receive("b", b.Report(true, now), now)
		wantLevel(t, a, testCapacity.Burst-30, now)
	})
}

// Guards against a counter that begins again with the number of an earlier period, which
// peers take for a return of units.
func TestPeriodsAreNotReused(t *testing.T) {
	p := newTestPool(1, 0)
	seen := make(map[uint32]bool)
	now := 2 * time.Second
	for i := range 4 {
		if !p.Take(account, 10, now).Granted {
			t.Fatal("refused")
		}
		e := p.Report(true, now).Entries[0]
		if seen[e.Period] || e.Spent != 10 {
			t.Errorf("round %d: %+v after periods %v", i, e, seen)
		}
		seen[e.Period] = true
		p.Report(true, now+testTerms.Loan)
		if now += 2 * reportedFor; i%2 == 0 {
			p.Report(false, now) // ends the period
			continue
		}
		p.SetCapacities(func(ID) (Capacity, bool) { return Capacity{}, false }, now)
		setCapacity(p, testCapacity, now)
	}
}

// Guards against a peer that spends its counters again, or whose low level binds others,
// after a restart.
func TestRestartOfPeer(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		report  Report
		want    float64
	}{
		{"it has spent little since", 0, Report{Incarnation: 2, Entries: entry(1, 100, 0)}, 900},
		{"it is settled and in debt", 0, Report{Incarnation: 2, Settled: true, Filled: time.Second, Entries: entry(1, 100, -800)}, 900},
		// The two other holders have 2/3 of the burst, and its rate for 2 s was reserved.
		{"it was silent for long", 2 * time.Second, Report{Incarnation: 2, Settled: true, Filled: time.Second, Entries: entry(1, 700, -800)}, 1000 * (2.0/3 - 0.7 + 2.0/3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool(3, 0)
			now := 2 * time.Second
			hear(p, 0, now, "b", "c")
			wantLevel(t, p, testCapacity.Burst, now)
			hear(p, now, now+c.silence, "b")
			now += c.silence
			p.Receive("c", c.report, now)
			wantLevel(t, p, min(c.want, p.full(testCapacity)), now)
		})
	}
}

// Guards against sides of a partition that together use more than the capacity, and
// against debts that are not paid back.
func TestPartition(t *testing.T) {
	f := newFleet(testTerms, 4, map[ID]Capacity{account: testCapacity}, 1)
	f.run(5 * time.Second)
	side := func(h *testHolder) bool { return h == f.holders[0] }
	f.cut = func(from, to *testHolder) bool { return side(from) != side(to) }
	// Both sides take all before they notice.
	for _, h := range f.holders[:2] {
		if !h.take(account, 1000).Granted {
			t.Fatal("refused before the partition is noticed")
		}
	}
	f.run(800 * time.Millisecond)
	for i, want := range []float64{250 - 1000 + 0.8*250, 750 - 1000 + 0.8*750} {
		if got := f.holders[i].level(account); math.Abs(got-want) > 10 {
			t.Errorf("side %d has %.0f after the loans have expired, want %.0f", i, got, want)
		}
	}
	f.run(2200 * time.Millisecond)
	for i, want := range []float64{0, 750} {
		if got := f.holders[i].level(account); math.Abs(got-want) > 10 {
			t.Errorf("side %d has %.0f when its debt is paid, want %.0f", i, got, want)
		}
	}
	// The larger side uses what it has, the other one has nothing.
	if !f.holders[2].take(account, 700).Granted || f.holders[0].take(account, 50).Granted {
		t.Error("levels are not used as they are")
	}
	f.cut = nil
	f.run(2500 * time.Millisecond)
	for _, h := range f.holders {
		if got := h.level(account); math.Abs(got-1000) > 1 {
			t.Errorf("%s has %.0f after the partition, want all", h.name, got)
		}
	}
}

// Guards against debt that is forgotten when a partition ends.
func TestDebtIsRepaidAfterPartition(t *testing.T) {
	p := newTestPool(2, 0)
	hear(p, 0, 2*time.Second, "b")
	p.Take(account, 1000, 2*time.Second)
	now := 2900 * time.Millisecond
	wantLevel(t, p, 500-1000+450, now) // alone since 2 s
	p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: entry(1, 1000, 0)}, now)
	wantLevel(t, p, -50-(1000-450), now) // 450 were reserved for b
	if d := p.Take(account, 100, now); d.Granted || d.RetryAfter != 700*time.Millisecond {
		t.Errorf("%+v with a debt of 600, want a refusal for 700 ms", d)
	}
}

// Guards against a lower limit that takes effect late, and against a debt of a higher limit
// that blocks a lower one for long.
func TestLoweredLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		spent, later float64 // before the change, and by a peer after it
		want         float64
	}{
		{"full", 0, 0, 10},
		{"partly used", 500, 0, 10},
		{"used up", 1000, 0, 0},
		{"a peer uses the higher limit for longer", 0, 5000, -90},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool(2, 0)
			now := 2 * time.Second
			hear(p, 0, now, "b")
			p.Take(account, c.spent, now)
			setCapacity(p, Capacity{Rate: 10, Burst: 10}, now)
			if c.later > 0 {
				p.Receive("b", Report{Incarnation: 1, Settled: true, Partial: true, Entries: entry(1, c.later, 0)}, now)
			}
			wantLevel(t, p, c.want, now)
		})
	}
}

// Guards against requests above the burst that are refused forever or cost too little.
func TestUnitsAboveBurst(t *testing.T) {
	p := newTestPool(1, 0)
	if d := p.Take(account, 1500, 900*time.Millisecond); d.Granted || d.RetryAfter != 100*time.Millisecond {
		t.Errorf("%+v while the bucket fills", d)
	}
	if !p.Take(account, 1500, time.Second).Granted {
		t.Error("refused although the bucket is full")
	}
	wantLevel(t, p, -500, time.Second)
}

// Guards against returned units that are lost, or that raise a level above the burst.
func TestReturn(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		want  float64
	}{
		{"at once", 0, 900},
		{"when the bucket is full", 2 * time.Second, 1000},
		{"when the period has ended", 30 * time.Second, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newTestPool(2, 0), newTestPool(2, 0)
			exchange := func(now time.Duration) {
				a.Receive("b", b.Report(false, now), now)
				b.Receive("a", a.Report(false, now), now)
			}
			now := time.Duration(0)
			for ; now <= 2*time.Second; now += 200 * time.Millisecond {
				exchange(now)
			}
			a.Take(account, 100, now)
			a.Take(account, 300, now)
			exchange(now)
			wantLevel(t, b, 600, now)
			for end := now + c.after; now < end; now += 200 * time.Millisecond {
				exchange(now)
			}
			a.Return(account, 300, now)
			exchange(now)
			wantLevel(t, a, c.want, now)
			wantLevel(t, b, c.want, now)
		})
	}
}

// Guards against a new process that decides by a bucket that others have used.
func TestNewProcessAdoptsLevels(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports map[string]Report
		want    float64
	}{
		{"idle", map[string]Report{"b": {Settled: true, Filled: time.Hour}}, 1000},
		{"busy", map[string]Report{"b": {Settled: true, Filled: time.Hour, Entries: entry(9, 5e6, 340)}}, 340},
		{"in debt", map[string]Report{"b": {Settled: true, Filled: time.Hour, Entries: entry(9, 5e6, -400)}}, -400},
		{"busy, as two tell", map[string]Report{
			"b": {Settled: true, Filled: time.Hour, Entries: entry(9, 5e6, 340)}, "c": {Settled: true, Filled: time.Hour, Entries: entry(2, 7e6, 300)},
		}, 300},
		{"partial reports", map[string]Report{"b": {Settled: true, Partial: true}}, 0},
		{"others are new too", map[string]Report{"b": {Filled: time.Millisecond}}, 0},
		{"others have not known for long", map[string]Report{"b": {Settled: true, Filled: 300 * time.Millisecond}}, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool(len(c.reports)+1, 0)
			for name, r := range c.reports {
				p.Receive(name, r, 0)
			}
			wantLevel(t, p, c.want, 0)
		})
	}
}

// Guards against a new process that hears the others before it knows the capacities, and then
// takes a bucket that they have used up for a full one.
func TestReportsBeforeCapacities(t *testing.T) {
	const used, spent = -400.0, 5000.0
	partial := Report{Incarnation: 2, Settled: true, Partial: true, Entries: entry(1, spent, used)}
	full := Report{Incarnation: 2, Settled: true, Filled: maxFilled, Entries: entry(1, spent, used)}
	for name, before := range map[string][]Report{"a partial report": {partial}, "a full report": {full}, "both": {partial, full}} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			p := New(testTerms, 1, now)
			p.SetHolders(2, now)
			for _, r := range before {
				p.Receive("b", r, now)
			}
			now += time.Millisecond
			setCapacity(p, testCapacity, now)
			if d := p.Take(account, 100, now); d.Granted {
				t.Error("granted before the level is known")
			}
			p.Receive("b", full, now)
			wantLevel(t, p, used, now)
			p.Receive("b", full, now)
			wantLevel(t, p, used, now)
		})
	}
}

// Guards against a second burst when all processes restart at the same time: the burst may
// have been used right before.
func TestRestartOfAll(t *testing.T) {
	f := newFleet(testTerms, 5, map[ID]Capacity{account: testCapacity}, 1)
	f.run(5 * time.Second)
	if !f.holders[0].take(account, 1000).Granted {
		t.Fatal("refused")
	}
	f.run(100 * time.Millisecond)
	begin := f.now
	for _, h := range f.holders {
		h.start()
	}
	granted := 0.0
	for f.now < begin+3*time.Second {
		f.run(20 * time.Millisecond)
		for _, h := range f.holders {
			if h.take(account, 20).Granted {
				granted += 20
			}
		}
		if most := testCapacity.Rate*clockError*(f.now-begin).Seconds() + 100; granted > most {
			t.Fatalf("%.0f units %v after the restart, at most %.0f were supplied", granted, f.now-begin, most)
		}
	}
	if granted < 2500 {
		t.Errorf("%.0f units in 3 s, want nearly 3,000", granted)
	}
}

// Guards against accounts with a low rate and a deep bucket that are throttled for minutes after
// all processes have restarted, against buckets that count as full before the use of earlier
// processes has left the window, and against use since the start that is then forgotten.
func TestFullOneWindowAfterRestartOfAll(t *testing.T) {
	c := Capacity{Rate: 10, Burst: 1000}
	for _, holders := range []int{1, 5} {
		t.Run(fmt.Sprintf("%d holders", holders), func(t *testing.T) {
			f := newFleet(testTerms, holders, map[ID]Capacity{account: c}, 1)
			f.run(2 * time.Second)
			if !f.holders[0].take(account, 15).Granted {
				t.Fatal("refused what was supplied")
			}
			for _, h := range f.holders {
				if d := h.take(account, 700); d.Granted || d.RetryAfter > testTerms.Window+testTerms.Loan {
					t.Errorf("%+v, want a refusal until the bucket counts as full", d)
				}
			}
			f.run(testTerms.Window - 2*time.Second)
			for _, h := range f.holders {
				if level := h.level(account); level > 10*8*clockError {
					t.Errorf("%s has %.0f after one window, more than was supplied", h.name, level)
				}
			}
			f.run(testTerms.Loan + time.Second)
			for _, h := range f.holders {
				if level := h.level(account); level < 1000-15 || level > 1000-15+clockError*10*9.7 {
					t.Errorf("%s has %.0f, want what is left of a full bucket after 15 were spent", h.name, level)
				}
			}
		})
	}
}

// Guards against sides that use all of a resource because the list of holders was lost
// before the partition.
func TestPartitionWithoutList(t *testing.T) {
	p := newTestPool(1, 0)
	hear(p, 0, 2*time.Second, "b", "c", "d")
	hear(p, 2*time.Second, 4*time.Second, "b")
	if share := p.State(4 * time.Second).Share; share != 0.5 {
		t.Errorf("share %v of two of four holders, want 0.5", share)
	}
}

// Guards against a hot resource that is refused for want of confirmations that have come in
// since it was used last.
func TestConfirmation(t *testing.T) {
	p := New(Terms{Loan: 700 * time.Millisecond, Window: 8 * time.Second, OvershootFixed: 100 * exposureDivisor}, 1, 0)
	p.SetHolders(2, 0)
	setCapacity(p, testCapacity, 0)
	hear(p, 0, 2*time.Second, "b")
	now := 2 * time.Second
	for i, want := range []bool{true, true, false} {
		if d := p.Take(account, 50, now); d.Granted != want || !want && d.Reason != Unconfirmed {
			t.Errorf("request %d: %+v", i, d)
		}
	}
	hear(p, now+100*time.Millisecond, now+200*time.Millisecond, "b")
	if !p.Take(account, 100, now+200*time.Millisecond).Granted {
		t.Error("refused after two reports")
	}
}

// Guards against reports that are too large to send, which would also stop the other state
// that the gossip carries.
func TestReportIsBounded(t *testing.T) {
	p := New(testTerms, 1, 0)
	p.SetCapacities(func(ID) (Capacity, bool) { return testCapacity, true }, 0)
	seen := make(map[ID]bool)
	now := 2 * time.Second
	for id := range ID(3 * maxEntries) {
		p.Take(id, 1, now)
	}
	for range 100 {
		now += heartbeat
		r := p.Report(false, now)
		if len(r.Entries) > maxEntries {
			t.Fatalf("%d entries", len(r.Entries))
		}
		if len(r.Entries) == maxEntries && r.Filled > 0 {
			t.Fatal("an incomplete report says that all other resources are full")
		}
		for _, e := range r.Entries {
			seen[e.Resource] = true
		}
	}
	if len(seen) != 3*maxEntries {
		t.Errorf("only %d resources reported", len(seen))
	}
	if r := p.Report(false, now); len(r.Entries) > 0 {
		t.Errorf("%d resources reported that have long been idle", len(r.Entries))
	}
}

func ExamplePool_Take() {
	p := New(Terms{Loan: time.Second, Window: 8 * time.Second}, 1, 0)
	p.SetCapacities(func(ID) (Capacity, bool) { return Capacity{Rate: 10, Burst: 20}, true }, 0)
	d := p.Take(1, 20, time.Second)
	fmt.Println(d.Granted, d.RetryAfter)
	// Output: false 1s
}
