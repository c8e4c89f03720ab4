// Package retry limits retries, selects how a model request continues after a
// failed attempt, and determines when a repeatable call is worth hedging.
package retry

import "time"

// Action is how a model request continues after a failed attempt.
type Action int

// The actions that NextAction selects from.
const (
	// GiveUp reports the failure to the caller.
	GiveUp Action = iota
	// RepeatTransfer imports the prefill output, which is still held, at
	// another engine and resumes there.
	RepeatTransfer
	// Recompute runs a new prefill of the prompt and the delivered tokens.
	Recompute
)

// transferMargin is how much longer than estimated a transfer may take; the
// hold is used only if it lasts that long. An import that is overtaken by the
// eviction wastes a transfer and its time, and the prefill must run again
// anyway.
const transferMargin = 1.5

// DefaultMaxAttempts is the default limit of the attempts of one request.
const DefaultMaxAttempts = 4

// FailedAttempt describes a failed attempt and what its request can do next.
type FailedAttempt struct {
	// Attempts is the number of attempts made so far, including the failed one.
	Attempts int
	// MaxAttempts limits Attempts; 0 selects DefaultMaxAttempts.
	MaxAttempts int
	// HoldRemaining is how long the prefill output is still held; 0 if it is
	// gone.
	HoldRemaining time.Duration
	// Wait is the expected wait for another decode slot.
	Wait time.Duration
	// Transfer is the expected time of another import of the prefill output.
	Transfer time.Duration
	// Recompute is the expected time of another prefill, including its wait in
	// the queue.
	Recompute time.Duration
	// BudgetAvailable reports whether the retry budget allows another attempt.
	BudgetAvailable bool
}

// NextAction selects how to continue after a failed attempt. It repeats the
// transfer if the hold lasts long enough and the transfer is not slower than
// recomputing.
func NextAction(f FailedAttempt) Action {
	limit := f.MaxAttempts
	if limit <= 0 {
		limit = DefaultMaxAttempts
	}
	if !f.BudgetAvailable || f.Attempts >= limit {
		return GiveUp
	}
	transferTime := f.Wait + time.Duration(transferMargin*float64(f.Transfer))
	if f.HoldRemaining > transferTime && f.Transfer <= f.Recompute {
		return RepeatTransfer
	}
	return Recompute
}
