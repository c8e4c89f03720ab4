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
	return outranked(self, self, members) < watchersPerDomain
}

// outranked counts the members of m's failure domain that come before m and can
// watch. Starting members count: otherwise, while all processes restart, each
// would take itself for a watcher.
func outranked(m, self membership.Member, members []membership.Member) int {
	weight := watcherWeight(m.Name)
	before := 0
	for _, o := range members {
		if o.Name == m.Name || o.FailureDomain != m.FailureDomain || !canWatch(o) && o.Name != self.Name {
			continue
		}
		other := watcherWeight(o.Name)
		if cmp.Or(cmp.Compare(other, weight), cmp.Compare(o.Name, m.Name)) > 0 {
			before++
		}
	}
	return before
}

func canWatch(m membership.Member) bool {
	return m.State == membership.Starting || m.State == membership.Serving
}

func watcherWeight(name string) uint64 { return xxhash.Sum64String("config-watcher/" + name) }

// pickPeers returns up to n different random members without self. Members that
// are suspect are left out; they are probed by themselves.
func pickPeers(self string, members []membership.Member, n int, random func(int) int) []membership.Member {
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

// suspects returns up to n suspect members, beginning at a random one.
func suspects(self string, members []membership.Member, n int, random func(int) int) []membership.Member {
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

// others reports whether a member besides self is known.
func others(self string, members []membership.Member) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name != self })
}
