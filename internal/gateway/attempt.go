package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

const (
	// unreachablePause is how long an upstream that did not respond is not selected.
	unreachablePause = 400 * time.Millisecond
	// fullPause is how long an upstream that refused work is not selected.
	fullPause = 60 * time.Millisecond
	// connLimitDivisor reduces each gateway's share of an upstream's connection
	// limit, which leaves connections for gateways that are not known yet.
	connLimitDivisor = 1.5
	// minConns is the minimum number of connections that a gateway may open to an
	// upstream.
	minConns = 3
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	upstream *fleet.Upstream
	// instance holds the upstream's properties at the time of the attempt.
	instance *fleet.Instance
	resp     *exchange.Response
	// body is the response body, or its beginning if whole is not set.
	body  []byte
	whole bool
	class ResponseClass
	err   error
	// mayHaveRun is false only if the upstream certainly did not run the request.
	mayHaveRun bool
	duration   time.Duration
}

func (r *attemptResult) answered() bool { return r.err == nil && r.class == Answered }

// acceptable reports whether the response can be forwarded without another attempt.
func (r *attemptResult) acceptable() bool {
	return r.answered() && r.resp.Status < http.StatusInternalServerError
}

// logFailedAttempt logs the reason why an attempt gave no usable response.
func (g *Gateway) logFailedAttempt(c *Call, r *attemptResult) {
	cause := ""
	if r.err != nil {
		cause = r.err.Error()
	}
	fields := append(r.logFields(), "ms", r.duration.Milliseconds(), "cause", cause)
	g.Logger.Info("attempt failed", append([]any{"request", c.ID}, fields...)...)
}

// logFields returns what tells why an attempt counts as executed or not.
func (r *attemptResult) logFields() []any {
	fields := []any{"upstream", r.instance.ID, "may_have_run", r.mayHaveRun}
	if r.resp == nil {
		return append(fields, "status", 0)
	}
	return append(fields, "status", r.resp.Status, "class", r.class.String(), "conn_reused", r.resp.Reused, "echoed", r.resp.Echoed)
}

// send performs one attempt and classifies the response. The body is left unread if
// the class is Answered.
func (g *Gateway) send(ctx context.Context, c *Call, u *fleet.Upstream, s Attempt, maxIdle time.Duration) *attemptResult {
	r := &attemptResult{upstream: u, instance: s.To}
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
		Carried:    &c.Carried,
		Admit:      func() error { return g.checkAdmitted(c, u) },
	})
	if r.err != nil {
		var failed *exchange.Error
		r.mayHaveRun = !errors.As(r.err, &failed) || failed.Sent
		return r
	}
	r.class = g.Protocol.ClassifyResponse(s.Purpose, r.resp.Status, r.resp.Header)
	if r.class.refused() && !r.resp.Echoed {
		// A refusal that names no request may belong to another one.
		r.class = Unverified
	}
	r.mayHaveRun = !r.class.refused()
	g.recordLimit(u, s.To, r.resp, r.class)
	g.recordLeaving(u, s.To, r.resp, r.class)
	g.recordRetryAfter(u, s.To, r.resp, r.class)
	if r.class.refused() {
		// An error here only means that the connection is not reused.
		if _, err := io.Copy(io.Discard, io.LimitReader(r.resp.Body, maxBufferedResponse)); err != nil {
			g.Logger.Debug("cannot read the rest of an upstream's refusal", "request", c.ID, "upstream", s.To.ID, "err", err)
		}
		_ = r.resp.Body.Close()
	}
	switch r.class {
	case Unverified:
		r.err = errors.Errorf("response of upstream %s with status %d does not prove that the upstream ran the request", s.To.ID, r.resp.Status)
	case UnprovenRefusal:
		r.err = errors.Errorf("response of upstream %s with status %d does not state that the upstream did not run the request", s.To.ID, r.resp.Status)
	}
	if r.err != nil {
		_ = r.resp.Body.Close()
	}
	return r
}

// errNotAdmitted is the cause of an attempt that was not sent, because its upstream must
// get no requests any more, or for a while, since it was selected.
var errNotAdmitted = errors.New("the upstream is leaving or has asked for a pause")

// checkAdmitted returns an error if the call must not be sent now: its key was revoked, its
// answer can't be expected before the end of service, or the upstream must get no requests.
// It is called right before a request is sent, since the call may have waited long, and the
// upstream may have been selected long before.
func (g *Gateway) checkAdmitted(c *Call, u *fleet.Upstream) error {
	if err := g.checkCredential(c); err != nil {
		return err
	}
	now := time.Now()
	if refusal := g.checkServiceTime(c, u, now); refusal != nil {
		return refusal
	}
	if u.Admits(now) {
		return nil
	}
	return errors.Wrap(errNotAdmitted, u.Instance().ID)
}

// connLimit returns how many connections this gateway may open to one upstream of
// the call's service, or 0 if there is no limit.
func (g *Gateway) connLimit(c *Call) int {
	if c.Service.MaxConns <= 0 {
		return 0
	}
	return max(minConns, int(float64(c.Service.MaxConns)/(connLimitDivisor*float64(max(1, g.RecentGateways())))))
}

// recordHealth updates the health of the upstream from the result.
func (g *Gateway) recordHealth(ctx context.Context, c *Call, u *fleet.Upstream, r *attemptResult) {
	now := time.Now()
	g.recordFailedAttempt(ctx, c, r)
	switch {
	case errors.Is(r.err, errNotAdmitted), refusalIn(r.err) != nil:
		// Nothing was sent, which says nothing about the upstream's health.
	case r.err != nil && ctx.Err() != nil:
		// The gateway or the client ended the attempt. If the time of the request
		// ran out while the upstream was silent, the upstream may still be
		// unreachable.
		if errors.Is(context.Cause(ctx), errDeadlineExceeded) && !u.AnsweredSince(now.Add(-r.duration)) {
			u.RecordUnreachable(now, unreachablePause)
			g.Pool.CloseIdle(u.Instance().Address)
		}
	case errors.Is(r.err, exchange.ErrTooManyConns):
		// The limit is this gateway's own. An upstream that counted as unreachable
		// would be avoided for much longer than its connections are in use.
		u.RecordNoConnection(now, fullPause)
	case r.class == UnprovenRefusal:
		u.RecordError()
	case r.err != nil:
		u.RecordUnreachable(now, unreachablePause)
	case r.class == NotExecuted:
		u.RecordFull(now, fullPause)
	case r.class == WrongInstance:
		u.RecordUnreachable(now, unreachablePause)
	case r.resp.Status >= http.StatusInternalServerError:
		u.RecordError()
	default:
		u.RecordSuccess(r.duration)
	}
}
