package plain

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/ledger"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// pathPrefix is prepended to the original path between entry and sidecar.
const pathPrefix = "/plain"

// RouterOptions are the dependencies of a Router.
type RouterOptions struct {
	Config  config.Source
	Members membership.View
	// Client sends requests to sidecars over HTTP/2 without TLS; see
	// wire.NewClient.
	Client *http.Client
	// Secret is the shared peer secret.
	Secret string
	// Ledger records calls with an idempotency key. Without a ledger, such calls
	// are rejected.
	Ledger *ledger.Ledger
	// Instance and FailureDomain are those of this process.
	Instance      string
	FailureDomain string
	// Events may be nil.
	Events *telemetry.FlightRecorder
	Logger *log.Logger
	// RandIntN returns a number in [0, n) for choosing between upstreams; nil
	// means math/rand/v2.IntN.
	RandIntN func(n int) int
	// MaxBody limits request bodies in bytes; 0 means 8 MiB.
	MaxBody int64
}

// Router is the entry side of plain calls. It is safe for concurrent use.
type Router struct {
	config    config.Source
	transport http.RoundTripper
	secret    string
	ledger    *ledger.Ledger
	instance  string
	events    *telemetry.FlightRecorder
	logger    *log.Logger
	maxBody   int64
	upstreams *upstreamSelector
	budget    *retryBudget
	latencies *latencyTracker
	counters  routerCounters
}

// NewRouter returns a Router.
func NewRouter(o RouterOptions) *Router {
	if o.MaxBody <= 0 {
		o.MaxBody = defaultMaxBody
	}
	return &Router{
		config: o.Config,
		// The transport is used without the client, because a client would follow
		// redirects, which must reach the caller.
		transport: o.Client.Transport,
		secret:    o.Secret,
		ledger:    o.Ledger,
		instance:  o.Instance,
		events:    o.Events,
		logger:    o.Logger,
		maxBody:   o.MaxBody,
		upstreams: newUpstreamSelector(o.Members, o.FailureDomain, o.RandIntN),
		budget:    newRetryBudget(),
		latencies: newLatencyTracker(),
	}
}

// ServeCall serves one call of an authenticated caller. It panics with
// http.ErrAbortHandler when a response breaks off, so that the server closes the
// connection and the caller can tell that the response is incomplete.
func (rt *Router) ServeCall(w http.ResponseWriter, r *http.Request, caller *config.Caller, requestID string) {
	w.Header().Set(HeaderRequestID, requestID)
	snapshot := rt.config.Snapshot()
	route, allowed, f := matchRoute(snapshot, r.Method, r.URL.Path)
	if f != nil {
		writeRouteFault(w, f, allowed)
		return
	}
	c := &call{
		caller:   caller,
		id:       requestID,
		route:    route,
		snapshot: snapshot,
		request:  r,
		timeout:  routeTimeout(route),
	}
	// The result stays callTruncated when the response breaks off, because serve
	// then panics.
	result := callTruncated
	defer func() {
		rt.counters.recordResult(route.Repeatable, result)
		c.body.release()
	}()
	f = rt.serve(w, c)
	result = callResultOf(f)
	if f != nil {
		rt.logFault(c, f)
		f.Write(w)
	}
}

// serve writes a response to the call or returns the error to respond with.
func (rt *Router) serve(w http.ResponseWriter, c *call) *fault.Error {
	key := ""
	if !c.route.Repeatable {
		key = c.request.Header.Get(HeaderIdempotencyKey)
	}
	body, f := newRequestBody(w, c.request, rt.maxBody, key != "")
	if f != nil {
		return f
	}
	c.body = body
	switch {
	case c.route.Repeatable:
		return rt.serveRepeatable(w, c)
	case key != "":
		return rt.serveIdempotent(w, c, key)
	default:
		return rt.serveNonRepeatable(w, c)
	}
}

func (rt *Router) serveRepeatable(w http.ResponseWriter, c *call) *fault.Error {
	ctx, idle := withIdleTimeout(c.request.Context(), c.timeout+sidecarTimeoutMargin)
	defer idle.stop()
	res, f := rt.runRepeatable(ctx, c)
	if f != nil {
		return f
	}
	res.response.Body = idle.wrapBody(res.response.Body)
	writeResponse(w, res.response, nil)
	return nil
}

func (rt *Router) logFault(c *call, f *fault.Error) {
	if rt.logger == nil || f.Status() < http.StatusInternalServerError {
		return
	}
	rt.logger.Warn("plain call failed", "request", c.id, "route", c.route.Name,
		"kind", f.Kind, "outcome", f.Outcome, "cause", f.Cause)
}

const (
	// retryAfterLeaving is short because another process takes over within
	// seconds.
	retryAfterLeaving = time.Second
	// retryAfterOverload gives a fully loaded service time to finish some of its
	// calls.
	retryAfterOverload = 2 * time.Second
)

// notRunFault is the error for a call that certainly did not run.
func notRunFault(res attemptResult) *fault.Error {
	switch res.reason {
	case reasonOverloaded:
		return fault.New(fault.KindOverloaded, "send the request again later",
			"the service has no free place").WithRetryAfter(retryAfterOverload).WithCause(res.err)
	case reasonLeaving:
		return fault.New(fault.KindInstanceLeaving, "send the request again",
			"the service is being stopped").WithRetryAfter(retryAfterLeaving).WithCause(res.err)
	}
	return fault.New(fault.KindUpstreamUnavailable, "send the request again",
		"no upstream of the route can be reached").WithRetryAfter(retryAfterLeaving).WithCause(res.err)
}

func noUpstreamFault(pool string) *fault.Error {
	return fault.New(fault.KindUpstreamUnavailable, "send the request again; if it persists, tell the operator",
		"pool %s has no upstream that takes work", pool).WithRetryAfter(retryAfterLeaving)
}
