package kvservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// ErrRateLimited reports that a call was not sent, because this process has used
// up its share of the key-value service. Nothing took effect.
var ErrRateLimited = errors.New("call budget of the key-value service used up; nothing was sent, retry later")

// RateLimit is a token bucket.
type RateLimit struct {
	PerSecond float64
	Burst     int
}

// RateLimits bounds the calls of one process to the key-value service, per kind. A
// watch takes one token each time it is sent and is counted as one call however
// long the service blocks it.
type RateLimits struct {
	Reads   RateLimit
	Writes  RateLimit
	Watches RateLimit
}

// DefaultRateLimits suits a service that handles several hundred writes and 2,000
// reads per second. Most of the 4,940 processes at the target size are idle
// towards the service; only watchers and preferred writers of the ledger use
// their share, and the ledger's bound is 150 writes/s over all of them.
func DefaultRateLimits() RateLimits {
	return RateLimits{
		Reads:   RateLimit{PerSecond: 200, Burst: 400},
		Writes:  RateLimit{PerSecond: 100, Burst: 100},
		Watches: RateLimit{PerSecond: 5, Burst: 10},
	}
}

// Counts are the calls of one kind since the start.
type Counts struct {
	// Calls were sent to the service.
	Calls uint64 `json:"calls"`
	// Failures are calls that ended with ErrUnavailable.
	Failures uint64 `json:"failures"`
	// Delayed are calls that waited for the budget.
	Delayed uint64 `json:"delayed"`
	// Refused are calls that the budget did not let through.
	Refused uint64 `json:"refused"`
	// Pending are calls that the service has not answered yet.
	Pending int64 `json:"pending"`
}

// CallCounts are the counts for each kind of call.
type CallCounts struct {
	Reads   Counts `json:"reads"`
	Writes  Counts `json:"writes"`
	Watches Counts `json:"watches"`
}

// meter enforces the budget of one kind of call and counts the calls.
type meter struct {
	limiter  *rate.Limiter
	calls    atomic.Uint64
	failures atomic.Uint64
	delayed  atomic.Uint64
	refused  atomic.Uint64
	pending  atomic.Int64
}

func newMeter(r RateLimit) *meter {
	return &meter{limiter: rate.NewLimiter(rate.Limit(r.PerSecond), max(r.Burst, 1))}
}

// take waits for a token, but no longer than maxWait.
func (m *meter) take(ctx context.Context, maxWait time.Duration) error {
	if m.limiter.Allow() {
		return nil
	}
	m.delayed.Add(1)
	waitCtx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	if err := m.limiter.Wait(waitCtx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		m.refused.Add(1)
		return ErrRateLimited
	}
	return nil
}

func (m *meter) begin() {
	m.calls.Add(1)
	m.pending.Add(1)
}

func (m *meter) end(err error) {
	m.pending.Add(-1)
	if errors.Is(err, ErrUnavailable) {
		m.failures.Add(1)
	}
}

func (m *meter) counts() Counts {
	return Counts{
		Calls:    m.calls.Load(),
		Failures: m.failures.Load(),
		Delayed:  m.delayed.Load(),
		Refused:  m.refused.Load(),
		Pending:  m.pending.Load(),
	}
}
