package entry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/policy/subset"
)

// membersAtTargetSize returns a table with 4,940 members, the target size, of
// which the given number are entries.
func membersAtTargetSize(entries int) *membership.Table {
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

// poolAtTargetSize returns a configuration with one decode pool of the given
// number of upstreams.
func poolAtTargetSize(t testing.TB, upstreams int) *config.Snapshot {
	objects := config.DecodedObjects{Pools: []*config.Pool{{Name: "d", Role: config.RoleDecode}}}
	for i := range upstreams {
		objects.Upstreams = append(objects.Upstreams, &config.Upstream{Name: fmt.Sprintf("u%04d", i), Pool: "d", Kind: config.UpstreamModel})
	}
	snap := config.BuildSnapshot(1, objects)
	if len(snap.PoolMembers("d")) != upstreams {
		t.Fatalf("pool d has %d upstreams, want %d", len(snap.PoolMembers("d")), upstreams)
	}
	return snap
}

// Guards against a subset that stays the same although the entries changed, and
// against one that is computed again although neither entries nor upstreams
// changed.
func TestSubsetFollowsMembers(t *testing.T) {
	table, snap := membersAtTargetSize(40), poolAtTargetSize(t, 60)
	var c subsetCache
	before := c.upstreamsFor(snap, table, "p0000", "d")
	table.ReportState("p4000", 1, membership.Suspect)
	if again := c.upstreamsFor(snap, table, "p0000", "d"); &again[0] != &before[0] {
		t.Error("the subset was computed again after a sidecar became suspect")
	}
	for i := 1; i < 40; i++ {
		table.ReportState(fmt.Sprintf("p%04d", i), 1, membership.Leaving)
	}
	want := subset.ForEntry("p0000", []string{"p0000"}, upstreamNames(snap.PoolMembers("d")), subset.DefaultSize)
	if after := c.upstreamsFor(snap, table, "p0000", "d"); !slices.Equal(after, want) {
		t.Errorf("got %v, want %v", after, want)
	}
}

// BenchmarkSubsetLookup measures the cost of the subset lookup per request at
// the target size.
func BenchmarkSubsetLookup(b *testing.B) {
	table, snap := membersAtTargetSize(540), poolAtTargetSize(b, 220)
	var c subsetCache
	c.upstreamsFor(snap, table, "p0000", "d")
	for b.Loop() {
		c.upstreamsFor(snap, table, "p0000", "d")
	}
}
