package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// classTimeConstant is the time constant of the decay of the counts. It covers a burst
	// and the time that its last requests wait, over which classes are to be served fairly.
	classTimeConstant = 60 * time.Second
	// starvedRatio is how often a class must be served, relative to the more urgent ones,
	// not to count as starved.
	starvedRatio = 0.25
	// starvedShare limits what starved classes get of all requests that are served, so
	// that a burst of the least urgent class does not displace the others.
	starvedShare = 0.05
	// minRefused is the number of recent refusals from which on a class can be starved.
	minRefused = 3
)

// Classes counts how many requests of each priority of one service were served and
// refused lately, at this gateway and, by their reports, at the others. Clients return to
// any gateway, and a less urgent class may use others than a more urgent one, so the counts
// of one gateway do not show how often a class is served. It is not safe for concurrent use.
// Times are durations since an arbitrary start.
type Classes struct {
	own, reported map[int]*classCounts
	// reports holds the last report of each other gateway, by priority.
	reports map[string]map[int]classCounts
}

// ClassCount is what one gateway counted of one priority.
type ClassCount struct {
	Priority                       int
	Arrived, Served, Refused, Lost float64
}

// classCounts counts the requests of one priority.
type classCounts struct {
	// arrived counts requests that were not refused before, refused all refusals, and lost
	// those after which the client is not expected to return.
	arrived, served, refused, lost decayingCount
}

// decayingCount is an exponentially decaying number of requests.
type decayingCount struct {
	sum       float64
	updatedAt time.Duration
}

// at returns the count at the given time.
func (c *decayingCount) at(now time.Duration) float64 {
	return c.sum * math.Exp(-max(0, (now-c.updatedAt).Seconds())/classTimeConstant.Seconds())
}

func (c *decayingCount) add(now time.Duration, n float64) { c.sum, c.updatedAt = c.at(now)+n, now }

// addAll adds the counts of o, times sign.
func (c *classCounts) addAll(now time.Duration, o classCounts, sign float64) {
	c.arrived.add(now, sign*o.arrived.at(now))
	c.served.add(now, sign*o.served.at(now))
	c.refused.add(now, sign*o.refused.at(now))
	c.lost.add(now, sign*o.lost.at(now))
}

// classTotal is the sum over all gateways of one priority.
type classTotal struct{ arrived, served, refused, lost float64 }

// admittedShare returns the served part of all attempts, or 1 if there were none.
func (t classTotal) admittedShare() float64 { return share(t.served, t.refused) }

// servedShare returns the served part of the requests that ended, or 1 if none ended. In a
// burst most requests are refused once and served when they return, so that refusals do not
// show which class is served less often: at its beginning, that of the class which is about to
// lose its requests can be the smaller part.
func (t classTotal) servedShare() float64 { return share(t.served, t.lost) }

func share(part, rest float64) float64 {
	if part+rest == 0 {
		return 1
	}
	return part / (part + rest)
}

// NewClasses returns an empty Classes.
func NewClasses() *Classes {
	return &Classes{own: make(map[int]*classCounts), reported: make(map[int]*classCounts), reports: make(map[string]map[int]classCounts)}
}

// countsOf returns the counts of a priority, creating them if necessary.
func countsOf(m map[int]*classCounts, priority int) *classCounts {
	counts, ok := m[priority]
	if !ok {
		counts = &classCounts{}
		m[priority] = counts
	}
	return counts
}

// total returns the sum of what all gateways counted of a priority; ok is false if no request
// of it is known.
func (c *Classes) total(now time.Duration, priority int) (t classTotal, ok bool) {
	for _, m := range []map[int]*classCounts{c.own, c.reported} {
		if counts := m[priority]; counts != nil {
			ok = true
			t.arrived += counts.arrived.at(now)
			t.served += counts.served.at(now)
			t.refused += counts.refused.at(now)
			t.lost += counts.lost.at(now)
		}
	}
	// Subtracted reports can leave a rounding error below 0.
	return classTotal{max(0, t.arrived), max(0, t.served), max(0, t.refused), max(0, t.lost)}, ok
}

// priorities returns all known priorities.
func (c *Classes) priorities() []int {
	out := slices.Collect(maps.Keys(c.own))
	for p := range c.reported {
		if c.own[p] == nil {
			out = append(out, p)
		}
	}
	return out
}

// Arrived counts a request that was not refused before.
func (c *Classes) Arrived(now time.Duration, priority int) {
	countsOf(c.own, priority).arrived.add(now, 1)
}

// Served counts a request that got its place.
func (c *Classes) Served(now time.Duration, priority int) {
	countsOf(c.own, priority).served.add(now, 1)
}

// Refused counts a refusal. It is final if the client is not expected to return.
func (c *Classes) Refused(now time.Duration, priority int, final bool) {
	counts := countsOf(c.own, priority)
	counts.refused.add(now, 1)
	if final {
		counts.lost.add(now, 1)
	}
}

// Report returns what this gateway counted, for the other gateways, by priority. Classes of
// which less than a request is left are omitted.
func (c *Classes) Report(now time.Duration) []ClassCount {
	var out []ClassCount
	for _, p := range slices.Sorted(maps.Keys(c.own)) {
		own := c.own[p]
		r := ClassCount{Priority: p, Arrived: own.arrived.at(now), Served: own.served.at(now), Refused: own.refused.at(now), Lost: own.lost.at(now)}
		if max(r.Arrived, r.Served, r.Refused) >= minBehind {
			out = append(out, r)
		}
	}
	return out
}

// Receive replaces the report of another gateway. Without a newer one, its counts decay.
func (c *Classes) Receive(now time.Duration, gateway string, report []ClassCount) {
	for p, old := range c.reports[gateway] {
		countsOf(c.reported, p).addAll(now, old, -1)
	}
	latest := make(map[int]classCounts, len(report))
	for _, r := range report {
		latest[r.Priority] = classCounts{decayingCount{r.Arrived, now}, decayingCount{r.Served, now}, decayingCount{r.Refused, now}, decayingCount{r.Lost, now}}
	}
	for p, r := range latest {
		countsOf(c.reported, p).addAll(now, r, 1)
	}
	if c.reports[gateway] = latest; len(latest) == 0 {
		delete(c.reports, gateway)
	}
}

// Starved reports whether one request of the class may go first: the class was served
// less than a quarter as often as each more urgent class, and got less than 5% of what
// was served. Such a class stays far below the more urgent ones.
func (c *Classes) Starved(now time.Duration, priority int) bool {
	// Only refusals of this gateway count: all gateways compare the same sums, so each of them
	// would let a request go first at the same time.
	local := c.own[priority]
	if local == nil || local.refused.at(now) < minRefused {
		return false
	}
	own, _ := c.total(now, priority)
	moreUrgent, served := false, 0.0
	for _, p := range c.priorities() {
		o, _ := c.total(now, p)
		served += o.served
		if p >= priority {
			continue
		}
		moreUrgent = true
		if own.admittedShare() >= starvedRatio*o.admittedShare() {
			return false
		}
	}
	return moreUrgent && own.served < starvedShare*served
}

// behindMargin is how much more often a class is to be served than a less urgent one while
// both are refused requests, as a part of all. After a burst of the more urgent class the
// other one recovers; with 0.2 it ends up 8 in 100 more often served in TestLoads.
const behindMargin = 0.3

// Behind reports whether late requests of the class may overtake less urgent ones that
// can meet their target: the class was refused requests, and is not served much more
// often than a less urgent one of which requests arrive. Otherwise they yield, since an
// answer in time is worth more.
func (c *Classes) Behind(now time.Duration, priority int) bool {
	own, ok := c.total(now, priority)
	if !ok || own.refused < minBehind {
		return false
	}
	for _, p := range c.priorities() {
		if p <= priority {
			continue
		}
		if o, _ := c.total(now, p); o.arrived >= minBehind && own.servedShare() < o.servedShare()+behindMargin {
			return true
		}
	}
	return false
}

// minBehind is the number of recent requests from which on classes are compared. Counts
// decay, so that one recent request is a little less than 1.
const minBehind = 0.5
