package gateway

import (
	"testing"
	"time"
)

// Guards against gateways that together exceed the limit on repeated attempts in
// some time window, depending on when each of them spends its part.
func TestBudgetWindow(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Window: 10 * time.Second, FixedAllowance: 50}
	const gateways = 4
	var budgets [gateways]*RetryBudget
	for i := range budgets {
		budgets[i] = NewRetryBudget(limits, func() int { return gateways })
	}
	start := time.Now()
	var spent []time.Time
	requests := 0
	for step := range 4000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		b := budgets[step%gateways]
		b.RecordRequest("s", now)
		requests++
		for b.TrySpend("s", now, 0) {
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
			t.Fatalf("%d repeated attempts in a window; want at most %d", n, limit)
		}
	}
	if len(spent) < limit {
		t.Errorf("%d repeated attempts for %d requests; want at least the limit of one window", len(spent), requests)
	}
}

// Guards against hedges that use the share of the budget reserved for retries.
func TestBudgetReserve(t *testing.T) {
	b := NewRetryBudget(RetryLimits{Ratio: 0, Window: 10 * time.Second, FixedAllowance: 20}, func() int { return 1 })
	now := time.Now()
	hedges := 0
	for b.TrySpend("s", now, 0.5) {
		hedges++
	}
	if !b.TrySpend("s", now, 0) {
		t.Error("retry refused after hedges; want a share of the budget left for it")
	}
	if hedges != 8 {
		t.Errorf("%d hedges; want 8, which is half of the budget after its margin", hedges)
	}
}

// Guards against an estimate that takes a first attempt for a retry or the reverse.
func TestRetryAges(t *testing.T) {
	a := newRetryAges()
	for _, c := range []struct {
		timeout time.Duration
		isRetry bool
	}{{14 * time.Second, false}, {12500 * time.Millisecond, false}, {9 * time.Second, true}} {
		if age := a.estimate("r", c.timeout); (age > 0) != c.isRetry {
			t.Errorf("timeout %v: age %v; want a retry: %v", c.timeout, age, c.isRetry)
		}
	}
}
