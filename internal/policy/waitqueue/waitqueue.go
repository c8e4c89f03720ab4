// Package waitqueue orders the model requests that wait for memory of an engine
// and decides which of them may take it.
//
// It is for bursts, in which more requests arrive than memory can hold. An
// answer within the latency target is worth much more than a late one. Requests
// that can still meet their target therefore precede those that cannot. The
// late ones are served from memory that the others do not need, before their
// clients give up.
package waitqueue

import (
	"cmp"
	"math"
	"time"
)

// Request is the state of a waiting request at one moment.
type Request struct {
	// Slack is how long the request may still wait and meet its latency target;
	// it is negative if the request can no longer meet it.
	Slack time.Duration
	// TimeToAbandonment is how long the request may still wait before its
	// client gives up.
	TimeToAbandonment time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Tokens is the memory that the request is expected to need.
	Tokens float64
	// PreviouslyRefused reports that the client has already been refused once.
	// It is not expected to try again after another refusal.
	PreviouslyRefused bool
	// Yield is how much later the request is ordered among those of equal priority
	// and lateness, because its account has had more than its share of the work. It
	// is negative if the account has had less.
	Yield time.Duration
	// Overtakes reports that the request is late and precedes requests of less
	// urgent priorities even if those can meet their target. Late requests of the
	// more urgent class that always yield to less urgent ones on time are served
	// less often than those.
	Overtakes bool
}

// OnTime reports whether the request can still meet its latency target.
func (r *Request) OnTime() bool { return r.Slack >= 0 }

// lastChanceWindow is the time to abandonment below which a request that was
// refused before may fill the memory as if it could still meet its target, because
// another refusal would lose it. It does not precede those that can meet theirs:
// when more requests arrive than can be served, each of them would be refused,
// return, and delay the next ones past their target.
const lastChanceWindow = 1200 * time.Millisecond

// lastChance reports whether another refusal would lose the request.
func (r *Request) lastChance() bool {
	return r.PreviouslyRefused && r.TimeToAbandonment < lastChanceWindow
}

// LastChanceWindow is the time that must be left when a late model request is served. If the
// work that precedes it leaves it less, the request may overtake less urgent ones; see
// overload.Overtaking.
const LastChanceWindow = lastChanceWindow

// first reports whether the request precedes those late ones that wait for spare
// memory.
func (r *Request) first() bool { return r.OnTime() || r.Overtakes }

// Compare orders requests for slices.SortFunc and similar functions; the
// request that sorts first is served first.
func Compare(a, b *Request) int {
	if a.first() != b.first() {
		return trueFirst(a.first())
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if a.OnTime() != b.OnTime() {
		return trueFirst(a.OnTime())
	}
	if a.OnTime() {
		return cmp.Compare(a.onTimeKey(), b.onTimeKey())
	}
	return cmp.Compare(a.lateKey(), b.lateKey())
}

// trueFirst compares two requests of which only one has a property; a tells whether
// it is the first of them.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// sizeWeight is how many seconds of slack 1,000 tokens of size count for. A
// large request yields to a small one with about the same slack, because a
// small request frees its memory sooner, so that more requests meet their
// target during a burst.
const sizeWeight = 0.1

// maxSizeDelay bounds the effect of the size, in seconds. Without a bound, a request
// of more than about 20,000 tokens is behind every new one until it is late.
const maxSizeDelay = 1.2

// onTimeKey orders requests of equal priority that can meet their target, in
// seconds.
func (r *Request) onTimeKey() float64 {
	return r.Slack.Seconds() + min(maxSizeDelay, sizeWeight*r.Tokens/1000) + r.Yield.Seconds()
}

// refusedBonus, in seconds, lets a late request that was refused before precede
// others with about the same time to abandonment.
const refusedBonus = 1.0

// lateKey orders late requests of equal priority, in seconds.
func (r *Request) lateKey() float64 {
	key := r.TimeToAbandonment.Seconds() + r.Yield.Seconds()
	if r.PreviouslyRefused {
		key -= refusedBonus
	}
	return key
}

// FillLimits are the fractions of the memory of an engine up to which requests
// may fill it.
type FillLimits struct {
	// OnTime applies to requests that can meet their target.
	OnTime float64
	// Late applies to late requests while no request that can meet its target
	// is waiting.
	Late float64
	// LateContended applies to late requests while such a request is waiting.
	LateContended float64
}

const (
	// outputDeviation is the standard deviation of output lengths around their
	// prediction, as a fraction of the mean output.
	outputDeviation = 0.4
	// marginDeviations is the margin for errors of the memory forecast, in standard
	// deviations of the memory that all requests of an engine need together.
	marginDeviations = 3.4
	// lateMargin is the fraction that late requests leave free for requests
	// that can meet their target and arrive soon.
	lateMargin = 0.10
	// minFill is the least OnTime limit; it bounds the margin on small engines.
	minFill = 0.5
)

// NewFillLimits returns the limits of an engine with memory for the given number of
// tokens, for requests that need meanTokens each, of which meanOutput are output.
//
// Prompts are known exactly, so only the outputs make the forecast wrong. The errors
// of n requests add up to the square root of n times that of one.
func NewFillLimits(meanTokens, meanOutput, memory float64) FillLimits {
	requests := memory / max(1, meanTokens)
	margin := marginDeviations * outputDeviation * meanOutput * math.Sqrt(requests) / memory
	onTime := max(minFill, 1-margin)
	return FillLimits{OnTime: onTime, Late: onTime - lateMargin}
}

// For returns the fraction of the memory of an engine up to which the request
// may fill it. contended reports that some request that can still meet its
// target is waiting, here or at another gateway.
func (f FillLimits) For(r *Request, contended bool) float64 {
	switch {
	case r.OnTime() || r.Overtakes || r.lastChance():
		return f.OnTime
	case contended:
		return f.LateContended
	default:
		return f.Late
	}
}
