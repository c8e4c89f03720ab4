package app

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/leadership"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/presence"
	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// Adapter is what a deployment's platform gives to a gateway: its store, the
// meaning of what lies there, and the messages of its clients and upstreams.
type Adapter struct {
	Store    mirror.Store
	Presence presence.Store
	// Leadership and Orders serve the change of engines' roles.
	Leadership leadership.Store
	Orders     roles.Engines
	Wire       gateway.Wire
	Engines    gateway.Engines
	// ConfigurationKey is the key of the routing table; it stands under
	// ConfigurationPrefix.
	ConfigurationKey    string
	ConfigurationPrefix string
	ReadConfiguration   func(value []byte) (*routing.Table, error)
	// InstancesPrefix holds a key for each upstream.
	InstancesPrefix string
	ReadInstance    func(key string, value []byte) (fleet.Instance, error)
}

// GatewayProcess is what a gateway process gets from outside.
type GatewayProcess struct {
	Settings *settings.Gateway
	// SettingsPath is read again when the process is told that it changed.
	SettingsPath string
	Adapter      Adapter
	Pool         *exchange.Pool
	Logger       *log.Logger

	ClientListener, ReadyListener, ControlListener, AdminListener net.Listener

	PeerConn net.PacketConn
	// LogDropped returns how many log lines were dropped; nil: none ever are.
	LogDropped func() int64
	// Reload tells that the settings file may have changed; nil: only the file's
	// time tells.
	Reload <-chan os.Signal
	// Clock is the clock that leases run on; nil means the machine's uptime.
	Clock leadership.Clock
	// Life ends when the process is killed: the stop that follows skips the
	// graceful shutdown. Nil means that the process is only ever stopped.
	Life context.Context
}

// GatewayOptions returns the fx options of a gateway process.
func GatewayOptions(p GatewayProcess) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(p.Settings.Shutdown.Grace),
		fx.Supply(p),
		fx.Provide(
			func(p GatewayProcess) *log.Logger { return p.Logger },
			func() *routing.Holder { return new(routing.Holder) },
			fleet.New,
			newMeter,
			gateway.NewMetrics,
			newGateway,
			newBackground,
			newTopology,
			newGatewayList,
			newRolePlans,
		),
		fx.Invoke(observeGateway, serveReady, serveGatewayAdmin, followStore, joinGateways, manageRoles, watchSettings, serveClients),
	)
}

// topology is what the process knows of the deployment.
type topology struct {
	tables *routing.Holder
	fleet  *fleet.Fleet
	listed atomic.Bool
}

// observeGateway registers the metrics of the process beside those of requests.
func observeGateway(p GatewayProcess, meter metric.Meter, t *topology, g *gateway.Gateway) error {
	gauges := map[string]struct {
		value func() int64
		about string
	}{
		"fescueslip_gateway_in_flight":      {g.InFlight, "Requests in progress."},
		"fescueslip_gateway_config_version": {func() int64 { return int64(tableVersion(t.tables)) }, "Version of the configuration in force."},
		"fescueslip_gateway_upstreams":      {func() int64 { return int64(t.fleet.Snapshot().Len()) }, "Upstreams on the list."},
		"fescueslip_gateway_connections":    {p.Pool.Opened, "Connections opened to upstreams and the store since the start."},
	}
	if p.LogDropped != nil {
		gauges["fescueslip_gateway_log_dropped"] = struct {
			value func() int64
			about string
		}{p.LogDropped, "Log lines dropped since the start."}
	}
	for name, gauge := range gauges {
		if _, err := meter.Int64ObservableGauge(name, metric.WithDescription(gauge.about),
			metric.WithInt64Callback(telemetry.Observed(gauge.value))); err != nil {
			return err
		}
	}
	return nil
}

func newTopology(tables *routing.Holder, f *fleet.Fleet) *topology {
	return &topology{tables: tables, fleet: f}
}

// ready reports whether requests can be served.
func (t *topology) ready() bool { return t.tables.Table() != nil && t.listed.Load() }

func newGateway(p GatewayProcess, gateways *gatewayList, tables *routing.Holder, f *fleet.Fleet, m *gateway.Metrics) *gateway.Gateway {
	s := p.Settings
	return gateway.New(gateway.Options{
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		Wire:          p.Adapter.Wire,
		Engines:       p.Adapter.Engines,
		Pool:          p.Pool,
		Tables:        tables,
		Fleet:         f,
		Retries:       gateway.RetryLimits{Ratio: s.Retries.Ratio, Window: s.Retries.Window, Slack: s.Retries.Slack},
		Gateways:      gateways.count,
		Listed:        gateways.listed,
		Logger:        p.Logger,
		Metrics:       m,
	})
}

// followStore keeps the routing table and the fleet as the store has them.
func followStore(p GatewayProcess, t *topology, gateways *gatewayList, plans *rolePlans, b *background, lc fx.Lifecycle) {
	f := &storeFollower{adapter: p.Adapter, topology: t, gateways: gateways, plans: plans, log: p.Logger}
	m := mirror.New(mirror.Options{
		Store:       p.Adapter.Store,
		Prefixes:    []string{p.Adapter.ConfigurationPrefix, p.Adapter.InstancesPrefix, gatewaysPrefix, rolesPrefix},
		WatchPrefix: "",
		Lapses: func(key string) bool {
			return strings.HasPrefix(key, p.Adapter.InstancesPrefix) || strings.HasPrefix(key, gatewaysPrefix)
		},
		Apply:       f.apply,
		Contact:     f.contact,
		Fallback:    seedReader{pool: p.Pool, own: p.Settings.Listen.Control, seeds: p.Settings.Seeds}.read,
		MinInterval: storeReadInterval,
	})
	serveHTTP(p.ControlListener, controlHandler(m), p.Logger, lc)
	lc.Append(fx.StartHook(func() { b.run("store", m.Run) }))
}

// storeReadInterval bounds the calls to the store while it changes fast.
const storeReadInterval = 200 * time.Millisecond

// storeFollower turns what lies in the store into a routing table and a fleet.
type storeFollower struct {
	adapter        Adapter
	topology       *topology
	gateways       *gatewayList
	plans          *rolePlans
	log            *log.Logger
	configRevision uint64
	// faulty are the entries that could not be read, to log each only once.
	faulty map[string]uint64
}

func (f *storeFollower) contact(lost bool, err error) {
	if lost {
		f.log.Warn("store lost; the last known configuration stays in force", "err", err,
			"config_version", tableVersion(f.topology.tables))
		return
	}
	f.log.Info("store regained", "config_version", tableVersion(f.topology.tables))
}

func tableVersion(h *routing.Holder) uint64 {
	if t := h.Table(); t != nil {
		return t.Version
	}
	return 0
}

func (f *storeFollower) apply(v mirror.View) {
	f.applyConfiguration(v)
	f.applyInstances(v)
	f.gateways.apply(v, f.log)
	f.plans.apply(v, f.log)
	f.topology.listed.Store(true)
}

func (f *storeFollower) applyConfiguration(v mirror.View) {
	e, ok := v.Entries[f.adapter.ConfigurationKey]
	if !ok || e.Revision == f.configRevision {
		return
	}
	f.configRevision = e.Revision
	table, err := f.adapter.ReadConfiguration(e.Value)
	if err != nil {
		f.log.Error("configuration cannot be read; the last good one stays in force", "store_revision", e.Revision, "err", err)
		return
	}
	if f.topology.tables.Replace(table) {
		f.log.Info("configuration in force", "config_version", table.Version, "store_revision", e.Revision, "routes", table.Routes())
	}
}

func (f *storeFollower) applyInstances(v mirror.View) {
	if f.faulty == nil {
		f.faulty = make(map[string]uint64)
	}
	var list []fleet.Instance
	for key, e := range v.Entries {
		if !strings.HasPrefix(key, f.adapter.InstancesPrefix) {
			continue
		}
		in, err := f.adapter.ReadInstance(key, e.Value)
		if err != nil {
			if f.faulty[key] != e.Revision {
				f.faulty[key] = e.Revision
				f.log.Warn("entry of the upstream list ignored", "store_revision", e.Revision, "err", err)
			}
			continue
		}
		list = append(list, in)
	}
	change := f.topology.fleet.Replace(list, v.Revision)
	if change.Empty() {
		return
	}
	f.log.Info("upstreams changed", "store_revision", v.Revision, "known", len(list),
		"added", ids(change.Added), "removed", ids(change.Removed), "leaving", ids(change.Leaving))
}

func ids(list []fleet.Instance) string {
	var b strings.Builder
	for i, in := range list {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(in.ID)
	}
	return b.String()
}

// serveReady answers the balancer's probe.
func serveReady(p GatewayProcess, t *topology, g *gateway.Gateway, lc fx.Lifecycle) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/ready", func(c *gin.Context) {
		if g.Leaving() || !t.ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	serveHTTP(p.ReadyListener, engine, p.Logger, lc)
}

// serveGatewayAdmin serves metrics and the state dump.
func serveGatewayAdmin(p GatewayProcess, t *topology, g *gateway.Gateway, m meterParts, lc fx.Lifecycle) {
	engine := gin.New()
	metrics := promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
	engine.GET("/metrics", gin.WrapH(metrics))
	engine.GET("/debug/state", func(c *gin.Context) {
		c.JSON(http.StatusOK, dumpGateway(p, t, g))
	})
	serveHTTP(p.AdminListener, engine, p.Logger, lc)
}

func serveHTTP(l net.Listener, h http.Handler, logger *log.Logger, lc fx.Lifecycle) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: logger.StandardLog()}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

// adminHeaderTimeout bounds the header of a request to the ready and admin ports.
const adminHeaderTimeout = 3 * time.Second

// serveClients serves the client port until the shutdown has drained it.
func serveClients(p GatewayProcess, g *gateway.Gateway, tables *routing.Holder, b *background, lc fx.Lifecycle) {
	server := newClientServer(p.ClientListener, g, p.Logger)
	tables.OnReplace(func(t *routing.Table) { server.setLimits(t.Limits) })
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			b.run("clients", server.run)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p.Life != nil && p.Life.Err() != nil {
				server.close()
				return nil
			}
			p.Logger.Info("shutdown begins", "in_flight", g.InFlight())
			drainClients(ctx, g, p.Settings.Shutdown.Grace)
			p.Logger.Info("client port closes", "in_flight", g.InFlight())
			server.close()
			return nil
		},
	})
}

const (
	// stopReserve is the part of the grace period that the end of the process needs.
	stopReserve = 500 * time.Millisecond
	// balancerNotice is how long the balancer goes on sending new connections to
	// an instance that is not ready: two probes, a second apart, and their time-outs.
	balancerNotice = 3500 * time.Millisecond
	// drainPoll is how often the requests in progress are counted.
	drainPoll = 20 * time.Millisecond
)

// drainClients waits until no request is in progress and none can come, but no
// longer than the grace period.
func drainClients(ctx context.Context, g *gateway.Gateway, grace time.Duration) {
	began := time.Now()
	g.Leave(began)
	for {
		waited := time.Since(began)
		if waited >= grace-stopReserve || ctx.Err() != nil {
			return
		}
		if waited >= balancerNotice && g.InFlight() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// watchSettings reads the settings file again when it has changed.
func watchSettings(p GatewayProcess, b *background, lc fx.Lifecycle) {
	lc.Append(fx.StartHook(func() {
		b.run("settings", func(ctx context.Context) error {
			w := settingsWatcher{path: p.SettingsPath, log: p.Logger}
			w.run(ctx, p.Reload)
			return nil
		})
	}))
}

// settingsInterval is how often the settings file is looked at without a signal.
const settingsInterval = 2 * time.Second

// settingsWatcher applies what may change while the process runs.
type settingsWatcher struct {
	path     string
	log      *log.Logger
	modified time.Time
}

func (w *settingsWatcher) run(ctx context.Context, reload <-chan os.Signal) {
	w.changed()
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			w.changed()
			w.reload("signal")
		case <-tick.C:
			if w.changed() {
				w.reload("file changed")
			}
		}
	}
}

func (w *settingsWatcher) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modified) {
		return false
	}
	w.modified = info.ModTime()
	return true
}

func (w *settingsWatcher) reload(why string) {
	s, err := settings.LoadGateway(w.path)
	if err != nil {
		w.log.Error("settings not reloaded; the old ones stay in force", "reason", why, "err", err)
		return
	}
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		w.log.SetLevel(level)
	}
	w.log.Info("settings reloaded", "reason", why, "log_level", s.Log.Level)
}

// gatewayState is the dump of a gateway process.
type gatewayState struct {
	Instance      string           `json:"instance"`
	FailureDomain string           `json:"failure_domain"`
	ConfigVersion uint64           `json:"config_version"`
	FleetRevision uint64           `json:"fleet_revision"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	InFlight      int64            `json:"in_flight"`
	Connections   int64            `json:"connections_opened"`
	Upstreams     []upstreamStatus `json:"upstreams"`
}

type upstreamStatus struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	Address       string  `json:"address"`
	Role          string  `json:"role"`
	Leaving       bool    `json:"leaving"`
	InFlight      int64   `json:"in_flight"`
	PrefillTokens int64   `json:"prefill_tokens"`
	FailureShare  float64 `json:"failure_share"`
	LatencyMs     float64 `json:"latency_ms"`
	Avoid         bool    `json:"avoid"`
}

func dumpGateway(p GatewayProcess, t *topology, g *gateway.Gateway) gatewayState {
	snapshot := t.fleet.Snapshot()
	out := gatewayState{
		Instance:      p.Settings.Instance,
		FailureDomain: p.Settings.FailureDomain,
		ConfigVersion: tableVersion(t.tables),
		FleetRevision: snapshot.Revision,
		Ready:         t.ready() && !g.Leaving(),
		Leaving:       g.Leaving(),
		InFlight:      g.InFlight(),
		Connections:   p.Pool.Opened(),
	}
	now := time.Now()
	for _, u := range snapshot.All() {
		f, h := u.Facts(), u.Health(now)
		out.Upstreams = append(out.Upstreams, upstreamStatus{
			ID: f.ID, Service: f.Service, Address: f.Address, Role: f.Role.String(), Leaving: f.Leaving,
			InFlight: u.InFlight.Load(), PrefillTokens: u.PrefillTokens.Load(),
			FailureShare: h.FailureShare, LatencyMs: h.LatencyMs, Avoid: h.Avoid,
		})
	}
	return out
}

// meterParts receives the registry that the metrics are read from.
type meterParts struct {
	fx.In
	Registry *prometheus.Registry
}
