// Package subset gives each entry a bounded subset of the upstreams of a model.
//
// All entries compute the same assignment from the same lists, without talking
// to each other. Pairs of entry and upstream are taken in the order of a hash,
// so that a change of one name moves few pairs, while a limit per upstream keeps
// the number of entries per upstream even.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSize is the size of a subset. Two random candidates out of 20 give
// nearly the same queue lengths as two out of all.
const DefaultSize = 20

type link struct {
	entry, upstream int
	weight          uint64
}

type assignment struct {
	links    []link
	size     int
	of       [][]int // upstreams by entry
	coverage []int   // entries by upstream
	taken    map[[2]int]bool
}

// ForEntry returns the subset of one entry in ascending order. entries must contain
// the entry; an entry that is not listed yet is added.
func ForEntry(entry string, entries, upstreams []string, size int) []string {
	if !slices.Contains(entries, entry) {
		entries = append(slices.Clone(entries), entry)
	}
	return Assign(entries, upstreams, size)[entry]
}

// Assign returns the subset of each entry in ascending order. Every subset has
// min(size, len(upstreams)) upstreams; the coverage of the upstreams differs by
// at most one wherever single exchanges can achieve that.
func Assign(entries, upstreams []string, size int) map[string][]string {
	entries, upstreams = unique(entries), unique(upstreams)
	size = min(size, len(upstreams))
	result := make(map[string][]string, len(entries))
	if size == len(upstreams) {
		for _, e := range entries {
			result[e] = slices.Clone(upstreams)
		}
		return result
	}
	a := assign(entries, upstreams, size)
	for i, e := range entries {
		slices.Sort(a.of[i])
		for _, u := range a.of[i] {
			result[e] = append(result[e], upstreams[u])
		}
	}
	return result
}

func assign(entries, upstreams []string, size int) *assignment {
	a := &assignment{
		size:     size,
		links:    rank(entries, upstreams),
		of:       make([][]int, len(entries)),
		coverage: make([]int, len(upstreams)),
		taken:    make(map[[2]int]bool, len(entries)*size),
	}
	limit := len(entries) * size / len(upstreams)
	a.fill(limit)
	a.fill(limit + 1)
	a.fill(len(entries))
	a.even()
	return a
}

// fill takes links in order of weight while neither end is full.
func (a *assignment) fill(limit int) {
	for _, l := range a.links {
		if len(a.of[l.entry]) < a.size && a.coverage[l.upstream] < limit && !a.has(l.entry, l.upstream) {
			a.take(l.entry, l.upstream)
		}
	}
}

// even exchanges upstreams within entries until the coverage differs by at most
// one or no single exchange helps. The links of highest weight are preferred.
func (a *assignment) even() {
	for a.exchange() {
	}
}

func (a *assignment) exchange() bool {
	low := slices.Min(a.coverage)
	if slices.Max(a.coverage)-low <= 1 {
		return false
	}
	for _, l := range a.links {
		if a.coverage[l.upstream] != low || a.has(l.entry, l.upstream) {
			continue
		}
		if i := a.mostCovered(l.entry); a.coverage[a.of[l.entry][i]] > low+1 {
			a.drop(l.entry, i)
			a.take(l.entry, l.upstream)
			return true
		}
	}
	return false
}

func (a *assignment) mostCovered(entry int) int {
	best := 0
	for i, u := range a.of[entry] {
		if a.coverage[u] > a.coverage[a.of[entry][best]] {
			best = i
		}
	}
	return best
}

func (a *assignment) has(entry, upstream int) bool { return a.taken[[2]int{entry, upstream}] }

func (a *assignment) take(entry, upstream int) {
	a.of[entry] = append(a.of[entry], upstream)
	a.coverage[upstream]++
	a.taken[[2]int{entry, upstream}] = true
}

func (a *assignment) drop(entry, i int) {
	u := a.of[entry][i]
	a.of[entry] = slices.Delete(a.of[entry], i, i+1)
	a.coverage[u]--
	delete(a.taken, [2]int{entry, u})
}

func rank(entries, upstreams []string) []link {
	links := make([]link, 0, len(entries)*len(upstreams))
	for i, e := range entries {
		for j, u := range upstreams {
			links = append(links, link{entry: i, upstream: j, weight: xxhash.Sum64String(e + "\x00" + u)})
		}
	}
	slices.SortFunc(links, func(x, y link) int {
		return cmp.Or(cmp.Compare(x.weight, y.weight), cmp.Compare(x.entry, y.entry), cmp.Compare(x.upstream, y.upstream))
	})
	return links
}

func unique(names []string) []string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
