// Package fairqueue orders waiting requests by weighted fair queueing. Service
// is measured in cost tokens per caller.
//
// The caller with the lowest recent usage per share is served first. Usage
// covers what the caller was served at this upstream and, according to the
// reports, at other upstreams; it decays with UsageTimeConstant. A caller that
// queues at few upstreams is therefore not at a disadvantage to one that floods
// all of them. Callers whose usage per share differs by less than Slack count
// as equal. Among those, items that can still meet their deadline precede late
// ones, and items that have yielded for MaxYield precede both. Lateness and age
// therefore never let a caller exceed its share by more than the slack.
//
// A Queue is not safe for concurrent use. Times are durations since an
// arbitrary start that is the same for all calls.
package fairqueue

import (
	"math"
	"time"
)

const (
	// UsageTimeConstant is the time constant of the exponential decay of usage,
	// in this package and in the processes that report usage.
	UsageTimeConstant = 10 * time.Second
	// DefaultSlack is the default of Queue.Slack.
	DefaultSlack = 1.0
	// meanCostWeight is the weight of a new item in the moving mean of item
	// costs.
	meanCostWeight = 0.02
	// idleRetention is how long an idle caller is kept. By then its usage has
	// decayed to 5%, so that forgetting it hardly changes the order.
	idleRetention = 3 * UsageTimeConstant
)

// Item is a waiting request.
type Item struct {
	// Caller is the account that is charged for the request.
	Caller string
	// Source is the process that reports Usage. Each report replaces the
	// previous one of the same source.
	Source string
	// Share is the weight of the caller; a value that is not positive counts as
	// 1.
	Share float64
	// Cost is the estimated cost in tokens. Queue.AdjustCharge corrects it
	// later.
	Cost float64
	// Usage is the recent usage of the caller, in cost tokens, through Source
	// at other upstreams. The type Usage computes it.
	Usage float64
	// Deadline is the latest time of Pop at which the request can still meet
	// its target.
	Deadline time.Duration
	// MaxYield is how long after Deadline the item yields to items that can
	// still meet their own deadlines. After that it is aged and precedes them.
	// 0 means that it does not yield.
	MaxYield time.Duration
	// Value is not used by the queue; it holds whatever the user of the queue
	// attaches.
	Value any

	queued bool
	seq    uint64
}

// caller is the state of one caller, with or without waiting items.
type caller struct {
	name            string
	share           float64
	items           []*Item
	queuedCost      float64
	idleAt          time.Duration
	localUsage      Usage            // at this upstream
	remoteUsage     Usage            // at other upstreams; the sum of the reports
	reportsBySource map[string]Usage // latest report of each source
	currentLevel    float64          // see updateLevels
	projectedLevel  float64          // see updateLevels
}

// Queue is a weighted fair queue. New creates one.
type Queue struct {
	// Slack is the difference in usage per unit of share below which callers
	// count as equal, in units of the mean cost of an item. New sets it to
	// DefaultSlack.
	Slack float64
	// Backfill allows items of callers beyond the slack to be served when no
	// item within the slack fits. This uses more of the engine but is less
	// fair: a large item may wait indefinitely, because the free capacity that
	// it needs never accumulates.
	Backfill bool

	callers        map[string]*caller
	knownCallers   []*caller // all in callers, in the order in which they were added
	waitingCallers []*caller // those with waiting items
	queuedCost     float64
	meanCost       float64
	length         int
	seq            uint64
	lastSweep      time.Duration
	lastTime       time.Duration // time of the last Push or Pop
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{Slack: DefaultSlack, callers: map[string]*caller{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Cost returns the total cost of the waiting items.
func (q *Queue) Cost() float64 { return q.queuedCost }

// Push adds an item. It does nothing if the item is already in a queue.
func (q *Queue) Push(now time.Duration, it *Item) {
	if it.queued {
		return
	}
	q.lastTime = now
	q.forgetIdleCallers(now)
	c := q.callerByName(it.Caller)
	c.share = positiveShare(it.Share)
	if len(c.items) == 0 {
		q.waitingCallers = append(q.waitingCallers, c)
	}
	c.applyReport(now, it)
	q.seq++
	it.seq = q.seq
	it.queued = true
	c.items = append(c.items, it)
	c.queuedCost += it.Cost
	q.queuedCost += it.Cost
	q.length++
	q.observeCost(it.Cost)
}

// Pop removes and returns the next item for which fits returns true, or nil if
// there is none. A nil fits accepts every item. An aged item that does not fit
// keeps the other items waiting for at most another MaxYield, so that small
// requests cannot overtake a large one indefinitely.
func (q *Queue) Pop(now time.Duration, fits func(*Item) bool) *Item {
	q.lastTime = now
	q.updateLevels(now)
	limit := q.lowestProjectedLevelAbove(math.Inf(-1)) + q.slack()
	c, it, blocked := q.selectItem(now, limit, fits)
	for it == nil && !blocked && q.Backfill {
		limit = q.lowestProjectedLevelAbove(limit)
		if math.IsInf(limit, 1) {
			return nil
		}
		c, it, blocked = q.selectItem(now, limit, fits)
	}
	if it == nil || blocked {
		return nil
	}
	c.localUsage.Add(now, it.Cost)
	q.removeItem(c, it)
	return it
}

// Remove removes an item without charging its caller. It reports whether the
// item was in the queue.
func (q *Queue) Remove(it *Item) bool {
	c, ok := q.callers[it.Caller]
	if !ok || !it.queued {
		return false
	}
	return q.removeItem(c, it)
}

// AdjustCharge corrects the usage of a caller once the actual cost of a request
// is known: delta is the actual cost less the estimate.
func (q *Queue) AdjustCharge(name string, delta float64) {
	if c, ok := q.callers[name]; ok {
		c.localUsage.Add(q.lastTime, delta)
	}
}

// RelativeUsage compares the recent usage of a caller with its share of the
// usage of all recently active callers: 1 means that it got exactly its share.
func (q *Queue) RelativeUsage(now time.Duration, name string) float64 {
	var served, shares, own float64
	for _, c := range q.knownCallers {
		usage := c.totalUsage(now)
		if usage < 1 && len(c.items) == 0 {
			continue
		}
		served += usage
		shares += c.share
		if c.name == name {
			own = usage / c.share
		}
	}
	if served == 0 {
		return 0
	}
	return own * shares / served
}

// Wait estimates the time until an additional item of this cost is done if the
// queue is served at rate cost tokens per second.
func (q *Queue) Wait(cost, rate float64) time.Duration {
	return seconds((q.queuedCost + cost) / rate)
}

// CallerWait estimates the time until an additional item of this caller is
// done. The caller is assumed to work off its own backlog at its share of the
// rate. The result is at most Wait.
func (q *Queue) CallerWait(name string, share, cost, rate float64) time.Duration {
	share = positiveShare(share)
	total, own := share, 0.0
	for _, c := range q.waitingCallers {
		if c.name == name {
			own = c.queuedCost
			continue
		}
		total += c.share
	}
	return min(seconds((own+cost)*total/share/rate), q.Wait(cost, rate))
}

// Each calls f for every waiting item, caller by caller, in order of arrival
// for each caller.
func (q *Queue) Each(f func(*Item)) {
	for _, c := range q.waitingCallers {
		for _, it := range c.items {
			f(it)
		}
	}
}

// seconds converts seconds to a duration; values that are too large or not a
// number become the longest duration that it returns.
func seconds(s float64) time.Duration {
	const longest = float64(math.MaxInt64 / 2)
	ns := s * float64(time.Second)
	if !(ns < longest) {
		return time.Duration(longest)
	}
	return time.Duration(ns)
}

// positiveShare returns the share, or 1 if it is not positive.
func positiveShare(share float64) float64 {
	if share > 0 {
		return share
	}
	return 1
}
