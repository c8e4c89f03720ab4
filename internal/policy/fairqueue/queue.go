// Package fairqueue orders waiting requests by weighted fair queueing in cost
// tokens per caller.
//
// Each caller has a virtual time: the cost it was served divided by its share,
// here and, as far as the reports tell, elsewhere. The caller with the lowest
// virtual time goes first. A caller that was idle starts at the queue's virtual
// time, so idleness earns no credit. Callers whose virtual times differ by less
// than Slack count as equal; among those, items that can still meet their
// deadline precede late ones, and items that yielded for MaxYield precede both.
// Lateness and age therefore never let a caller exceed its share by more than
// the slack.
//
// A Queue is not safe for concurrent use. Times are durations since an
// arbitrary start that is the same for all calls.
package fairqueue

import (
	"math"
	"time"
)

const (
	// UsageTau is the time constant with which reported usage decays. Reporters
	// must use it too, because the queue derives the service between two reports
	// from their difference.
	UsageTau = 10 * time.Second
	// DefaultSlack is the difference in served cost per unit of share, in units
	// of the mean cost of an item, below which callers count as equal.
	DefaultSlack = 1.0
	// meanWeight is the weight of a new item in the mean cost.
	meanWeight = 0.02
	// forgetAfter is how long an idle caller is remembered; its lead has decayed
	// to 5% by then.
	forgetAfter = 3 * UsageTau
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

type report struct {
	usage float64
	at    time.Duration
}

type caller struct {
	name    string
	share   float64
	virtual float64
	items   []*Item
	cost    float64
	idleAt  time.Duration
	reports map[string]report
	served  Usage
}

// Queue is a weighted fair queue. Use New.
type Queue struct {
	// Slack overrides DefaultSlack; see the package comment.
	Slack float64

	callers  map[string]*caller
	known    []*caller // all callers, in order of their first item
	active   []*caller // those with items
	virtual  float64
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
		q.activate(now, c)
	}
	c.virtual += c.servedElsewhere(now, it) / c.share
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
	floor := q.lowest()
	limit := floor + q.slack()
	for len(q.active) > 0 {
		c, it, blocked := q.best(now, limit, fits)
		if blocked {
			return nil
		}
		if it != nil {
			q.virtual = max(q.virtual, floor)
			c.virtual += it.Cost / c.share
			c.served.Add(now, it.Cost)
			q.take(c, it)
			return it
		}
		next := q.lowestAbove(limit)
		if math.IsInf(next, 1) {
			return nil
		}
		limit = next + q.slack()
	}
	return nil
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

// Charge corrects what the caller was charged once the real cost is known:
// delta is the real cost less the estimate.
func (q *Queue) Charge(name string, delta float64) {
	if c, ok := q.callers[name]; ok {
		c.virtual += delta / c.share
		c.served.Add(q.now, delta)
	}
}

// OverShare returns the recent service of a caller here, relative to its share
// of what all recently active callers were served; 1 is exactly its share.
func (q *Queue) OverShare(now time.Duration, name string) float64 {
	var served, shares, own float64
	for _, c := range q.known {
		u := c.served.At(now)
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

// Lead returns how far the caller's service is ahead of the queue's virtual
// time, in cost tokens. Positive means that it had more than its share.
func (q *Queue) Lead(name string) float64 {
	c, ok := q.callers[name]
	if !ok {
		return 0
	}
	return (c.virtual - max(q.virtual, q.lowest())) * c.share
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
