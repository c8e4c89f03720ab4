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
	// silenceFraction of the route's timeout passes before an upstream that has
	// sent nothing is given company by a second try, also without hedging.
	silenceFraction = 3
	// sameUpstreamPause precedes a retry at an upstream that failed before,
	// when the pool has no other.
	sameUpstreamPause = 50 * time.Millisecond
)

// race runs the attempts of one repeatable call until one of them answers well.
type race struct {
	router   *Router
	call     *call
	results  chan result
	running  int
	started  uint32
	tried    map[string]bool
	last     membership.Member
	cancels  map[uint32]context.CancelFunc
	fallback result
}

// runRepeatable retries failures and hedges slow attempts within the budget.
func (p *Router) runRepeatable(ctx context.Context, c *call) (result, *fault.Error) {
	r := &race{
		router:  p,
		call:    c,
		results: make(chan result, maxAttempts),
		tried:   make(map[string]bool),
		cancels: make(map[uint32]context.CancelFunc),
	}
	if !r.start(ctx) {
		return result{}, noUpstream(c.route.Pool)
	}
	p.budget.earn(c.caller.Name, r.last.Upstream, c.snapshot.Policy.RetryBudget)
	return r.run(ctx)
}

func (r *race) run(ctx context.Context) (result, *fault.Error) {
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case res := <-r.results:
			r.running--
			if done, f, over := r.take(ctx, res); over {
				r.abandonOthers(done)
				return done, f
			}
		case <-hedge.C:
			if r.again(ctx, result{member: r.last}) {
				r.router.counts.hedges.Add(1)
			}
		}
	}
}

// take judges one result. It returns over when the call has its answer.
func (r *race) take(ctx context.Context, res result) (result, *fault.Error, bool) {
	if res.answered() && !retryableStatus(res.response.StatusCode) {
		r.router.latencies.observe(r.call.route.Name, res.took)
		return res, nil, true
	}
	r.keep(res)
	if r.again(ctx, res) {
		r.router.counts.retriesRepeatable.Add(1)
		return result{}, nil, false
	}
	if r.running > 0 {
		return result{}, nil, false
	}
	if r.fallback.answered() {
		return r.fallback, nil, true
	}
	return result{}, repeatableFault(ctx, r.fallback), true
}

// keep remembers the failure that the caller is told of if no attempt
// succeeds: an answer of the service before any other.
func (r *race) keep(res result) {
	if r.fallback.answered() {
		res.close()
		return
	}
	r.fallback = res
}

func (r *race) hedgeDelay() time.Duration {
	silence := r.call.timeout / silenceFraction
	if !r.call.snapshot.Policy.Hedge {
		return silence
	}
	if d, ok := r.router.latencies.hedgeDelay(r.call.route.Name); ok {
		return min(d, silence)
	}
	return silence
}

// again starts one more attempt because of a failed or slow one, if the budget,
// the body and the time allow. A leaving upstream costs no budget, since a
// planned stop must not make calls fail.
func (r *race) again(ctx context.Context, because result) bool {
	if ctx.Err() != nil || r.started >= maxAttempts || !r.call.body.replayable() {
		return false
	}
	upstream := because.member.Upstream
	if because.reason != reasonLeaving && !r.router.budget.spend(r.call.caller.Name, upstream) {
		r.router.record(r.call, 0, "retry-budget-spent", upstream, "")
		return false
	}
	return r.start(ctx)
}

func (r *race) start(ctx context.Context) bool {
	m, pause, ok := r.next()
	if !ok {
		return false
	}
	r.tried[m.Upstream] = true
	r.last = m
	r.started++
	r.running++
	ctx, cancel := context.WithCancel(ctx)
	n := r.started
	r.cancels[n] = cancel
	go func() {
		if pause > 0 {
			wait.For(ctx, pause)
		}
		r.results <- r.router.attempt(ctx, r.call, m, n)
	}()
	return true
}

// next chooses the upstream of the next attempt, and a pause before it when
// only upstreams that failed before are left.
func (r *race) next() (membership.Member, time.Duration, bool) {
	pool := r.call.route.Pool
	if m, ok := r.router.upstreams.choose(r.call.snapshot, pool, r.tried); ok {
		return m, 0, true
	}
	if r.running > 0 {
		return membership.Member{}, 0, false
	}
	m, ok := r.router.upstreams.choose(r.call.snapshot, pool, nil)
	return m, sameUpstreamPause, ok
}

// abandonOthers cancels the attempts that lost and closes their answers.
func (r *race) abandonOthers(winner result) {
	for n, cancel := range r.cancels {
		if n != winner.number {
			cancel()
		}
	}
	if r.fallback.answered() && r.fallback.response != winner.response {
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

// repeatableFault is the fault after all attempts of a repeatable call failed.
func repeatableFault(ctx context.Context, res result) *fault.Error {
	if !res.mayHaveRun {
		return refusal(res)
	}
	f := lostFault(ctx, res).WithRetryAfter(retryAfterLeaving)
	f.Remedy = "send the request again; the route is repeatable"
	if errors.Is(ctx.Err(), context.Canceled) {
		return f.WithRetryAfter(0)
	}
	return f
}
