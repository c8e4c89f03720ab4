package rebalance

import (
	"testing"
	"time"
)

// Guards against roles that flap, empty a pool or move without need.
func TestWanted(t *testing.T) {
	cases := []struct {
		name            string
		prefill, decode Pool
		want            Move
		ok              bool
	}{
		{"balanced", Pool{4, 1, 0.95}, Pool{5, 1, 0.95}, Move{}, false},
		{"prefill short", Pool{3, 1, 1.3}, Pool{6, 1, 0.6}, Move{Decode, Prefill}, true},
		{"decode short", Pool{6, 1, 0.4}, Pool{3, 1, 1.2}, Move{Prefill, Decode}, true},
		{"at the floor", Pool{3, 1, 1.3}, Pool{6, 6, 0.6}, Move{}, false},
		{"never the last server", Pool{3, 0, 1.3}, Pool{1, 0, 0.1}, Move{}, false},
		{"no need below the threshold", Pool{3, 1, 0.8}, Pool{6, 1, 0.1}, Move{}, false},
		{"the other pool would suffer", Pool{3, 1, 1.1}, Pool{3, 1, 0.8}, Move{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, ok := New(DefaultOptions()).wanted(c.prefill, c.decode)
			if ok != c.ok || ok && m != c.want {
				t.Fatalf("got %+v, %v; want %+v, %v", m, ok, c.want, c.ok)
			}
		})
	}
}

// Guards against moves on short peaks and against moves in quick succession.
func TestHoldAndInterval(t *testing.T) {
	b := New(DefaultOptions())
	high, low := Pool{3, 1, 1.5}, Pool{9, 1, 0.3}
	var moves []time.Duration
	for s := range 150 {
		now := time.Duration(s) * time.Second
		p := high
		if s == 5 {
			p.Pressure = 0.3
		}
		if _, ok := b.NextMove(now, p, low); ok {
			moves = append(moves, now)
		}
	}
	want := []time.Duration{16 * time.Second, 76 * time.Second, 136 * time.Second}
	if len(moves) != len(want) {
		t.Fatalf("moves at %v, want %v", moves, want)
	}
	for i := range want {
		if moves[i] != want[i] {
			t.Fatalf("moves at %v, want %v", moves, want)
		}
	}
}
