// Package admit refuses requests early when they would wait too long, by share
// and with a truthful estimate of the wait.
package admit

import "time"

const (
	// minRetryAfter keeps refused callers from re-sending at once.
	minRetryAfter = 500 * time.Millisecond
	// overShareTolerance is the usage beyond the share that is not yet held
	// against a caller; short bursts are normal.
	overShareTolerance = 1.25
)

// Input is what is known when a request arrives.
type Input struct {
	// Wait is the estimated wait of the whole queue at the best upstream.
	Wait time.Duration
	// CallerWait is the estimated wait given the caller's own backlog and share.
	CallerWait time.Duration
	// Work is the estimated time from leaving the queue to the first token.
	Work time.Duration
	// Target is the first-token target.
	Target time.Duration
	// QueueLimit bounds the wait above which a request is refused.
	QueueLimit time.Duration
	// UsageOverShare is the caller's recent usage divided by its part of the
	// capacity; 1 means that it uses exactly its share.
	UsageOverShare float64
}

// Decision tells whether to accept the request.
type Decision struct {
	Accept bool
	// RetryAfter is the time after which the wait is expected to be acceptable.
	RetryAfter time.Duration
}

// Decide accepts or refuses. A caller within its share is refused only when its
// wait exceeds the limit. A caller beyond its share is held to the wait that
// still meets the first-token target, when the system is busy enough for
// others to miss theirs.
func Decide(in Input) Decision {
	limit := in.QueueLimit
	wait := min(in.Wait, in.CallerWait)
	if in.UsageOverShare > overShareTolerance {
		limit = min(limit, max(0, in.Target-in.Work))
		wait = max(in.Wait, in.CallerWait)
	}
	if wait <= limit {
		return Decision{Accept: true}
	}
	return Decision{RetryAfter: max(minRetryAfter, wait-limit)}
}
