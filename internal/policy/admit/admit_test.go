package admit

import (
	"testing"
	"time"
)

// TestDecide guards against two failures when one caller floods the queue:
// refusing other callers that stay within their share, and refusing the flood
// too late.
func TestDecide(t *testing.T) {
	cases := []struct {
		name                          string
		queueWait, callerWait, waited time.Duration
		accept                        bool
		retryAfter                    time.Duration
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
			got := Decide(Input{QueueWait: c.queueWait, CallerWait: c.callerWait, Waited: c.waited, QueueLimit: 10 * time.Second})
			if got.Accept != c.accept || got.RetryAfter != c.retryAfter {
				t.Fatalf("Decide returned %+v, want Accept %v and RetryAfter %v", got, c.accept, c.retryAfter)
			}
		})
	}
}
