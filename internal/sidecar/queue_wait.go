package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// queueWait estimates how long an item waits for the items before it, if the queue
// is served at the given cost per second. The estimate is the earlier backlog of
// the item's caller, served at the caller's share of the rate, but at most the time
// for all other items of the queue.
func queueWait(q *fairqueue.Queue, item *fairqueue.Item, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	costAhead, totalShares, reached := 0.0, 0.0, false
	seenCallers := make(map[string]bool)
	q.Each(func(other *fairqueue.Item) {
		if !seenCallers[other.Caller] {
			seenCallers[other.Caller] = true
			totalShares += positiveShare(other.Share)
		}
		if other == item {
			reached = true
		}
		if other.Caller == item.Caller && !reached {
			costAhead += other.Cost
		}
	})
	scaledCostAhead := costAhead * totalShares / positiveShare(item.Share)
	otherCost := max(0, q.Cost()-item.Cost)
	return time.Duration(min(scaledCostAhead, otherCost) / rate * float64(time.Second))
}
