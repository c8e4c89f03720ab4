package entry

import (
	"fmt"
	"testing"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
)

// Guards against transfers between regions, and against an entry without
// upstreams when none in its own region accepts work.
func TestSubsetStaysInRegion(t *testing.T) {
	cases := []struct {
		name  string
		state membership.State // of the sidecars in the entry's region
		want  func(region string) bool
	}{
		{"own region serves", membership.Serving, func(r string) bool { return r == "r1" }},
		{"own region leaves", membership.Leaving, func(r string) bool { return true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := membership.NewTable()
			objects := config.DecodedObjects{Pools: []*config.Pool{{Name: "p", Role: config.RoleDecode}}}
			regions := map[string]string{}
			table.MergeAuthoritative(membership.Member{Name: "e1", Role: entryRole, Region: "r1", State: membership.Serving, Incarnation: 1})
			for i := range 60 {
				name, region, state := fmt.Sprintf("u%02d", i), fmt.Sprintf("r%d", i%2+1), membership.Serving
				if region == "r1" {
					state = c.state
				}
				regions[name] = region
				objects.Upstreams = append(objects.Upstreams, &config.Upstream{Name: name, Pool: "p", Kind: config.UpstreamModel})
				table.MergeAuthoritative(membership.Member{Name: "s-" + name, Role: "sidecar", Upstream: name, Region: region, State: state, Incarnation: 1})
			}
			names := new(subsetCache).upstreamsFor(config.BuildSnapshot(1, objects), table, "e1", "p")
			if len(names) == 0 {
				t.Fatal("empty subset")
			}
			for _, n := range names {
				if !c.want(regions[n]) {
					t.Errorf("%s of region %s is in the subset", n, regions[n])
				}
			}
		})
	}
}
