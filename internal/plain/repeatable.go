package plain

import (
	"context"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wait"
	"github.com/go-faster/errors"
)

const (
	// A second attempt starts when an upstream has sent nothing for the route's
	// timeout divided by secondAttemptDivisor, even when hedging is off.
	secondAttemptDivisor = 3
	// sameUpstreamRetryDelay is the delay before a retry at an upstream that has
	// already been tried, when the pool has no other.
	sameUpstreamRetryDelay = 50 * time.Millisecond
)

// hedgedCall runs the attempts of one repeatable call until one of them returns a
// usable response.
type hedgedCall struct {
	router   *Router
	call     *call
	results  chan attemptResult
	running  int
	started  uint32
	tried    map[string]bool
	latest   membership.Member
	cancels  map[uint32]context.CancelFunc
	fallback attemptResult
}

// runRepeatable retries failed attempts and hedges slow ones within the retry
// budget.
func (p *Router) runRepeatable(ctx context.Context, c *call) (attemptResult, *fault.Error) {
	r := &hedgedCall{
		router:  p,
		call:    c,
		results: make(chan attemptResult, maxAttempts),
		tried:   make(map[string]bool),
		cancels: make(map[uint32]context.CancelFunc),
	}
	if !r.startAttempt(ctx) {
		return attemptResult{}, noUpstreamFault(c.route.Pool)
	}
	p.budget.deposit(c.caller.Name, r.latest.Upstream, c.snapshot.Policy.RetryBudget)
	return r.run(ctx)
}

func (r *hedgedCall) run(ctx context.Context) (attemptResult, *fault.Error) {
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case res := <-r.results:
			r.running--
			if done, f, over := r.handleResult(ctx, res); over {
				r.cancelOthers(done)
				return done, f
			}
		case <-hedge.C:
			if r.startAnother(ctx, attemptResult{member: r.latest}) {
				r.router.counters.hedges.Add(1)
			}
		}
	}
}

// handleResult processes the result of one attempt. The last return value is true
// when the call is finished.
func (r *hedgedCall) handleResult(ctx context.Context, res attemptResult) (attemptResult, *fault.Error, bool) {
	if res.hasResponse() && !retryableStatus(res.response.StatusCode) {
		r.router.latencies.observe(r.call.route.Name, res.elapsed)
		return res, nil, true
	}
	r.saveFallback(res)
	if r.startAnother(ctx, res) {
		r.router.counters.retriesRepeatable.Add(1)
		return attemptResult{}, nil, false
	}
	if r.running > 0 {
		return attemptResult{}, nil, false
	}
	if r.fallback.hasResponse() {
		return r.fallback, nil, true
	}
	return attemptResult{}, exhaustedFault(ctx, r.fallback), true
}

// saveFallback keeps the failure that is reported to the caller if no attempt
// succeeds. A response from the service takes precedence over any other failure.
func (r *hedgedCall) saveFallback(res attemptResult) {
	if r.fallback.hasResponse() {
		res.close()
		return
	}
	r.fallback = res
}

func (r *hedgedCall) hedgeDelay() time.Duration {
	maxDelay := r.call.timeout / secondAttemptDivisor
	if !r.call.snapshot.Policy.Hedge {
		return maxDelay
	}
	if d, ok := r.router.latencies.hedgeDelay(r.call.route.Name); ok {
		return min(d, maxDelay)
	}
	return maxDelay
}

// startAnother starts one more attempt because of a failed or slow one, if the
// budget, the body and the remaining time allow it. A retry because of an upstream
// that is leaving is not charged to the budget, since a planned stop must not make
// calls fail.
func (r *hedgedCall) startAnother(ctx context.Context, cause attemptResult) bool {
	if ctx.Err() != nil || r.started >= maxAttempts || !r.call.body.replayable() {
		return false
	}
	upstream := cause.member.Upstream
	if cause.reason != reasonLeaving && !r.router.budget.withdraw(r.call.caller.Name, upstream) {
		r.router.recordEvent(r.call, 0, "retry-budget-spent", upstream, "")
		return false
	}
	return r.startAttempt(ctx)
}

func (r *hedgedCall) startAttempt(ctx context.Context) bool {
	m, delay, ok := r.nextUpstream()
	if !ok {
		return false
	}
	r.tried[m.Upstream] = true
	r.latest = m
	r.started++
	r.running++
	ctx, cancel := context.WithCancel(ctx)
	n := r.started
	r.cancels[n] = cancel
	go func() {
		if delay > 0 {
			wait.For(ctx, delay)
		}
		r.results <- r.router.attempt(ctx, r.call, m, n)
	}()
	return true
}

// nextUpstream chooses the upstream of the next attempt, and a delay before it
// when every upstream of the pool has already been tried.
func (r *hedgedCall) nextUpstream() (membership.Member, time.Duration, bool) {
	pool := r.call.route.Pool
	if m, ok := r.router.upstreams.choose(r.call.snapshot, pool, r.tried); ok {
		return m, 0, true
	}
	if r.running > 0 {
		return membership.Member{}, 0, false
	}
	m, ok := r.router.upstreams.choose(r.call.snapshot, pool, nil)
	return m, sameUpstreamRetryDelay, ok
}

// cancelOthers cancels the attempts other than the winner and closes their
// responses.
func (r *hedgedCall) cancelOthers(winner attemptResult) {
	for n, cancel := range r.cancels {
		if n != winner.number {
			cancel()
		}
	}
	if r.fallback.hasResponse() && r.fallback.response != winner.response {
		r.fallback.close()
	}
	for range r.running {
		go func() { (<-r.results).close() }()
	}
}

func retryableStatus(code int) bool {
	switch code {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// exhaustedFault is the error for a repeatable call of which every attempt failed.
func exhaustedFault(ctx context.Context, res attemptResult) *fault.Error {
	if !res.mayHaveRun {
		return notRunFault(res)
	}
	f := noResponseFault(ctx, res).WithRetryAfter(retryAfterLeaving)
	f.Remedy = "send the request again; the route is repeatable"
	if errors.Is(ctx.Err(), context.Canceled) {
		return f.WithRetryAfter(0)
	}
	return f
}
