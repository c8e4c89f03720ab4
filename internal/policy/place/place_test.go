package place

import "testing"

// Guards the choice of an upstream for plain calls.
func TestPlain(t *testing.T) {
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none allowed", []Candidate{{Excluded: true}}, -1},
		{"the near one", []Candidate{{Slots: 6}, {Slots: 6, SameDomain: true}}, 1},
		{"the idle one although it is far", []Candidate{{Slots: 6, SameDomain: true, InFlight: 5}, {Slots: 6}}, 1},
		{"not the failing one", []Candidate{{Slots: 6, SameDomain: true, FailureShare: 0.5}, {Slots: 6, InFlight: 2}}, 1},
		{"not the slow one", []Candidate{{Slots: 6, SameDomain: true, LatencyMs: 300, InFlight: 1}, {Slots: 6, LatencyMs: 30, InFlight: 1}}, 1},
		{"one to avoid only if there is no other", []Candidate{{Slots: 6, Avoid: true, SameDomain: true}, {Excluded: true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.4, 0.99} {
				if got := Select(c.candidates, draw); got != c.want {
					t.Errorf("draw %.2f: candidate %d, want %d", draw, got, c.want)
				}
			}
		})
	}
}
