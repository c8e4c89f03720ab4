package plain

import (
	"context"
	"net/http"

	"github.com/fescueslip/fescueslip/internal/fault"
)

// maxAttempts is the largest number of upstreams that one call tries.
const maxAttempts = 3

// serveNonRepeatable serves a non-repeatable call without an idempotency key. The
// call is not cancelled when its caller disconnects, because cancelling could not
// undo the work and would only hide its outcome.
func (rt *Router) serveNonRepeatable(w http.ResponseWriter, c *call) *fault.Error {
	ctx, idle := withIdleTimeout(context.WithoutCancel(c.request.Context()), c.timeout+sidecarTimeoutMargin)
	defer idle.stop()
	res, f := rt.submitAtMostOnce(ctx, c)
	if f != nil {
		return f
	}
	res.response.Body = idle.wrapBody(res.response.Body)
	writeResponse(w, res.response, nil)
	return nil
}

// submitAtMostOnce submits the call to a service at most once. It tries another
// upstream only after proof that the service did not receive the call.
func (rt *Router) submitAtMostOnce(ctx context.Context, c *call) (attemptResult, *fault.Error) {
	tried := make(map[string]bool)
	var last attemptResult
	for n := range uint32(maxAttempts) {
		m, ok := rt.upstreams.choose(c.snapshot, c.route.Pool, tried)
		if !ok {
			break
		}
		tried[m.Upstream] = true
		if n > 0 {
			rt.counters.retriesNonRepeatable.Add(1)
		}
		last = rt.attempt(ctx, c, m, n+1)
		if last.hasResponse() {
			return last, nil
		}
		if last.mayHaveRun {
			return last, noResponseFault(ctx, last)
		}
		if !c.body.replayable() || ctx.Err() != nil {
			break
		}
	}
	if len(tried) == 0 {
		return last, noUpstreamFault(c.route.Pool)
	}
	return last, notRunFault(last)
}

// noResponseFault is the error for a call that was sent and got no response.
func noResponseFault(ctx context.Context, res attemptResult) *fault.Error {
	const remedy = "check whether the work was done before sending it again"
	if res.reason == reasonIdleTimeout || isIdleTimeout(ctx) {
		return fault.New(fault.KindUpstreamTimeout, remedy, "the service did not answer in time").
			WithOutcome(fault.Unknown).WithCause(res.err)
	}
	return fault.New(fault.KindUpstreamFailed, remedy, "the connection to the service broke").
		WithOutcome(fault.Unknown).WithCause(res.err)
}
