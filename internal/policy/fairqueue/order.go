package fairqueue

import (
	"math"
	"slices"
	"time"
)

// class orders items within the slack; lower goes first.
type class int

const (
	aged class = iota
	onTime
	late
	none
)

func (it *Item) class(now time.Duration) class {
	switch {
	case now <= it.Deadline:
		return onTime
	case now >= it.Deadline+it.MaxYield:
		return aged
	default:
		return late
	}
}

// blocks reports whether an aged item that does not fit still holds back others.
func (it *Item) blocks(now time.Duration) bool {
	return it.MaxYield > 0 && now < it.Deadline+2*it.MaxYield
}

// best finds the next item of the callers up to limit. blocked tells that an
// aged item waits for room.
func (q *Queue) best(now time.Duration, limit float64, fits func(*Item) bool) (owner *caller, it *Item, blocked bool) {
	found := none
	agedLimit := q.lowestStart() + q.slack()
	for _, c := range q.active {
		if c.start > agedLimit && c.level > limit {
			continue
		}
		cand, k, wait := c.first(now, fits)
		if wait && c.start <= agedLimit {
			return nil, nil, true
		}
		if k != aged && c.level > limit || k == aged && c.start > agedLimit {
			continue
		}
		if k < found || k == found && k != none && c.before(owner) {
			owner, it, found = c, cand, k
		}
	}
	return owner, it, false
}

// before orders callers of equal class by service per share, then by arrival.
func (c *caller) before(other *caller) bool {
	if c.level != other.level {
		return c.level < other.level
	}
	return c.items[0].seq < other.items[0].seq
}

// first returns the caller's next item: aged ones in order of arrival, then
// those on time by deadline, then late ones in order of arrival.
func (c *caller) first(now time.Duration, fits func(*Item) bool) (best *Item, found class, blocked bool) {
	found = none
	for _, it := range c.items {
		k := it.class(now)
		if k > found || k == found && !(k == onTime && it.Deadline < best.Deadline) {
			continue
		}
		if fits != nil && !fits(it) {
			if k == aged && it.blocks(now) {
				return nil, none, true
			}
			continue
		}
		best, found = it, k
	}
	return best, found, false
}

func (q *Queue) slack() float64 {
	total := 0.0
	for _, c := range q.active {
		total += c.share
	}
	if total == 0 {
		return 0
	}
	return q.Slack * q.meanCost * float64(len(q.active)) / total
}

// measure computes the service per share that each waiting caller has once its
// next item is served. Without that item, callers with a small share were ahead
// by it on average. Aged items are compared without it, so that a large one is
// not held against its caller.
func (q *Queue) measure(now time.Duration) {
	for _, c := range q.active {
		c.start = c.total(now) / c.share
		c.level = c.start + c.cost/float64(len(c.items))/c.share
	}
}

func (c *caller) total(now time.Duration) float64 {
	return c.served.At(now) + c.elsewhere.At(now)
}

func (q *Queue) lowestStart() float64 {
	lowest := math.Inf(1)
	for _, c := range q.active {
		lowest = min(lowest, c.start)
	}
	return lowest
}

func (q *Queue) lowestAbove(limit float64) float64 {
	lowest := math.Inf(1)
	for _, c := range q.active {
		if c.level > limit {
			lowest = min(lowest, c.level)
		}
	}
	return lowest
}

func (q *Queue) caller(name string) *caller {
	c, ok := q.callers[name]
	if !ok {
		c = &caller{name: name, share: 1, reports: map[string]Usage{}}
		q.callers[name] = c
		q.known = append(q.known, c)
	}
	return c
}

// report replaces what the item's source reported earlier.
func (c *caller) report(now time.Duration, it *Item) {
	old := c.reports[it.Source]
	c.elsewhere.Add(now, it.Usage-old.At(now))
	c.reports[it.Source] = Usage{sum: it.Usage, at: now}
}

func (q *Queue) take(c *caller, it *Item) bool {
	i := slices.Index(c.items, it)
	if i < 0 {
		return false
	}
	it.queued = false
	c.items = slices.Delete(c.items, i, i+1)
	c.cost -= it.Cost
	q.cost -= it.Cost
	q.length--
	if len(c.items) == 0 {
		c.cost = 0
		c.idleAt = q.now
		q.active = slices.DeleteFunc(q.active, func(a *caller) bool { return a == c })
	}
	if q.length == 0 {
		q.cost = 0
	}
	return true
}

func (q *Queue) observe(cost float64) {
	if q.meanCost == 0 {
		q.meanCost = cost
		return
	}
	q.meanCost += meanWeight * (cost - q.meanCost)
}

// sweep forgets callers that were idle for long, so that memory is bounded by
// the recently active callers.
func (q *Queue) sweep(now time.Duration) {
	if now-q.swept < forgetAfter {
		return
	}
	q.swept = now
	q.known = slices.DeleteFunc(q.known, func(c *caller) bool {
		forget := len(c.items) == 0 && now-c.idleAt >= forgetAfter
		if forget {
			delete(q.callers, c.name)
		}
		return forget
	})
}

func decay(d time.Duration) float64 {
	return math.Exp(-float64(max(0, d)) / float64(UsageTimeConstant))
}

// Usage is a decaying sum of served cost; reporters keep one per caller.
// The zero value is empty.
type Usage struct {
	sum float64
	at  time.Duration
}

// Add records served cost; a negative cost corrects an earlier one.
func (u *Usage) Add(now time.Duration, cost float64) {
	u.sum = max(0, u.At(now)+cost)
	u.at = now
}

// At returns the usage as of now.
func (u *Usage) At(now time.Duration) float64 { return u.sum * decay(now-u.at) }
