package app

import (
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// followStore keeps the routing table and the fleet as the store has them.
func followStore(p GatewayProcess, t *topology, gateways *gatewayList, plans *rolePlans, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	f := &storeFollower{adapter: p.Adapter, topology: t, gateways: gateways, plans: plans, suspensions: &suspensionReader{gateway: g, log: p.Logger}, log: p.Logger}
	m := mirror.New(mirror.Options{
		Store:       p.Adapter.Store,
		Prefixes:    []string{p.Adapter.ConfigurationPrefix, p.Adapter.InstancesPrefix, gatewaysPrefix, rolesPrefix, suspensionsPrefix},
		WatchPrefix: "",
		Ephemeral: func(key string) bool {
			return strings.HasPrefix(key, p.Adapter.InstancesPrefix) || strings.HasPrefix(key, gatewaysPrefix)
		},
		Apply:              f.apply,
		OnConnectionChange: f.contact,
		FetchFromPeer:      seedReader{pool: p.Pool, own: p.Settings.Listen.Control, seeds: p.Settings.Seeds}.read,
		MinInterval:        storeReadInterval,
	})
	serveHTTP(p.ControlListener, controlHandler(m.LastView), p.Logger, lc)
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
	suspensions    *suspensionReader
	log            *log.Logger
	configRevision uint64
	// faulty are the entries that could not be read, to log each only once.
	faulty map[string]uint64
}

func (f *storeFollower) contact(lost bool, err error) {
	if lost {
		f.topology.since.Store(nil)
		f.log.Warn("store lost; the last known configuration stays in force", "err", err,
			"config_version", tableVersion(f.topology.tables))
		return
	}
	f.listedFromNow()
	f.log.Info("store regained", "config_version", tableVersion(f.topology.tables))
}

func (f *storeFollower) listedFromNow() {
	now := time.Now()
	f.topology.since.Store(&now)
}

func tableVersion(h *routing.Holder) uint64 {
	if t := h.Table(); t != nil {
		return t.Version
	}
	return 0
}

func (f *storeFollower) apply(v mirror.View) {
	if v.Current && f.topology.since.Load() == nil {
		f.listedFromNow()
	}
	f.applyConfiguration(v)
	f.applyInstances(v)
	f.gateways.apply(v, f.log)
	f.plans.apply(v, f.log)
	f.suspensions.apply(v)
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
		f.log.Info("configuration in force", "config_version", table.Version, "store_revision", e.Revision, "routes", table.RouteCount())
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
