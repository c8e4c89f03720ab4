package fairqueue

import (
	"math"
	"slices"
	"time"
)

// class ranks items of callers whose service is within the slack of each other;
// items of a lower class are served first.
type class int

const (
	aged    class = iota // past the deadline by at least MaxYield
	onTime               // can still meet the deadline
	late                 // past the deadline by less than MaxYield
	noClass              // no item
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

// blocksOthers reports whether an aged item that does not fit still keeps other
// items from being served.
func (it *Item) blocksOthers(now time.Duration) bool {
	return it.MaxYield > 0 && now < it.Deadline+2*it.MaxYield
}

// selectItem returns the next item to serve and its caller, among the callers
// whose projected level is at most projectedLimit; an aged item qualifies by
// the current level of its caller instead. blocked reports that an aged item
// that does not fit keeps all others waiting.
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

// precedes orders callers whose next items have the same class: by usage per
// share, then by arrival of their first item.
func (c *caller) precedes(other *caller) bool {
	if c.projectedLevel != other.projectedLevel {
		return c.projectedLevel < other.projectedLevel
	}
	return c.items[0].seq < other.items[0].seq
}

// firstItem returns the next item of the caller that fits: aged items in order
// of arrival, then items on time by deadline, then late items in order of
// arrival. blocked reports that an aged item that does not fit keeps the others
// waiting.
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

// slack returns the difference in usage per share below which callers count as
// equal.
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

// updateLevels computes two levels of usage per share for each waiting caller.
// The current level is the usage so far. The projected level adds the mean cost
// of the waiting items of the caller, as if the next one were already served;
// without it, callers with a small share would get ahead by one item on
// average. Aged items are compared by the current level, so that the size of an
// aged item does not delay it further.
func (q *Queue) updateLevels(now time.Duration) {
	for _, c := range q.waitingCallers {
		c.currentLevel = c.totalUsage(now) / c.share
		c.projectedLevel = c.currentLevel + c.queuedCost/float64(len(c.items))/c.share
	}
}

// totalUsage returns the usage of the caller at this upstream and at all
// others.
func (c *caller) totalUsage(now time.Duration) float64 {
	return c.localUsage.At(now) + c.remoteUsage.At(now)
}

// lowestCurrentLevel returns the lowest current level of the waiting callers,
// or +Inf if there are none.
func (q *Queue) lowestCurrentLevel() float64 {
	lowest := math.Inf(1)
	for _, c := range q.waitingCallers {
		lowest = min(lowest, c.currentLevel)
	}
	return lowest
}

// lowestProjectedLevelAbove returns the lowest projected level above the limit,
// or +Inf if there is none.
func (q *Queue) lowestProjectedLevelAbove(limit float64) float64 {
	lowest := math.Inf(1)
	for _, c := range q.waitingCallers {
		if c.projectedLevel > limit {
			lowest = min(lowest, c.projectedLevel)
		}
	}
	return lowest
}

// callerByName returns the caller of this name; it adds the caller if
// necessary.
func (q *Queue) callerByName(name string) *caller {
	c, ok := q.callers[name]
	if !ok {
		c = &caller{name: name, share: 1, reportsBySource: map[string]Usage{}}
		q.callers[name] = c
		q.knownCallers = append(q.knownCallers, c)
	}
	return c
}

// applyReport replaces the usage that the source of the item reported earlier
// by the one it reports now.
func (c *caller) applyReport(now time.Duration, it *Item) {
	old := c.reportsBySource[it.Source]
	c.remoteUsage.Add(now, it.Usage-old.At(now))
	c.reportsBySource[it.Source] = Usage{sum: it.Usage, updatedAt: now}
}

// removeItem removes the item from its caller and reports whether it was there.
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

// observeCost updates the moving mean of item costs.
func (q *Queue) observeCost(cost float64) {
	if q.meanCost == 0 {
		q.meanCost = cost
		return
	}
	q.meanCost += meanCostWeight * (cost - q.meanCost)
}

// forgetIdleCallers removes callers without items that have been idle for
// idleRetention, so that memory is bounded by the number of recently active
// callers.
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

// decayFactor returns the fraction of usage that remains after d.
func decayFactor(d time.Duration) float64 {
	return math.Exp(-float64(max(0, d)) / float64(UsageTimeConstant))
}

// Usage is an exponentially decaying sum of served costs. Processes that report
// usage keep one per caller. The zero value is empty.
type Usage struct {
	sum       float64
	updatedAt time.Duration
}

// Add records a served cost; a negative cost corrects an earlier one.
func (u *Usage) Add(now time.Duration, cost float64) {
	u.sum = max(0, u.At(now)+cost)
	u.updatedAt = now
}

// At returns the usage at the given time.
func (u *Usage) At(now time.Duration) float64 { return u.sum * decayFactor(now-u.updatedAt) }
