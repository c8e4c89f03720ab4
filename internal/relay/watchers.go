package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueslip/fescueslip/internal/membership"
)

// watchersPerDomain is how many processes of a failure domain watch the
// key-value service. With two, the domain stays informed when one of them dies;
// 20 failure domains cost the service 40 waiting watches.
const watchersPerDomain = 2

// IsWatcher reports whether self is a watcher of its failure domain. All
// processes that know the same members reach the same result without
// communicating. While their views differ there may be more watchers, or fewer
// in a domain that peers of other domains then inform.
func IsWatcher(self membership.Member, members []membership.Member) bool {
	return watcherRank(self, self, members) < watchersPerDomain
}

// watcherRank counts the members of m's failure domain that can watch and take
// precedence over m. Starting members count, because otherwise each process
// would consider itself a watcher while all processes restart.
func watcherRank(m, self membership.Member, members []membership.Member) int {
	weight := watcherWeight(m.Name)
	rank := 0
	for _, other := range members {
		if other.Name == m.Name || other.FailureDomain != m.FailureDomain || !canWatch(other) && other.Name != self.Name {
			continue
		}
		otherWeight := watcherWeight(other.Name)
		if cmp.Or(cmp.Compare(otherWeight, weight), cmp.Compare(other.Name, m.Name)) > 0 {
			rank++
		}
	}
	return rank
}

// canWatch reports whether the member's state allows it to be a watcher.
func canWatch(m membership.Member) bool {
	return m.State == membership.Starting || m.State == membership.Serving
}

// watcherWeight returns the rendezvous weight of a member; the members with the
// highest weights are watchers.
func watcherWeight(name string) uint64 { return xxhash.Sum64String("config-watcher/" + name) }

// randomPeers returns up to n different random members except self. Suspect
// members are left out, because they are probed separately.
func randomPeers(self string, members []membership.Member, n int, random func(int) int) []membership.Member {
	var picked []membership.Member
	// Most members are eligible, so three tries per peer are enough.
	for range min(3*n, 3*len(members)) {
		m := members[random(len(members))]
		same := func(o membership.Member) bool { return o.Name == m.Name }
		if m.Name == self || m.PeerAddress == "" || m.State == membership.Suspect || slices.ContainsFunc(picked, same) {
			continue
		}
		if picked = append(picked, m); len(picked) == n {
			break
		}
	}
	return picked
}

// randomSuspects returns up to n suspect members, starting at a random position.
func randomSuspects(self string, members []membership.Member, n int, random func(int) int) []membership.Member {
	if len(members) == 0 {
		return nil
	}
	var picked []membership.Member
	first := random(len(members))
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.State == membership.Suspect && m.Name != self && len(picked) < n {
			picked = append(picked, m)
		}
	}
	return picked
}

// knowsOthers reports whether a member other than self is known.
func knowsOthers(self string, members []membership.Member) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name != self })
}
