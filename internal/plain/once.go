package plain

import (
	"context"
	"net/http"

	"github.com/fescueslip/fescueslip/internal/fault"
)

// maxAttempts bounds the upstreams that one call tries.
const maxAttempts = 3

// serveOnce answers a non-repeatable call. The call is not cancelled when its
// caller leaves: cancelling could not undo the work, only hide its outcome.
func (p *Router) serveOnce(w http.ResponseWriter, c *call) *fault.Error {
	ctx, silence := watchSilence(context.WithoutCancel(c.request.Context()), c.timeout+hopMargin)
	defer silence.stop()
	res, f := p.runOnce(ctx, c)
	if f != nil {
		return f
	}
	res.response.Body = silence.watch(res.response.Body)
	pass(w, res.response, nil)
	return nil
}

// runOnce submits the call to a service at most once. It goes on to another
// upstream only after proof that the service did not see the call.
func (p *Router) runOnce(ctx context.Context, c *call) (result, *fault.Error) {
	tried := make(map[string]bool)
	var last result
	for n := range uint32(maxAttempts) {
		m, ok := p.upstreams.choose(c.snapshot, c.route.Pool, tried)
		if !ok {
			break
		}
		tried[m.Upstream] = true
		if n > 0 {
			p.counts.retriesOnce.Add(1)
		}
		last = p.attempt(ctx, c, m, n+1)
		if last.answered() {
			return last, nil
		}
		if last.mayHaveRun {
			return last, lostFault(ctx, last)
		}
		if !c.body.replayable() || ctx.Err() != nil {
			break
		}
	}
	if len(tried) == 0 {
		return last, noUpstream(c.route.Pool)
	}
	return last, refusal(last)
}

// lostFault is the fault for a call that was sent and got no answer.
func lostFault(ctx context.Context, res result) *fault.Error {
	const remedy = "check whether the work was done before sending it again"
	if res.reason == reasonSilent || fellSilent(ctx) {
		return fault.New(fault.KindUpstreamTimeout, remedy, "the service did not answer in time").
			WithOutcome(fault.Unknown).WithCause(res.err)
	}
	return fault.New(fault.KindUpstreamFailed, remedy, "the connection to the service broke").
		WithOutcome(fault.Unknown).WithCause(res.err)
}
