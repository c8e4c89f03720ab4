package app

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/entry"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/ledger"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/peer"
	"github.com/fescueslip/fescueslip/internal/plain"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/relay"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	serverHeaderFactor = 4
	// idleCloseTimeout limits the wait for idle connections at the end of a shutdown;
	// all requests have ended by then.
	idleCloseTimeout = time.Second
)

var entryModule = fx.Module("entry",
	fx.Provide(
		entry.NewMetrics,
		newLedger,
		newPlainRouter,
		newEntry,
		newEntryComponents,
	),
	fx.Invoke(registerEntryMetrics, runQuarantine, runLedger, servePeers, serveCallers, drainOnStop),
)

func entryLimits(s *settings.Settings) entry.Limits {
	l := entry.DefaultLimits()
	l.MaxBodyBytes = int64(s.Limits.MaxBody)
	l.MaxHeaderBytes = int(s.Limits.MaxHeader)
	l.MaxHeaderCount = s.Limits.MaxHeaderCount
	l.MaxPromptTokens = s.Limits.MaxPromptTokens
	l.BodyTimeout = s.Limits.BodyTimeout
	return l
}

func newLedger(p Process, c peerClient, view membership.View, kv kvservice.KV, logger *log.Logger) *ledger.Ledger {
	return ledger.New(ledger.Options{
		KV:      kv,
		Members: view,
		Self:    p.Settings.Instance,
		Client:  c.Client,
		Secret:  p.Settings.PeerSecret,
		Logger:  logger,
	})
}

func newPlainRouter(p Process, c peerClient, source config.Source, view membership.View, l *ledger.Ledger, events *telemetry.FlightRecorder, logger *log.Logger) *plain.Router {
	return plain.NewRouter(plain.RouterOptions{
		Ledger:        l,
		Config:        source,
		Members:       view,
		Client:        c.Client,
		Secret:        p.Settings.PeerSecret,
		Instance:      p.Settings.Instance,
		FailureDomain: p.Settings.FailureDomain,
		Events:        events,
		Logger:        logger,
		MaxBody:       int64(p.Settings.Limits.MaxBody),
	})
}

type entryDeps struct {
	fx.In

	Process    Process
	Client     peerClient
	Config     config.Source
	Members    membership.View
	Plain      *plain.Router
	Ledger     *ledger.Ledger
	Quarantine *quarantine.Replica
	Events     *telemetry.FlightRecorder
	Metrics    *entry.Metrics
	Logger     *log.Logger
}

func newEntry(d entryDeps) *entry.Entry {
	return entry.New(entry.Options{
		Instance:      d.Process.Settings.Instance,
		FailureDomain: d.Process.Settings.FailureDomain,
		Config:        d.Config,
		Members:       d.Members,
		Client:        d.Client.Client,
		Secret:        d.Process.Settings.PeerSecret,
		Plain:         d.Plain,
		Outcomes:      d.Ledger,
		Quarantine:    d.Quarantine,
		CrashSharer: &quarantine.Broadcaster{
			Replica: d.Quarantine,
			Members: d.Members,
			Self:    d.Process.Settings.Instance,
			Client:  d.Client.Client,
			Secret:  d.Process.Settings.PeerSecret,
		},
		Limits:  entryLimits(d.Process.Settings),
		Events:  d.Events,
		Metrics: d.Metrics,
		Logger:  d.Logger,
	})
}

func newEntryComponents(e *entry.Entry, replica *quarantine.Replica, l *ledger.Ledger) roleComponents {
	return roleComponents{
		stateParts: func() map[string]any {
			return map[string]any{"entry": e.State(), "ledger": l.State(), "quarantine": replica.Record()}
		},
		streams:      map[string]http.Handler{quarantine.CrashPath: replica},
		drain:        e.Drain,
		commitIntent: l.CommitIntent,
	}
}

func registerEntryMetrics(e *entry.Entry, r *plain.Router, l *ledger.Ledger, m metric.Meter) error {
	return errors.Join(e.RegisterHintMetrics(m), r.RegisterMetrics(m), l.RegisterMetrics(m))
}

func runQuarantine(lc fx.Lifecycle, replica *quarantine.Replica, b *background) {
	lc.Append(fx.StartHook(func() { b.run("quarantine writer", replica.RunWriter) }))
}

func runLedger(lc fx.Lifecycle, l *ledger.Ledger, b *background) {
	lc.Append(fx.StartHook(func() { b.run("ledger", l.Run) }))
}

// servePeers serves the control service and the streams of the role on the peer
// port.
func servePeers(lc fx.Lifecycle, p Process, r *relay.Relay, events *telemetry.FlightRecorder, role roleComponents, sd fx.Shutdowner, logger *log.Logger) {
	mux := http.NewServeMux()
	service := peer.NewPeerServer(&peerService{
		relay:  r,
		events: events,
		name:   p.Settings.Instance,
		role:   role,
		stop:   func() error { return sd.Shutdown() },
	})
	mux.Handle(service.PathPrefix(), service)
	for path, handler := range role.streams {
		mux.Handle(path, handler)
	}
	serve(lc, p, p.PeerListener, wire.NewServer(wire.RequireSecret(p.Settings.PeerSecret, mux)), logger)
}

func serveCallers(lc fx.Lifecycle, p Process, e *entry.Entry, logger *log.Logger) {
	listener := limitConnsPerAddress(p.CallerListener, p.Settings.Limits.MaxConnectionsPerCaller)
	serve(lc, p, listener, &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		// The entry refuses a header over its limit with a typed error. The server's
		// own limit only stops headers that are several times larger.
		MaxHeaderBytes: serverHeaderFactor * int(p.Settings.Limits.MaxHeader),
	}, logger)
}

// drainOnStop drains the role before a planned stop. fx runs stop hooks in reverse
// order and this hook is appended last, so it runs before any server or loop stops.
func drainOnStop(lc fx.Lifecycle, p Process, id *identity, r *relay.Relay, role roleComponents, logger *log.Logger) {
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		if p.killed() {
			return nil
		}
		id.markLeaving()
		r.Announce(ctx)
		logger.Info("shutting down; waiting for the requests in progress")
		if err := role.drain(ctx); err != nil {
			logger.Error("graceful shutdown failed; requests in progress are aborted", "err", err)
			return err
		}
		logger.Info("all requests in progress have finished")
		return nil
	}))
}
