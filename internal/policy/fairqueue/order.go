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
	noClass
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

// blocksOthers reports whether an aged item that does not fit still holds back others.
func (it *Item) blocksOthers(now time.Duration) bool {
	return it.MaxYield > 0 && now < it.Deadline+2*it.MaxYield
}

// selectItem finds the next item of the callers up to limit. blocked tells that an
// aged item waits for room.
func (q *Queue) selectItem(now time.Duration, projectedLimit float64, fits func(*Item) bool) (owner *caller, it *Item, blocked bool) {
	bestClass := noClass
	currentLimit := q.lowestCurrentLevel() + q.slack()
	for _, c := range q.waitingCallers {
		if c.currentLevel > currentLimit && c.projectedLevel > projectedLimit {
			continue
		}
		candidate, candidateClass, waitsForRoom := c.firstItem(now, fits)
		if waitsForRoom && c.currentLevel <= currentLimit {
			return nil, nil, true
		}
		if candidateClass != aged && c.projectedLevel > projectedLimit || candidateClass == aged && c.currentLevel > currentLimit {
			continue
		}
		if candidateClass < bestClass || candidateClass == bestClass && candidateClass != noClass && c.precedes(owner) {
			owner, it, bestClass = c, candidate, candidateClass
		}
	}
	return owner, it, false
}

// precedes orders callers of equal class by service per share, then by arrival.
func (c *caller) precedes(other *caller) bool {
	if c.projectedLevel != other.projectedLevel {
		return c.projectedLevel < other.projectedLevel
	}
	return c.items[0].seq < other.items[0].seq
}

// firstItem returns the caller's next item: aged ones in order of arrival, then
// those on time by deadline, then late ones in order of arrival.
func (c *caller) firstItem(now time.Duration, fits func(*Item) bool) (best *Item, found class, blocked bool) {
	found = noClass
	for _, it := range c.items {
		itemClass := it.class(now)
		if itemClass > found || itemClass == found && !(itemClass == onTime && it.Deadline < best.Deadline) {
			continue
		}
		if fits != nil && !fits(it) {
			if itemClass == aged && it.blocksOthers(now) {
				return nil, noClass, true
			}
			continue
		}
		best, found = it, itemClass
	}
	return best, found, false
}

func (q *Queue) slack() float64 {
	total := 0.0
	for _, c := range q.waitingCallers {
		total += c.share
	}
	if total == 0 {
		return 0
	}
	return q.Slack * q.meanCost * float64(len(q.waitingCallers)) / total
}

// updateLevels computes the service per share that each waiting caller has once its
// next item is served. Without that item, callers with a small share were ahead
// by it on average. Aged items are compared without it, so that a large one is
// not held against its caller.
func (q *Queue) updateLevels(now time.Duration) {
	for _, c := range q.waitingCallers {
		c.currentLevel = c.totalUsage(now) / c.share
		c.projectedLevel = c.currentLevel + c.queuedCost/float64(len(c.items))/c.share
	}
}

func (c *caller) totalUsage(now time.Duration) float64 {
	return c.localUsage.At(now) + c.remoteUsage.At(now)
}

func (q *Queue) lowestCurrentLevel() float64 {
	lowest := math.Inf(1)
	for _, c := range q.waitingCallers {
		lowest = min(lowest, c.currentLevel)
	}
	return lowest
}

func (q *Queue) lowestProjectedLevelAbove(limit float64) float64 {
	lowest := math.Inf(1)
	for _, c := range q.waitingCallers {
		if c.projectedLevel > limit {
			lowest = min(lowest, c.projectedLevel)
		}
	}
	return lowest
}

func (q *Queue) callerByName(name string) *caller {
	c, ok := q.callers[name]
	if !ok {
		c = &caller{name: name, share: 1, reportsBySource: map[string]Usage{}}
		q.callers[name] = c
		q.knownCallers = append(q.knownCallers, c)
	}
	return c
}

// applyReport replaces what the item's source reported earlier.
func (c *caller) applyReport(now time.Duration, it *Item) {
	old := c.reportsBySource[it.Source]
	c.remoteUsage.Add(now, it.Usage-old.At(now))
	c.reportsBySource[it.Source] = Usage{sum: it.Usage, updatedAt: now}
}

func (q *Queue) removeItem(c *caller, it *Item) bool {
	i := slices.Index(c.items, it)
	if i < 0 {
		return false
	}
	it.queued = false
	c.items = slices.Delete(c.items, i, i+1)
	c.queuedCost -= it.Cost
	q.queuedCost -= it.Cost
	q.length--
	if len(c.items) == 0 {
		c.queuedCost = 0
		c.idleAt = q.lastTime
		q.waitingCallers = slices.DeleteFunc(q.waitingCallers, func(a *caller) bool { return a == c })
	}
	if q.length == 0 {
		q.queuedCost = 0
	}
	return true
}

func (q *Queue) observeCost(cost float64) {
	if q.meanCost == 0 {
		q.meanCost = cost
		return
	}
	q.meanCost += meanCostWeight * (cost - q.meanCost)
}

// forgetIdleCallers forgets callers that were idle for long, so that memory is bounded by
// the recently active callers.
func (q *Queue) forgetIdleCallers(now time.Duration) {
	if now-q.lastSweep < idleRetention {
		return
	}
	q.lastSweep = now
	q.knownCallers = slices.DeleteFunc(q.knownCallers, func(c *caller) bool {
		forget := len(c.items) == 0 && now-c.idleAt >= idleRetention
		if forget {
			delete(q.callers, c.name)
		}
		return forget
	})
}

func decayFactor(d time.Duration) float64 {
	return math.Exp(-float64(max(0, d)) / float64(UsageTimeConstant))
}

// Usage is a decaying sum of served cost; reporters keep one per caller.
// The zero value is empty.
type Usage struct {
	sum       float64
	updatedAt time.Duration
}

// Add records served cost; a negative cost corrects an earlier one.
func (u *Usage) Add(now time.Duration, cost float64) {
	u.sum = max(0, u.At(now)+cost)
	u.updatedAt = now
}

// At returns the usage as of now.
func (u *Usage) At(now time.Duration) float64 { return u.sum * decayFactor(now-u.updatedAt) }
