package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/place"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// maxBufferedResponse is the size below which the response of a plain service is
	// read completely before it is forwarded, in bytes. Such responses are never
	// forwarded in part.
	maxBufferedResponse = 256 << 10
	// nonRepeatableMaxIdle limits how long a reused connection may have been idle
	// before it carries a request that cannot be repeated. The upstream may close a
	// connection at any moment after a long idle time.
	nonRepeatableMaxIdle = 700 * time.Millisecond
	// repeatableMaxIdle is the same limit for requests that can be repeated.
	repeatableMaxIdle = 3 * time.Second
	// maxUnsent limits the attempts that did not reach an upstream.
	maxUnsent = 4
	// hedgeDelay is how long an idempotent request waits for a response before it is
	// also sent to a second upstream.
	hedgeDelay = 90 * time.Millisecond
	// hedgeReserve is the share of the retry budget that hedged requests leave for
	// retries.
	hedgeReserve = 0.5
	// retryReserve is the share of the retry budget that retries of failed responses
	// leave for requests that no upstream has run.
	retryReserve = 0.1
)

// servePlain answers a call to a service that is not a model engine.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *Call) outcome {
	g.retryBudget.RecordRequest(c.Service.Name, c.Received)
	if refusal := g.plainQueue.wait(ctx, c); refusal != nil {
		return outcome{err: refusal}
	}
	run := newPlainExchange(g, c)
	// The end of the context ends all attempts. The one whose response is passed on
	// lasts until then, since a part of a long response is still to be read.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer run.memory.releaseAll()
	best := run.serve(ctx)
	run.cancelOthers(best)
	res := outcome{attempts: run.sent}
	if best != nil && best.upstream != nil {
		res.upstream = best.upstream.Instance().ID
	}
	if best != nil && best.answered() {
		res.status = best.resp.Status
		res.recordResponse(best.resp)
		res.firstByte = time.Now()
		g.recordCompletion(c, res.firstByte)
		res.abortCause = g.writeResponse(ctx, w, c, best)
		return res
	}
	res.err = run.finalError(ctx, best)
	return res
}

// maxConcurrent limits the attempts of one request that are in progress at once.
const maxConcurrent = 2

// plainExchange carries one call through its attempts.
type plainExchange struct {
	gateway *Gateway
	call    *Call
	results chan *attemptResult
	tried   []*fleet.Upstream
	// cancels ends the attempt at each upstream.
	cancels    map[*fleet.Upstream]context.CancelFunc
	active     int
	sent       int
	unsent     int
	mayHaveRun bool
	refused    bool
	// limitWait is the time after which an upstream takes the call whose limit forbade
	// the last attempt, or 0 if no limit did.
	limitWait time.Duration
	// memory counts the responses of the attempts.
	memory responseMemory
}

func newPlainExchange(g *Gateway, c *Call) *plainExchange {
	return &plainExchange{
		gateway: g,
		memory:  responseMemory{budget: g.memory},
		call:    c,
		results: make(chan *attemptResult, maxConcurrent+maxUnsent),
		cancels: make(map[*fleet.Upstream]context.CancelFunc),
	}
}

// cancelOthers ends all attempts but the one with the result best, which may be nil.
func (p *plainExchange) cancelOthers(best *attemptResult) {
	for u, cancel := range p.cancels {
		if best == nil || u != best.upstream {
			cancel()
		}
	}
}

// serve returns the result to forward, or the last failure. It returns nil if no
// upstream is available.
func (p *plainExchange) serve(ctx context.Context) *attemptResult {
	if !p.startFirst(ctx) {
		return nil
	}
	var fallback *attemptResult
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case r := <-p.results:
			p.active--
			p.recordResult(r)
			if r.acceptable() || (r.answered() && !p.call.Route.Repeatable()) {
				return r
			}
			if fallback == nil || !fallback.answered() {
				fallback = r
			}
			if !p.retry(ctx, r) && p.active == 0 {
				return fallback
			}
		case <-hedge.C:
			if p.call.Route.Repeatable() && p.sent < max(1, p.call.Route.MaxAttempts) &&
				p.gateway.retryBudget.TrySpend(p.call.Service.Name, time.Now(), hedgeReserve) {
				p.startAttempt(ctx)
			}
		case <-ctx.Done():
			return p.awaitEnded(fallback)
		}
	}
}

// endedAttemptWait is how long the results of attempts are waited for after their context has
// ended, which ends them at once. It is a part of responseMargin.
const endedAttemptWait = responseMargin / 3

// awaitEnded returns the result to forward after the context has ended. The attempts in
// progress tell whether an upstream may have run the call: one that was not sent has not.
func (p *plainExchange) awaitEnded(fallback *attemptResult) *attemptResult {
	limit := time.NewTimer(endedAttemptWait)
	defer limit.Stop()
	for p.active > 0 {
		select {
		case r := <-p.results:
			p.active--
			p.recordResult(r)
			if fallback == nil || !fallback.answered() {
				fallback = r
			}
		case <-limit.C:
			return fallback
		}
	}
	return fallback
}

// retry starts another attempt after a result that cannot be forwarded, if the
// limits allow it.
func (p *plainExchange) retry(ctx context.Context, r *attemptResult) bool {
	if ctx.Err() != nil || p.active > 0 {
		return false
	}
	p.gateway.logFailedAttempt(p.call, r)
	if refusalIn(r.err) != nil {
		return false
	}
	neverSent := r.err != nil && !r.mayHaveRun
	if neverSent {
		if p.unsent++; p.unsent > maxUnsent {
			return false
		}
		return p.startAttempt(ctx)
	}
	if r.mayHaveRun && (!p.call.Route.Repeatable() || p.sent >= max(1, p.call.Route.MaxAttempts)) {
		return false
	}
	return p.gateway.allowRetry(p.call, retryReserve) && p.startAttempt(ctx)
}

// startFirst starts the first attempt. If the limits of the upstreams forbid it now, it
// waits for them as long as the response can still be in time.
func (p *plainExchange) startFirst(ctx context.Context) bool {
	for !p.startAttempt(ctx) {
		if p.limitWait == 0 || time.Now().Add(p.limitWait).After(p.call.limitDeadline()) || !wait.For(ctx, p.limitWait) {
			return false
		}
	}
	return true
}

// startAttempt sends the call to the best upstream that has not been tried yet.
func (p *plainExchange) startAttempt(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false // an attempt that fails at once would count as one that may have run
	}
	choice := p.gateway.choosePlain(p.call.Service.Name, p.tried, versionPin{})
	p.limitWait = choice.wait
	u := choice.upstream
	if u == nil {
		return false
	}
	p.tried = append(p.tried, u)
	p.active++
	p.sent++
	ctx, p.cancels[u] = context.WithCancel(ctx)
	u.InFlight.Add(1)
	go func() { p.results <- p.gateway.sendPlain(ctx, p.call, u, &p.memory) }()
	return true
}

// recordResult records whether an upstream may have run or refused the call.
func (p *plainExchange) recordResult(r *attemptResult) {
	if r.mayHaveRun {
		p.mayHaveRun = true
		return
	}
	p.sent--
	if r.err == nil {
		p.refused = true
	}
}

// finalError returns the error for the client if no upstream answered.
func (p *plainExchange) finalError(ctx context.Context, last *attemptResult) *fault.Error {
	// An attempt that is still in progress may have run.
	maybeRan := p.mayHaveRun || p.active > 0
	cause := context.Cause(ctx)
	if last != nil && last.err != nil {
		cause = last.err
	}
	if maybeRan {
		if errors.Is(context.Cause(ctx), errDeadlineExceeded) {
			return timeoutError(cause, fault.Unknown)
		}
		return upstreamFailedError(cause)
	}
	if last != nil && refusalIn(last.err) != nil {
		return refusalIn(last.err)
	}
	if p.limitWait > 0 {
		return limitedError(p.limitWait)
	}
	if p.refused {
		return overloadedError(overloadRetryAfter(), "every upstream of the service is full")
	}
	return noUpstreamError(p.call.Service.Name).WithCause(cause)
}

// overloadRetryAfter returns a random delay, which spreads the retries of refused
// clients.
func overloadRetryAfter() time.Duration {
	const minMillis, spreadMillis = 80, 200
	return time.Duration(minMillis+rand.IntN(spreadMillis)) * time.Millisecond
}

// plainChoice is the result of choosePlain.
type plainChoice struct {
	// upstream is the selected upstream, or nil if there is none.
	upstream *fleet.Upstream
	// wait is the time until an upstream takes a request that its limit forbids now, or
	// 0 if no limit stands in the way.
	wait time.Duration
}

// choosePlain selects the upstream with the lowest cost that has not been tried, and
// counts the request against its limit.
func (g *Gateway) choosePlain(service string, tried []*fleet.Upstream, pin versionPin) plainChoice {
	now := time.Now()
	gateways := g.RecentGateways()
	var buf [16]place.Candidate
	ups, candidates, wait := g.plainCandidates(buf[:0], service, tried, pin, now)
	choice := plainChoice{wait: wait}
	for {
		i := place.Select(candidates, rand.Float64())
		if i < 0 {
			return choice
		}
		if ups[i].TakeLimit(1, gateways, now) {
			return plainChoice{upstream: ups[i]}
		}
		// Another request was faster.
		candidates[i].Excluded = true
		choice.wait = shorter(choice.wait, ups[i].LimitWait(gateways, now))
	}
}

// plainCandidates appends the upstreams of the service to candidates. wait is the time until
// one that is excluded only by its limit takes a request, or 0 if there is none.
func (g *Gateway) plainCandidates(candidates []place.Candidate, service string, tried []*fleet.Upstream, pin versionPin, now time.Time) (ups []*fleet.Upstream, _ []place.Candidate, wait time.Duration) {
	ups = g.Fleet.Snapshot().Service(service)
	gateways := g.RecentGateways()
	for _, u := range ups {
		h := u.Health(now)
		f := u.Instance()
		excluded := !u.Usable() || !pin.allows(f) || contains(tried, u)
		if limited := u.LimitWait(gateways, now); !excluded && limited > 0 {
			excluded = true
			wait = shorter(wait, limited)
		}
		candidates = append(candidates, place.Candidate{
			InFlight:     float64(u.InFlight.Load()),
			Slots:        f.Slots,
			LatencyMs:    h.LatencyMs,
			FailureShare: h.FailureShare,
			SameDomain:   f.FailureDomain == g.FailureDomain,
			Avoid:        h.Avoid || h.Full,
			Excluded:     excluded,
		})
	}
	return ups, candidates, wait
}

// shorter returns the shorter of two waits, of which 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

func contains(list []*fleet.Upstream, u *fleet.Upstream) bool {
	for _, x := range list {
		if x == u {
			return true
		}
	}
	return false
}

// sendPlain sends the call to the upstream, reads the whole response if it
// answered, and updates the upstream's health. The caller has counted the attempt as in
// flight. The response counts in memory.
func (g *Gateway) sendPlain(ctx context.Context, c *Call, u *fleet.Upstream, memory *responseMemory) *attemptResult {
	defer g.endPlain(u)
	began := time.Now()
	maxIdle := nonRepeatableMaxIdle
	if c.Route.Repeatable() {
		maxIdle = repeatableMaxIdle
	}
	r := g.send(ctx, c, u, Attempt{Purpose: Execute, To: u.Instance(), Timeout: g.timeout(c, began), ResumeAfter: c.ResumeAfter}, maxIdle)
	if r.answered() {
		r.body, r.whole, r.err = memory.read(r.resp)
		if r.err == nil && r.whole {
			r.err = g.confirmEnd(ctx, c, r.instance, r.resp.Framing)
		}
		if r.err != nil && ctx.Err() == nil {
			g.Metrics.brokenAnswer(c.Service.Name, r.resp.Framing, r.err)
		}
	}
	r.duration = time.Since(began)
	g.plainQueue.recordWork(c, r.duration)
	g.recordHealth(ctx, c, u, r)
	return r
}

// endPlain records that an attempt at the upstream has ended.
func (g *Gateway) endPlain(u *fleet.Upstream) {
	u.InFlight.Add(-1)
	g.plainQueue.released(u.Instance().Service)
}

// writeResponse forwards a response. If it returns an error, the forwarded response
// is incomplete and the client's connection must be closed.
func (g *Gateway) writeResponse(ctx context.Context, w http.ResponseWriter, c *Call, r *attemptResult) error {
	defer func() { _ = r.resp.Body.Close() }()
	g.writeHead(w, r.resp)
	switch {
	case r.resp.Bodiless:
		// writeHead has set the length that the upstream named.
	case r.whole:
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	case r.resp.ContentLength >= 0:
		w.Header().Set("Content-Length", strconv.FormatInt(r.resp.ContentLength, 10))
	}
	w.WriteHeader(r.resp.Status)
	if _, err := w.Write(r.body); err != nil {
		return errors.Wrap(errClientDisconnected, err.Error())
	}
	if r.whole {
		return nil
	}
	if _, err := io.Copy(w, r.resp.Body); err != nil {
		return errors.Wrap(err, "relay response body")
	}
	return g.confirmEnd(ctx, c, r.instance, r.resp.Framing)
}

func (g *Gateway) writeHead(w http.ResponseWriter, resp *exchange.Response) {
	h := w.Header()
	CopyEndToEndHeaders(h, resp.Header)
	if length := resp.Header.Get("Content-Length"); length != "" && resp.Bodiless {
		h.Set("Content-Length", length)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the upstream sent none; net/http would guess one
	}
}
