package app

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/presence"
	"github.com/fescueslip/fescueslip/internal/routing"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// overlapsPrefix is the prefix of the store keys of services whose upstreams have, or lately had,
// several software versions. The rest of the key is the service. A gateway learns from them after its
// start that the only version it sees need not be the one that began a stream it does not know.
const overlapsPrefix = ownPrefix + "versions/"

const (
	// overlapCheckInterval is how often the list of upstreams is compared with the store.
	overlapCheckInterval = 250 * time.Millisecond
	// overlapWriteSpread, for each gateway, is the time over which they spread a write that all
	// of them find due, so that most of them see it done; maxOverlapWriteSpread limits the sum.
	overlapWriteSpread    = 50 * time.Millisecond
	maxOverlapWriteSpread = 3 * time.Second
	// overlapWriteTimeout limits one write, and overlapRetryDelay is the delay after a failed one.
	overlapWriteTimeout = 2 * time.Second
	overlapRetryDelay   = time.Second
)

// overlapEntry is the value of a service's key in the store.
type overlapEntry struct {
	// By is the gateway that wrote it.
	By string `json:"by"`
	// Ending means that one version is left. The key is removed with its lease, when no client
	// takes up streams of the other versions any more.
	Ending bool `json:"ending"`
}

// versionOverlaps records in the store which services have, or lately had, several software
// versions, and tells the gateway what is recorded. It writes only when versions come and go.
type versionOverlaps struct {
	ownName string
	store   presence.Store
	// gateways returns the number of gateways.
	gateways  func() int
	upstreams *fleet.Fleet
	tables    *routing.Holder
	gateway   *gateway.Gateway
	log       *log.Logger

	mu sync.Mutex
	// stored holds the entries in the store by service; nil until the store has been read.
	stored map[string]overlapEntry
}

func newVersionOverlaps(p GatewayProcess, t *topology, gateways *gatewayList, g *gateway.Gateway) *versionOverlaps {
	return &versionOverlaps{
		ownName: p.Settings.Instance, store: p.Adapter.Presence, gateways: gateways.recentCount,
		upstreams: t.fleet, tables: t.tables, gateway: g, log: p.Logger,
	}
}

// recordVersionOverlaps keeps the entries in the store in line with the list of upstreams.
func recordVersionOverlaps(o *versionOverlaps, b *background, lc fx.Lifecycle) {
	lc.Append(fx.StartHook(func() { b.run("version overlaps", o.run) }))
}

// apply takes over the entries in the view.
func (o *versionOverlaps) apply(view mirror.View) {
	stored := make(map[string]overlapEntry)
	services := make(map[string]bool)
	for key, item := range view.Entries {
		service, ok := strings.CutPrefix(key, overlapsPrefix)
		if !ok {
			continue
		}
		var entry overlapEntry
		if err := json.Unmarshal(item.Value, &entry); err != nil {
			o.log.Warn("software versions of a service cannot be decoded; taking them for several", "key", key, "store_revision", item.Revision, "err", err)
		}
		stored[service], services[service] = entry, true
	}
	o.gateway.ReplaceVersionOverlaps(services)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored = stored
}

// run writes the entries that are due until ctx ends.
func (o *versionOverlaps) run(ctx context.Context) error {
	for wait.For(ctx, overlapCheckInterval) {
		if len(o.due()) == 0 {
			continue
		}
		spread := min(maxOverlapWriteSpread, time.Duration(o.gateways())*overlapWriteSpread)
		if !wait.For(ctx, rand.N(spread)) {
			return nil
		}
		for service, entry := range o.due() {
			if err := o.write(ctx, service, entry); err != nil {
				o.log.Warn("software versions of a service not recorded; trying again", "service", service, "ending", entry.Ending, "err", err)
				wait.For(ctx, overlapRetryDelay)
			}
		}
	}
	return nil
}

// due returns the entries that must be written, by service.
func (o *versionOverlaps) due() map[string]overlapEntry {
	o.mu.Lock()
	stored := o.stored
	o.mu.Unlock()
	due := make(map[string]overlapEntry)
	if stored == nil {
		return due
	}
	for _, service := range o.services(stored) {
		entry, recorded := stored[service]
		overlap := len(o.upstreams.Snapshot().SoftwareVersions(service)) > 1
		if overlap && (!recorded || entry.Ending) || !overlap && recorded && !entry.Ending {
			due[service] = overlapEntry{By: o.ownName, Ending: !overlap}
		}
	}
	return due
}

// services returns the services with an entry or with streams that clients may take up.
func (o *versionOverlaps) services(stored map[string]overlapEntry) []string {
	services := slices.Collect(maps.Keys(stored))
	if t := o.tables.Table(); t != nil {
		services = append(services, t.ResumableServices()...)
	}
	return services
}

// write writes the entry of a service.
func (o *versionOverlaps) write(ctx context.Context, service string, entry overlapEntry) error {
	ctx, cancel := context.WithTimeout(ctx, overlapWriteTimeout)
	defer cancel()
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	lease := uint64(0)
	if entry.Ending {
		if lease, err = o.store.Grant(ctx, gateway.OriginLifetime); err != nil {
			return err
		}
	}
	if err := o.store.Put(ctx, overlapsPrefix+service, value, lease); err != nil {
		return err
	}
	o.log.Info("software versions of a service recorded", "service", service, "versions", o.upstreams.Snapshot().SoftwareVersions(service), "ending", entry.Ending)
	return nil
}
