package retry

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against endless attempts and against imports that lose against the eviction.
func TestNext(t *testing.T) {
	cases := []struct {
		name string
		loss FailedAttempt
		want Action
	}{
		{"hold alive", FailedAttempt{Attempts: 1, HoldRemaining: 800 * ms, Transfer: 200 * ms, Recompute: 400 * ms, BudgetAvailable: true}, RepeatTransfer},
		{"hold too short", FailedAttempt{Attempts: 1, HoldRemaining: 250 * ms, Transfer: 200 * ms, Recompute: 400 * ms, BudgetAvailable: true}, Recompute},
		{"no slot before the eviction", FailedAttempt{Attempts: 1, HoldRemaining: 800 * ms, Wait: 600 * ms, Transfer: 200 * ms, Recompute: 400 * ms, BudgetAvailable: true}, Recompute},
		{"recomputing is faster", FailedAttempt{Attempts: 1, HoldRemaining: 800 * ms, Transfer: 200 * ms, Recompute: 20 * ms, BudgetAvailable: true}, Recompute},
		{"too many attempts", FailedAttempt{Attempts: 4, HoldRemaining: 800 * ms, Transfer: 200 * ms, Recompute: 400 * ms, BudgetAvailable: true}, GiveUp},
		{"no budget", FailedAttempt{Attempts: 1, HoldRemaining: 800 * ms, Transfer: 200 * ms, Recompute: 400 * ms}, GiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := NextAction(c.loss); got != c.want {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against retries that multiply an overload.
func TestBudget(t *testing.T) {
	b := NewBudget(0.2, 3, 0)
	count := func(caller, upstream string) (n int) {
		for b.Allow(caller, upstream) {
			n++
		}
		return n
	}
	if n := count("a", "u"); n != 3 {
		t.Fatalf("%d retries, want the burst of 3", n)
	}
	if n := count("b", "u"); n != 0 {
		t.Fatalf("%d retries at an upstream without budget, want 0", n)
	}
	if n := count("a", "v"); n != 0 {
		t.Fatalf("%d retries of a caller without budget, want 0", n)
	}
	for range 11 {
		b.RecordAttempt("a", "u")
	}
	if n := count("a", "u"); n != 2 {
		t.Fatalf("%d retries after 11 attempts at ratio 0.2, want 2", n)
	}
	for range 100 {
		b.RecordAttempt("a", "u")
	}
	if len(b.callers) != 0 || len(b.upstreams) != 0 {
		t.Fatal("full budgets must not be remembered")
	}
}

// Guards against hedging of ordinary calls.
func TestHedgeAfter(t *testing.T) {
	var l LatencyWindow
	if _, ok := l.HedgeDelay(); ok {
		t.Fatal("want no hedging without samples")
	}
	for i := range 1000 {
		l.Observe(time.Duration(i%100) * ms)
	}
	if d, ok := l.HedgeDelay(); !ok || d < 92*ms || d > 97*ms {
		t.Fatalf("got %v, %v; want about 95 ms", d, ok)
	}
}
