package kvservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// ErrRateLimited reports that a call was not sent, because this process has reached its
// rate limit for the key-value service. The call has had no effect.
var ErrRateLimited = errors.New("rate limit of the key-value service exceeded; nothing was sent, retry later")

// RateLimit configures a token bucket.
type RateLimit struct {
	PerSecond float64
	Burst     int
}

// RateLimits holds the rate limits for the calls of one process to the key-value service,
// one for each kind of call. A watch takes one token each time it is sent and counts as one call,
// no matter how long the service blocks it.
type RateLimits struct {
	Reads   RateLimit
	Writes  RateLimit
	Watches RateLimit
}

// DefaultRateLimits returns limits for a service that handles several hundred writes and
// 2,000 reads per second. Most of the 4,940 processes at the target size hardly call the
// service; only watchers and the preferred writers of the ledger come near their limits,
// and the ledger is limited to 150 writes/s over all processes.
func DefaultRateLimits() RateLimits {
	return RateLimits{
		Reads:   RateLimit{PerSecond: 200, Burst: 400},
		Writes:  RateLimit{PerSecond: 100, Burst: 100},
		Watches: RateLimit{PerSecond: 5, Burst: 10},
	}
}

// Counts holds the counters of calls of one kind since the process started.
type Counts struct {
	// Calls is the number of calls that were sent to the service.
	Calls uint64 `json:"calls"`
	// Failures is the number of calls that ended with ErrUnavailable.
	Failures uint64 `json:"failures"`
	// Delayed is the number of calls that waited for the rate limit.
	Delayed uint64 `json:"delayed"`
	// Refused is the number of calls that were not sent because of the rate limit.
	Refused uint64 `json:"refused"`
	// Pending is the number of calls that are currently waiting for a response.
	Pending int64 `json:"pending"`
}

// CallCounts holds the counters for each kind of call.
type CallCounts struct {
	Reads   Counts `json:"reads"`
	Writes  Counts `json:"writes"`
	Watches Counts `json:"watches"`
}

// callLimiter enforces the rate limit of one kind of call and counts the calls.
type callLimiter struct {
	limiter  *rate.Limiter
	calls    atomic.Uint64
	failures atomic.Uint64
	delayed  atomic.Uint64
	refused  atomic.Uint64
	pending  atomic.Int64
}

func newCallLimiter(limit RateLimit) *callLimiter {
	return &callLimiter{limiter: rate.NewLimiter(rate.Limit(limit.PerSecond), max(limit.Burst, 1))}
}

// acquire waits for a token of the rate limit. It returns ErrRateLimited if none becomes
// available within maxWait.
func (l *callLimiter) acquire(ctx context.Context, maxWait time.Duration) error {
	if l.limiter.Allow() {
		return nil
	}
	l.delayed.Add(1)
	waitCtx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	if err := l.limiter.Wait(waitCtx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		l.refused.Add(1)
		return ErrRateLimited
	}
	return nil
}

// recordStart counts a call that is being sent.
func (l *callLimiter) recordStart() {
	l.calls.Add(1)
	l.pending.Add(1)
}

// recordEnd ends the count of a pending call. Only ErrUnavailable counts as a
// failure.
func (l *callLimiter) recordEnd(err error) {
	l.pending.Add(-1)
	if errors.Is(err, ErrUnavailable) {
		l.failures.Add(1)
	}
}

func (l *callLimiter) counts() Counts {
	return Counts{
		Calls:    l.calls.Load(),
		Failures: l.failures.Load(),
		Delayed:  l.delayed.Load(),
		Refused:  l.refused.Load(),
		Pending:  l.pending.Load(),
	}
}
