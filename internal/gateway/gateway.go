package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/httpabort"
	"github.com/fescueslip/fescueslip/internal/outbuf"
	"github.com/fescueslip/fescueslip/internal/routing"
	"github.com/fescueslip/fescueslip/internal/shutdown"
)

// Options holds the dependencies and settings of a gateway.
type Options struct {
	Instance      string
	FailureDomain string
	Protocol      Protocol
	EngineClient  EngineClient
	Processes     ProcessIdentifier
	Pool          *exchange.Pool
	Tables        *routing.Holder
	Fleet         *fleet.Fleet
	Retries       RetryLimits
	// RecentGateways returns the number of gateways, including this one, that serve
	// the deployment now or did so recently.
	RecentGateways func() int
	// ListedGateways returns the number of gateways, including this one, that are in
	// the gateway list now.
	ListedGateways func() int
	// StoreContact returns for how long this gateway has been in contact with the store
	// without a gap; 0 if it is not in contact now.
	StoreContact func(now time.Time) time.Duration
	// ListReadableSince returns the time since which the instance list has been
	// readable without interruption. It returns the zero time while the list is
	// unreadable.
	ListReadableSince func() time.Time
	// Quotas say how far the quotas of client accounts may be exceeded.
	Quotas QuotaLimits
	// Incarnation identifies this start of the process to the other gateways.
	Incarnation uint64
	// Clock measures the terms of quotas. It must also advance while the machine is
	// suspended.
	Clock func() time.Duration
	// BufferBytes limits what the gateway holds for clients and upstreams together:
	// request bodies, responses and parts of streams. 0 means defaultBufferBytes.
	BufferBytes int64
	// Shutdown is the planned stop of the process. Nil means that there is none.
	Shutdown *shutdown.Shutdown
	Logger   *log.Logger
	Metrics  *Metrics
}

// Gateway is the HTTP handler of the client port.
type Gateway struct {
	Options
	retryBudget     *RetryBudget
	inFlight        atomic.Int64
	memory          *outbuf.Budget
	scheduler       *scheduler
	plainQueue      *plainQueue
	retryAges       *retryAges
	demandEstimator *demandEstimator
	crashDetector   *crashDetector
	storeContacts   peerStoreContacts
	origins         *streamOrigins
	quotas          *quotas
	// onLoadChange notifies the other gateways of a load change. It may be nil.
	onLoadChange func(urgent bool)
}

// New returns a gateway. Run must be called for it to serve model requests.
func New(o Options) *Gateway {
	if o.Shutdown == nil {
		o.Shutdown = shutdown.New()
	}
	g := &Gateway{Options: o, retryBudget: NewRetryBudget(o.Retries, o.RecentGateways)}
	g.scheduler = newScheduler(g)
	g.plainQueue = newPlainQueue(g)
	g.retryAges = newRetryAges()
	g.demandEstimator = newDemandEstimator()
	g.crashDetector = newCrashDetector()
	g.origins = newStreamOrigins()
	g.quotas = newQuotas(o.Quotas, o.Incarnation, o.RecentGateways, o.Clock)
	if o.BufferBytes == 0 {
		g.BufferBytes = defaultBufferBytes
	}
	g.memory = outbuf.NewBudget(g.BufferBytes)
	o.Tables.OnReplace(g.quotas.apply)
	return g
}

const (
	// responseMargin is how long before the deadline the gateway sends its final
	// response, so that the response reaches the client in time.
	responseMargin = 25 * time.Millisecond
	// defaultBufferBytes limits what a gateway holds for others if no limit is set.
	defaultBufferBytes = 32 << 20
	// defaultTimeout applies when neither the client nor the route sets a time
	// limit.
	defaultTimeout = 30 * time.Second
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 5 * time.Second
)

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler. The context of the request must be derived from
// Shutdown.Service, so that the call ends with the service.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.Shutdown.HasBegun() {
		w.Header().Set("Connection", "close")
	}
	call, err := g.accept(w, r, received)
	g.beginResponse(r.Context(), call)
	if err != nil {
		g.refuse(w, r, call, err)
		return
	}
	defer g.releaseBody(int64(len(call.Body)))
	ctx, cancel := context.WithDeadlineCause(r.Context(), call.Deadline.Add(-responseMargin), errDeadlineExceeded)
	defer cancel()
	var res outcome
	refusal := g.checkSuspended(call)
	if refusal == nil {
		refusal = g.chargeQuota(ctx, call)
	}
	switch {
	case refusal != nil:
		res.err = refusal
	case call.usesModelEngines():
		res = g.serveModel(ctx, w, call)
	case call.Route.Kind == routing.Stream:
		res = g.servePlainStream(ctx, w, call)
	default:
		res = g.servePlain(ctx, w, call)
	}
	res.err = g.refuseAtEndOfService(ctx, call, res.err)
	g.finish(w, r, call, res)
}

// outcome describes how a request ended.
type outcome struct {
	// status is the status code that the client received, or 0 if it received none.
	status int
	// err is an error of the gateway that has yet to be sent to the client.
	err *fault.Error
	// abortCause is set if the client's connection must be closed because a response
	// that has begun cannot be completed.
	abortCause error
	upstream   string
	attempts   int
	// framing is that of the upstream's response; hasResponse is set if there is one.
	framing     exchange.Framing
	hasResponse bool
	// firstByte is the time at which the first byte of the response was sent.
	firstByte time.Time
	model     modelStats
	// mostWaiting is the largest number of bytes of a stream that waited for the client,
	// and heldBack for how long upstreams were not read because of that.
	mostWaiting int
	heldBack    time.Duration
}

// recordResponse records how the response that is passed on marks its end.
func (o *outcome) recordResponse(resp *exchange.Response) {
	o.framing, o.hasResponse = resp.Framing, true
}

// modelStats holds the durations and counts of the steps of a model request.
type modelStats struct {
	prefillUpstream          string
	reserveTime, prefillTime time.Duration
	reserveAttempts          int
	events, resumes          int
	medianOutput             int
}

// accept parses the request, matches its route and reads its body.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, received time.Time) (*Call, *fault.Error) {
	table := g.Tables.Table()
	if table == nil {
		return nil, notReadyError()
	}
	call, err := g.Protocol.ParseCall(r)
	if err != nil {
		return nil, fault.From(err)
	}
	call.Received = received
	if g.Shutdown.RefusesCalls(received) {
		return call, g.refuseForShutdown(call, waitsForNothing, received, received)
	}
	route, ok := table.Match(r.Host, rawPath(r))
	if !ok {
		return call, noRouteError()
	}
	call.Route, call.Version = route, table.Version
	name := route.SelectRandomService()
	call.Service = table.Services[name]
	if call.Service == nil {
		return call, noUpstreamError(name)
	}
	call.Deadline = deadline(call)
	if route.UsesModelEngines {
		call.RetryAge = g.retryAges.estimate(route.Name, call.ClientTimeout)
	}
	if err := g.authenticate(call, table); err != nil {
		return call, err
	}
	if err := g.readBody(w, r, call, table.Limits); err != nil {
		return call, err
	}
	return call, nil
}

// deadline returns the time at which the call ends: after the shorter one of the
// client's and the route's timeout, or after defaultTimeout if neither is set.
func deadline(c *Call) time.Time {
	limit := c.ClientTimeout
	if t := c.Route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return c.Received.Add(limit)
}

// rawPath returns the path of the request target as the client sent it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(RequestTarget(r), "?")
	return path
}

// RequestTarget returns the target that is sent to upstreams: the path and query as
// the client sent them.
func RequestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody buffers the whole body, so that it can be sent with a Content-Length and,
// where allowed, sent again.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *Call, limits routing.Limits) *fault.Error {
	if r.ContentLength > limits.BodyBytes {
		return bodyTooLargeError(limits.BodyBytes)
	}
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	end := time.Now().Add(bodyTimeout)
	if c.Deadline.Before(end) {
		end = c.Deadline
	}
	_ = rc.SetReadDeadline(end)
	stop := g.Shutdown.OnEnd(func() { _ = rc.SetReadDeadline(time.Now()) })
	defer stop()
	body, err := g.readReserved(r.Body, r.ContentLength, limits.BodyBytes)
	switch {
	case err != nil && g.Shutdown.HasEnded():
		return g.refuseForShutdown(c, waitsForBody, c.Received, time.Now())
	case errors.Is(err, errBodyTooLong):
		return bodyTooLargeError(limits.BodyBytes)
	case errors.Is(err, errBodyMemory):
		return overloadedError(time.Second, "the bodies of other requests fill the memory")
	case err != nil:
		return fault.New(fault.KindRequestTimeout, "send the whole body at once", "the body did not arrive completely").WithCause(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.Body = body
	return nil
}

// finish records the outcome. It then sends the error response, if res.err is set, or
// aborts a response that has begun and cannot be completed.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, c *Call, res outcome) {
	now := time.Now()
	if res.err != nil && res.err.Outcome == fault.NotRun {
		g.returnQuota(c)
	}
	if res.err != nil && r.Context().Err() != nil && !g.Shutdown.HasEnded() {
		res.err = res.err.WithCause(errors.Wrap(errClientDisconnected, causeText(res.err)))
	}
	if res.err != nil {
		res.status = res.err.Status()
	}
	g.Metrics.ended(c, res, now)
	g.logCall(c, res, now)
	g.logSlowClient(r.Context(), c, res)
	switch {
	case res.abortCause != nil:
		httpabort.Abort(w, r, g.Logger)
	case res.err != nil:
		g.writeError(w, c, res.err)
	}
}

// causeText returns the text of the error's cause, or its message if it has no cause.
func causeText(e *fault.Error) string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Cause.Error()
}

// refuse responds to a request that was not admitted.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *Call, e *fault.Error) {
	id := ""
	if c != nil {
		id = c.ID
	}
	g.Metrics.refused(e.Kind, accountName(c))
	g.Logger.Info("request refused", "request", id, "host", r.Host, "path", rawPath(r), "kind", string(e.Kind),
		"status", e.Status(), "cause", causeText(e), "config_version", g.tableVersion())
	if e.Kind == fault.KindRequestTimeout || e.Kind == fault.KindBodyTooLarge || g.Shutdown.HasEnded() {
		// The rest of the body stays unread, so the connection cannot be reused.
		w.Header().Set("Connection", "close")
	}
	g.writeError(w, c, e)
}

func (g *Gateway) tableVersion() uint64 {
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

// accountName returns the name of the call's account, or an empty string if it has none.
func accountName(c *Call) string {
	if c == nil || c.Account == nil {
		return ""
	}
	return c.Account.Name
}

func (g *Gateway) logCall(c *Call, res outcome, now time.Time) {
	fields := []any{
		"request", c.ID, "route", c.Route.Name, "service", c.Service.Name, "config_version", c.Version,
		"status", res.status, "upstream", res.upstream, "attempts", res.attempts,
		"ms", now.Sub(c.Received).Milliseconds(), "left_ms", c.Remaining(now).Milliseconds(),
	}
	if name := accountName(c); name != "" {
		fields = append(fields, "account", name)
	}
	if !res.firstByte.IsZero() {
		fields = append(fields, "first_ms", res.firstByte.Sub(c.Received).Milliseconds())
	}
	if c.Route.UsesModelEngines {
		s := res.model
		fields = append(fields, "prefill_at", s.prefillUpstream, "reserve_ms", s.reserveTime.Milliseconds(),
			"prefill_ms", s.prefillTime.Milliseconds(), "reserve_tries", s.reserveAttempts, "events", s.events, "resumes", s.resumes,
			"prompt_tokens", c.Model.PromptTokens, "max_output_tokens", c.Model.MaxOutputTokens,
			"expected_output_tokens", c.Model.ExpectedOutputTokens, "median_output_tokens", s.medianOutput, "age_ms", c.RetryAge.Milliseconds())
	}
	if res.hasResponse {
		fields = append(fields, "framing", res.framing.String())
	}
	message := "request answered"
	if res.err != nil {
		message = "request failed"
		fields = append(fields, "kind", string(res.err.Kind), "cause", causeText(res.err), "outcome", string(res.err.Outcome))
	}
	if res.abortCause != nil {
		message = "answer broken off"
		fields = append(fields, "cause", res.abortCause.Error())
	}
	g.Logger.Info(message, fields...)
}
