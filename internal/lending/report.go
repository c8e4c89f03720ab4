package lending

import "time"

// Entry is the part of a report on one resource.
type Entry struct {
	Resource ID
	// Period is the number of the period in which Spent was counted. A period ends when a
	// full report no longer names the resource, so the next one begins at zero also for
	// those who have not received this one.
	Period uint32
	// Spent is what the sender has spent in the period, in units.
	Spent float64
	// Level is what is left of the resource, as far as the sender knows.
	Level float64
}

// Report tells the other holders what its sender has spent. Reports are cumulative, so a
// lost or repeated one does no harm; older ones must not be received after newer ones. An
// entry is repeated for the loan term after its change, so a report that renews the loan
// also makes up for reports that were lost since the one before.
type Report struct {
	// Incarnation identifies the start of the sender. Its counters begin anew with it.
	Incarnation uint64
	// Settled means that the sender has heard the other holders, so that the levels are
	// valid.
	Settled bool
	// Partial means that the report has only entries that changed lately.
	Partial bool
	// Filled tells the level of the resources that a settled sender does not name: they were
	// empty before they were filled at their full rate for this time. It is 0 if the report
	// does not name all resources that are not full.
	Filled  time.Duration
	Entries []Entry
	// Heard is the set of holders that the sender hears, including itself. It is 0 in
	// reports of an earlier release, which lend to all holders that receive them.
	Heard HolderSet
}

// maxFilled limits Report.Filled. It is longer than any bucket takes to fill.
const maxFilled = 1000 * time.Hour

// Report returns the report to send to the other holders: all resources that this holder
// has used lately, or only those whose counters have changed.
func (p *Pool) Report(onlyChanged bool, now time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	out := Report{Incarnation: p.incarnation, Settled: p.settled, Partial: onlyChanged, Heard: p.heard}
	complete := p.reportChanged(&out)
	changed := out.Entries
	if !onlyChanged && complete && p.reportUnchanged(&out) {
		out.Filled = time.Duration(min(p.filled, maxFilled.Seconds())*float64(time.Second)) + 1
	}
	for _, e := range changed {
		if p.now-p.resources[e.Resource].changedAt >= p.terms.Loan {
			delete(p.changed, e.Resource)
		}
	}
	return out
}

// reportChanged adds the resources whose counters have changed. It returns false if there is
// no room for all.
func (p *Pool) reportChanged(out *Report) bool {
	for id := range p.changed {
		if len(out.Entries) == maxEntries {
			return false
		}
		r := p.resources[id]
		p.refill(r)
		out.add(id, r)
	}
	return true
}

// reportUnchanged adds the resources that are not full or have been used lately to a full
// report, and forgets the others. It returns false if there is no room for all.
func (p *Pool) reportUnchanged(out *Report) bool {
	for id, r := range p.resources {
		if _, changed := p.changed[id]; changed {
			continue
		}
		p.refill(r)
		idle := p.now - r.touchedAt
		switch full := r.level >= p.full(r.capacity); {
		case full && idle >= reportedFor:
			delete(p.resources, id)
		case len(out.Entries) == maxEntries:
			return false
		default:
			out.add(id, r)
		}
	}
	return true
}

// add appends the entry of a resource.
func (o *Report) add(id ID, r *resource) {
	o.Entries = append(o.Entries, Entry{Resource: id, Period: r.own.period, Spent: r.own.spent, Level: r.level})
}

// Receive applies a report of another holder.
func (p *Pool) Receive(holder string, report Report, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	other := p.peer(holder, report)
	if !other.heard {
		other.heard = true
		p.heardPeers++
		p.heard += setOf(other.incarnation)
	}
	other.heardAt = p.now
	if !other.lends {
		p.reserve(other)
	}
	if p.covers(report.Heard) {
		p.renewLoan(other)
	}
	if other.round != p.round && (!other.lends || other.lentAt == p.now) {
		other.round = p.round
		p.heardInRound++
	}
	p.confirm()
	p.nextExpiry = min(p.nextExpiry, p.now+p.terms.Loan)
	if p.capacitiesKnown {
		p.receiveEntries(other, report)
	}
	p.settled = p.settled || p.heardAll()
}

// receiveEntries applies what a report says about resources. Before the capacities are known,
// no level can be adopted, and a resource that the report names would later count as one that
// it does not name, which is full.
func (p *Pool) receiveEntries(other *peer, report Report) {
	for _, e := range report.Entries {
		p.receiveEntry(other, e)
	}
	if !report.Partial && report.Filled > 0 {
		p.learn(report)
		other.adopting, other.reservedBefore = false, other.reserved
		other.dropUnnamed(report.Entries)
	}
}

// reserve adds the part of a holder that does not lend to what is reserved for it.
func (p *Pool) reserve(other *peer) {
	other.reserved += (p.now - other.reservedUntil).Seconds() / p.total()
	other.reservedUntil = p.now
}

// renewLoan lets this holder use the part of another one for the loan term.
func (p *Pool) renewLoan(other *peer) {
	if !other.lends {
		p.refillAll()
		other.lends = true
		p.lenders++
	}
	other.lentAt = p.now
}

// peer returns the state of the sender of a report. A holder that is not known has been
// silent since this process started, or was forgotten. The counters of a new incarnation
// began after the last report of the one before.
func (p *Pool) peer(holder string, report Report) *peer {
	other, known := p.peers[holder]
	switch {
	case !known:
		p.refillAll()
		other = &peer{reservedUntil: max(p.start, p.now-forgetAfter), adopting: report.Settled}
		p.peers[holder] = other
	case other.incarnation == report.Incarnation:
		return other
	default:
		other.adopting = report.Settled && !p.receivedFullState
		if other.heard {
			p.heard += setOf(report.Incarnation) - setOf(other.incarnation)
		}
	}
	other.incarnation, other.counters = report.Incarnation, make(map[ID]received)
	return other
}

// dropUnnamed forgets the counters that a full report does not name, as their periods have
// ended.
func (o *peer) dropUnnamed(named []Entry) {
	if len(o.counters) <= len(named) {
		return
	}
	kept := make(map[ID]received, len(named))
	for _, e := range named {
		kept[e.Resource] = o.counters[e.Resource]
	}
	o.counters = kept
}

// learn applies what the first full report of a settled holder says about the resources
// that it does not name. What is known to have been spent since this process started is kept.
func (p *Pool) learn(report Report) {
	if p.receivedFullState || !report.Settled {
		return
	}
	p.receivedFullState = true
	before := p.filled
	p.filled = max(p.filled, report.Filled.Seconds())
	for _, r := range p.resources {
		if r.assumed {
			full := p.full(r.capacity)
			r.level += min(full, r.capacity.Rate*p.filled) - min(full, r.capacity.Rate*before)
			r.assumed = false
			p.refill(r)
		}
	}
}

// receiveEntry debits what a holder has spent since its last report beyond what was
// reserved for it.
func (p *Pool) receiveEntry(other *peer, e Entry) {
	before, counted := other.counters[e.Resource]
	after := received{counter: counter{e.Period, e.Spent}, reserved: other.reserved, debited: max(0, e.Spent)}
	// Also of resources without a limit: it may be set later, and then this is the base.
	defer func() { other.counters[e.Resource] = after }()
	r := p.resource(e.Resource)
	if r == nil {
		return
	}
	if other.adopting && !counted {
		p.adopt(r, e.Level)
		p.refill(r)
		return
	}
	spent, debited := e.Spent, 0.0
	if counted && before.period == e.Period {
		spent -= before.spent
		debited = before.debited
	}
	if spent > 0 {
		if reserved := other.reserved - max(before.reserved, other.reservedBefore); reserved > 0 {
			spent = max(0, spent-reserved*r.capacity.Rate)
		} else {
			late := min(spent, r.overflow)
			r.level += late
			r.overflow -= late
		}
	}
	spent = max(spent, -debited)
	after.debited = debited + spent
	if spent == 0 {
		return
	}
	p.debit(r, spent)
	p.refill(r)
}

// adopt applies the level reported by a settled holder that was not known before. A new
// process learns from it what all have spent. A process that has received a full state
// before, or has decided by its own part, only takes over a debt: a low level may be that
// of a small part.
func (p *Pool) adopt(r *resource, level float64) {
	r.raise, r.knownSince, r.spentSince = true, p.now, 0
	switch {
	case r.assumed && p.settled:
		r.level, r.assumed = level+min(0, r.level), false
	case r.assumed:
		r.level, r.assumed = level-r.own.spent, false
	case p.joining():
		r.level = min(r.level, level)
	default:
		r.level = min(r.level, p.full(r.capacity)+min(0, level))
	}
}

// joining reports whether this process has started only lately.
func (p *Pool) joining() bool { return p.now-p.start < settleTime }

// heardAll reports whether all other holders lend, and have sent their full state.
func (p *Pool) heardAll() bool {
	heard := 0
	for _, other := range p.peers {
		if other.lends && !other.adopting {
			heard++
		}
	}
	return heard >= p.holders-1
}

// Settled reports whether this holder has heard the others, or has waited long enough for
// them.
func (p *Pool) Settled(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	return p.settled
}

// State describes a pool to operators.
type State struct {
	Settled bool
	// Holders is the number of holders, and Lenders that of the others whose loans are
	// current. Heard is the number of the others that are heard: those that do not lend do
	// not hear this holder, or hear one that this holder does not hear.
	Holders, Lenders, Heard int
	// OldestLoan is the age of the oldest current loan; 0 if there is none.
	OldestLoan time.Duration
	// Share is the part of each resource that this holder decides by.
	Share float64
}

// State returns the state of the pool.
func (p *Pool) State(now time.Duration) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	s := State{Settled: p.settled, Holders: p.holders, Lenders: p.lenders, Heard: p.heardPeers, Share: p.share()}
	if p.lenders > 0 {
		s.OldestLoan = p.now - p.oldestLoan()
	}
	return s
}

// Level is what is left of a resource.
type Level struct {
	// Units is negative if there is a debt.
	Units float64
	// Idle is the time since the last use that this holder knows of.
	Idle time.Duration
}

// Levels returns the levels of all resources that have been used lately.
func (p *Pool) Levels(now time.Duration) map[ID]Level {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	out := make(map[ID]Level, len(p.resources))
	for id, r := range p.resources {
		p.refill(r)
		out[id] = Level{Units: r.level, Idle: p.now - r.touchedAt}
	}
	return out
}
