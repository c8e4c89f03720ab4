package app

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/gossip"
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
	Leadership   leadership.Store
	RoleClient   roles.EngineClient
	Protocol     gateway.Protocol
	EngineClient gateway.EngineClient
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
	KillContext context.Context
}

// Listen opens the listeners that the settings name.
func (p *GatewayProcess) Listen(listen func(address string) (net.Listener, error)) error {
	at := p.Settings.Listen
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{{&p.ClientListener, at.Client}, {&p.ReadyListener, at.Ready}, {&p.ControlListener, at.Control}, {&p.AdminListener, at.Admin}} {
		var err error
		if *l.to, err = listen(l.address); err != nil {
			return err
		}
	}
	return nil
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
			gossip.NewMetrics,
			newGateway,
			newBackground,
			newTopology,
			newGatewayList,
			newRolePlans,
		),
		fx.Invoke(observeGateway, serveReady, serveGatewayAdmin, followStore, joinGateways, shareSuspensions, manageRoles, watchSettings, serveClients),
	)
}

// topology is what the process knows of the deployment.
type topology struct {
	tables *routing.Holder
	fleet  *fleet.Fleet
	listed atomic.Bool
	// since is when the store was read first, or again after it was lost; nil
	// while it is lost.
	since atomic.Pointer[time.Time]
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
		"fescueslip_gateway_connections":    {p.Pool.OpenedTotal, "Connections opened to upstreams and the store since the start."},
	}
	if p.LogDropped != nil {
		gauges["fescueslip_gateway_log_dropped"] = struct {
			value func() int64
			about string
		}{p.LogDropped, "Log lines dropped since the start."}
	}
	for name, gauge := range gauges {
		if _, err := meter.Int64ObservableGauge(name, metric.WithDescription(gauge.about),
			metric.WithInt64Callback(telemetry.Int64Callback(gauge.value))); err != nil {
			return err
		}
	}
	return nil
}

func newTopology(tables *routing.Holder, f *fleet.Fleet) *topology {
	return &topology{tables: tables, fleet: f}
}

// listedSince returns since when the list can be read; zero if it cannot.
func (t *topology) listedSince() time.Time {
	if since := t.since.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// ready reports whether requests can be served.
func (t *topology) ready() bool { return t.tables.Table() != nil && t.listed.Load() }

func newGateway(p GatewayProcess, gateways *gatewayList, t *topology, m *gateway.Metrics) *gateway.Gateway {
	s := p.Settings
	return gateway.New(gateway.Options{
		Instance:          s.Instance,
		FailureDomain:     s.FailureDomain,
		Protocol:          p.Adapter.Protocol,
		EngineClient:      p.Adapter.EngineClient,
		Pool:              p.Pool,
		Tables:            t.tables,
		Fleet:             t.fleet,
		Retries:           gateway.RetryLimits{Ratio: s.Retries.Ratio, Window: s.Retries.Window, FixedAllowance: s.Retries.Slack},
		RecentGateways:    gateways.count,
		ListedGateways:    gateways.listed,
		ListReadableSince: t.listedSince,
		Logger:            p.Logger,
		Metrics:           m,
	})
}
