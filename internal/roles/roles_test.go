package roles

import "testing"

// TestBatchSize checks the number of engines that change at once: as many as
// are missing for the ideal proportion, at most a quarter of all, and at least
// one.
func TestBatchSize(t *testing.T) {
	cases := []struct {
		name            string
		demand          Demand
		prefill, decode int
		want            int
	}{
		{"small pool", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.3}, 3, 6, 1},
		{"large pool far off", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.43}, 13, 23, 6},
		{"large pool, half of it wrong", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.43}, 24, 16, 10},
		{"large pool nearly right", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.43}, 8, 28, 1},
	}
	for _, c := range cases {
		if got := batchSize(c.demand, c.prefill, c.decode); got != c.want {
			t.Errorf("%s: batch of %d engines, want %d", c.name, got, c.want)
		}
	}
}
