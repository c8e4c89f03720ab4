// Package admit refuses requests early when they would wait too long, by share
// and with a truthful estimate of the wait.
package admit

import "time"

// minRetryAfter keeps refused callers from re-sending at once.
const minRetryAfter = 500 * time.Millisecond

// Input is what is known when a request arrives.
type Input struct {
	// Wait is the estimated wait of the whole queue.
	QueueWait time.Duration
	// CallerWait is the estimated wait given the caller's own backlog and share.
	CallerWait time.Duration
	// Waited is how long the request has waited already, for example elsewhere.
	Waited time.Duration
	// QueueLimit bounds the wait above which a request is refused.
	QueueLimit time.Duration
}

// Decision tells whether to accept the request.
type Decision struct {
	Accept bool
	// RetryAfter is the time after which the wait is expected to be acceptable.
	RetryAfter time.Duration
}

// Decide accepts or refuses. The shorter of the two waits counts: a long queue
// of others is no reason to refuse a caller that its share lets overtake them,
// and a caller's long backlog is none while the whole queue is short.
func Decide(in Input) Decision {
	wait := in.Waited + min(in.QueueWait, in.CallerWait)
	if wait <= in.QueueLimit {
		return Decision{Accept: true}
	}
	return Decision{RetryAfter: max(minRetryAfter, wait-in.QueueLimit)}
}

// RefusalDeadline returns when a request that still waits must be refused: its estimate
// was wrong, and whoever waits for longer than the limit takes the place of
// those that can still meet their target.
func RefusalDeadline(arrival, queueLimit time.Duration) time.Duration { return arrival + queueLimit }
