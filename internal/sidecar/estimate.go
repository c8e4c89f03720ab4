package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// queueWait estimates how long the items before it keep it waiting when the
// queue is served at rate cost tokens per second: its caller's own backlog at
// the caller's share of the rate, but at most the whole queue.
func queueWait(q *fairqueue.Queue, it *fairqueue.Item, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	ahead, shares, passed := 0.0, 0.0, false
	callers := make(map[string]bool)
	q.Each(func(x *fairqueue.Item) {
		if !callers[x.Caller] {
			callers[x.Caller] = true
			shares += positiveShare(x.Share)
		}
		if x == it {
			passed = true
		}
		if x.Caller == it.Caller && !passed {
			ahead += x.Cost
		}
	})
	own := ahead * shares / positiveShare(it.Share)
	total := max(0, q.Cost()-it.Cost)
	return time.Duration(min(own, total) / rate * float64(time.Second))
}
