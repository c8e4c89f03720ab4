// Package waitqueue orders the model requests that wait for an engine's memory
// and decides which of them may take it.
//
// It answers bursts: more requests arrive than memory can hold. An answer in
// time is worth much more than a late one, so those that can still meet their
// latency target go before those that cannot; the late ones are served from
// memory that the others do not need, and before their clients give up.
package waitqueue

import (
	"cmp"
	"math"
	"time"
)

// Request is a waiting request at one moment.
type Request struct {
	// Slack is the time that it may still wait and meet its latency target;
	// negative if the target is out of reach.
	Slack time.Duration
	// Patience is the time that it may still wait before its client gives up.
	TimeToAbandonment time.Duration
	// Priority is the rank of its route; 0 is the most urgent.
	Priority int
	// Tokens is the memory that it is expected to need.
	Tokens float64
	// Returned tells that the client was refused before; it will not come again.
	PreviouslyRefused bool
}

// OnTime reports whether the request can still meet its latency target.
func (r *Request) OnTime() bool { return r.Slack >= 0 }

// lastChance is the patience under which a request that was refused before is
// served as if it were in time: refused once more, it is lost.
const lastChance = 1200 * time.Millisecond

// urgent reports whether the request belongs to those that go first.
func (r *Request) urgent() bool {
	return r.OnTime() || (r.PreviouslyRefused && r.TimeToAbandonment < lastChance)
}

// Compare orders requests; the first goes first.
func Compare(a, b *Request) int {
	if a.urgent() != b.urgent() {
		if a.urgent() {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if a.urgent() {
		return cmp.Compare(a.urgentKey(), b.urgentKey())
	}
	return cmp.Compare(a.lateKey(), b.lateKey())
}

// sizeWeight is how much longer, in seconds for 1,000 tokens, a large request
// waits than a small one: small ones free their memory sooner, so that more
// requests are in time during a burst.
const sizeWeight = 0.1

func (r *Request) urgentKey() float64 {
	left := r.Slack
	if !r.OnTime() {
		left = r.TimeToAbandonment
	}
	return left.Seconds() + sizeWeight*r.Tokens/1000
}

// returnedBonus puts requests that were refused before ahead of others of about
// the same patience.
const returnedBonus = 1.0

func (r *Request) lateKey() float64 {
	key := r.TimeToAbandonment.Seconds()
	if r.PreviouslyRefused {
		key -= returnedBonus
	}
	return key
}

// FillLimits is how far the memory of an engine may be filled, as a share.
type FillLimits struct {
	// OnTime holds for requests that can meet their target.
	OnTime float64
	// Late holds for the others while nobody waits who can.
	Late float64
	// LateCrowded holds for the others while somebody waits who can.
	LateContended float64
}

const (
	// errorSpread is the margin for forecasts that err. The error of a sum of few
	// large requests is larger, as the root of their share of the memory.
	errorSpread = 0.6
	// lateMargin is what late requests leave to those in time that arrive soon.
	lateMargin = 0.10
	// leastFill bounds the margins on small engines.
	leastFill = 0.5
)

// NewFillLimits returns the limits of an engine whose memory holds memory tokens, for
// requests that need meanTokens each.
func NewFillLimits(meanTokens, memory float64) FillLimits {
	onTime := max(leastFill, 1-errorSpread*math.Sqrt(min(1, meanTokens/memory)))
	return FillLimits{OnTime: onTime, Late: onTime - lateMargin}
}

// For returns the share of an engine's memory that the request may fill.
// crowded tells that requests wait somewhere that can still be in time.
func (f FillLimits) For(r *Request, crowded bool) float64 {
	switch {
	case r.urgent():
		return f.OnTime
	case crowded:
		return f.LateContended
	default:
		return f.Late
	}
}
