package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// servePlainStream answers a stream of a service that is no model engine: it is
// sent until an upstream takes it, and never again after that.
func (g *Gateway) servePlainStream(ctx context.Context, w http.ResponseWriter, c *Call) outcome {
	g.budget.Request(c.Service.Name, c.Received)
	var res outcome
	var tried []*fleet.Upstream
	for {
		u := g.choosePlain(c.Service.Name, tried)
		if u == nil {
			res.err = refuseOverloaded(overloadRetryAfter(), "no upstream took the request")
			return res
		}
		tried = append(tried, u)
		res.attempts++
		res.upstream = u.Instance().ID
		r, done := g.relayPlainStream(ctx, w, c, u, &res)
		if done {
			return res
		}
		if ctx.Err() != nil || (r.err == nil && !g.budget.Spend(c.Service.Name, time.Now(), retryReserve)) {
			res.err = refuseOverloaded(overloadRetryAfter(), "no upstream took the request")
			return res
		}
	}
}

// relayPlainStream sends the call to one upstream and relays its answer; done is
// false if the upstream certainly did not run it.
func (g *Gateway) relayPlainStream(ctx context.Context, w http.ResponseWriter, c *Call, u *fleet.Upstream, res *outcome) (r *reply, done bool) {
	u.InFlight.Add(1)
	defer u.InFlight.Add(-1)
	began := time.Now()
	r = g.send(ctx, c, u, Attempt{Purpose: Execute, To: u.Instance(), Timeout: c.Remaining(began), ResumeAfter: c.ResumeAfter}, onceMaxIdle)
	r.took = time.Since(began)
	g.observe(ctx, c, u, r)
	if !r.mayHaveRun {
		return r, false
	}
	if r.err != nil {
		res.err = failUpstream(r.err)
		if errors.Is(context.Cause(ctx), errDeadline) {
			res.err = failTimeout(r.err, res.err.Outcome)
		}
		return r, true
	}
	defer func() { _ = r.resp.Body.Close() }()
	res.status = r.resp.Status
	g.writeHead(w, r.resp)
	w.WriteHeader(r.resp.Status)
	relay := newStreamRelay(w)
	res.abort = relay.copy(r.resp.Body)
	g.noteStreamEnd(ctx, c, r.to, res.abort)
	res.first = relay.first
	return r, true
}
