// Package retry limits retries, selects how a broken model request continues
// and tells when a repeatable call is worth hedging.
package retry

import "time"

// Action is how a broken model request continues.
type Action int

// The ways to continue.
const (
	// GiveUp reports the failure to the caller.
	GiveUp Action = iota
	// RepeatTransfer imports the held prefill output elsewhere and resumes there.
	RepeatTransfer
	// Recompute runs the prefill of prompt and delivered tokens again.
	Recompute
)

// transferMargin is how much longer than estimated a transfer may take before
// the hold must not be relied on. An import that loses the race against the
// eviction costs a transfer and the time, on top of the recomputation.
const transferMargin = 1.5

// DefaultMaxAttempts bounds the attempts of one request.
const DefaultMaxAttempts = 4

// FailedAttempt describes a broken attempt.
type FailedAttempt struct {
	// Attempts counts those made, the broken one included.
	Attempts int
	// MaxAttempts bounds them; 0 selects DefaultMaxAttempts.
	MaxAttempts int
	// HoldLeft is how long the prefill output is still held; 0 when it is gone.
	HoldRemaining time.Duration
	// Wait is the expected wait for another decode slot.
	Wait time.Duration
	// Transfer is the expected time of another import.
	Transfer time.Duration
	// Recompute is the expected time of another prefill, its queue included.
	Recompute time.Duration
	// BudgetLeft tells that the retry budget allows another attempt.
	BudgetAvailable bool
}

// NextAction selects how to continue after a loss.
func NextAction(l FailedAttempt) Action {
	limit := l.MaxAttempts
	if limit <= 0 {
		limit = DefaultMaxAttempts
	}
	if !l.BudgetAvailable || l.Attempts >= limit {
		return GiveUp
	}
	transfer := l.Wait + time.Duration(transferMargin*float64(l.Transfer))
	if l.HoldRemaining > transfer && l.Transfer <= l.Recompute {
		return RepeatTransfer
	}
	return Recompute
}
