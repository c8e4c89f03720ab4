package lending

import (
	"math"
	"time"
)

// total returns the number of holders that own a part: those that are listed, or more if
// more have been heard lately.
func (p *Pool) total() float64 { return float64(max(p.holders, len(p.peers)+1)) }

// share returns the part of each resource that this holder decides by.
func (p *Pool) share() float64 { return float64(p.lenders+1) / p.total() }

// confirmed reports whether the exposure of this holder allows it to spend units. What was
// spent in a round is confirmed by the end of the next one. A single request is always
// allowed.
func (p *Pool) confirmed(r *resource, units float64) bool {
	if p.lenders == 0 {
		return true
	}
	if r.exposedRound != p.round {
		r.exposedBefore = 0
		if r.exposedRound+1 == p.round {
			r.exposedBefore = r.exposed
		}
		r.exposed, r.exposedRound = 0, p.round
	}
	unconfirmed := r.exposedBefore + r.exposed
	return unconfirmed <= 0 || unconfirmed+units <= p.terms.exposure(r.capacity)
}

// oldestLoan returns the time of the oldest report whose loan is current.
func (p *Pool) oldestLoan() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for _, other := range p.peers {
		if other.lends {
			oldest = min(oldest, other.lentAt)
		}
	}
	return oldest
}

// expireLoans ends the loans that were not renewed within the term, and notes which peers are
// no longer heard. Peers that have been silent for forgetAfter are forgotten.
func (p *Pool) expireLoans() {
	before, lenders := p.share(), p.lenders
	p.nextExpiry = math.MaxInt64
	for name, other := range p.peers {
		if p.expirePeer(other) {
			lenders--
		}
		if expiry := p.expiryOf(other); expiry < p.now {
			delete(p.peers, name)
		} else {
			p.nextExpiry = min(p.nextExpiry, expiry)
		}
	}
	if lenders < p.lenders {
		p.withdraw(before, lenders)
	}
	p.heardInRound = 0
	for _, other := range p.peers {
		if other.heard && other.round == p.round {
			p.heardInRound++
		}
	}
	p.confirm()
}

// expirePeer updates what depends on the time since the last reports of a peer, and reports
// whether its loan has expired.
func (p *Pool) expirePeer(other *peer) bool {
	if other.heard && p.now-other.heardAt > p.terms.silence() {
		other.heard = false
		p.heardPeers--
		p.heard -= setOf(other.incarnation)
	}
	if !other.lends || p.now-other.lentAt <= p.terms.Loan {
		return false
	}
	// The part counts for its owner since the last report that lent it.
	other.lends, other.reservedUntil = false, other.lentAt
	return true
}

// expiryOf returns the last time at which the state of a peer stays as it is without a new
// report. It has passed if the peer is to be forgotten.
func (p *Pool) expiryOf(other *peer) time.Duration {
	switch {
	case other.lends:
		return other.lentAt + p.terms.Loan
	case other.heard:
		return other.heardAt + p.terms.silence()
	default:
		return other.heardAt + forgetAfter
	}
}

// confirm begins a new round if, in the current one, all peers that are heard have reported and
// all lenders have renewed their loans.
func (p *Pool) confirm() {
	if p.heardInRound >= p.heardPeers {
		p.round++
		p.heardInRound = 0
	}
}

// withdraw takes the parts of expired loans back. An expired loan counts only until its last
// report: the levels of that time are divided in proportion to the parts, and what was
// spent since then is not divided, as the lender does not know of it.
func (p *Pool) withdraw(before float64, lenders int) {
	p.refillAll()
	p.lenders = lenders
	kept := min(1, p.share()/before)
	p.filled *= kept
	for _, r := range p.resources {
		r.overflow = 0
		spent := r.debitsBefore + r.debits
		r.level = (r.level+spent)*kept - spent
	}
}
