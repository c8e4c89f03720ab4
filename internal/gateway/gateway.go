package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// Options are the parts of a gateway.
type Options struct {
	Instance      string
	FailureDomain string
	Protocol      Protocol
	EngineClient  EngineClient
	Pool          *exchange.Pool
	Tables        *routing.Holder
	Fleet         *fleet.Fleet
	Retries       RetryLimits
	// Gateways returns how many gateways serve the deployment, or did so lately,
	// this one included.
	RecentGateways func() int
	// Listed returns how many gateways are on the list now, this one included.
	ListedGateways func() int
	// ListedSince returns since when the list of upstreams can be read; zero if it
	// cannot at the moment.
	ListReadableSince func() time.Time
	Logger            *log.Logger
	Metrics           *Metrics
}

// Gateway is the handler of the client port.
type Gateway struct {
	Options
	budget *Budget
	// leavingSince is when the shutdown began; nil: not yet.
	leavingSince atomic.Pointer[time.Time]
	inFlight     atomic.Int64
	bodyBytes    atomic.Int64
	scheduler    *scheduler
	ages         *ages
	demands      *demands
	crashes      *crashWatch
	// announcer tells the other gateways of a change; nil: there is nobody to tell.
	announcer func()
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{Options: o, budget: NewBudget(o.Retries, o.RecentGateways)}
	g.scheduler = newScheduler(g)
	g.ages = newAges()
	g.demands = newDemands()
	g.crashes = newCrashWatch()
	return g
}

const (
	// answerMargin is how long before a deadline the final answer leaves, so that
	// it reaches the client in time.
	answerMargin = 25 * time.Millisecond
	// maxBufferedBodies bounds the request bodies in memory, in bytes.
	maxBufferedBodies = 24 << 20
	// leavingGrace is how long a gateway that shuts down still takes requests:
	// the balancer needs two missed probes, a second apart, to stop sending.
	leavingGrace = 2900 * time.Millisecond
	// defaultPatience is the time of a request for which neither the client nor
	// the route names a limit.
	defaultPatience = 30 * time.Second
	// bodyTimeout bounds the arrival of a request body.
	bodyTimeout = 5 * time.Second
)

// BeginShutdown begins the shutdown: answers close their connections, and after a grace
// period new requests are refused.
func (g *Gateway) BeginShutdown(now time.Time) { g.leavingSince.CompareAndSwap(nil, &now) }

// ShuttingDown reports whether the shutdown has begun.
func (g *Gateway) ShuttingDown() bool { return g.leavingSince.Load() != nil }

func (g *Gateway) refusesNew(now time.Time) bool {
	since := g.leavingSince.Load()
	return since != nil && now.Sub(*since) > leavingGrace
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	call, err := g.accept(w, r, received)
	if err != nil {
		g.refuse(w, r, call, err)
		return
	}
	defer g.bodyBytes.Add(-int64(len(call.Body)))
	ctx, cancel := context.WithDeadlineCause(r.Context(), call.Deadline.Add(-answerMargin), errDeadline)
	defer cancel()
	var res outcome
	if left, held := g.suspended(call, received); held {
		res.err = refuseSuspended(left)
		g.finish(w, r, call, res)
		return
	}
	switch {
	case call.Route.UsesModelEngines && call.Service.Engine != nil:
		res = g.serveModel(ctx, w, call)
	case call.Route.Kind == routing.Stream:
		res = g.servePlainStream(ctx, w, call)
	default:
		res = g.servePlain(ctx, w, call)
	}
	g.finish(w, r, call, res)
}

// outcome is how a request ended.
type outcome struct {
	// status is the status that the client saw; 0 when the connection was cut.
	status int
	// err is the gateway's own refusal or failure, not yet sent.
	err *fault.Error
	// abort cuts the client's connection: the answer has begun and cannot be completed.
	abort    error
	upstream string
	attempts int
	// first is when the first byte of the answer left.
	first time.Time
	steps steps
}

// steps are the times that the parts of a model request took.
type steps struct {
	prefillAt        string
	reserve, prefill time.Duration
	tries            int
	events, resumes  int
	medianOutput     int
}

// accept reads the request and matches its route.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, received time.Time) (*Call, *fault.Error) {
	table := g.Tables.Table()
	if table == nil {
		return nil, refuseNotReady()
	}
	call, err := g.Protocol.ParseCall(r)
	if err != nil {
		return nil, fault.From(err)
	}
	call.Received = received
	if g.refusesNew(received) {
		return call, refuseLeaving()
	}
	route, ok := table.Match(r.Host, rawPath(r))
	if !ok {
		return call, refuseNoRoute()
	}
	call.Route, call.Version = route, table.Version
	name := route.SelectRandomService()
	call.Service = table.Services[name]
	if call.Service == nil {
		return call, refuseNoUpstream(name)
	}
	call.Deadline = deadline(call)
	if route.UsesModelEngines {
		call.RetryAge = g.ages.observe(route.Name, call.ClientTimeout)
	}
	if err := g.readBody(w, r, call, table.Limits); err != nil {
		return call, err
	}
	return call, nil
}

func deadline(c *Call) time.Time {
	limit := c.ClientTimeout
	if t := c.Route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		limit = defaultPatience
	}
	return c.Received.Add(limit)
}

func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(RequestTarget(r), "?")
	return path
}

// RequestTarget returns the target of a request as it goes on to upstreams: path
// and query as the client sent them.
func RequestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody reads the whole body: it can then be sent with its length, and once
// more where that is allowed.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *Call, limits routing.Limits) *fault.Error {
	if r.ContentLength > limits.BodyBytes {
		return errBodyTooLarge(limits.BodyBytes)
	}
	if r.ContentLength == 0 {
		return nil
	}
	reserved := max(r.ContentLength, 0)
	if g.bodyBytes.Add(reserved) > maxBufferedBodies {
		g.bodyBytes.Add(-reserved)
		return refuseOverloaded(time.Second, "the bodies of other requests fill the memory")
	}
	rc := http.NewResponseController(w)
	end := time.Now().Add(bodyTimeout)
	if c.Deadline.Before(end) {
		end = c.Deadline
	}
	_ = rc.SetReadDeadline(end)
	body, err := readAll(r.Body, r.ContentLength, limits.BodyBytes)
	g.bodyBytes.Add(int64(len(body)) - reserved)
	if err != nil {
		g.bodyBytes.Add(-int64(len(body)))
		if errors.Is(err, errBodyOverLimit) {
			return errBodyTooLarge(limits.BodyBytes)
		}
		return fault.New(fault.KindRequestTimeout, "send the whole body at once", "the body did not arrive completely").WithCause(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.Body = body
	return nil
}

var errBodyOverLimit = errors.New("body over the limit")

func errBodyTooLarge(limit int64) *fault.Error {
	return fault.New(fault.KindBodyTooLarge, "send a smaller body", "the body is over %d bytes", limit)
}

func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		n, err := io.ReadFull(r, body)
		return body[:n], err
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errBodyOverLimit
	}
	return body, err
}

// finish sends what is left to send and writes the request's log line.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, c *Call, res outcome) {
	now := time.Now()
	if res.err != nil && r.Context().Err() != nil {
		res.err = res.err.WithCause(errors.Wrap(errClientGone, causeText(res.err)))
	}
	if res.err != nil {
		res.status = res.err.Status()
	}
	g.Metrics.ended(c, res, now)
	g.logCall(c, res, now)
	switch {
	case res.abort != nil:
		panic(http.ErrAbortHandler)
	case res.err != nil:
		g.writeError(w, c, res.err)
	}
}

func causeText(e *fault.Error) string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Cause.Error()
}

// refuse answers a request that was never admitted.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *Call, e *fault.Error) {
	id := ""
	if c != nil {
		id = c.ID
	}
	g.Metrics.refused(e.Kind)
	g.Logger.Info("request refused", "request", id, "host", r.Host, "path", rawPath(r), "kind", string(e.Kind),
		"status", e.Status(), "cause", causeText(e), "config_version", g.version())
	if e.Kind == fault.KindRequestTimeout || e.Kind == fault.KindBodyTooLarge {
		// The rest of the body is not read, so the connection cannot be used again.
		w.Header().Set("Connection", "close")
	}
	g.writeError(w, c, e)
}

func (g *Gateway) version() uint64 {
	if t := g.Tables.Table(); t != nil {
		return t.Version
	}
	return 0
}

func (g *Gateway) writeError(w http.ResponseWriter, c *Call, e *fault.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", g.Protocol.FormatRetryAfter(e.RetryAfter))
	}
	e.WithRetryAfter(0).Write(w)
}

func (g *Gateway) logCall(c *Call, res outcome, now time.Time) {
	fields := []any{
		"request", c.ID, "route", c.Route.Name, "service", c.Service.Name, "config_version", c.Version,
		"status", res.status, "upstream", res.upstream, "attempts", res.attempts,
		"ms", now.Sub(c.Received).Milliseconds(), "left_ms", c.Remaining(now).Milliseconds(),
	}
	if !res.first.IsZero() {
		fields = append(fields, "first_ms", res.first.Sub(c.Received).Milliseconds())
	}
	if c.Route.UsesModelEngines {
		s := res.steps
		fields = append(fields, "prefill_at", s.prefillAt, "reserve_ms", s.reserve.Milliseconds(),
			"prefill_ms", s.prefill.Milliseconds(), "reserve_tries", s.tries, "events", s.events, "resumes", s.resumes,
			"prompt_tokens", c.Model.PromptTokens, "max_output_tokens", c.Model.MaxOutputTokens,
			"expected_output_tokens", c.Model.ExpectedOutputTokens, "median_output_tokens", s.medianOutput, "age_ms", c.RetryAge.Milliseconds())
	}
	message := "request answered"
	if res.err != nil {
		message = "request failed"
		fields = append(fields, "kind", string(res.err.Kind), "cause", causeText(res.err), "outcome", string(res.err.Outcome))
	}
	if res.abort != nil {
		message = "answer broken off"
		fields = append(fields, "cause", res.abort.Error())
	}
	g.Logger.Info(message, fields...)
}
