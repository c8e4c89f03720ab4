// Package sidecar is the authority over one model engine: only the sidecar
// submits, cancels, exports, imports and issues orders, so its admission is
// exact although everybody else's view of the load lags.
//
// The aggregates Reservations (slots and chunks of a decode engine), Holds
// (prefill outputs), TransferScheduler (the link), Suspects (requests that may
// crash engines) and Orders (fencing tokens) hold the rules and know nothing of
// HTTP. The desk guards them by one lock. Each stream has a session, which
// walks one attempt through its steps; whatever step it is at, the end of the
// stream cancels the engine's work until the engine confirms it.
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

// grantInterval is how often forecasts are looked at again.
const grantInterval = 25 * time.Millisecond

// Options are the parts that a Sidecar is made of.
type Options struct {
	// Upstream is the configured name of the engine.
	Upstream string
	// Instance is the name of this process.
	Instance string
	// Incarnation tells lives of this process apart.
	Incarnation uint64
	Engine      engine.Client
	// EngineURL is the address from which decode engines fetch prefill output.
	EngineURL string
	Config    config.Source
	Events    *telemetry.FlightLog // may be nil
	Logger    *log.Logger
	// KV keeps the fencing tokens; without it no orders are issued.
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
	sweepRequests chan struct{} // asks for a sweep
	sessions      sessionRegistry
	counters      sidecarCounters
}

// New returns a Sidecar. It takes work once Run has reached the engine.
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

// Run probes the engine, sweeps orphans and keeps the engine's role as
// configured, until ctx ends. Streams that are open then are cancelled.
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

// onState opens admission only after a first sweep, so that memory which the
// engine still holds for a former sidecar is accounted for.
func (s *Sidecar) onState(state EngineState) {
	if state != EngineUp {
		s.opts.Logger.Warn("engine does not take work", "upstream", s.opts.Upstream, "state", state)
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

// load returns the hints that go with every frame.
func (s *Sidecar) load() *wire.Load {
	load := s.scheduler.load()
	load.Upstream = s.opts.Upstream
	load.Incarnation = s.opts.Incarnation
	load.ConfigRevision = s.opts.Config.Snapshot().Revision
	return load
}
