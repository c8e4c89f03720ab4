package reserve

import (
	"testing"
	"time"
)

// Guards against grants that the engine cannot keep and against idle slots.
func TestForecast(t *testing.T) {
	const step = 40 * time.Millisecond
	running := []Stream{{RemainingTokens: 100, Chunks: 1}, {RemainingTokens: 8, Chunks: 1}, {RemainingTokens: -3, Chunks: 2}}
	cases := []struct {
		name         string
		need         Request
		running      []Stream
		anticipation float64
		freeIn       time.Duration
		ok           bool
	}{
		{"free now", Request{Chunks: 2, FreeChunks: 2, FreeSlots: 1}, running, 0, 0, true},
		{"no slot, no anticipation", Request{Chunks: 1, FreeChunks: 9, Prefill: time.Hour}, running, 0, 400 * time.Millisecond, false},
		{"slot frees during prefill", Request{Chunks: 1, FreeChunks: 9, Prefill: 500 * time.Millisecond}, running, 1, 400 * time.Millisecond, true},
		{"half anticipation is too short", Request{Chunks: 1, FreeChunks: 9, Prefill: 500 * time.Millisecond}, running, 0.5, 400 * time.Millisecond, false},
		{"memory needs two ends", Request{Chunks: 3, FreeSlots: 1, Prefill: 3 * time.Second}, running, 1, 2560 * time.Millisecond, true},
		{"a stream that has not started ends later", Request{Chunks: 1, Prefill: time.Second},
			[]Stream{{RemainingTokens: 8, Chunks: 1, StartsAt: 11 * time.Second}}, 1, 1400 * time.Millisecond, false},
		{"earlier grants use up what frees", Request{Chunks: 1, FreeChunks: 9, FreeSlots: -1, Prefill: 3 * time.Second}, running, 1, 2560 * time.Millisecond, true},
		{"never", Request{Chunks: 99, FreeSlots: 1, Prefill: time.Hour}, running, 1, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			freeIn, ok := ForecastGrant(c.running, 10*time.Second, step, c.need, c.anticipation)
			if freeIn != c.freeIn || ok != c.ok {
				t.Fatalf("got %v, %v; want %v, %v", freeIn, ok, c.freeIn, c.ok)
			}
		})
	}
}
