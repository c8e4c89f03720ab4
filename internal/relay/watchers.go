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

// Watches reports whether self belongs to the watchers of its failure domain.
// All processes that know the same members come to the same answer without
// talking; when they differ for a while there are more watchers, or fewer in
// one domain, and peers of other domains fill the gap.
func Watches(self membership.Member, members []membership.Member) bool {
	weight := watcherWeight(self.Name)
	before := 0
	for _, m := range members {
		if m.Name == self.Name || m.FailureDomain != self.FailureDomain || m.State != membership.Serving {
			continue
		}
		other := watcherWeight(m.Name)
		if cmp.Or(cmp.Compare(other, weight), cmp.Compare(m.Name, self.Name)) > 0 {
			before++
		}
	}
	return before < watchersPerDomain
}

func watcherWeight(name string) uint64 { return xxhash.Sum64String("config-watcher/" + name) }

// pickPeers returns up to n members in the order of random keys, without self.
func pickPeers(self string, members []membership.Member, n int, random func() uint64) []membership.Member {
	type keyed struct {
		key    uint64
		member membership.Member
	}
	var list []keyed
	for _, m := range members {
		if m.Name != self && m.PeerAddress != "" {
			list = append(list, keyed{key: random(), member: m})
		}
	}
	slices.SortFunc(list, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	var out []membership.Member
	for i := range min(n, len(list)) {
		out = append(out, list[i].member)
	}
	return out
}
