// Package entry is the callers' side of the system: it checks requests, carries
// each model request through its attempts, and hands calls of plain services to
// package plain. An entry keeps no state that outlives a request.
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

// Limits bound what one caller can make an entry hold.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxHeaderCount int
	// MaxPromptTokens applies beside the limit of the model.
	MaxPromptTokens int
	// BodyTimeout bounds the time that a caller takes to send its body.
	BodyTimeout time.Duration
	// RequestTimeout bounds a model request from acceptance to its last token.
	RequestTimeout time.Duration
	// MaxStreamsPerCaller applies to callers whose configuration sets no limit.
	MaxStreamsPerCaller int
}

// DefaultLimits returns the limits that apply where the settings name none.
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

// PlainRouter serves calls of plain services.
type PlainRouter interface {
	ServeCall(w http.ResponseWriter, r *http.Request, caller *config.Caller, requestID string)
}

// OutcomeLookup tells a caller what became of its idempotency keys.
type OutcomeLookup interface {
	ServeOutcome(w http.ResponseWriter, r *http.Request, caller *config.Caller, key string)
}

// Options are the dependencies of an Entry.
type Options struct {
	Instance      string
	FailureDomain string
	Config        config.Source
	Members       membership.View
	// Client reaches sidecars; see wire.NewClient.
	Client     *http.Client
	Secret     string
	Plain      PlainRouter
	Outcomes   OutcomeLookup
	Quarantine *quarantine.Replica
	// Crashes tells the other entries of crashes; nil tells nobody.
	CrashSharer *quarantine.Broadcaster
	Limits      Limits
	Events      *telemetry.FlightRecorder
	Metrics     *Metrics
	Logger      *log.Logger
}

// Entry serves callers.
type Entry struct {
	instance string
	domain   string
	config   config.Source
	members  membership.View
	client   *http.Client
	secret   string
	plain    PlainRouter
	outcomes OutcomeLookup
	limits   Limits
	events   *telemetry.FlightRecorder
	metrics  *Metrics
	log      *log.Logger
	limited  *telemetry.RateLimitedLogger

	hints       hintTable
	streams     streamCounter
	prefillRate rateEstimate
	accounts    accountTable
	lengths     *lengths
	cache       *prefixCache
	usage       *usageTable
	retries     retries
	subsets     subsetCache
	quarantine  *quarantine.Replica
	crashes     *quarantine.Broadcaster
	copies      *copies
	leaving     atomic.Bool
	closing     atomic.Bool // answers ask callers to open new connections elsewhere
	inFlight    inFlight
	handler     http.Handler
}

// New returns an entry.
func New(o Options) *Entry {
	e := &Entry{
		instance: o.Instance,
		domain:   o.FailureDomain,
		config:   o.Config,
		members:  o.Members,
		client:   o.Client,
		secret:   o.Secret,
		plain:    o.Plain,
		outcomes: o.Outcomes,
		limits:   o.Limits,
		events:   o.Events,
		metrics:  o.Metrics,
		log:      o.Logger,
		limited:  telemetry.NewRateLimitedLogger(o.Logger),

		lengths:    newLengths(),
		cache:      newPrefixCache(),
		usage:      newUsageTable(),
		quarantine: o.Quarantine,
		crashes:    o.CrashSharer,
		copies:     newCopies(),
	}
	e.quarantine.OnChange(func() { e.copies.wake(e.quarantine) })
	e.quarantine.OnPeerCrash(e.copies.settle)
	e.handler = e.routes()
	return e
}

// Handler returns the callers' HTTP API.
func (e *Entry) Handler() http.Handler { return e.handler }

func (e *Entry) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(e.recover, e.identify, e.checkHeaders, e.authenticate, e.admit)
	g.POST("/v1/chat/completions", func(c *gin.Context) { e.complete(c, true) })
	g.POST("/v1/completions", func(c *gin.Context) { e.complete(c, false) })
	g.GET("/v1/models", e.listModels)
	g.GET("/v1/outcomes/:key", e.lookupOutcome)
	g.NoRoute(e.servePlain)
	return g
}

// Leave refuses new requests from now on; requests in progress go on.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Ready reports whether the entry takes requests.
func (e *Entry) Ready() bool { return !e.leaving.Load() && e.config.Snapshot() != nil }

// leaveGrace is how long a leaving entry still takes new requests. The
// platform's balancer learns of the leaving by readiness and needs a moment.
const leaveGrace = 2 * time.Second

// Drain leaves and waits until no request is in progress or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.closing.Store(true)
	grace := time.NewTimer(leaveGrace)
	defer grace.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-grace.C:
	}
	e.Leave()
	return e.inFlight.wait(ctx)
}
