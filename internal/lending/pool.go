// Package lending divides the capacity of resources among holders that share them, without
// a coordinator.
//
// A resource is a token bucket with a rate and a burst that all holders together may use.
// Each of n holders owns 1/n of it. A holder reports to the others what it has spent; each
// report lends its sender's part for a term to the holders that the sender hears and that
// hear all the holders that the sender hears. A holder therefore decides by the whole bucket
// while all hear each other. In a network partition, each side uses what its members own.
//
// No part is lent to two holders that do not hear each other, also if a third one hears both:
// each of the two would have to hear all that the lender hears, which includes the other.
// So a part is used only by holders that debit what the others spend, and the parts add up
// to the capacity.
//
// Loans expire on the clock of each holder; no clocks are compared. The clock must also
// advance while the process is suspended, so that all loans have expired when it continues.
//
// The package decides only. It sends no messages and knows nothing of what the units are.
package lending

import (
	"sync"
	"time"
)

// ID identifies a resource.
type ID uint64

// Capacity is the size of a resource: the token bucket that all holders together may use.
// It is a limit that is set, and unrelated to overload.Capacity, which is what upstreams
// can do.
type Capacity struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Terms are the rules of a pool. All holders must use the same.
type Terms struct {
	// Loan is how long a report lends the part of its sender. It must be longer than the
	// interval of reports.
	Loan time.Duration
	// Window is the time over which the use of a resource is checked. In each window, the
	// holders may together exceed a resource by OvershootRatio of its capacity in the
	// window plus OvershootFixed units.
	Window         time.Duration
	OvershootRatio float64
	OvershootFixed float64
}

// exposureDivisor divides the permitted overshoot: one holder may spend this part of it
// before it has heard all the others again. A partition is noticed only when loans expire;
// the bound assumes that at most this number of holders spend their whole exposure of one
// resource in that time.
const exposureDivisor = 2

// exposure returns what a holder may spend of a resource before it has heard all the others
// again.
func (t Terms) exposure(c Capacity) float64 {
	return (t.OvershootRatio*(c.Rate*t.Window.Seconds()+c.Burst) + t.OvershootFixed) / exposureDivisor
}

// startPeriod returns how long after its start a process knows all that was spent in the
// window: an earlier process, and holders to which it had lent its part, have used nothing
// since.
func (t Terms) startPeriod() time.Duration { return t.Window + t.Loan }

// silence returns how long after its last report a holder counts as heard. It is twice the loan
// term, because a holder that misses another one gets no loans from those that hear it: with one
// term, a loss of 5 in 100 messages led to 1.6% of wrong refusals among 23 holders, and with two
// to 0.1%. The detection of a partial partition takes as much longer.
func (t Terms) silence() time.Duration { return 2 * t.Loan }

const (
	// reportedFor is how long after the last use the state of a full resource is kept and is
	// part of full reports. Several full reports are sent in that time.
	reportedFor = 10 * time.Second
	// forgetAfter is how long after its last report a silent holder is remembered, and counts
	// even if the list of holders lacks it.
	forgetAfter = 20 * time.Second
	// maxEntries limits the entries of a report. 1,024 entries take up to 24 KB; the gossip
	// sends at most 32 KB in a message.
	maxEntries = 1024
	// reportDelay is the usual time from a use to the report of it at another holder. Without
	// it, a bucket that was full at the time of the use would hold less there than at the
	// user: what is supplied in this time.
	reportDelay = 10 * time.Millisecond
	// settleTime is how long a new process waits for reports of the other holders before
	// it takes its own view for valid.
	settleTime = 1200 * time.Millisecond
)

// Pool is one holder's view of all resources. It is safe for concurrent use.
type Pool struct {
	terms       Terms
	incarnation uint64

	mu         sync.Mutex
	capacityOf func(ID) (Capacity, bool)
	// capacitiesKnown is set once SetCapacities was called.
	capacitiesKnown bool
	start, now      time.Duration
	holders         int
	peers           map[string]*peer
	// heard is the set of this holder and of the peers that are heard, and heardPeers the number
	// of these peers.
	heard      HolderSet
	heardPeers int
	// lenders is the number of peers that lend, and nextExpiry the earliest time at which
	// the loan of one may expire, or one may no longer be heard or remembered.
	lenders    int
	nextExpiry time.Duration
	// round is the number of the current round, which ends when each peer that counts as
	// heard has reported in it, and each lender has renewed its loan. heardInRound is the number
	// of peers that have done so.
	round        uint64
	heardInRound int
	resources    map[ID]*resource
	// changed holds the resources whose counters have changed in the last loan term or
	// since they were last reported.
	changed map[ID]struct{}
	// lastPeriod is the number of the period that began last. It is shared by all
	// resources, so that a resource that was forgotten does not repeat a number.
	lastPeriod uint32
	// supply is the integral over time, in seconds, of the part of each resource that this
	// holder and the holders that lend to it own.
	supply float64
	// filled is the supply, in seconds, since all resources are known or assumed to have
	// been empty, without the parts of expired loans. It gives the level of a resource that
	// has not been used since.
	filled float64
	// receivedFullState is set once a settled holder has sent its full state.
	receivedFullState bool
	// startForgotten is set once what was spent before this process started has left every
	// window. Resources that have not been used since are full then.
	startForgotten bool
	// settled is set once the levels are valid: this holder has heard all the others, or
	// has waited for settleTime.
	settled bool
}

// peer is what a pool knows of another holder.
type peer struct {
	incarnation uint64
	// heard is set while the last report, received at heardAt, is not older than
	// Terms.silence.
	heard   bool
	heardAt time.Duration
	// lends is set while the last report that lent the part of this holder, received at
	// lentAt, is not older than the loan term.
	lends  bool
	lentAt time.Duration
	// round is the last round of the pool for which this holder has been heard.
	round uint64
	// adopting is set until the first full report of a holder of which nothing was known.
	// What its counters contain until then was spent in an unknown time, so the levels that
	// it reports tell what is left.
	adopting bool
	counters map[ID]received
	// reserved is the sum of the parts of this holder, in seconds of the full rate, for the
	// times until reservedUntil in which it did not lend. reservedBefore is what of it was
	// settled with the last full report.
	reserved, reservedBefore float64
	reservedUntil            time.Duration
}

// counter is what a holder has spent of a resource in a period. It has no number, which is
// 0, before the first use.
type counter struct {
	period uint32
	spent  float64
}

// received is a counter of another holder.
type received struct {
	counter
	// reserved is that of the peer at the time of the report.
	reserved float64
	// debited is the part of spent that was debited here. Only this much can be returned.
	debited float64
}

// resource is the state of one bucket.
type resource struct {
	capacity Capacity
	// level is what may still be spent; a debt is negative.
	level float64
	// overflow is what was supplied to the full bucket in the last reportDelay and lost. Units
	// that another holder spent in this time, and that are reported now, are taken from it
	// first: the bucket was not full then.
	overflow float64
	// supply is that of the pool when the level was computed.
	supply float64
	own    counter
	// touchedAt is the time of the last use by any holder, and changedAt that of the last
	// change of the own counter.
	touchedAt, changedAt time.Duration
	// assumed means that the level was computed as if the bucket had been empty when the
	// process started.
	assumed bool
	// raise is set until the level has been raised to what the spending of the last window
	// leaves of a full bucket. spentSince is what is known to have been spent since knownSince,
	// and all that was spent since then is known.
	raise      bool
	knownSince time.Duration
	spentSince float64
	// debits is what all holders together have spent since debitsSince, as far as known, and
	// debitsBefore what they had spent in at least a loan term before that.
	debits, debitsBefore float64
	debitsSince          time.Duration
	// exposed is what was spent in exposedRound, and exposedBefore what was spent in the
	// round before.
	exposed, exposedBefore float64
	exposedRound           uint64
}

// New returns a pool without resources. incarnation identifies this start of the process.
func New(t Terms, incarnation uint64, now time.Duration) *Pool {
	return &Pool{
		terms: t, incarnation: incarnation, start: now, now: now, holders: 1, round: 1, heard: setOf(incarnation),
		capacityOf: func(ID) (Capacity, bool) { return Capacity{}, false },
		peers:      make(map[string]*peer), resources: make(map[ID]*resource), changed: make(map[ID]struct{}),
	}
}

// SetCapacities replaces the capacities. A resource that capacityOf does not know is
// unlimited. A lower burst takes effect on the levels at once.
func (p *Pool) SetCapacities(capacityOf func(ID) (Capacity, bool), now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.capacityOf, p.capacitiesKnown = capacityOf, true
	for id, r := range p.resources {
		p.refill(r)
		c, limited := capacityOf(id)
		if !limited {
			// The counters of the others go on, and are needed if the limit returns.
			delete(p.resources, id)
			delete(p.changed, id)
			continue
		}
		if c != r.capacity {
			r.capacity, r.overflow = c, 0
			// Debt of a larger capacity must not block a small one for long.
			r.level = max(r.level, -c.Burst)
			p.refill(r)
		}
	}
}

// SetHolders sets the number of holders, including this one.
func (p *Pool) SetHolders(n int, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if n = max(1, n); n != p.holders {
		p.refillAll()
		p.holders = n
	}
}

// Reason says why a request for units was refused.
type Reason int

// Reasons of a refusal.
const (
	// Exhausted means that the bucket does not hold the units.
	Exhausted Reason = iota + 1
	// Unconfirmed means that this holder has not heard all others since it spent much.
	Unconfirmed
)

// Decision is the result of Take.
type Decision struct {
	Granted bool
	// Reason is set if the units were not granted.
	Reason Reason
	// RetryAfter is the time until the units will be available if nobody else takes them.
	RetryAfter time.Duration
	// Level is what is left, in units, and Share the part of the capacity that this holder
	// decides by.
	Level, Share float64
}

// Take takes units of a resource. Units above the burst are granted if the bucket is full.
func (p *Pool) Take(id ID, units float64, now time.Duration) Decision {
	return p.TakeLeaving(id, units, 0, now)
}

// TakeLeaving is Take for units that are granted only if the reserve, in units, is left in
// the bucket. A full bucket grants them in any case.
func (p *Pool) TakeLeaving(id ID, units, reserve float64, now time.Duration) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	r := p.resource(id)
	if r == nil {
		return Decision{Granted: true, Share: 1}
	}
	d := p.decide(r, units, reserve)
	if d.Granted {
		p.spend(id, r, units)
	}
	d.Level = r.level
	return d
}

// decide decides about units of a resource that is refilled, and spends none.
func (p *Pool) decide(r *resource, units, reserve float64) Decision {
	d := Decision{Share: p.share(), Level: r.level}
	needed := min(units+reserve, r.capacity.Burst*d.Share)
	switch {
	case r.level < needed:
		d.Reason, d.RetryAfter = Exhausted, refillTime(needed-r.level, r.capacity.Rate*d.Share)
		if r.raise && r.raised(p.full(r.capacity)) >= needed {
			d.RetryAfter = min(d.RetryAfter, max(0, r.knownSince+p.terms.startPeriod()-p.now)+1)
		}
	case !p.confirmed(r, units):
		d.Reason, d.RetryAfter = Unconfirmed, p.terms.Loan/2
	default:
		d.Granted = true
	}
	return d
}

// Return gives back units of an earlier Take that were not used.
func (p *Pool) Return(id ID, units float64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	r := p.resource(id)
	if r == nil {
		return
	}
	if r.own.period == 0 {
		p.beginPeriod(r)
	}
	r.level += units
	r.own.spent -= units
	r.touchedAt = p.now
	p.change(id, r)
	p.refill(r)
}

// change notes that the own counter of a resource is to be reported.
func (p *Pool) change(id ID, r *resource) {
	r.changedAt = p.now
	p.changed[id] = struct{}{}
}

// beginPeriod starts a new counter, whose base is zero for all holders.
func (p *Pool) beginPeriod(r *resource) {
	p.lastPeriod++
	r.own = counter{period: p.lastPeriod}
}

// spend records that this holder uses units.
func (p *Pool) spend(id ID, r *resource, units float64) {
	if r.own.period == 0 {
		p.beginPeriod(r)
	}
	p.debit(r, units)
	r.own.spent += units
	r.exposed += units
	p.change(id, r)
}

// debit takes units that a holder has spent from the level.
func (p *Pool) debit(r *resource, units float64) {
	if p.now-r.debitsSince >= p.terms.Loan {
		r.debitsBefore, r.debits, r.debitsSince = r.debits, 0, p.now
	}
	r.level -= units
	r.debits += max(0, units)
	r.spentSince += max(0, units)
	r.touchedAt = p.now
}

// raised returns the level that a full bucket would have after what is known to have been spent.
func (r *resource) raised(full float64) float64 { return full - r.spentSince }

// maxRefillTime limits the times that Take returns.
const maxRefillTime = time.Hour

// refillTime returns the time in which the rate supplies the units.
func refillTime(units, rate float64) time.Duration {
	if rate <= 0 {
		return maxRefillTime
	}
	return time.Duration(min(units/rate, maxRefillTime.Seconds()) * float64(time.Second))
}

// resource returns the refilled state of a resource, or nil if it has no limit.
func (p *Pool) resource(id ID) *resource {
	r, ok := p.resources[id]
	if !ok {
		c, limited := p.capacityOf(id)
		if !limited {
			return nil
		}
		r = p.unusedResource(c)
		p.resources[id] = r
	}
	p.refill(r)
	return r
}

// unusedResource returns the state of a resource of which no use is known. What was spent
// before this process started is unknown, so the bucket was empty then, unless a settled
// holder has reported its full state.
func (p *Pool) unusedResource(c Capacity) *resource {
	return &resource{
		capacity: c, level: c.Rate * p.filled, supply: p.supply, touchedAt: p.now, assumed: !p.receivedFullState,
		raise: !p.startForgotten, knownSince: p.start,
	}
}

// refill adds to the level what has become available since the level was computed. A debt
// of more than a window's capacity is void: what was spent has then left every window in
// which the debt could be paid.
func (p *Pool) refill(r *resource) {
	c, full := r.capacity, p.full(r.capacity)
	supplied := c.Rate * (p.supply - r.supply)
	r.level += supplied
	if lost := min(r.level-full, supplied); lost > 0 {
		r.overflow = min(r.overflow+lost, c.Rate*p.share()*reportDelay.Seconds())
	} else {
		r.overflow = max(0, r.overflow-supplied)
	}
	if r.raise && p.now-r.knownSince > p.terms.startPeriod() {
		r.raise = false
		r.level = max(r.level, r.raised(full))
	}
	r.level = max(min(r.level, full), -c.Burst-c.Rate*p.terms.Window.Seconds())
	r.supply = p.supply
}

// refillAll refills all resources before the share of this holder changes, because it limits
// their levels.
func (p *Pool) refillAll() {
	for _, r := range p.resources {
		p.refill(r)
	}
}

// full returns the highest level of a resource.
func (p *Pool) full(c Capacity) float64 { return c.Burst * p.share() }

// advance moves the pool to the time now.
func (p *Pool) advance(now time.Duration) {
	if now <= p.now {
		return
	}
	supplied := (now - p.now).Seconds() * p.share()
	p.supply += supplied
	p.filled += supplied
	p.now = now
	if now > p.nextExpiry {
		p.expireLoans()
	}
	p.settled = p.settled || now-p.start >= settleTime
	if !p.startForgotten && now-p.start > p.terms.startPeriod() {
		p.startForgotten = true
		p.filled = maxFilled.Seconds()
	}
}
