// Package subset gives each entry a bounded subset of the upstreams of a model.
//
// All entries compute the same assignment from the same lists, without
// communication. Pairs of entry and upstream are assigned in the order of a
// hash, so that adding or removing one name changes few pairs. A limit per
// upstream keeps the number of entries per upstream even.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSize is the default size of a subset. Selecting the better of two
// random candidates out of 20 gives nearly the same queue lengths as out of all
// upstreams.
const DefaultSize = 20

// pair is a possible assignment of an upstream to an entry; both are indices.
type pair struct {
	entry, upstream int
	weight          uint64
}

// assignment is a partial or complete assignment of upstreams to entries.
type assignment struct {
	pairs    []pair
	size     int
	byEntry  [][]int // upstreams by entry
	coverage []int   // entries by upstream
	assigned map[[2]int]bool
}

// ForEntry returns the subset of one entry in ascending order. The entry is
// added to entries if it is missing there.
func ForEntry(entry string, entries, upstreams []string, size int) []string {
	if !slices.Contains(entries, entry) {
		entries = append(slices.Clone(entries), entry)
	}
	return Assign(entries, upstreams, size)[entry]
}

// Assign returns the subset of each entry in ascending order. Every subset has
// min(size, len(upstreams)) upstreams. The number of entries per upstream
// differs by at most one wherever exchanges of single upstreams can achieve
// that.
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
	a := newAssignment(entries, upstreams, size)
	for i, e := range entries {
		slices.Sort(a.byEntry[i])
		for _, u := range a.byEntry[i] {
			result[e] = append(result[e], upstreams[u])
		}
	}
	return result
}

// newAssignment returns the complete assignment. It fills the upstreams up to
// their mean number of entries first, so that they are assigned evenly, and
// completes the subsets afterwards.
func newAssignment(entries, upstreams []string, size int) *assignment {
	a := &assignment{
		size:     size,
		pairs:    rankPairs(entries, upstreams),
		byEntry:  make([][]int, len(entries)),
		coverage: make([]int, len(upstreams)),
		assigned: make(map[[2]int]bool, len(entries)*size),
	}
	limit := len(entries) * size / len(upstreams)
	a.fill(limit)
	a.fill(limit + 1)
	a.fill(len(entries))
	a.balance()
	return a
}

// fill assigns pairs in order of weight unless the entry has its full subset or
// the upstream has reached the limit.
func (a *assignment) fill(limit int) {
	for _, l := range a.pairs {
		if len(a.byEntry[l.entry]) < a.size && a.coverage[l.upstream] < limit && !a.has(l.entry, l.upstream) {
			a.add(l.entry, l.upstream)
		}
	}
}

// balance exchanges single upstreams in the subsets until the coverage differs
// by at most one or no exchange reduces the difference. Pairs are tried in
// order of weight.
func (a *assignment) balance() {
	for a.exchangeOnce() {
	}
}

// exchangeOnce makes the first exchange that moves an entry from a well covered
// upstream to one of the least covered. It reports whether it found one.
func (a *assignment) exchangeOnce() bool {
	low := slices.Min(a.coverage)
	if slices.Max(a.coverage)-low <= 1 {
		return false
	}
	for _, l := range a.pairs {
		if a.coverage[l.upstream] != low || a.has(l.entry, l.upstream) {
			continue
		}
		if i := a.mostCovered(l.entry); a.coverage[a.byEntry[l.entry][i]] > low+1 {
			a.remove(l.entry, i)
			a.add(l.entry, l.upstream)
			return true
		}
	}
	return false
}

// mostCovered returns the position of the upstream in the subset of the entry
// that has the most entries.
func (a *assignment) mostCovered(entry int) int {
	best := 0
	for i, u := range a.byEntry[entry] {
		if a.coverage[u] > a.coverage[a.byEntry[entry][best]] {
			best = i
		}
	}
	return best
}

func (a *assignment) has(entry, upstream int) bool { return a.assigned[[2]int{entry, upstream}] }

func (a *assignment) add(entry, upstream int) {
	a.byEntry[entry] = append(a.byEntry[entry], upstream)
	a.coverage[upstream]++
	a.assigned[[2]int{entry, upstream}] = true
}

// remove removes the upstream at position i of the subset of the entry.
func (a *assignment) remove(entry, i int) {
	u := a.byEntry[entry][i]
	a.byEntry[entry] = slices.Delete(a.byEntry[entry], i, i+1)
	a.coverage[u]--
	delete(a.assigned, [2]int{entry, u})
}

// rankPairs returns all pairs in ascending order of their hash.
func rankPairs(entries, upstreams []string) []pair {
	pairs := make([]pair, 0, len(entries)*len(upstreams))
	for i, e := range entries {
		for j, u := range upstreams {
			pairs = append(pairs, pair{entry: i, upstream: j, weight: xxhash.Sum64String(e + "\x00" + u)})
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.weight, y.weight), cmp.Compare(x.entry, y.entry), cmp.Compare(x.upstream, y.upstream))
	})
	return pairs
}

// unique returns the names in ascending order without duplicates.
func unique(names []string) []string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
