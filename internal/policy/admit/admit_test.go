package admit

import (
	"testing"
	"time"
)

// Guards against refusals of callers within their share because of a flood, and
// against late refusals of the flood.
func TestDecide(t *testing.T) {
	base := Input{Work: 200 * time.Millisecond, Target: time.Second, QueueLimit: 10 * time.Second, UsageOverShare: 0.5}
	cases := []struct {
		name       string
		wait, own  time.Duration
		usage      float64
		accept     bool
		retryAfter time.Duration
	}{
		{"idle", 0, 0, 0.5, true, 0},
		{"idle flood", 0, 0, 9, true, 0},
		{"long queue of others", time.Minute, time.Second, 0.5, true, 0},
		{"own backlog over the limit", time.Minute, 12 * time.Second, 1, false, 2 * time.Second},
		{"flood that would miss the target", 2 * time.Second, time.Second, 9, false, 1200 * time.Millisecond},
		{"flood, barely late", 900 * time.Millisecond, 900 * time.Millisecond, 9, false, minRetryAfter},
		{"short burst beyond the share", 2 * time.Second, time.Second, 1.2, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := base
			in.Wait, in.CallerWait, in.UsageOverShare = c.wait, c.own, c.usage
			if got := Decide(in); got.Accept != c.accept || got.RetryAfter != c.retryAfter {
				t.Fatalf("got %+v, want accept %v, retry after %v", got, c.accept, c.retryAfter)
			}
		})
	}
}
