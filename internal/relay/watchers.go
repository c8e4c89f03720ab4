package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueslip/fescueslip/internal/membership"
)

// watchersPerDomain is how many processes of a failure domain watch the
// key-value service. Two keep the domain informed when one of them dies, and 20
// domains cost the service 40 waiting watches.
const watchersPerDomain = 2

// IsWatcher reports whether self belongs to the watchers of its failure domain.
// All processes that know the same members come to the same answer without
// talking; when they differ for a while there are more watchers, or fewer in
// one domain, and peers of other domains fill the gap.
func IsWatcher(self membership.Member, members []membership.Member) bool {
	return watcherRank(self, self, members) < watchersPerDomain
}

// watcherRank counts the members of m's failure domain that come before m and can
// watch. Starting members count: otherwise, while all processes restart, each
// would take itself for a watcher.
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

func canWatch(m membership.Member) bool {
	return m.State == membership.Starting || m.State == membership.Serving
}

func watcherWeight(name string) uint64 { return xxhash.Sum64String("config-watcher/" + name) }

// randomPeers returns up to n different random members without self. Members that
// are suspect are left out; they are probed by themselves.
func randomPeers(self string, members []membership.Member, n int, random func(int) int) []membership.Member {
	var out []membership.Member
	// Three tries for each peer find it among members that are mostly usable.
	for range min(3*n, 3*len(members)) {
		m := members[random(len(members))]
		same := func(o membership.Member) bool { return o.Name == m.Name }
		if m.Name == self || m.PeerAddress == "" || m.State == membership.Suspect || slices.ContainsFunc(out, same) {
			continue
		}
		if out = append(out, m); len(out) == n {
			break
		}
	}
	return out
}

// randomSuspects returns up to n suspect members, beginning at a random one.
func randomSuspects(self string, members []membership.Member, n int, random func(int) int) []membership.Member {
	if len(members) == 0 {
		return nil
	}
	var out []membership.Member
	first := random(len(members))
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.State == membership.Suspect && m.Name != self && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// knowsOthers reports whether a member besides self is known.
func knowsOthers(self string, members []membership.Member) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name != self })
}
