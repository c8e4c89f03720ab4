package entry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/policy/subset"
)

// targetMembers returns the members of the target size.
func targetMembers(entries int) *membership.Table {
	table := membership.NewTable()
	var list []membership.Member
	for i := range 4940 {
		m := membership.Member{Name: fmt.Sprintf("p%04d", i), Role: "sidecar", Upstream: fmt.Sprintf("u%04d", i), Incarnation: 1, State: membership.Serving}
		if i < entries {
			m.Role, m.Upstream = entryRole, ""
		}
		list = append(list, m)
	}
	table.MergeRelayed(list)
	return table
}

func targetPool(t testing.TB, upstreams int) *config.Snapshot {
	objects := config.DecodedObjects{Pools: []*config.Pool{{Name: "d", Role: config.RoleDecode}}}
	for i := range upstreams {
		objects.Upstreams = append(objects.Upstreams, &config.Upstream{Name: fmt.Sprintf("u%04d", i), Pool: "d", Kind: config.UpstreamModel})
	}
	snap := config.BuildSnapshot(1, objects)
	if len(snap.PoolMembers("d")) != upstreams {
		t.Fatal("the pool lacks its upstreams")
	}
	return snap
}

// Guards against a subset that outlives a change of the entries, and against
// one that is computed again although neither entries nor upstreams changed.
func TestSubsetFollowsMembers(t *testing.T) {
	table, snap := targetMembers(40), targetPool(t, 60)
	var c subsetCache
	before := c.of(snap, table, "p0000", "d")
	table.ReportState("p4000", 1, membership.Suspect)
	if again := c.of(snap, table, "p0000", "d"); &again[0] != &before[0] {
		t.Error("the subset was computed again after the suspicion of a sidecar")
	}
	for i := 1; i < 40; i++ {
		table.ReportState(fmt.Sprintf("p%04d", i), 1, membership.Leaving)
	}
	want := subset.ForEntry("p0000", []string{"p0000"}, upstreamNames(snap.PoolMembers("d")), subset.DefaultSize)
	if after := c.of(snap, table, "p0000", "d"); !slices.Equal(after, want) {
		t.Errorf("got %v, want %v", after, want)
	}
}

// BenchmarkSubsetLookup measures what the subset costs each request at the target size.
func BenchmarkSubsetLookup(b *testing.B) {
	table, snap := targetMembers(540), targetPool(b, 220)
	var c subsetCache
	c.of(snap, table, "p0000", "d")
	for b.Loop() {
		c.of(snap, table, "p0000", "d")
	}
}
