package entry

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/policy/subset"
)

// entryRole is the role of members that share the upstreams among them.
const entryRole = "entry"

// subsetCache holds this entry's subset of each pool until the configuration or
// the set of entries changes.
type subsetCache struct {
	byPool sync.Map // string → *atomic.Pointer[poolSubset]
}

type poolSubset struct {
	revision uint64
	entries  []string
	names    []string
}

// of returns the names of the upstreams that this entry uses in a pool.
func (c *subsetCache) of(snap *config.Snapshot, view membership.View, self, pool string) []string {
	p, _ := c.byPool.LoadOrStore(pool, new(atomic.Pointer[poolSubset]))
	cell := p.(*atomic.Pointer[poolSubset])
	upstreams := snap.PoolMembers(pool)
	if len(upstreams) <= subset.DefaultSize {
		return c.all(cell, snap.Revision, upstreams)
	}
	entries := entryNames(view)
	if s := cell.Load(); s != nil && s.revision == snap.Revision && slices.Equal(s.entries, entries) {
		return s.names
	}
	names := subset.Of(self, entries, upstreamNames(upstreams), subset.DefaultSize)
	cell.Store(&poolSubset{revision: snap.Revision, entries: entries, names: names})
	return names
}

func (c *subsetCache) all(cell *atomic.Pointer[poolSubset], revision uint64, upstreams []*config.Upstream) []string {
	if s := cell.Load(); s != nil && s.revision == revision {
		return s.names
	}
	names := upstreamNames(upstreams)
	cell.Store(&poolSubset{revision: revision, names: names})
	return names
}

func upstreamNames(upstreams []*config.Upstream) []string {
	names := make([]string, len(upstreams))
	for i, u := range upstreams {
		names[i] = u.Name
	}
	return names
}

func entryNames(view membership.View) []string {
	var names []string
	for _, m := range view.Members() {
		if m.Role == entryRole && m.State.AcceptsWork() {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}
