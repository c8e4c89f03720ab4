package subset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// maxMovedRatio bounds the links that one joining or leaving name may move,
// as a multiple of the links that must move. Rendezvous hashing alone moves 1;
// the limits per upstream displace a few others in turn.
const maxMovedRatio = 8

type subsetModel struct {
	entries, upstreams []string
	size, nextID       int
	assignment         map[string][]string
}

func (m *subsetModel) assignedPairs() map[string]bool {
	set := map[string]bool{}
	for e, us := range m.assignment {
		for _, u := range us {
			set[e+"/"+u] = true
		}
	}
	return set
}

// applyChange applies a change and checks the invariants of the new assignment.
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
		t.Fatalf("%d links moved, %d had to, with %d entries and %d upstreams", moved, required, len(m.entries), len(m.upstreams))
	}
}

func (m *subsetModel) checkInvariants(t *rapid.T) {
	coverage := map[string]int{}
	for _, e := range m.entries {
		us := m.assignment[e]
		if want := min(m.size, len(m.upstreams)); len(us) != want || len(slices.Compact(slices.Clone(us))) != want {
			t.Fatalf("entry %s has %v, want %d different upstreams", e, us, want)
		}
		for _, u := range us {
			coverage[u]++
		}
	}
	low, high := len(m.entries), 0
	for _, u := range m.upstreams {
		low, high = min(low, coverage[u]), max(high, coverage[u])
	}
	if high-low > 2 {
		t.Fatalf("coverage from %d to %d with %d entries, %d upstreams, size %d", low, high, len(m.entries), len(m.upstreams), m.size)
	}
}

// Guards against uneven coverage, short subsets and mass movement of links.
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

// Guards against entries that disagree because their lists are ordered differently.
func TestOrderOfListsDoesNotMatter(t *testing.T) {
	entries, upstreams := []string{"e1", "e2", "e3"}, []string{"u1", "u2", "u3", "u4", "u5", "u6", "u7"}
	want := ForEntry("e2", entries, upstreams, 3)
	slices.Reverse(entries)
	slices.Reverse(upstreams)
	if got := ForEntry("e2", entries, upstreams, 3); !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
