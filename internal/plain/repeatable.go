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
func (rt *Router) runRepeatable(ctx context.Context, c *call) (attemptResult, *fault.Error) {
	r := &hedgedCall{
		router:  rt,
		call:    c,
		results: make(chan attemptResult, maxAttempts),
		tried:   make(map[string]bool),
		cancels: make(map[uint32]context.CancelFunc),
	}
	if !r.startAttempt(ctx) {
		return attemptResult{}, noUpstreamFault(c.route.Pool)
	}
	rt.budget.deposit(c.caller.Name, r.latest.Upstream, c.snapshot.Policy.RetryBudget)
	return r.run(ctx)
}

// run waits for the results of the attempts, and starts further ones after failures
// or when a result is late, until the call is finished.
func (h *hedgedCall) run(ctx context.Context) (attemptResult, *fault.Error) {
	hedge := time.NewTimer(h.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case res := <-h.results:
			h.running--
			if done, f, over := h.handleResult(ctx, res); over {
				h.cancelOthers(done)
				return done, f
			}
		case <-hedge.C:
			if h.startAnother(ctx, attemptResult{member: h.latest}) {
				h.router.counters.hedges.Add(1)
			}
		}
	}
}

// handleResult processes the result of one attempt. The last return value is true
// when the call is finished.
func (h *hedgedCall) handleResult(ctx context.Context, res attemptResult) (attemptResult, *fault.Error, bool) {
	if res.hasResponse() && !retryableStatus(res.response.StatusCode) {
		h.router.latencies.observe(h.call.route.Name, res.elapsed)
		return res, nil, true
	}
	h.saveFallback(res)
	if h.startAnother(ctx, res) {
		h.router.counters.retriesRepeatable.Add(1)
		return attemptResult{}, nil, false
	}
	if h.running > 0 {
		return attemptResult{}, nil, false
	}
	if h.fallback.hasResponse() {
		return h.fallback, nil, true
	}
	return attemptResult{}, exhaustedFault(ctx, h.fallback), true
}

// saveFallback keeps the failure that is reported to the caller if no attempt
// succeeds. A response from the service takes precedence over any other failure.
func (h *hedgedCall) saveFallback(res attemptResult) {
	if h.fallback.hasResponse() {
		res.close()
		return
	}
	h.fallback = res
}

// hedgeDelay returns the time after which a second attempt starts if the first has
// no result. It is a fixed part of the timeout if hedging is off or the route's
// latency is not known yet, and at most that otherwise.
func (h *hedgedCall) hedgeDelay() time.Duration {
	maxDelay := h.call.timeout / secondAttemptDivisor
	if !h.call.snapshot.Policy.Hedge {
		return maxDelay
	}
	if d, ok := h.router.latencies.hedgeDelay(h.call.route.Name); ok {
		return min(d, maxDelay)
	}
	return maxDelay
}

// startAnother starts one more attempt because of a failed or slow one, if the
// budget, the body and the remaining time allow it. A retry because of an upstream
// that is leaving is not charged to the budget, since a planned stop must not make
// calls fail.
func (h *hedgedCall) startAnother(ctx context.Context, cause attemptResult) bool {
	if ctx.Err() != nil || h.started >= maxAttempts || !h.call.body.replayable() {
		return false
	}
	upstream := cause.member.Upstream
	if cause.reason != reasonLeaving && !h.router.budget.withdraw(h.call.caller.Name, upstream) {
		h.router.recordEvent(h.call, 0, "retry-budget-spent", upstream, "")
		return false
	}
	return h.startAttempt(ctx)
}

// startAttempt starts an attempt at the next upstream and reports whether there is
// one.
func (h *hedgedCall) startAttempt(ctx context.Context) bool {
	m, delay, ok := h.nextUpstream()
	if !ok {
		return false
	}
	h.tried[m.Upstream] = true
	h.latest = m
	h.started++
	h.running++
	ctx, cancel := context.WithCancel(ctx)
	n := h.started
	h.cancels[n] = cancel
	go func() {
		if delay > 0 {
			wait.For(ctx, delay)
		}
		h.results <- h.router.attempt(ctx, h.call, m, n)
	}()
	return true
}

// nextUpstream chooses the upstream of the next attempt. When no untried upstream
// is left and no attempt is running, it chooses one that has already been tried,
// with a delay.
func (h *hedgedCall) nextUpstream() (membership.Member, time.Duration, bool) {
	pool := h.call.route.Pool
	if m, ok := h.router.upstreams.choose(h.call.snapshot, pool, h.tried); ok {
		return m, 0, true
	}
	if h.running > 0 {
		return membership.Member{}, 0, false
	}
	m, ok := h.router.upstreams.choose(h.call.snapshot, pool, nil)
	return m, sameUpstreamRetryDelay, ok
}

// cancelOthers cancels the attempts other than the winner and closes their
// responses.
func (h *hedgedCall) cancelOthers(winner attemptResult) {
	for n, cancel := range h.cancels {
		if n != winner.number {
			cancel()
		}
	}
	if h.fallback.hasResponse() && h.fallback.response != winner.response {
		h.fallback.close()
	}
	for range h.running {
		go func() { (<-h.results).close() }()
	}
}

// retryableStatus reports whether a response with this status is treated as a failed
// attempt.
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
