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
	// stopTimeout bounds a graceful shutdown; it is longer than the request
	// timeout of an entry, so that a planned stop cuts off no request.
	stopTimeout = 11 * time.Minute
	// listInterval is the time between two reads of the platform's list.
	listInterval = 2 * time.Second
	// flightLogRequests is how many requests the flight log of a process
	// remembers; at about 2 KB each they stay below 10 MB.
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
		newKeeper,
		newTraffic,
		newRelay,
		newPoller,
		newControlState,
		newBackground,
	),
	fx.Invoke(runMembership, runRelay, observeControl, serveAdmin),
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

// peerClient reaches other processes of the system.
type peerClient struct{ *http.Client }

func newPeerClient(p Process, lc fx.Lifecycle) peerClient {
	c := wire.NewClient(p.Dial)
	lc.Append(fx.StopHook(c.CloseIdleConnections))
	return peerClient{Client: c}
}

// identity is what this process tells others about itself.
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

// member returns the record as of now.
func (i *identity) member() membership.Member {
	m := i.record
	m.State = membership.State(i.state.Load())
	m.ConfigRevision = i.holder.Revision()
	return m
}

func (i *identity) leaving() bool { return i.state.Load() >= int32(membership.Leaving) }

// serving marks the end of the start, unless the process leaves already.
func (i *identity) serving() {
	i.state.CompareAndSwap(int32(membership.Starting), int32(membership.Serving))
}

func (i *identity) leave() { i.state.Store(int32(membership.Leaving)) }

// background runs loops from start to stop of the process.
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
		// The ledger still settles the intents of the calls that just ended.
		b.loops.Wait()
	}))
	return b
}

// run starts a loop; it ends with the process.
func (b *background) run(name string, loop func(context.Context) error) {
	b.loops.Go(func() {
		if err := loop(b.ctx); err != nil && b.ctx.Err() == nil {
			b.log.Error("background loop ended", "loop", name, "err", err)
		}
	})
}

func newKeeper(kv kvservice.KV, logger *log.Logger) *quarantine.Replica {
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
		Interval:   listInterval,
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
			id.serving()
			r.Announce(ctx)
			return nil
		})
	}))
}
