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

	"github.com/fescueslip/fescueslip/internal/contact"
	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/gossip"
	"github.com/fescueslip/fescueslip/internal/leadership"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/presence"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/shutdown"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// Adapter connects a gateway to the platform of a deployment: its store, the
// encoding of the stored entries, and the protocol of its clients and upstreams.
type Adapter struct {
	Store mirror.Store
	// Generations follows the restorations of the store.
	Generations *revision.Tracker
	Presence    presence.Store
	// Leadership and RoleClient are used to change the roles of engines.
	Leadership   leadership.Store
	RoleClient   roles.EngineClient
	Protocol     gateway.Protocol
	EngineClient gateway.EngineClient
	Processes    gateway.ProcessIdentifier
	// ConfigurationKey is the key of the routing table; it starts with
	// ConfigurationPrefix.
	ConfigurationKey    string
	ConfigurationPrefix string
	ReadConfiguration   func(value []byte) (*routing.Table, error)
	// InstancesPrefix is the prefix of the upstreams' keys, one key each.
	InstancesPrefix string
	ReadInstance    func(key string, value []byte) (fleet.Instance, error)
}

// GatewayProcess holds the external dependencies of a gateway: its settings,
// listeners, platform adapter and logger.
type GatewayProcess struct {
	Settings *settings.Gateway
	// SettingsPath is the settings file; it is read again after a signal on Reload or
	// when its modification time changes.
	SettingsPath string
	Adapter      Adapter
	Pool         *exchange.Pool
	Logger       *log.Logger

	ClientListener, ReadyListener, ControlListener, AdminListener net.Listener

	PeerConn net.PacketConn
	// LogDropped returns how many log lines were dropped; nil means that the log
	// drops no lines.
	LogDropped func() int64
	// Reload receives a signal when the settings file may have changed. If it is nil,
	// only the file's modification time triggers a reload.
	Reload <-chan os.Signal
	// Clock is the time source for the leases of the leader election; nil means the
	// machine's uptime.
	Clock leadership.Clock
	// KillContext simulates a crash: once it is cancelled, stopping the process skips
	// the graceful shutdown. Nil means that the shutdown is always graceful.
	KillContext context.Context
}

// clock returns the time source for terms that run on while the machine is suspended.
func (p *GatewayProcess) clock() leadership.Clock {
	if p.Clock == nil {
		return leadership.Uptime
	}
	return p.Clock
}

// Listen opens the client, ready, control and admin listeners at the addresses in
// the settings.
func (p *GatewayProcess) Listen(listen func(address string) (net.Listener, error)) error {
	addresses := p.Settings.Listen
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&p.ClientListener, addresses.Client}, {&p.ReadyListener, addresses.Ready}, {&p.ControlListener, addresses.Control}, {&p.AdminListener, addresses.Admin}} {
		var err error
		if *l.listener, err = listen(l.address); err != nil {
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
		fx.StopTimeout(p.Settings.Shutdown.Grace+shutdown.OverrunTime),
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
			newRolePlanReader,
			newSuspensionWriter,
			newVersionOverlaps,
		),
		fx.Invoke(registerGatewayMetrics, serveReady, serveGatewayAdmin, followStore, joinGateways, shareSuspensions, recordVersionOverlaps, manageRoles, watchSettings, serveClients),
	)
}

// topology holds the routing table and the upstreams that the gateway read from the
// store.
type topology struct {
	tables *routing.Holder
	fleet  *fleet.Fleet
	// listRead reports whether the list of upstreams has been read.
	listRead atomic.Bool
	// readableSince is when the store was first read, or read again after the
	// connection was lost; nil while the store cannot be read.
	readableSince atomic.Pointer[time.Time]
	// storeContact records when the store answered.
	storeContact *contact.Tracker
}

// registerGatewayMetrics registers the metrics of the process; gateway.NewMetrics
// registers those of the requests.
func registerGatewayMetrics(p GatewayProcess, meter metric.Meter, t *topology, g *gateway.Gateway) error {
	gauges := map[string]struct {
		value       func() int64
		description string
	}{
		"fescueslip_gateway_in_flight":          {g.InFlight, "Requests in progress."},
		"fescueslip_gateway_config_version":     {func() int64 { return int64(configVersion(t.tables)) }, "Version of the configuration in force."},
		"fescueslip_gateway_upstreams":          {func() int64 { return int64(t.fleet.Snapshot().Len()) }, "Upstreams on the list."},
		"fescueslip_gateway_limited_upstreams":  {func() int64 { return countLimited(t.fleet.Snapshot()) }, "Upstreams that name a limit on their requests."},
		"fescueslip_gateway_store_generation":   {func() int64 { return int64(p.Adapter.Generations.Current()) }, "Generation of the store; it rises when the store is restored from a copy."},
		"fescueslip_gateway_store_restorations": {func() int64 { return int64(p.Adapter.Generations.Restorations()) }, "Restorations of the store that were seen since the start."},
		"fescueslip_gateway_buffer_limit":       {func() int64 { return g.Buffers().Limit }, "Limit of what is held for clients and upstreams, in bytes."},
		"fescueslip_gateway_body_bytes":         {func() int64 { return g.Buffers().RequestBodies }, "Bytes held for request bodies."},
		"fescueslip_gateway_response_bytes":     {func() int64 { return g.Buffers().Responses }, "Bytes held for whole responses."},
		"fescueslip_gateway_stream_bytes":       {func() int64 { return g.Buffers().Streams }, "Bytes held for streams whose clients are slow."},
		"fescueslip_gateway_connections":        {p.Pool.OpenedTotal, "Connections opened to upstreams and the store since the start."},
	}
	if p.LogDropped != nil {
		gauges["fescueslip_gateway_log_dropped"] = struct {
			value       func() int64
			description string
		}{p.LogDropped, "Log lines dropped since the start."}
	}
	for name, gauge := range gauges {
		if _, err := meter.Int64ObservableGauge(name, metric.WithDescription(gauge.description),
			metric.WithInt64Callback(telemetry.Int64Callback(gauge.value))); err != nil {
			return err
		}
	}
	return nil
}

// countLimited returns the number of upstreams that name a limit on their requests.
func countLimited(s *fleet.Snapshot) int64 {
	var n int64
	s.Each(func(u *fleet.Upstream) {
		if _, _, limited := u.Limit(); limited {
			n++
		}
	})
	return n
}

func newTopology(tables *routing.Holder, f *fleet.Fleet) *topology {
	return &topology{tables: tables, fleet: f, storeContact: new(contact.Tracker)}
}

// listReadableSince returns the time since which the list can be read, or the zero
// time if it cannot be read.
func (t *topology) listReadableSince() time.Time {
	if since := t.readableSince.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// ready reports whether the gateway has a routing table and the list of upstreams.
func (t *topology) ready() bool { return t.tables.Table() != nil && t.listRead.Load() }

// bufferMemoryRatio is the part of the process's memory for what it holds for clients and
// upstreams. The heap may take 0.6 of the memory, of which the collector needs a part.
const bufferMemoryRatio = 0.25

func newGateway(p GatewayProcess, gateways *gatewayList, t *topology, m *gateway.Metrics) *gateway.Gateway {
	s := p.Settings
	return gateway.New(gateway.Options{
		Instance:          s.Instance,
		FailureDomain:     s.FailureDomain,
		Protocol:          p.Adapter.Protocol,
		EngineClient:      p.Adapter.EngineClient,
		Processes:         p.Adapter.Processes,
		Pool:              p.Pool,
		Tables:            t.tables,
		Fleet:             t.fleet,
		Retries:           gateway.RetryLimits{Ratio: s.Retries.Ratio, Window: s.Retries.Window, FixedAllowance: s.Retries.Slack},
		RecentGateways:    gateways.recentCount,
		ListedGateways:    gateways.listedCount,
		StoreContact:      t.storeContact.Uninterrupted,
		ListReadableSince: t.listReadableSince,
		Quotas:            gateway.QuotaLimits{Window: s.Quotas.Window, OvershootRatio: s.Quotas.OvershootRatio, OvershootFixed: s.Quotas.OvershootUnits},
		Incarnation:       gateways.incarnation,
		Clock:             p.clock(),
		Shutdown:          shutdown.New(),
		BufferBytes:       int64(float64(s.Memory.Limit) * bufferMemoryRatio),
		Logger:            p.Logger,
		Metrics:           m,
	})
}
