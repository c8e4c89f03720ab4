package subset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// maxMovedRatio limits the pairs that may change when one name is added or
// removed, as a multiple of the pairs that must change. Rendezvous hashing
// alone has a ratio of 1; the limits per upstream make it higher, because a
// changed pair displaces others.
const maxMovedRatio = 8

// subsetModel holds the lists of the state machine and their current
// assignment.
type subsetModel struct {
	entries, upstreams []string
	size, nextID       int
	assignment         map[string][]string
}

// assignedPairs returns the assigned pairs as "entry/upstream".
func (m *subsetModel) assignedPairs() map[string]bool {
	set := map[string]bool{}
	for e, subset := range m.assignment {
		for _, u := range subset {
			set[e+"/"+u] = true
		}
	}
	return set
}

// applyChange applies a change of the lists, computes the new assignment,
// checks its invariants and limits the number of changed pairs.
func (m *subsetModel) applyChange(t *rapid.T, requiredMoves func() int, change func()) {
	before := m.assignedPairs()
	required := 0
	if requiredMoves != nil {
		required = requiredMoves()
	}
	change()
	m.assignment = Assign(m.entries, m.upstreams, m.size)
	m.checkInvariants(t)
	moved := 0
	for l := range m.assignedPairs() {
		if !before[l] {
			moved++
		}
	}
	if required > 0 && moved > maxMovedRatio*required+2*m.size {
		t.Fatalf("%d pairs changed although only %d had to, with %d entries and %d upstreams", moved, required, len(m.entries), len(m.upstreams))
	}
}

// checkInvariants checks that every subset has its full size without
// duplicates, and that the coverage of the upstreams differs by at most 2.
func (m *subsetModel) checkInvariants(t *rapid.T) {
	coverage := map[string]int{}
	for _, e := range m.entries {
		subset := m.assignment[e]
		if want := min(m.size, len(m.upstreams)); len(subset) != want || len(slices.Compact(slices.Clone(subset))) != want {
			t.Fatalf("entry %s has upstreams %v, want %d different ones", e, subset, want)
		}
		for _, u := range subset {
			coverage[u]++
		}
	}
	low, high := len(m.entries), 0
	for _, u := range m.upstreams {
		low, high = min(low, coverage[u]), max(high, coverage[u])
	}
	if high-low > 2 {
		t.Fatalf("between %d and %d entries per upstream with %d entries, %d upstreams, size %d", low, high, len(m.entries), len(m.upstreams), m.size)
	}
}

// TestSubsetStateMachine adds and removes entries and upstreams at random. It
// guards against uneven coverage, subsets that are too small, and changes of
// many pairs at once.
func TestSubsetStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &subsetModel{size: rapid.IntRange(2, 6).Draw(t, "size")}
		for range rapid.IntRange(3, 12).Draw(t, "entries") {
			m.entries = append(m.entries, m.newName("e"))
		}
		for range rapid.IntRange(3, 24).Draw(t, "upstreams") {
			m.upstreams = append(m.upstreams, m.newName("u"))
		}
		m.applyChange(t, nil, func() {})
		requiredMoves := func() int { return 1 + len(m.entries)*m.size/len(m.upstreams) + m.size }
		t.Repeat(map[string]func(*rapid.T){
			"entry joins": func(t *rapid.T) {
				m.applyChange(t, requiredMoves, func() { m.entries = append(m.entries, m.newName("e")) })
			},
			"upstream joins": func(t *rapid.T) {
				m.applyChange(t, requiredMoves, func() { m.upstreams = append(m.upstreams, m.newName("u")) })
			},
			"entry leaves": func(t *rapid.T) {
				if len(m.entries) > 2 {
					i := rapid.IntRange(0, len(m.entries)-1).Draw(t, "i")
					m.applyChange(t, requiredMoves, func() { m.entries = slices.Delete(m.entries, i, i+1) })
				}
			},
			"upstream leaves": func(t *rapid.T) {
				if len(m.upstreams) > 2 {
					i := rapid.IntRange(0, len(m.upstreams)-1).Draw(t, "i")
					m.applyChange(t, requiredMoves, func() { m.upstreams = slices.Delete(m.upstreams, i, i+1) })
				}
			},
		})
	})
}

func (m *subsetModel) newName(prefix string) string {
	m.nextID++
	return fmt.Sprintf("%s%d", prefix, m.nextID)
}

// TestOrderOfListsDoesNotMatter guards against entries that compute different
// assignments because their lists have different orders.
func TestOrderOfListsDoesNotMatter(t *testing.T) {
	entries, upstreams := []string{"e1", "e2", "e3"}, []string{"u1", "u2", "u3", "u4", "u5", "u6", "u7"}
	want := ForEntry("e2", entries, upstreams, 3)
	slices.Reverse(entries)
	slices.Reverse(upstreams)
	if got := ForEntry("e2", entries, upstreams, 3); !slices.Equal(got, want) {
		t.Fatalf("subset with reversed lists is %v, want %v", got, want)
	}
}
