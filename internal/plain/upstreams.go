package plain

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
)

const (
	// A candidate in another failure domain is taken when the local one has
	// more than spillFactor times its requests in flight plus spillSlack.
	spillFactor = 2
	spillSlack  = 8
)

// upstreams tracks this entry's requests in flight per upstream and chooses among them.
type upstreams struct {
	members membership.View
	domain  string
	flights sync.Map // upstream name → *atomic.Int64
	draw    func(n int) int
}

func newUpstreams(members membership.View, domain string, draw func(n int) int) *upstreams {
	if draw == nil {
		draw = rand.IntN
	}
	return &upstreams{members: members, domain: domain, draw: draw}
}

func (u *upstreams) inFlight(name string) *atomic.Int64 {
	if n, ok := u.flights.Load(name); ok {
		return n.(*atomic.Int64)
	}
	n, _ := u.flights.LoadOrStore(name, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// candidates are the members of a pool that may be tried, by preference.
type candidates struct {
	local, remote, suspect []membership.Member
}

func (u *upstreams) candidates(s *config.Snapshot, pool string, tried map[string]bool) candidates {
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

// choose picks an upstream of the pool that has not been tried. The better of
// two random candidates avoids both herding and a full scan's hot spot.
func (u *upstreams) choose(s *config.Snapshot, pool string, tried map[string]bool) (membership.Member, bool) {
	c := u.candidates(s, pool, tried)
	local, okLocal := u.twoChoices(c.local)
	remote, okRemote := u.twoChoices(c.remote)
	switch {
	case okLocal && okRemote:
		if u.load(local) > spillFactor*u.load(remote)+spillSlack {
			return remote, true
		}
		return local, true
	case okLocal:
		return local, true
	case okRemote:
		return remote, true
	}
	return u.twoChoices(c.suspect)
}

func (u *upstreams) twoChoices(from []membership.Member) (membership.Member, bool) {
	if len(from) == 0 {
		return membership.Member{}, false
	}
	i := u.draw(len(from))
	if len(from) == 1 {
		return from[i], true
	}
	j := u.draw(len(from) - 1)
	if j >= i {
		j++
	}
	if u.load(from[j]) < u.load(from[i]) {
		i = j
	}
	return from[i], true
}

func (u *upstreams) load(m membership.Member) int64 { return u.inFlight(m.Upstream).Load() }
