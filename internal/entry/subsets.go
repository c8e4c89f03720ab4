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
	byPool sync.Map // string → *subsetCell
}

// subsetCell holds the subset of one pool. Computing it takes 75 ms at 540
// entries and 220 upstreams, so one request computes it and the others go on
// with the old one.
type subsetCell struct {
	atomic.Pointer[poolSubset]
	computing sync.Mutex
}

type poolSubset struct {
	revision uint64
	members  *membership.Member // first of the members that entries were taken from
	entries  []string
	pool     []string // the upstreams that the subset was drawn from
	names    []string
}

// current reports whether the subset follows from the same configuration and
// the same members. A view publishes a new slice with each change, so the check
// takes no time that grows with the members.
func (s *poolSubset) current(revision uint64, members []membership.Member) bool {
	return s != nil && s.revision == revision && s.members == first(members)
}

func first(members []membership.Member) *membership.Member {
	if len(members) == 0 {
		return nil
	}
	return &members[0]
}

// of returns the names of the upstreams that this entry uses in a pool.
func (c *subsetCache) of(snap *config.Snapshot, view membership.View, self, pool string) []string {
	p, _ := c.byPool.LoadOrStore(pool, new(subsetCell))
	cell := p.(*subsetCell)
	upstreams := snap.PoolMembers(pool)
	if len(upstreams) <= subset.DefaultSize {
		return c.all(cell, snap.Revision, upstreams)
	}
	members := view.Members()
	s := cell.Load()
	if s.current(snap.Revision, members) {
		return s.names
	}
	if s == nil {
		cell.computing.Lock()
	} else if !cell.computing.TryLock() {
		return s.names
	}
	defer cell.computing.Unlock()
	return cell.renew(snap.Revision, members, self, upstreamNames(upstreams))
}

// renew computes the subset unless neither entries nor upstreams have changed.
// The caller holds computing.
func (cell *subsetCell) renew(revision uint64, members []membership.Member, self string, pool []string) []string {
	s := cell.Load()
	if s.current(revision, members) {
		return s.names
	}
	entries, pool := sameRegion(members, self, pool)
	next := &poolSubset{revision: revision, members: first(members), entries: entries, pool: pool}
	if s != nil && slices.Equal(s.entries, next.entries) && slices.Equal(s.pool, next.pool) {
		next.names = s.names
	} else {
		next.names = subset.ForEntry(self, next.entries, next.pool, subset.DefaultSize)
	}
	cell.Store(next)
	return next.names
}

func (c *subsetCache) all(cell *subsetCell, revision uint64, upstreams []*config.Upstream) []string {
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

// sameRegion returns the entries and the upstreams of the pool that are in the
// region of this entry: the KV cache and the tokens of a request then stay
// there. Upstreams of unknown region count as its own, so that the restart of a
// sidecar moves no subset. An entry whose region has no upstream that takes
// work, or that does not know its own record yet, uses all regions.
func sameRegion(members []membership.Member, self string, pool []string) (entries, upstreams []string) {
	region, known := regionOf(members, self)
	if known {
		entries = entriesIn(members, region)
		upstreams, known = upstreamsIn(members, region, pool)
	}
	if !known {
		return entryNames(members), pool
	}
	return entries, upstreams
}

func entriesIn(members []membership.Member, region string) []string {
	var local []membership.Member
	for _, m := range members {
		if m.Region == region {
			local = append(local, m)
		}
	}
	return entryNames(local)
}

// upstreamsIn leaves out the upstreams of other regions. It reports whether any
// of the others takes work.
func upstreamsIn(members []membership.Member, region string, pool []string) (upstreams []string, working bool) {
	foreign := make(map[string]bool)
	local := make(map[string]bool)
	for _, m := range members {
		switch {
		case m.Upstream == "":
		case m.Region != region:
			foreign[m.Upstream] = true
		case m.State.AcceptsWork():
			local[m.Upstream] = true
		}
	}
	for _, name := range pool {
		if !foreign[name] {
			upstreams = append(upstreams, name)
			working = working || local[name]
		}
	}
	return upstreams, working
}

func entryNames(members []membership.Member) []string {
	var names []string
	for _, m := range members {
		if m.Role == entryRole && m.State.AcceptsWork() {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

func regionOf(members []membership.Member, name string) (string, bool) {
	for _, m := range members {
		if m.Name == name {
			return m.Region, true
		}
	}
	return "", false
}
