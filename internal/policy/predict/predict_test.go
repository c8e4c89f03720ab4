package predict

import (
	"fmt"
	"testing"
)

// TestOutputLength guards against reservations that do not follow the output
// lengths that callers really produce.
func TestOutputLength(t *testing.T) {
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
				t.Fatalf("predicted %d tokens, want %d to %d", got, c.low, c.high)
			}
		})
	}
}

// TestPairsAreBounded guards against memory that grows with the number of
// callers, and against removing the histogram of an active caller.
func TestPairsAreBounded(t *testing.T) {
	p := New(0, 10)
	for i := range 1000 {
		p.Observe(fmt.Sprint(i), "m", 1000)
		for range 5 {
			p.Observe("active", "m", 10)
		}
	}
	if len(p.pairs) != 10 || p.lru.Len() != 10 {
		t.Fatalf("%d pairs and %d list elements, want 10 of each", len(p.pairs), p.lru.Len())
	}
	if got := p.OutputLength("active", "m", 0, 0); got > 12 {
		t.Fatalf("predicted %d tokens for the active caller, want about 10", got)
	}
}
