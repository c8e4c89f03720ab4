package app

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/relay"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	startTimeout = 15 * time.Second
	// stopTimeout limits a graceful shutdown. It is longer than the request timeout
	// of an entry, so that a planned stop aborts no request.
	stopTimeout = 11 * time.Minute
	// instanceListInterval is the time between two reads of the platform's instance
	// list.
	instanceListInterval = 2 * time.Second
	// flightLogRequests is the number of requests that the flight log keeps. At about
	// 2 KB each they take less than 10 MB.
	flightLogRequests = 4096
)

var commonModule = fx.Module("common",
	fx.Provide(
		func(p Process) *log.Logger { return p.Logger },
		func(p Process) kvservice.KV { return p.KV },
		config.NewHolder,
		func(h *config.Holder) config.Source { return h },
		membership.NewTable,
		func(t *membership.Table) membership.View { return t },
		relay.NewCache,
		func(kv kvservice.KV) *configstore.Store { return configstore.New(configstore.Options{KV: kv}) },
		func() *telemetry.FlightRecorder { return telemetry.NewFlightRecorder(flightLogRequests) },
		newMeter,
		newPeerClient,
		newIdentity,
		newQuarantineReplica,
		newTraffic,
		newRelay,
		newPoller,
		newControlTraffic,
		newBackground,
	),
	fx.Invoke(runMembership, runRelay, registerControlMetrics, serveAdmin),
)

type meterResult struct {
	fx.Out
	Meter    metric.Meter
	Registry *prometheus.Registry
}

func newMeter() (meterResult, error) {
	meter, registry, err := telemetry.NewMeter()
	return meterResult{Meter: meter, Registry: registry}, err
}

// peerClient is the HTTP client for calls to peers.
type peerClient struct{ *http.Client }

func newPeerClient(p Process, lc fx.Lifecycle) peerClient {
	c := wire.NewClient(p.Dial)
	lc.Append(fx.StopHook(c.CloseIdleConnections))
	return peerClient{Client: c}
}

// identity holds the member record that this process reports to its peers.
type identity struct {
	record membership.Member
	state  atomic.Int32
	holder *config.Holder
}

func newIdentity(p Process, holder *config.Holder) *identity {
	s := p.Settings
	id := &identity{holder: holder, record: membership.Member{
		Name:          s.Instance,
		Role:          string(s.Role),
		Upstream:      s.Upstream.Name,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		PeerAddress:   p.PeerListener.Addr().String(),
		AdminAddress:  p.AdminListener.Addr().String(),
		Incarnation:   p.Incarnation,
	}}
	id.state.Store(int32(membership.Starting))
	return id
}

// member returns the record with the current state and configuration revision.
func (i *identity) member() membership.Member {
	m := i.record
	m.State = membership.State(i.state.Load())
	m.ConfigRevision = i.holder.Revision()
	return m
}

func (i *identity) isLeaving() bool { return i.state.Load() >= int32(membership.Leaving) }

// markServing changes the state from starting to serving; it has no effect when the
// process is already leaving.
func (i *identity) markServing() {
	i.state.CompareAndSwap(int32(membership.Starting), int32(membership.Serving))
}

func (i *identity) markLeaving() { i.state.Store(int32(membership.Leaving)) }

// background runs the loops of a process until the process stops.
type background struct {
	ctx   context.Context
	loops sync.WaitGroup
	log   *log.Logger
}

func newBackground(lc fx.Lifecycle, logger *log.Logger) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{ctx: ctx, log: logger}
	lc.Append(fx.StopHook(func() {
		cancel()
		// After the cancellation, the ledger still settles the intents of the calls
		// that have just ended.
		b.loops.Wait()
	}))
	return b
}

// run starts a loop whose context is cancelled when the process stops. The name is
// used in log lines.
func (b *background) run(name string, loop func(context.Context) error) {
	b.loops.Go(func() {
		if err := loop(b.ctx); err != nil && b.ctx.Err() == nil {
			b.log.Error("background loop failed", "loop", name, "err", err)
		}
	})
}

func newQuarantineReplica(kv kvservice.KV, logger *log.Logger) *quarantine.Replica {
	return quarantine.NewReplica(kv, logger)
}

func newTraffic() *relay.Traffic { return new(relay.Traffic) }

type relayDeps struct {
	fx.In

	Process    Process
	Traffic    *relay.Traffic
	Cache      *relay.Cache
	Store      *configstore.Store
	Table      *membership.Table
	Quarantine *quarantine.Replica
	Identity   *identity
	Logger     *log.Logger
	Lifecycle  fx.Lifecycle
}

func newRelay(d relayDeps) *relay.Relay {
	client := relay.NewClient(d.Process.Dial, d.Traffic)
	d.Lifecycle.Append(fx.StopHook(client.CloseIdleConnections))
	return relay.New(relay.Options{
		Cache:      d.Cache,
		Store:      d.Store,
		Table:      d.Table,
		Quarantine: d.Quarantine,
		Self:       d.Identity.member,
		Client:     client,
		Secret:     d.Process.Settings.PeerSecret,
		Logger:     d.Logger,
	})
}

func newPoller(p Process, table *membership.Table, id *identity, r *relay.Relay, logger *log.Logger) *membership.Poller {
	return &membership.Poller{
		Table:      table,
		Instances:  p.Instances,
		Interval:   instanceListInterval,
		ShouldRead: func() bool { return relay.IsWatcher(id.member(), table.Members()) },
		OnChange:   r.QueueChanges,
		Logger:     logger,
	}
}

func runMembership(lc fx.Lifecycle, poller *membership.Poller, b *background) {
	lc.Append(fx.StartHook(func() { b.run("instance list", poller.Run) }))
}

func runRelay(lc fx.Lifecycle, r *relay.Relay, b *background, id *identity) {
	lc.Append(fx.StartHook(func() {
		b.run("relay", r.Run)
		b.run("first configuration", func(ctx context.Context) error {
			if err := r.Bootstrap(ctx); err != nil {
				return err
			}
			id.markServing()
			r.Announce(ctx)
			return nil
		})
	}))
}
