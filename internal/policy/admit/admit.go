// Package admit decides whether a request may join a queue. It refuses a
// request on arrival when its expected wait exceeds the limit, and reports
// after which time a retry is likely to succeed.
package admit

import "time"

// minRetryAfter is the shortest retry delay that a refused caller is given, so
// that refused callers do not resend at once.
const minRetryAfter = 500 * time.Millisecond

// Input describes the queue and the request at the time of arrival.
type Input struct {
	// QueueWait is the estimated wait behind the whole queue.
	QueueWait time.Duration
	// CallerWait is the estimated wait given the backlog and the share of the
	// caller alone.
	CallerWait time.Duration
	// Waited is how long the request has already waited, for example at another
	// process.
	Waited time.Duration
	// QueueLimit is the longest total wait at which a request is accepted.
	QueueLimit time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Accept bool
	// RetryAfter is how long a refused caller should wait before it retries:
	// the time by which the expected wait exceeds the limit, but at least
	// minRetryAfter. It is 0 for an accepted request.
	RetryAfter time.Duration
}

// Decide accepts a request unless its expected wait exceeds the limit. The
// shorter of the two estimates counts: fair queueing lets a caller overtake a
// long queue of other callers, and the long backlog of one caller does not
// matter while the whole queue is short.
func Decide(in Input) Decision {
	wait := in.Waited + min(in.QueueWait, in.CallerWait)
	if wait <= in.QueueLimit {
		return Decision{Accept: true}
	}
	return Decision{RetryAfter: max(minRetryAfter, wait-in.QueueLimit)}
}

// RefusalDeadline returns the time at which a request that is still queued must
// be refused. Its wait was underestimated, and keeping it any longer would
// delay requests that can still meet their target.
func RefusalDeadline(arrival, queueLimit time.Duration) time.Duration { return arrival + queueLimit }
