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

// pathPrefix precedes the original path on the hop from entry to sidecar.
const pathPrefix = "/plain"

// RouterOptions are the dependencies of a Router.
type RouterOptions struct {
	Config  config.Source
	Members membership.View
	// Client speaks HTTP/2 without TLS to sidecars, see wire.NewClient.
	Client *http.Client
	// Secret is the shared peer secret.
	Secret string
	// Ledger keeps keyed calls; without one they are refused.
	Ledger *ledger.Ledger
	// Instance and FailureDomain are those of this process.
	Instance      string
	FailureDomain string
	// Events may be nil.
	Events *telemetry.FlightRecorder
	Logger *log.Logger
	// Draw returns a number in [0, n) for the choice between upstreams; nil means
	// at random.
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
	upstreams *upstreams
	budget    *retryBudget
	latencies *latencies
	counts    routerCounts
}

// NewRouter returns a Router.
func NewRouter(o RouterOptions) *Router {
	if o.MaxBody <= 0 {
		o.MaxBody = defaultMaxBody
	}
	return &Router{
		config: o.Config,
		// The transport and not the client: a client would follow redirects,
		// which belong to the caller.
		transport: o.Client.Transport,
		secret:    o.Secret,
		ledger:    o.Ledger,
		instance:  o.Instance,
		events:    o.Events,
		logger:    o.Logger,
		maxBody:   o.MaxBody,
		upstreams: newUpstreams(o.Members, o.FailureDomain, o.RandIntN),
		budget:    newRetryBudget(),
		latencies: newLatencies(),
	}
}

// ServeCall answers one call of an authenticated caller. It panics with
// http.ErrAbortHandler when an answer breaks off half-way, so that the server
// closes the connection and the caller does not take the part for the whole.
func (p *Router) ServeCall(w http.ResponseWriter, r *http.Request, caller *config.Caller, requestID string) {
	w.Header().Set(HeaderRequestID, requestID)
	snapshot := p.config.Snapshot()
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
	// Remains when the answer breaks off half-way, which panics.
	result := callBroken
	defer func() {
		p.counts.ended(route.Repeatable, result)
		c.body.finish()
	}()
	f = p.serve(w, c)
	result = resultOf(f)
	if f != nil {
		p.logRefusal(c, f)
		f.Write(w)
	}
}

// serve answers the call or returns the fault to answer with.
func (p *Router) serve(w http.ResponseWriter, c *call) *fault.Error {
	key := ""
	if !c.route.Repeatable {
		key = c.request.Header.Get(HeaderIdempotencyKey)
	}
	body, f := takeBody(w, c.request, p.maxBody, key != "")
	if f != nil {
		return f
	}
	c.body = body
	switch {
	case c.route.Repeatable:
		return p.serveRepeatable(w, c)
	case key != "":
		return p.serveKeyed(w, c, key)
	default:
		return p.serveOnce(w, c)
	}
}

func (p *Router) serveRepeatable(w http.ResponseWriter, c *call) *fault.Error {
	ctx, silence := watchSilence(c.request.Context(), c.timeout+hopMargin)
	defer silence.stop()
	res, f := p.runRepeatable(ctx, c)
	if f != nil {
		return f
	}
	res.response.Body = silence.watch(res.response.Body)
	pass(w, res.response, nil)
	return nil
}

func (p *Router) logRefusal(c *call, f *fault.Error) {
	if p.logger == nil || f.Status() < http.StatusInternalServerError {
		return
	}
	p.logger.Warn("plain call refused", "request", c.id, "route", c.route.Name,
		"kind", f.Kind, "outcome", f.Outcome, "cause", f.Cause)
}

const (
	// retryAfterLeaving is short because another process takes over within seconds.
	retryAfterLeaving = time.Second
	// retryAfterOverload gives a full service time to finish some of its calls.
	retryAfterOverload = 2 * time.Second
)

// refusal is the fault for a call that certainly did not run.
func refusal(res result) *fault.Error {
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

func noUpstream(pool string) *fault.Error {
	return fault.New(fault.KindUpstreamUnavailable, "send the request again; if it persists, tell the operator",
		"pool %s has no upstream that takes work", pool).WithRetryAfter(retryAfterLeaving)
}
