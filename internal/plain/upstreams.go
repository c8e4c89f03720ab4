package plain

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
)

const (
	// A candidate in another failure domain is chosen when the local one has more
	// than remoteLoadFactor times its requests in flight plus remoteLoadSlack.
	remoteLoadFactor = 2
	remoteLoadSlack  = 8
)

// upstreamSelector counts this entry's requests in flight per upstream and chooses
// upstreams by them.
type upstreamSelector struct {
	members        membership.View
	domain         string
	inFlightByName sync.Map // upstream name to *atomic.Int64
	randIntN       func(n int) int
}

func newUpstreamSelector(members membership.View, domain string, randIntN func(n int) int) *upstreamSelector {
	if randIntN == nil {
		randIntN = rand.IntN
	}
	return &upstreamSelector{members: members, domain: domain, randIntN: randIntN}
}

func (u *upstreamSelector) inFlight(name string) *atomic.Int64 {
	if n, ok := u.inFlightByName.Load(name); ok {
		return n.(*atomic.Int64)
	}
	n, _ := u.inFlightByName.LoadOrStore(name, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// candidates are the members of a pool that may be tried, grouped by preference.
type candidates struct {
	local, remote, suspect []membership.Member
}

// candidates returns the members of the pool that accept work and have not been
// tried.
func (u *upstreamSelector) candidates(s *config.Snapshot, pool string, tried map[string]bool) candidates {
	var c candidates
	for _, up := range s.PoolMembers(pool) {
		m, ok := u.members.SidecarOf(up.Name)
		switch {
		case !ok || tried[up.Name] || !m.State.AcceptsWork():
		case m.State == membership.Suspect:
			c.suspect = append(c.suspect, m)
		case m.FailureDomain == u.domain:
			c.local = append(c.local, m)
		default:
			c.remote = append(c.remote, m)
		}
	}
	return c
}

// choose picks an upstream of the pool that has not been tried. Taking the less
// loaded of two random candidates prevents herding: with a full scan, all entries
// would choose the same least loaded upstream.
func (u *upstreamSelector) choose(s *config.Snapshot, pool string, tried map[string]bool) (membership.Member, bool) {
	c := u.candidates(s, pool, tried)
	local, okLocal := u.lessLoadedOfTwo(c.local)
	remote, okRemote := u.lessLoadedOfTwo(c.remote)
	switch {
	case okLocal && okRemote:
		if u.load(local) > remoteLoadFactor*u.load(remote)+remoteLoadSlack {
			return remote, true
		}
		return local, true
	case okLocal:
		return local, true
	case okRemote:
		return remote, true
	}
	return u.lessLoadedOfTwo(c.suspect)
}

// lessLoadedOfTwo returns the one of two random members with fewer requests in
// flight. It reports false if from is empty.
func (u *upstreamSelector) lessLoadedOfTwo(from []membership.Member) (membership.Member, bool) {
	if len(from) == 0 {
		return membership.Member{}, false
	}
	i := u.randIntN(len(from))
	if len(from) == 1 {
		return from[i], true
	}
	j := u.randIntN(len(from) - 1)
	if j >= i {
		j++
	}
	if u.load(from[j]) < u.load(from[i]) {
		i = j
	}
	return from[i], true
}

func (u *upstreamSelector) load(m membership.Member) int64 { return u.inFlight(m.Upstream).Load() }
