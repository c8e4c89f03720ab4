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

// tickInterval is how often forecasts are looked at again.
const tickInterval = 25 * time.Millisecond

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
	o         Options
	desk      *desk
	monitor   *monitor
	transfers *TransferScheduler
	sweeper   *sweeper
	orders    *Orders
	life      context.Context
	stop      context.CancelFunc
	booted    chan struct{} // asks for a sweep
	sessions  sessions
	counts    sidecarCounts
}

// New returns a Sidecar. It takes work once Run has reached the engine.
func New(o Options) *Sidecar {
	s := &Sidecar{
		o:         o,
		desk:      newDesk(o.Config),
		transfers: NewTransferScheduler(transferConcurrency, 0),
		booted:    make(chan struct{}, 1),
	}
	s.sessions.init()
	s.life, s.stop = context.WithCancel(context.Background())
	s.monitor = newMonitor(o.Engine, monitorEvents{crashed: s.onCrash, booted: s.onBoot, state: s.onState})
	s.sweeper = newSweeper(o.Engine, s.desk)
	s.orders = NewOrders(OrdersOptions{
		KV:            o.KV,
		Engine:        o.Engine,
		Upstream:      o.Upstream,
		Holder:        holderName(o.Instance, o.Incarnation),
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
	g.Go(func() error { s.tickLoop(ctx); return nil })
	if s.o.KV != nil {
		g.Go(func() error { s.orderLoop(ctx); return nil })
	}
	return g.Wait()
}

func (s *Sidecar) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.desk.tick()
		}
	}
}

func (s *Sidecar) onCrash(b *boot) {
	n := s.desk.crash()
	s.o.Logger.Error("engine crashed", "upstream", s.o.Upstream, "boot", b.info.BootID, "in_flight", n)
}

func (s *Sidecar) onBoot(b *boot) {
	s.o.Logger.Info("engine reached", "upstream", s.o.Upstream, "boot", b.info.BootID, "role", b.info.Role)
	s.desk.setInfo(b.info)
	s.transfers.SetRate(b.info.LinkBytesPerSecond)
}

// onState opens admission only after a first sweep, so that memory which the
// engine still holds for a former sidecar is accounted for.
func (s *Sidecar) onState(state EngineState) {
	if state != EngineUp {
		s.o.Logger.Warn("engine does not take work", "upstream", s.o.Upstream, "state", state)
		s.desk.setUp(false)
		return
	}
	select {
	case s.booted <- struct{}{}:
	default:
	}
}

func (s *Sidecar) checksFencing() bool {
	u, ok := s.o.Config.Snapshot().Upstreams[s.o.Upstream]
	return ok && u.ChecksFencing
}

func (s *Sidecar) record(c *claim, kind, detail string) {
	s.o.Events.Record(c.request, telemetry.Event{Attempt: c.attempt, Kind: kind, Upstream: s.o.Upstream, Detail: detail})
}

// load returns the hints that go with every frame.
func (s *Sidecar) load() *wire.Load {
	l := s.desk.load()
	l.Upstream = s.o.Upstream
	l.Incarnation = s.o.Incarnation
	l.ConfigRevision = s.o.Config.Snapshot().Revision
	return l
}
