package predict

import (
	"fmt"
	"testing"
)

// Guards against reservations that ignore what callers really produce.
func TestTotal(t *testing.T) {
	p := New(0.7, 0)
	for i := range 100 {
		p.Observe("short", "m", 20)
		p.Observe("mixed", "m", 100+i%2*900)
	}
	cases := []struct {
		name, caller, model string
		produced, limit     int
		low, high           int
	}{
		{"own history", "short", "m", 0, 0, 20, 25},
		{"quantile, not mean", "mixed", "m", 0, 0, 900, 1300},
		{"limit of the request", "mixed", "m", 0, 300, 300, 300},
		{"exceeded: longer answers of the model", "short", "m", 30, 0, 100, 1300},
		{"exceeded: nothing longer observed", "short", "m", 5000, 0, 10000, 10000},
		{"exceeded: never above the limit", "short", "m", 5000, 6000, 6000, 6000},
		{"unknown caller: the model's", "new", "m", 0, 0, 100, 1300},
		{"unknown model: prior", "new", "x", 0, 0, 256, 256},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := p.OutputLength(c.caller, c.model, c.produced, c.limit)
			if got < c.low || got > c.high {
				t.Fatalf("got %d, want %d to %d", got, c.low, c.high)
			}
		})
	}
}

// Guards against memory that grows with the callers and against forgetting the active one.
func TestPairsAreBounded(t *testing.T) {
	p := New(0, 10)
	for i := range 1000 {
		p.Observe(fmt.Sprint(i), "m", 1000)
		for range 5 {
			p.Observe("active", "m", 10)
		}
	}
	if len(p.pairs) != 10 || p.recent.Len() != 10 {
		t.Fatalf("%d pairs and %d list entries, want 10", len(p.pairs), p.recent.Len())
	}
	if got := p.OutputLength("active", "m", 0, 0); got > 12 {
		t.Fatalf("active caller predicted at %d, want about 10", got)
	}
}
