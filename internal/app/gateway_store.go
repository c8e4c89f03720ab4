package app

import (
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// ownPrefix is the prefix of all store keys that gateways write. They are listed at once.
const ownPrefix = "fescueslip/"

// followStore mirrors the store and keeps the routing table, the fleet, the gateway
// list, the role changes, the suspensions and the overlaps of software versions in line with it.
func followStore(p GatewayProcess, t *topology, gateways *gatewayList, plans *rolePlanReader, writer *suspensionWriter, overlaps *versionOverlaps, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	follower := &storeFollower{adapter: p.Adapter, topology: t, gateways: gateways, plans: plans, suspensions: &suspensionReader{gateway: g, writer: writer, log: p.Logger}, overlaps: overlaps, log: p.Logger}
	versions := storedVersions{adapter: p.Adapter}
	m := mirror.New(mirror.Options{
		Store:       p.Adapter.Store,
		Prefixes:    []string{p.Adapter.ConfigurationPrefix, p.Adapter.InstancesPrefix, ownPrefix},
		WatchPrefix: "",
		Ephemeral: func(key string) bool {
			return strings.HasPrefix(key, p.Adapter.InstancesPrefix) || strings.HasPrefix(key, gatewaysPrefix)
		},
		VersionOf:          versions.of,
		Keep:               versions.keep,
		OnKept:             logKept(p.Logger),
		Apply:              follower.apply,
		OnConnectionChange: follower.connectionChanged,
		FetchFromPeer:      snapshotFetcher{pool: p.Pool, ownAddress: p.Settings.Listen.Control, seeds: p.Settings.Seeds, log: p.Logger}.fetchNewer,
		MinInterval:        max(minStoreReadInterval, p.Settings.Store.ChangeDeadline/readsPerChangeDeadline),
		MaxSilence:         p.Settings.Store.MaxSilence,
		Contact:            t.storeContact,
		PresentSince:       g.StorePresentSince,
	})
	logGenerations(p.Adapter.Generations, t, p.Logger)
	serveHTTP(p.ControlListener, snapshotHandler(m.LastView), p.Logger, lc)
	lc.Append(fx.StartHook(func() { b.run("store", m.Run) }))
}

// logGenerations makes the tracker log restorations of the store.
func logGenerations(generations *revision.Tracker, t *topology, logger *log.Logger) {
	generations.OnChange = func(from, to uint64) {
		logger.Warn("store restored from an older copy; revisions are given out again", "from_generation", from, "generation", to,
			"config_version", configVersion(t.tables))
	}
	generations.OnMalformed = func(text string, err error) {
		logger.Warn("generation of the store cannot be read; the last one is kept, and a restoration may be missed", "generation", generations.Current(), "value", text, "err", err)
	}
}

const (
	// minStoreReadInterval is the least interval between two reads of the store; it
	// limits the calls while the store changes often.
	minStoreReadInterval = 200 * time.Millisecond
	// readsPerChangeDeadline is the number of reads, while the store changes often,
	// within the time in which a change must be in force.
	readsPerChangeDeadline = 5
)

// storeFollower applies each new view of the store to the gateway's state.
type storeFollower struct {
	adapter        Adapter
	topology       *topology
	gateways       *gatewayList
	plans          *rolePlanReader
	suspensions    *suspensionReader
	overlaps       *versionOverlaps
	log            *log.Logger
	configRevision revision.Revision
	// invalidEntries maps the keys of entries that could not be decoded to the
	// revision that was logged, so that each revision is logged only once.
	invalidEntries map[string]revision.Revision
}

// connectionChanged is called when the connection to the store is lost, with the
// cause, and when it is regained.
func (f *storeFollower) connectionChanged(lost bool, err error) {
	if lost {
		f.topology.readableSince.Store(nil)
		f.log.Warn("store lost; the last known configuration stays in force", "err", err,
			"config_version", configVersion(f.topology.tables))
		return
	}
	f.markListReadable()
	f.log.Info("store regained", "config_version", configVersion(f.topology.tables))
}

// markListReadable records that the upstream list is readable from now on.
func (f *storeFollower) markListReadable() {
	now := time.Now()
	f.topology.readableSince.Store(&now)
}

// configVersion returns the version of the configuration in force, or 0 if there is
// none.
func configVersion(tables *routing.Holder) uint64 {
	if t := tables.Table(); t != nil {
		return t.Version
	}
	return 0
}

// apply passes a new view of the store to all readers of its entries.
func (f *storeFollower) apply(view mirror.View) {
	if view.Current && f.topology.readableSince.Load() == nil {
		f.markListReadable()
	}
	f.applyConfiguration(view)
	f.applyInstances(view)
	f.gateways.apply(view, f.log)
	f.plans.apply(view, f.log)
	f.suspensions.apply(view)
	f.overlaps.apply(view)
	f.topology.listRead.Store(true)
}

// applyConfiguration puts the configuration in the view in force if it has changed
// and is valid.
func (f *storeFollower) applyConfiguration(view mirror.View) {
	entry, ok := view.Entries[f.adapter.ConfigurationKey]
	if !ok || entry.Revision == f.configRevision {
		return
	}
	f.configRevision = entry.Revision
	table, err := f.adapter.ReadConfiguration(entry.Value)
	if err != nil {
		f.log.Error("configuration cannot be decoded; keeping the last valid one", "store_revision", entry.Revision, "err", err)
		return
	}
	if f.topology.tables.Replace(table) {
		f.log.Info("configuration in force", "config_version", table.Version, "store_revision", entry.Revision, "routes", table.RouteCount(),
			"accounts", accountCount(table))
		f.warnOfAccountsWithoutKey(table)
	}
}

// accountCount returns the number of client accounts, or -1 if requests need none.
func accountCount(t *routing.Table) int {
	if t.Accounts == nil {
		return -1
	}
	return len(t.Accounts.All())
}

// maxLoggedAccounts limits the account names in one log line.
const maxLoggedAccounts = 20

// warnOfAccountsWithoutKey logs the accounts that no request can use.
func (f *storeFollower) warnOfAccountsWithoutKey(t *routing.Table) {
	if t.Accounts == nil {
		return
	}
	if names := t.Accounts.WithoutKey(); len(names) > 0 {
		f.log.Warn("accounts without a key", "config_version", t.Version, "count", len(names), "accounts", strings.Join(names[:min(len(names), maxLoggedAccounts)], " "))
	}
}

func (f *storeFollower) applyInstances(view mirror.View) {
	if f.invalidEntries == nil {
		f.invalidEntries = make(map[string]revision.Revision)
	}
	var list []fleet.Instance
	for key, entry := range view.Entries {
		if !strings.HasPrefix(key, f.adapter.InstancesPrefix) {
			continue
		}
		instance, err := f.adapter.ReadInstance(key, entry.Value)
		if err != nil {
			if f.invalidEntries[key] != entry.Revision {
				f.invalidEntries[key] = entry.Revision
				f.log.Warn("entry of the upstream list ignored", "store_revision", entry.Revision, "err", err)
			}
			continue
		}
		list = append(list, instance)
	}
	change := f.topology.fleet.Replace(list, view.Revision)
	if change.Empty() {
		return
	}
	f.log.Info("upstreams changed", "store_revision", view.Revision, "known", len(list),
		"added", joinIDs(change.Added), "removed", joinIDs(change.Removed), "leaving", joinIDs(change.Leaving))
}

func joinIDs(list []fleet.Instance) string {
	var b strings.Builder
	for i, instance := range list {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(instance.ID)
	}
	return b.String()
}
