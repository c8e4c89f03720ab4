package roles

import "testing"

// Guards the number of engines that change at once: what is missing to the best
// proportion, never more than a sixth of all, and at least one.
func TestBatchSize(t *testing.T) {
	cases := []struct {
		name            string
		demand          Demand
		prefill, decode int
		want            int
	}{
		{"small pool", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.3}, 3, 6, 1},
		{"large pool far off", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.43}, 13, 23, 6},
		{"large pool nearly right", Demand{PrefillSeconds: 0.1, DecodeSeconds: 0.43}, 8, 28, 1},
	}
	for _, c := range cases {
		if got := batchSize(c.demand, c.prefill, c.decode); got != c.want {
			t.Errorf("%s: %d engines, want %d", c.name, got, c.want)
		}
	}
}
