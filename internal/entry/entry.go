// Package entry implements the entry role, the side of the system that faces
// callers. An entry validates requests, runs each model request in one or more
// attempts on prefill and decode upstreams, and forwards calls of other services
// to package plain. It keeps no state that outlives a request.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// Limits bound the resources that one caller can use at an entry.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxHeaderCount int
	// MaxPromptTokens applies in addition to the limit of the model.
	MaxPromptTokens int
	// BodyTimeout bounds the time until the request body has arrived.
	BodyTimeout time.Duration
	// RequestTimeout bounds a model request from its acceptance to its last
	// token.
	RequestTimeout time.Duration
	// MaxStreamsPerCaller applies to callers whose configuration sets no limit.
	MaxStreamsPerCaller int
}

// DefaultLimits returns the limits that apply where the settings set none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:        8 << 20,
		MaxHeaderBytes:      32 << 10,
		MaxHeaderCount:      100,
		MaxPromptTokens:     1_000_000,
		BodyTimeout:         10 * time.Second,
		RequestTimeout:      10 * time.Minute,
		MaxStreamsPerCaller: 512,
	}
}

// PlainRouter forwards calls to services that are not models.
type PlainRouter interface {
	ServeCall(w http.ResponseWriter, r *http.Request, caller *config.Caller, requestID string)
}

// OutcomeLookup reports the outcome of a caller's request by idempotency key.
type OutcomeLookup interface {
	ServeOutcome(w http.ResponseWriter, r *http.Request, caller *config.Caller, key string)
}

// Options holds the settings and dependencies of an Entry.
type Options struct {
	Instance      string
	FailureDomain string
	Config        config.Source
	Members       membership.View
	// Client connects to sidecars; see wire.NewClient.
	Client     *http.Client
	Secret     string
	Plain      PlainRouter
	Outcomes   OutcomeLookup
	Quarantine *quarantine.Replica
	// CrashSharer informs the other entries of crashes. If it is nil, they are
	// not informed.
	CrashSharer *quarantine.Broadcaster
	Limits      Limits
	Events      *telemetry.FlightRecorder
	Metrics     *Metrics
	Logger      *log.Logger
}

// Entry serves the HTTP API for callers and runs their model requests on prefill
// and decode upstreams.
type Entry struct {
	instance      string
	failureDomain string
	config        config.Source
	members       membership.View
	client        *http.Client
	secret        string
	plain         PlainRouter
	outcomes      OutcomeLookup
	limits        Limits
	events        *telemetry.FlightRecorder
	metrics       *Metrics
	log           *log.Logger
	limitedLog    *telemetry.RateLimitedLogger

	hints            hintTable
	streams          streamCounter
	prefillRate      rateEstimate
	counters         callerCounterTable
	lengths          *lengthPredictor
	cache            *prefixCache
	usage            *usageTable
	retryBudget      retryBudget
	subsets          subsetCache
	quarantine       *quarantine.Replica
	crashes          *quarantine.Broadcaster
	duplicates       *duplicateTracker
	leaving          atomic.Bool
	closeConnections atomic.Bool // responses ask callers to close the connection and use another entry
	inFlight         inFlight
	handler          http.Handler
}

// New returns an entry.
func New(o Options) *Entry {
	e := &Entry{
		instance:      o.Instance,
		failureDomain: o.FailureDomain,
		config:        o.Config,
		members:       o.Members,
		client:        o.Client,
		secret:        o.Secret,
		plain:         o.Plain,
		outcomes:      o.Outcomes,
		limits:        o.Limits,
		events:        o.Events,
		metrics:       o.Metrics,
		log:           o.Logger,
		limitedLog:    telemetry.NewRateLimitedLogger(o.Logger),

		lengths:    newLengthPredictor(),
		cache:      newPrefixCache(),
		usage:      newUsageTable(),
		quarantine: o.Quarantine,
		crashes:    o.CrashSharer,
		duplicates: newDuplicateTracker(),
	}
	e.quarantine.OnChange(func() { e.duplicates.notifyCrashed(e.quarantine) })
	e.quarantine.OnPeerCrash(e.duplicates.waitUntilSuspected)
	e.handler = e.routes()
	return e
}

// Handler returns the HTTP API for callers.
func (e *Entry) Handler() http.Handler { return e.handler }

func (e *Entry) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(e.recover, e.assignRequestID, e.checkHeaders, e.authenticate, e.admit)
	g.POST("/v1/chat/completions", func(c *gin.Context) { e.handleCompletion(c, true) })
	g.POST("/v1/completions", func(c *gin.Context) { e.handleCompletion(c, false) })
	g.GET("/v1/models", e.listModels)
	g.GET("/v1/outcomes/:key", e.lookupOutcome)
	g.NoRoute(e.servePlain)
	return g
}

// Leave makes the entry refuse new requests. Requests in progress continue.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Ready reports whether the entry accepts requests.
func (e *Entry) Ready() bool { return !e.leaving.Load() && e.config.Snapshot() != nil }

// leaveGracePeriod is how long a draining entry still accepts new requests. The
// platform's load balancer learns from the readiness check that the entry is
// leaving, and that takes a moment.
const leaveGracePeriod = 2 * time.Second

// Drain stops the entry: after leaveGracePeriod it refuses new requests, and it
// then waits until no request is in progress or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.closeConnections.Store(true)
	grace := time.NewTimer(leaveGracePeriod)
	defer grace.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-grace.C:
	}
	e.Leave()
	return e.inFlight.wait(ctx)
}
