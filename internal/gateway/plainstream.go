package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// servePlainStream answers a streaming call to a service that is not a model engine.
// The call is sent to one upstream after the other until one accepts it, and is not
// repeated after that.
func (g *Gateway) servePlainStream(ctx context.Context, w http.ResponseWriter, c *Call) outcome {
	g.retryBudget.RecordRequest(c.Service.Name, c.Received)
	var res outcome
	pin, refusal := g.pinVersion(c, time.Now())
	if refusal != nil {
		return outcome{err: refusal}
	}
	if refusal := g.plainQueue.wait(ctx, c); refusal != nil {
		return outcome{err: refusal}
	}
	var tried []*fleet.Upstream
	for {
		choice := g.choosePlain(c.Service.Name, tried, pin)
		u := choice.upstream
		if u == nil && choice.wait > 0 {
			res.err = limitedError(choice.wait)
			return res
		}
		if u == nil {
			res.err = overloadedError(overloadRetryAfter(), "no upstream took the request")
			return res
		}
		tried = append(tried, u)
		res.attempts++
		res.upstream = u.Instance().ID
		r, done := g.relayPlainStream(ctx, w, c, u, &res)
		if done {
			return res
		}
		if refusal := refusalIn(r.err); refusal != nil {
			res.err = refusal
			return res
		}
		if ctx.Err() != nil || (r.err == nil && !g.retryBudget.TrySpend(c.Service.Name, time.Now(), retryReserve)) {
			res.err = overloadedError(overloadRetryAfter(), "no upstream took the request")
			return res
		}
	}
}

// relayPlainStream sends the call to one upstream and relays its response. done is
// false if the upstream certainly did not run the call.
func (g *Gateway) relayPlainStream(ctx context.Context, w http.ResponseWriter, c *Call, u *fleet.Upstream, res *outcome) (r *attemptResult, done bool) {
	u.InFlight.Add(1)
	defer g.endPlain(u)
	began := time.Now()
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	r = g.send(runCtx, c, u, Attempt{Purpose: Execute, To: u.Instance(), Timeout: g.timeout(c, began), ResumeAfter: c.ResumeAfter}, nonRepeatableMaxIdle)
	r.duration = time.Since(began)
	g.recordHealth(ctx, c, u, r)
	if !r.mayHaveRun {
		return r, false
	}
	if r.err != nil {
		res.err = upstreamFailedError(r.err)
		if errors.Is(context.Cause(ctx), errDeadlineExceeded) {
			res.err = timeoutError(r.err, res.err.Outcome)
		}
		return r, true
	}
	defer func() { _ = r.resp.Body.Close() }()
	res.status = r.resp.Status
	g.recordOrigin(c, r.instance)
	g.writeHead(w, r.resp)
	w.WriteHeader(r.resp.Status)
	relay := g.newStreamRelay(ctx, w)
	relay.beginRun(r.resp)
	relay.cancelRun = cancelRun
	res.recordResponse(r.resp)
	if res.abortCause = relay.copy(r.resp.Body); res.abortCause == nil {
		res.abortCause = g.confirmEnd(ctx, c, r.instance, r.resp.Framing)
	}
	g.recordStreamEnd(ctx, c, r.instance, relay, res.abortCause)
	res.firstByte = relay.firstWrite
	res.recordSlowness(relay)
	return r, true
}
