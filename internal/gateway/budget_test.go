package gateway

import (
	"testing"
	"time"
)

// Guards the shared limit on repeated sends in every window of time, whatever
// the moments at which the gateways spend.
func TestBudgetWindow(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Window: 10 * time.Second, FixedAllowance: 50}
	const gateways = 4
	var budgets [gateways]*Budget
	for i := range budgets {
		budgets[i] = NewBudget(limits, func() int { return gateways })
	}
	start := time.Now()
	var spent []time.Time
	requests := 0
	for step := range 4000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		b := budgets[step%gateways]
		b.Request("s", now)
		requests++
		for b.Spend("s", now, 0) {
			spent = append(spent, now)
		}
	}
	const perWindow = 1000 // requests in 10 s
	limit := int(limits.Ratio*perWindow + limits.FixedAllowance)
	for i := range spent {
		n := 0
		for _, s := range spent[i:] {
			if s.Sub(spent[i]) < limits.Window {
				n++
			}
		}
		if n > limit {
			t.Fatalf("%d repeated sends in a window; at most %d allowed", n, limit)
		}
	}
	if len(spent) < limit {
		t.Errorf("%d repeated sends in %d requests; the budget is hardly used", len(spent), requests)
	}
}

// Guards what is kept back for more important repeats.
func TestBudgetReserve(t *testing.T) {
	b := NewBudget(RetryLimits{Ratio: 0, Window: 10 * time.Second, FixedAllowance: 20}, func() int { return 1 })
	now := time.Now()
	hedges := 0
	for b.Spend("s", now, 0.5) {
		hedges++
	}
	if !b.Spend("s", now, 0) {
		t.Error("hedges left nothing for retries")
	}
	if hedges != 8 {
		t.Errorf("%d hedges; want half of the budget less its margin, 8", hedges)
	}
}

// Guards the estimate of how long a client has asked already.
func TestAges(t *testing.T) {
	a := newAges()
	for _, c := range []struct {
		patience time.Duration
		returned bool
	}{{14 * time.Second, false}, {12500 * time.Millisecond, false}, {9 * time.Second, true}} {
		if age := a.observe("r", c.patience); (age > 0) != c.returned {
			t.Errorf("patience %v: age %v; returned must be %v", c.patience, age, c.returned)
		}
	}
}
