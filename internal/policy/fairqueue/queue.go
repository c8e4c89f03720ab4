// Package fairqueue orders waiting requests by weighted fair queueing in cost
// tokens per caller.
//
// The caller with the lowest recent service per share goes first. Recent
// service is what the caller was served here and, as far as the reports tell,
// elsewhere, decayed with UsageTau. A caller that waits at few upstreams is
// therefore not at a disadvantage to one that floods all of them. Callers whose
// service per share differs by less than Slack count as equal; among those,
// items that can still meet their deadline precede late ones, and items that
// yielded for MaxYield precede both. Lateness and age therefore never let a
// caller exceed its share by more than the slack.
//
// A Queue is not safe for concurrent use. Times are durations since an
// arbitrary start that is the same for all calls.
package fairqueue

import (
	"math"
	"time"
)

const (
	// UsageTimeConstant is the time constant with which usage decays, here and at the
	// reporters.
	UsageTimeConstant = 10 * time.Second
	// DefaultSlack is the difference in served cost per unit of share, in units
	// of the mean cost of an item, below which callers count as equal.
	DefaultSlack = 1.0
	// meanWeight is the weight of a new item in the mean cost.
	meanWeight = 0.02
	// forgetAfter is how long an idle caller is remembered; its lead has decayed
	// to 5% by then.
	forgetAfter = 3 * UsageTimeConstant
)

// Item is a waiting request.
type Item struct {
	// Caller is the account that is charged.
	Caller string
	// Source is the process that reports Usage; usage is tracked per source.
	Source string
	// Share is the caller's weight; values that are not positive count as 1.
	Share float64
	// Cost is the estimated cost in tokens. See Queue.Charge for corrections.
	Cost float64
	// Usage is the cost in tokens that the caller was recently served through
	// Source at other upstreams, decayed with UsageTau (see the type Usage).
	Usage float64
	// Deadline is the latest time of Pop at which the request still meets its target.
	Deadline time.Duration
	// MaxYield is how long after Deadline the item yields to items that can
	// still meet theirs. 0 means that it does not yield.
	MaxYield time.Duration
	// Value belongs to the user of the queue.
	Value any

	queued bool
	seq    uint64
}

type caller struct {
	name      string
	share     float64
	items     []*Item
	cost      float64
	idleAt    time.Duration
	served    Usage            // here
	elsewhere Usage            // sum of the reports
	reports   map[string]Usage // by source
	start     float64          // see measure
	level     float64          // see measure
}

// Queue is a weighted fair queue. Use New.
type Queue struct {
	// Slack overrides DefaultSlack; see the package comment.
	Slack float64
	// Backfill lets items of callers beyond the slack go first when nothing
	// within it fits. It uses more of the engine at the price of fairness: room
	// for a large item never accumulates.
	Backfill bool

	callers  map[string]*caller
	known    []*caller // all callers, in order of their first item
	active   []*caller // those with items
	cost     float64
	meanCost float64
	length   int
	seq      uint64
	swept    time.Duration
	now      time.Duration // of the last call that told the time
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{Slack: DefaultSlack, callers: map[string]*caller{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Cost returns the total cost of the waiting items.
func (q *Queue) Cost() float64 { return q.cost }

// Push adds an item. An item that already waits in a queue is left as it is.
func (q *Queue) Push(now time.Duration, it *Item) {
	if it.queued {
		return
	}
	q.now = now
	q.sweep(now)
	c := q.caller(it.Caller)
	c.share = positive(it.Share)
	if len(c.items) == 0 {
		q.active = append(q.active, c)
	}
	c.report(now, it)
	q.seq++
	it.seq = q.seq
	it.queued = true
	c.items = append(c.items, it)
	c.cost += it.Cost
	q.cost += it.Cost
	q.length++
	q.observe(it.Cost)
}

// Pop removes and returns the next item that fits, or nil. A nil fits accepts
// every item. An item that waited past its deadline by MaxYield and does not
// fit holds the others back for at most MaxYield more, so that a large request
// is not overtaken by small ones for ever.
func (q *Queue) Pop(now time.Duration, fits func(*Item) bool) *Item {
	q.now = now
	q.measure(now)
	limit := q.lowestAbove(math.Inf(-1)) + q.slack()
	c, it, blocked := q.best(now, limit, fits)
	for it == nil && !blocked && q.Backfill {
		limit = q.lowestAbove(limit)
		if math.IsInf(limit, 1) {
			return nil
		}
		c, it, blocked = q.best(now, limit, fits)
	}
	if it == nil || blocked {
		return nil
	}
	c.served.Add(now, it.Cost)
	q.take(c, it)
	return it
}

// Remove takes an item out without charging its caller. It reports whether the
// item was waiting.
func (q *Queue) Remove(it *Item) bool {
	c, ok := q.callers[it.Caller]
	if !ok || !it.queued {
		return false
	}
	return q.take(c, it)
}

// AdjustCharge corrects what the caller was charged once the real cost is known:
// delta is the real cost less the estimate.
func (q *Queue) AdjustCharge(name string, delta float64) {
	if c, ok := q.callers[name]; ok {
		c.served.Add(q.now, delta)
	}
}

// RelativeUsage returns the recent service of a caller relative to its share of
// what all recently active callers were served; 1 is exactly its share.
func (q *Queue) RelativeUsage(now time.Duration, name string) float64 {
	var served, shares, own float64
	for _, c := range q.known {
		u := c.total(now)
		if u < 1 && len(c.items) == 0 {
			continue
		}
		served += u
		shares += c.share
		if c.name == name {
			own = u / c.share
		}
	}
	if served == 0 {
		return 0
	}
	return own * shares / served
}

// Wait estimates the time until an additional item with this cost is done when
// the queue is served at rate cost tokens per second.
func (q *Queue) Wait(cost, rate float64) time.Duration {
	return seconds((q.cost + cost) / rate)
}

// CallerWait estimates the wait of an additional item of one caller: its own
// backlog at its share of the rate, but at most the whole queue's.
func (q *Queue) CallerWait(name string, share, cost, rate float64) time.Duration {
	share = positive(share)
	total, own := share, 0.0
	for _, c := range q.active {
		if c.name == name {
			own = c.cost
			continue
		}
		total += c.share
	}
	return min(seconds((own+cost)*total/share/rate), q.Wait(cost, rate))
}

// Each calls f for every waiting item, caller by caller in order of arrival.
func (q *Queue) Each(f func(*Item)) {
	for _, c := range q.active {
		for _, it := range c.items {
			f(it)
		}
	}
}

func seconds(s float64) time.Duration {
	const longest = float64(math.MaxInt64 / 2)
	ns := s * float64(time.Second)
	if !(ns < longest) {
		return time.Duration(longest)
	}
	return time.Duration(ns)
}

func positive(share float64) float64 {
	if share > 0 {
		return share
	}
	return 1
}
