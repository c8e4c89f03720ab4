package subset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// movedPerChange bounds the links that one joining or leaving name may move,
// as a multiple of the links that must move. Rendezvous hashing alone moves 1;
// the limits per upstream displace a few others in turn.
const movedPerChange = 8

type model struct {
	entries, upstreams []string
	size, next         int
	last               map[string][]string
}

func (m *model) links() map[string]bool {
	set := map[string]bool{}
	for e, us := range m.last {
		for _, u := range us {
			set[e+"/"+u] = true
		}
	}
	return set
}

// step applies a change and checks the invariants of the new assignment.
func (m *model) step(t *rapid.T, forced func() int, change func()) {
	before := m.links()
	must := 0
	if forced != nil {
		must = forced()
	}
	change()
	m.last = Assign(m.entries, m.upstreams, m.size)
	m.check(t)
	moved := 0
	for l := range m.links() {
		if !before[l] {
			moved++
		}
	}
	if must > 0 && moved > movedPerChange*must+2*m.size {
		t.Fatalf("%d links moved, %d had to, with %d entries and %d upstreams", moved, must, len(m.entries), len(m.upstreams))
	}
}

func (m *model) check(t *rapid.T) {
	coverage := map[string]int{}
	for _, e := range m.entries {
		us := m.last[e]
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
		m := &model{size: rapid.IntRange(2, 6).Draw(t, "size")}
		for range rapid.IntRange(3, 12).Draw(t, "entries") {
			m.entries = append(m.entries, m.name("e"))
		}
		for range rapid.IntRange(3, 24).Draw(t, "upstreams") {
			m.upstreams = append(m.upstreams, m.name("u"))
		}
		m.step(t, nil, func() {})
		share := func() int { return 1 + len(m.entries)*m.size/len(m.upstreams) + m.size }
		t.Repeat(map[string]func(*rapid.T){
			"entry joins":    func(t *rapid.T) { m.step(t, share, func() { m.entries = append(m.entries, m.name("e")) }) },
			"upstream joins": func(t *rapid.T) { m.step(t, share, func() { m.upstreams = append(m.upstreams, m.name("u")) }) },
			"entry leaves": func(t *rapid.T) {
				if len(m.entries) > 2 {
					i := rapid.IntRange(0, len(m.entries)-1).Draw(t, "i")
					m.step(t, share, func() { m.entries = slices.Delete(m.entries, i, i+1) })
				}
			},
			"upstream leaves": func(t *rapid.T) {
				if len(m.upstreams) > 2 {
					i := rapid.IntRange(0, len(m.upstreams)-1).Draw(t, "i")
					m.step(t, share, func() { m.upstreams = slices.Delete(m.upstreams, i, i+1) })
				}
			},
		})
	})
}

func (m *model) name(prefix string) string {
	m.next++
	return fmt.Sprintf("%s%d", prefix, m.next)
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
