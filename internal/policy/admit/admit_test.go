package admit

import (
	"testing"
	"time"
)

// Guards against refusals of callers within their share because of a flood, and
// against late refusals of the flood.
func TestDecide(t *testing.T) {
	cases := []struct {
		name              string
		wait, own, waited time.Duration
		accept            bool
		retryAfter        time.Duration
	}{
		{"idle", 0, 0, 0, true, 0},
		{"long queue of others", time.Minute, time.Second, 0, true, 0},
		{"own backlog, short queue", time.Second, time.Minute, 0, true, 0},
		{"flood", time.Minute, 12 * time.Second, 0, false, 2 * time.Second},
		{"barely too long", 10100 * time.Millisecond, time.Minute, 0, false, minRetryAfter},
		{"waited elsewhere", 4 * time.Second, 4 * time.Second, 7 * time.Second, false, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Decide(Input{QueueWait: c.wait, CallerWait: c.own, Waited: c.waited, QueueLimit: 10 * time.Second})
			if got.Accept != c.accept || got.RetryAfter != c.retryAfter {
				t.Fatalf("got %+v, want accept %v, retry after %v", got, c.accept, c.retryAfter)
			}
		})
	}
}
