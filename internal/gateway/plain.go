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
)

const (
	// bufferedAnswer is the longest answer of a plain service that is read whole
	// before it is passed on, in bytes; such answers are never passed on in part.
	bufferedAnswer = 256 << 10
	// onceMaxIdle bounds the idle time of a connection for a request that must
	// not be lost: a long idle one may be closed by the upstream at any moment.
	onceMaxIdle = 700 * time.Millisecond
	// repeatMaxIdle is the same for requests that can be sent again.
	repeatMaxIdle = 3 * time.Second
	// unreachablePause keeps an upstream that gave no answer out of the choice.
	unreachablePause = 400 * time.Millisecond
	// fullPause keeps an upstream that refused work out of the choice.
	fullPause = 60 * time.Millisecond
	// maxUnsent bounds the tries that never reached an upstream.
	maxUnsent = 4
	// hedgeAfter is when a second upstream is asked for an idempotent request
	// that has no answer yet.
	hedgeAfter = 90 * time.Millisecond
	// hedgeReserve is the part of the retry budget that hedges leave for retries.
	hedgeReserve = 0.5
	// retryReserve is the part of the retry budget that retries of failed answers
	// leave for requests that no upstream has run.
	retryReserve = 0.1
	// connShare divides the connection limit of an upstream between gateways,
	// with room for gateways that are not known yet.
	connShare = 1.5
	// minConns is the least number of connections that a gateway may open to one upstream.
	minConns = 3
)

// reply is how one send ended.
type reply struct {
	upstream *fleet.Upstream
	// to are the upstream's facts at the time of the send.
	to      *fleet.Instance
	resp    *exchange.Response
	body    []byte
	verdict ResponseClass
	err     error
	// mayHaveRun is false only if the upstream certainly did not run the request.
	mayHaveRun bool
	took       time.Duration
}

func (r *reply) answered() bool { return r.err == nil && r.verdict == Answered }

// sound reports whether the answer is worth passing on without another try.
func (r *reply) sound() bool {
	return r.answered() && r.resp.Status < http.StatusInternalServerError
}

// servePlain answers a call of a plain service.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *Call) outcome {
	g.budget.Request(c.Service.Name, c.Received)
	run := &plainRun{g: g, call: c, replies: make(chan *reply, maxConcurrent+maxUnsent)}
	best := run.do(ctx)
	res := outcome{attempts: run.sent}
	if best != nil && best.upstream != nil {
		res.upstream = best.upstream.Instance().ID
	}
	if best != nil && best.answered() {
		res.status = best.resp.Status
		res.first = time.Now()
		g.completed(c, res.first)
		res.abort = g.writeAnswer(w, best)
		return res
	}
	res.err = run.failure(ctx, best)
	return res
}

// maxConcurrent bounds the sends of one request that are under way at once.
const maxConcurrent = 2

// plainRun carries one call through its attempts.
type plainRun struct {
	g       *Gateway
	call    *Call
	replies chan *reply
	tried   []*fleet.Upstream
	active  int
	sent    int
	unsent  int
	ranAny  bool
	refused bool
}

// do returns the reply to pass on, or the last failure; nil if no upstream exists.
func (p *plainRun) do(ctx context.Context) *reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !p.start(ctx) {
		return nil
	}
	var fallback *reply
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for {
		select {
		case r := <-p.replies:
			p.active--
			p.note(r)
			if r.sound() || (r.answered() && !p.call.Route.Repeatable()) {
				return r
			}
			if fallback == nil || !fallback.answered() {
				fallback = r
			}
			if !p.again(ctx, r) && p.active == 0 {
				return fallback
			}
		case <-hedge.C:
			if p.call.Route.Repeatable() && p.sent < max(1, p.call.Route.MaxAttempts) &&
				p.g.budget.Spend(p.call.Service.Name, time.Now(), hedgeReserve) {
				p.start(ctx)
			}
		case <-ctx.Done():
			return fallback
		}
	}
}

// again starts another attempt after a reply that cannot be passed on.
func (p *plainRun) again(ctx context.Context, r *reply) bool {
	if ctx.Err() != nil || p.active > 0 {
		return false
	}
	p.g.logAttempt(p.call, r)
	neverSent := r.err != nil && !r.mayHaveRun
	if neverSent {
		if p.unsent++; p.unsent > maxUnsent {
			return false
		}
		return p.start(ctx)
	}
	if r.mayHaveRun && (!p.call.Route.Repeatable() || p.sent >= max(1, p.call.Route.MaxAttempts)) {
		return false
	}
	return p.g.repeats(p.call, retryReserve) && p.start(ctx)
}

// logAttempt tells why a send did not give the answer.
func (g *Gateway) logAttempt(c *Call, r *reply) {
	status, cause := 0, ""
	if r.resp != nil {
		status = r.resp.Status
	}
	if r.err != nil {
		cause = r.err.Error()
	}
	g.Logger.Info("attempt failed", "request", c.ID, "upstream", r.upstream.Instance().ID, "status", status,
		"may_have_run", r.mayHaveRun, "ms", r.took.Milliseconds(), "cause", cause)
}

// start sends the call to the best upstream that has not been tried.
func (p *plainRun) start(ctx context.Context) bool {
	u := p.g.choosePlain(p.call.Service.Name, p.tried)
	if u == nil {
		return false
	}
	p.tried = append(p.tried, u)
	p.active++
	p.sent++
	go func() { p.replies <- p.g.sendPlain(ctx, p.call, u) }()
	return true
}

// note remembers what a reply proves.
func (p *plainRun) note(r *reply) {
	if r.mayHaveRun {
		p.ranAny = true
		return
	}
	p.sent--
	if r.err == nil {
		p.refused = true
	}
}

// failure is the gateway's own answer when no upstream gave one.
func (p *plainRun) failure(ctx context.Context, last *reply) *fault.Error {
	// An attempt that is still under way may run.
	maybeRan := p.ranAny || p.active > 0
	cause := context.Cause(ctx)
	if last != nil && last.err != nil {
		cause = last.err
	}
	if maybeRan {
		if errors.Is(context.Cause(ctx), errDeadline) {
			return failTimeout(cause, fault.Unknown)
		}
		return failUpstream(cause)
	}
	if p.refused {
		return refuseOverloaded(overloadRetryAfter(), "every upstream of the service is full")
	}
	return refuseNoUpstream(p.call.Service.Name).WithCause(cause)
}

// overloadRetryAfter spreads the clients that return after a refusal.
func overloadRetryAfter() time.Duration {
	const least, spread = 80, 200
	return time.Duration(least+rand.IntN(spread)) * time.Millisecond
}

func (g *Gateway) choosePlain(service string, tried []*fleet.Upstream) *fleet.Upstream {
	now := time.Now()
	ups := g.Fleet.Snapshot().Service(service)
	var buf [16]place.Candidate
	candidates := buf[:0]
	for _, u := range ups {
		h := u.Health(now)
		f := u.Instance()
		candidates = append(candidates, place.Candidate{
			InFlight:     float64(u.InFlight.Load()),
			Slots:        f.Slots,
			LatencyMs:    h.LatencyMs,
			FailureShare: h.FailureShare,
			SameDomain:   f.FailureDomain == g.FailureDomain,
			Avoid:        h.Avoid || h.Full,
			Excluded:     !u.Usable() || contains(tried, u),
		})
	}
	if i := place.Select(candidates, rand.Float64()); i >= 0 {
		return ups[i]
	}
	return nil
}

func contains(list []*fleet.Upstream, u *fleet.Upstream) bool {
	for _, x := range list {
		if x == u {
			return true
		}
	}
	return false
}

func (g *Gateway) sendPlain(ctx context.Context, c *Call, u *fleet.Upstream) *reply {
	u.InFlight.Add(1)
	defer u.InFlight.Add(-1)
	began := time.Now()
	maxIdle := onceMaxIdle
	if c.Route.Repeatable() {
		maxIdle = repeatMaxIdle
	}
	r := g.send(ctx, c, u, Attempt{Purpose: Execute, To: u.Instance(), Timeout: c.Remaining(began), ResumeAfter: c.ResumeAfter}, maxIdle)
	if r.answered() {
		r.body, r.err = readAnswer(r.resp)
	}
	r.took = time.Since(began)
	g.observe(ctx, c, u, r)
	return r
}

// send performs one exchange and judges its answer; the body is still unread
// unless the answer is a refusal.
func (g *Gateway) send(ctx context.Context, c *Call, u *fleet.Upstream, s Attempt, maxIdle time.Duration) *reply {
	r := &reply{upstream: u, to: s.To}
	r.resp, r.err = g.Pool.Do(ctx, &exchange.Request{
		Address:    s.To.Address,
		Method:     c.Method,
		Target:     c.Target,
		Host:       c.Host,
		Header:     g.Protocol.AttemptHeader(c, s),
		Body:       c.Body,
		EchoHeader: g.Protocol.EchoHeader(),
		EchoID:     c.ID,
		MaxIdle:    maxIdle,
		MaxConns:   g.connLimit(c),
	})
	if r.err != nil {
		var failed *exchange.Error
		r.mayHaveRun = !errors.As(r.err, &failed) || failed.Sent
		return r
	}
	r.verdict = g.Protocol.ClassifyResponse(r.resp.Status, r.resp.Header)
	r.mayHaveRun = r.verdict == Answered || r.verdict == Unverified
	if r.verdict == NotExecuted || r.verdict == WrongInstance {
		// The rest of a refusal only decides whether the connection is kept.
		if _, err := io.Copy(io.Discard, io.LimitReader(r.resp.Body, bufferedAnswer)); err != nil {
			g.Logger.Debug("refusal of an upstream ended early", "request", c.ID, "upstream", s.To.ID, "err", err)
		}
		_ = r.resp.Body.Close()
	}
	if r.verdict == Unverified {
		_ = r.resp.Body.Close()
		r.err = errors.Errorf("answer with status %d without proof that the upstream ran the request", r.resp.Status)
	}
	return r
}

func (g *Gateway) connLimit(c *Call) int {
	if c.Service.MaxConns <= 0 {
		return 0
	}
	return max(minConns, int(float64(c.Service.MaxConns)/(connShare*float64(max(1, g.RecentGateways())))))
}

// observe records what the reply says of the upstream.
func (g *Gateway) observe(ctx context.Context, c *Call, u *fleet.Upstream, r *reply) {
	now := time.Now()
	g.noteEnd(ctx, c, r, now)
	switch {
	case r.err != nil && ctx.Err() != nil:
		// Ended by the gateway or the client; a request that used up its time
		// still says something.
		if errors.Is(context.Cause(ctx), errDeadline) && !u.AnsweredSince(now.Add(-r.took)) {
			u.RecordUnreachable(now, unreachablePause)
			g.Pool.CloseIdle(u.Instance().Address)
		}
	case r.err != nil:
		u.RecordUnreachable(now, unreachablePause)
	case r.verdict == NotExecuted:
		u.RecordFull(now, fullPause)
	case r.verdict == WrongInstance:
		u.RecordUnreachable(now, unreachablePause)
	case r.resp.Status >= http.StatusInternalServerError:
		u.RecordError()
	default:
		u.RecordSuccess(r.took)
	}
}

// readAnswer reads a whole answer, up to the buffered length.
func readAnswer(resp *exchange.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer))
	if err != nil {
		_ = resp.Body.Close()
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) < bufferedAnswer {
		_ = resp.Body.Close()
	}
	return body, nil
}

// writeAnswer passes an answer on. A non-nil error means that the client's
// connection must be cut, since the answer is incomplete.
func (g *Gateway) writeAnswer(w http.ResponseWriter, r *reply) error {
	defer func() { _ = r.resp.Body.Close() }()
	g.writeHead(w, r.resp)
	whole := len(r.body) < bufferedAnswer
	if whole {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	} else if r.resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.resp.ContentLength, 10))
	}
	w.WriteHeader(r.resp.Status)
	if _, err := w.Write(r.body); err != nil {
		return errors.Wrap(errClientGone, err.Error())
	}
	if whole {
		return nil
	}
	if _, err := io.Copy(w, r.resp.Body); err != nil {
		return errors.Wrap(err, "relay a long answer")
	}
	return nil
}

func (g *Gateway) writeHead(w http.ResponseWriter, resp *exchange.Response) {
	h := w.Header()
	CopyEndToEndHeaders(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the upstream sent none; net/http would guess one
	}
}
