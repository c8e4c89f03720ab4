package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

func TestMain(m *testing.M) {
	// Every run checks the same cases, unless -rapid.seed sets another seed.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func member(name string, incarnation uint64, s State) Member {
	return Member{Name: name, Role: "sidecar", Upstream: "u-" + name, Incarnation: incarnation, State: s}
}

func instance(name string, incarnation uint64, leaving bool) kvservice.Instance {
	return kvservice.Instance{Name: name, Role: "sidecar", Upstream: "u-" + name, Incarnation: incarnation, Leaving: leaving}
}

func (t *Table) stateOf(name string) (State, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byName[name]; ok {
		return e.State, e.Incarnation
	}
	return 0, 0
}

// tableModel applies random operations to a table and tracks which properties
// must hold.
type tableModel struct {
	table  *Table
	left   map[string]uint64 // newest incarnation that announced that it is leaving
	newest map[string]uint64
	list   []kvservice.Instance // may be stale
}

var modelStates = []State{Starting, Serving, Suspect, Leaving, Gone}

func (m *tableModel) drawMember(t *rapid.T) Member {
	name := fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(t, "name"))
	return member(name, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.SampledFrom(modelStates).Draw(t, "state"))
}

func (m *tableModel) recordMerge(r Member) {
	if r.State != Gone || m.newest[r.Name] > 0 {
		m.newest[r.Name] = max(m.newest[r.Name], r.Incarnation)
	}
	state, incarnation := m.table.stateOf(r.Name)
	if r.State == Leaving && incarnation == r.Incarnation && state == Leaving {
		m.left[r.Name] = max(m.left[r.Name], r.Incarnation)
	}
}

func (m *tableModel) check(t *rapid.T) {
	for name, want := range m.newest {
		state, got := m.table.stateOf(name)
		if got != want {
			t.Fatalf("%s has incarnation %d, want the newest %d", name, got, want)
		}
		if m.left[name] == got && state < Leaving {
			t.Fatalf("%s announced that it is leaving, but its state is %s", name, state)
		}
	}
	for _, v := range m.table.Members() {
		if u, ok := m.table.SidecarOf(v.Upstream); !ok || u.Name != v.Name || u.State == Gone {
			t.Fatalf("view of %s is %+v", v.Upstream, u)
		}
	}
}

// Guards against an old incarnation that replaces a newer one, and against a
// leaving process that a stale list or an old record makes serve again.
func TestTableStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{table: NewTable(), left: map[string]uint64{}, newest: map[string]uint64{}}
		t.Repeat(map[string]func(*rapid.T){
			"own record": func(t *rapid.T) {
				r := m.drawMember(t)
				if r.State == Gone {
					r.State = Leaving
				}
				m.table.MergeAuthoritative(r)
				m.recordMerge(r)
			},
			"relayed record": func(t *rapid.T) {
				r := m.drawMember(t)
				before, incarnation := m.table.stateOf(r.Name)
				m.table.MergeRelayed([]Member{r})
				m.recordMerge(r)
				after, _ := m.table.stateOf(r.Name)
				if r.State == Suspect && after == Suspect && (before != Suspect || incarnation < r.Incarnation) {
					t.Fatalf("%s became suspect by another process's record", r.Name)
				}
			},
			"observation": func(t *rapid.T) {
				r := m.drawMember(t)
				m.table.ReportState(r.Name, r.Incarnation, r.State)
				if state, incarnation := m.table.stateOf(r.Name); state == Leaving && incarnation == r.Incarnation && r.State == Leaving {
					m.left[r.Name] = max(m.left[r.Name], incarnation)
				}
			},
			"list changes": func(t *rapid.T) {
				r := m.drawMember(t)
				m.list = append(m.list[:len(m.list):len(m.list)], instance(r.Name, r.Incarnation, r.State == Leaving))
			},
			"list read": func(t *rapid.T) {
				for _, in := range m.list {
					m.newest[in.Name] = max(m.newest[in.Name], in.Incarnation)
				}
				m.table.ApplyInstanceList(m.list)
			},
			"list shrinks": func(t *rapid.T) { m.list = m.list[len(m.list)/2:] },
			"":             m.check,
		})
	})
}

// Guards against a violation of each single rule of the table.
func TestTableRules(t *testing.T) {
	serving := []kvservice.Instance{instance("a", 1, false), instance("b", 1, false), instance("c", 1, false)}
	cases := []struct {
		name string
		do   func(*Table)
		want State
	}{
		{"a suspect that answers serves again", func(table *Table) {
			table.ReportState("a", 1, Suspect)
			table.ReportState("a", 1, Serving)
		}, Serving},
		{"the list does not clear a suspicion", func(table *Table) {
			table.ReportState("a", 1, Suspect)
			table.ApplyInstanceList(serving)
		}, Suspect},
		{"another process does not clear a suspicion", func(table *Table) {
			table.ReportState("a", 1, Suspect)
			table.MergeRelayed([]Member{member("a", 1, Serving)})
		}, Suspect},
		{"a report on an old incarnation is ignored", func(table *Table) {
			table.MergeAuthoritative(member("a", 2, Serving))
			table.ReportState("a", 1, Suspect)
		}, Serving},
		{"the leaving of an old incarnation does not concern the newer one", func(table *Table) {
			table.MergeAuthoritative(member("a", 2, Serving))
			table.MergeRelayed([]Member{member("a", 1, Leaving)})
			table.ApplyInstanceList([]kvservice.Instance{instance("a", 1, true), serving[1], serving[2]})
		}, Serving},
		{"a stale list does not make a leaving member serve again", func(table *Table) {
			table.ReportState("a", 1, Leaving)
			table.ApplyInstanceList(serving)
		}, Leaving},
		{"one read without a member removes no member", func(table *Table) { table.ApplyInstanceList(serving[1:]) }, Serving},
		{"two reads without a member remove it", func(table *Table) {
			table.ApplyInstanceList(serving[1:])
			table.ApplyInstanceList(serving[1:])
		}, Gone},
		{"an empty list removes no member", func(table *Table) {
			for range 5 {
				table.ApplyInstanceList(nil)
			}
		}, Serving},
		{"a member that is removed by mistake returns by its own record", func(table *Table) {
			table.ApplyInstanceList(serving[1:])
			table.ApplyInstanceList(serving[1:])
			table.MergeRelayed([]Member{member("a", 1, Serving)})
			table.MergeAuthoritative(member("a", 1, Serving))
			table.ApplyInstanceList(serving[1:])
			table.ApplyInstanceList(serving[1:])
		}, Serving},
		{"a member that left does not return by its own older record", func(table *Table) {
			table.ReportState("a", 1, Leaving)
			table.MergeAuthoritative(member("a", 1, Serving))
		}, Leaving},
		{"the list does not make a starting member serve", func(table *Table) {
			table.MergeAuthoritative(member("a", 2, Starting))
			table.ApplyInstanceList([]kvservice.Instance{instance("a", 2, false)})
		}, Starting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.ApplyInstanceList(serving)
			c.do(table)
			if got, _ := table.stateOf("a"); got != c.want {
				t.Fatalf("state %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against the removal of a member that only peers know because the list
// never contained it, and against a table that grows with every replaced
// process.
func TestUnlistedMemberIsKeptAndGoneMemberExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable()
		table.MergeRelayed([]Member{member("new", 1, Serving)})
		for range 100 {
			table.ApplyInstanceList([]kvservice.Instance{instance("b", 1, false)})
		}
		if got, _ := table.stateOf("new"); got != Serving {
			t.Fatalf("state %s, want serving", got)
		}
		table.MergeRelayed([]Member{member("new", 1, Gone)})
		table.MergeRelayed([]Member{member("new", 1, Serving)})
		if got, _ := table.stateOf("new"); got != Gone {
			t.Fatalf("state %s, want gone", got)
		}
		time.Sleep(GoneRetention + time.Second)
		table.ApplyInstanceList([]kvservice.Instance{instance("b", 1, false)})
		if _, incarnation := table.stateOf("new"); incarnation != 0 {
			t.Fatal("a gone member is still remembered after GoneRetention")
		}
	})
}

// Guards against tables that stay different after a process missed a change.
func TestComparisonRepairsDifferences(t *testing.T) {
	a, b := NewTable(), NewTable()
	for i := range 500 {
		m := member(fmt.Sprintf("m%d", i), 1, Serving)
		a.MergeRelayed([]Member{m})
		b.MergeRelayed([]Member{m})
	}
	a.MergeAuthoritative(member("m7", 1, Leaving))
	a.MergeAuthoritative(member("m8", 2, Serving))
	b.ReportState("m9", 1, Suspect)
	records := a.DifferingMembers(b.Digest(), 1000)
	if len(records) == 0 || len(records) > 20 {
		t.Fatalf("got %d records for two differences, want 1 to 20", len(records))
	}
	b.MergeRelayed(records)
	if left, _ := b.stateOf("m7"); left != Leaving {
		t.Fatalf("m7 is %s, want leaving", left)
	}
	if rest := a.DifferingMembers(b.Digest(), 1000); len(rest) != 0 {
		t.Fatalf("%d records still differ", len(rest))
	}
}
