// Package sidecar controls one model engine. Only the sidecar submits and cancels
// requests, exports and imports KV caches and issues orders to the engine, so its
// admission decisions are exact, although all other processes see the engine's
// load with a delay.
//
// The rules are in the aggregates Reservations (slots and chunks of a decode
// engine), PrefillAllocations (memory of a prefill engine), TransferScheduler (the
// network link of a decode engine), Suspects (requests that may crash engines) and
// Orders (fencing tokens); none of them depends on HTTP. The scheduler guards the
// aggregates that decide on admission with one mutex. Each stream has a session,
// which takes one attempt through its steps. When the stream ends, at whatever
// step, the session cancels the engine's work and retries until the engine
// confirms the cancel.
package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// grantInterval is how often queued claims are checked against new forecasts.
const grantInterval = 25 * time.Millisecond

// Options configures a Sidecar.
type Options struct {
	// Upstream is the configured name of the engine.
	Upstream string
	// Instance is the name of this process.
	Instance string
	// Incarnation distinguishes the runs of this process.
	Incarnation uint64
	Engine      engine.Client
	// EngineURL is the address from which decode engines fetch prefill output.
	EngineURL string
	Config    config.Source
	Events    *telemetry.FlightRecorder // may be nil; records the steps of each request
	Logger    *log.Logger
	// KV stores the fencing tokens. Without it, no orders are issued.
	KV kvservice.KV
}

// Sidecar serves the streams of one model engine.
type Sidecar struct {
	opts          Options
	scheduler     *scheduler
	monitor       *monitor
	transfers     *TransferScheduler
	sweeper       *sweeper
	orders        *Orders
	lifetime      context.Context
	stop          context.CancelFunc
	sweepRequests chan struct{} // requests a sweep
	sessions      sessionRegistry
	counters      sidecarCounters
}

// New returns a Sidecar. It accepts work once Run has reached the engine.
func New(opts Options) *Sidecar {
	s := &Sidecar{
		opts:          opts,
		scheduler:     newScheduler(opts.Config),
		transfers:     NewTransferScheduler(transferConcurrency, 0),
		sweepRequests: make(chan struct{}, 1),
	}
	s.sessions.init()
	s.lifetime, s.stop = context.WithCancel(context.Background())
	s.monitor = newMonitor(opts.Engine, monitorCallbacks{onCrash: s.onCrash, onBoot: s.onBoot, onState: s.onState})
	s.sweeper = newSweeper(opts.Engine, s.scheduler)
	s.orders = NewOrders(OrdersOptions{
		KV:            opts.KV,
		Engine:        opts.Engine,
		Upstream:      opts.Upstream,
		Holder:        holderName(opts.Instance, opts.Incarnation),
		ChecksFencing: s.checksFencing,
	})
	return s
}

// Handler serves POST /stream/decode and POST /stream/prefill.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stream/decode", s.serveDecode)
	mux.HandleFunc("POST /stream/prefill", s.servePrefill)
	return mux
}

// Run probes the engine, cancels orphaned requests and keeps the engine in its
// configured role until ctx ends. It then cancels the streams that are open.
func (s *Sidecar) Run(ctx context.Context) error {
	defer s.stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.monitor.run(ctx); return nil })
	g.Go(func() error { s.sweepLoop(ctx); return nil })
	g.Go(func() error { s.grantLoop(ctx); return nil })
	if s.opts.KV != nil {
		g.Go(func() error { s.roleLoop(ctx); return nil })
	}
	return g.Wait()
}

func (s *Sidecar) grantLoop(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.scheduler.grantPending()
		}
	}
}

func (s *Sidecar) onCrash(b *boot) {
	inFlight := s.scheduler.recordCrash()
	s.opts.Logger.Error("engine crashed", "upstream", s.opts.Upstream, "boot", b.info.BootID, "in_flight", inFlight)
}

func (s *Sidecar) onBoot(b *boot) {
	s.opts.Logger.Info("engine reached", "upstream", s.opts.Upstream, "boot", b.info.BootID, "role", b.info.Role)
	s.scheduler.setEngineInfo(b.info)
	s.transfers.SetRate(b.info.LinkBytesPerSecond)
}

// onState stops admission when the engine does not accept work. When the engine
// is up, it requests a sweep, which starts admission: the memory that the engine
// still holds for an earlier run of the sidecar must be accounted for first.
func (s *Sidecar) onState(state EngineState) {
	if state != EngineUp {
		s.opts.Logger.Warn("engine does not accept work", "upstream", s.opts.Upstream, "state", state)
		s.scheduler.setEngineUp(false)
		return
	}
	select {
	case s.sweepRequests <- struct{}{}:
	default:
	}
}

func (s *Sidecar) checksFencing() bool {
	upstream, ok := s.opts.Config.Snapshot().Upstreams[s.opts.Upstream]
	return ok && upstream.ChecksFencing
}

func (s *Sidecar) recordEvent(c *claim, kind, detail string) {
	s.opts.Events.Record(c.request, telemetry.Event{Attempt: c.attempt, Kind: kind, Upstream: s.opts.Upstream, Detail: detail})
}

// load returns the load hints that are attached to frames.
func (s *Sidecar) load() *wire.Load {
	load := s.scheduler.load()
	load.Upstream = s.opts.Upstream
	load.Incarnation = s.opts.Incarnation
	load.ConfigRevision = s.opts.Config.Snapshot().Revision
	return load
}
