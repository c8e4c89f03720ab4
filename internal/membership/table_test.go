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
	// A fixed seed makes every run check the same cases; -rapid.seed overrides it.
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

// tableModel draws what a table is told and remembers what must hold of it.
type tableModel struct {
	table  *Table
	left   map[string]uint64 // newest incarnation that announced its leaving
	newest map[string]uint64
	list   []kvservice.Instance // may be stuck
}

var modelStates = []State{Starting, Serving, Suspect, Leaving, Gone}

func (m *tableModel) draw(t *rapid.T) Member {
	name := fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(t, "name"))
	return member(name, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.SampledFrom(modelStates).Draw(t, "state"))
}

func (m *tableModel) note(r Member) {
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
			t.Fatalf("%s announced its leaving and is %s", name, state)
		}
	}
	for _, v := range m.table.Members() {
		if u, ok := m.table.SidecarOf(v.Upstream); !ok || u.Name != v.Name || u.State == Gone {
			t.Fatalf("view of %s is %+v", v.Upstream, u)
		}
	}
}

// Guards against an old incarnation that replaces a newer one and against a
// process that leaves and is brought back by a stuck list or an old record.
func TestTableStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{table: NewTable(), left: map[string]uint64{}, newest: map[string]uint64{}}
		t.Repeat(map[string]func(*rapid.T){
			"own record": func(t *rapid.T) {
				r := m.draw(t)
				if r.State == Gone {
					r.State = Leaving
				}
				m.table.MergeAuthoritative(r)
				m.note(r)
			},
			"relayed record": func(t *rapid.T) {
				r := m.draw(t)
				before, incarnation := m.table.stateOf(r.Name)
				m.table.MergeRelayed([]Member{r})
				m.note(r)
				after, _ := m.table.stateOf(r.Name)
				if r.State == Suspect && after == Suspect && (before != Suspect || incarnation < r.Incarnation) {
					t.Fatalf("%s became suspect by another process's record", r.Name)
				}
			},
			"observation": func(t *rapid.T) {
				r := m.draw(t)
				m.table.ReportState(r.Name, r.Incarnation, r.State)
				if state, incarnation := m.table.stateOf(r.Name); state == Leaving && incarnation == r.Incarnation && r.State == Leaving {
					m.left[r.Name] = max(m.left[r.Name], incarnation)
				}
			},
			"list changes": func(t *rapid.T) {
				r := m.draw(t)
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

// Guards against each rule of the table by itself.
func TestTableRules(t *testing.T) {
	serving := []kvservice.Instance{instance("a", 1, false), instance("b", 1, false), instance("c", 1, false)}
	cases := []struct {
		name string
		do   func(*Table)
		want State
	}{
		{"a suspect that answers serves again", func(x *Table) {
			x.ReportState("a", 1, Suspect)
			x.ReportState("a", 1, Serving)
		}, Serving},
		{"the list does not clear a suspicion", func(x *Table) {
			x.ReportState("a", 1, Suspect)
			x.ApplyInstanceList(serving)
		}, Suspect},
		{"another process does not clear a suspicion", func(x *Table) {
			x.ReportState("a", 1, Suspect)
			x.MergeRelayed([]Member{member("a", 1, Serving)})
		}, Suspect},
		{"a report on an old incarnation is ignored", func(x *Table) {
			x.MergeAuthoritative(member("a", 2, Serving))
			x.ReportState("a", 1, Suspect)
		}, Serving},
		{"the leaving of an old incarnation does not concern the newer one", func(x *Table) {
			x.MergeAuthoritative(member("a", 2, Serving))
			x.MergeRelayed([]Member{member("a", 1, Leaving)})
			x.ApplyInstanceList([]kvservice.Instance{instance("a", 1, true), serving[1], serving[2]})
		}, Serving},
		{"a stuck list does not revive a leaving member", func(x *Table) {
			x.ReportState("a", 1, Leaving)
			x.ApplyInstanceList(serving)
		}, Leaving},
		{"one read without a member removes nobody", func(x *Table) { x.ApplyInstanceList(serving[1:]) }, Serving},
		{"two reads without a member remove it", func(x *Table) {
			x.ApplyInstanceList(serving[1:])
			x.ApplyInstanceList(serving[1:])
		}, Gone},
		{"an empty list removes nobody", func(x *Table) {
			for range 5 {
				x.ApplyInstanceList(nil)
			}
		}, Serving},
		{"a member that is removed by mistake returns by its own record", func(x *Table) {
			x.ApplyInstanceList(serving[1:])
			x.ApplyInstanceList(serving[1:])
			x.MergeRelayed([]Member{member("a", 1, Serving)})
			x.MergeAuthoritative(member("a", 1, Serving))
			x.ApplyInstanceList(serving[1:])
			x.ApplyInstanceList(serving[1:])
		}, Serving},
		{"a member that left does not return by its own older record", func(x *Table) {
			x.ReportState("a", 1, Leaving)
			x.MergeAuthoritative(member("a", 1, Serving))
		}, Leaving},
		{"the list does not make a starting member serve", func(x *Table) {
			x.MergeAuthoritative(member("a", 2, Starting))
			x.ApplyInstanceList([]kvservice.Instance{instance("a", 2, false)})
		}, Starting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := NewTable()
			x.ApplyInstanceList(serving)
			c.do(x)
			if got, _ := x.stateOf("a"); got != c.want {
				t.Fatalf("state %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a member that is known to peers only and that the list, which
// never had it, removes; and against a table that grows with every replaced instance.
func TestUnlistedIsKeptAndGoneIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewTable()
		x.MergeRelayed([]Member{member("new", 1, Serving)})
		for range 100 {
			x.ApplyInstanceList([]kvservice.Instance{instance("b", 1, false)})
		}
		if got, _ := x.stateOf("new"); got != Serving {
			t.Fatalf("state %s, want serving", got)
		}
		x.MergeRelayed([]Member{member("new", 1, Gone)})
		x.MergeRelayed([]Member{member("new", 1, Serving)})
		if got, _ := x.stateOf("new"); got != Gone {
			t.Fatalf("state %s, want gone", got)
		}
		time.Sleep(GoneRetention + time.Second)
		x.ApplyInstanceList([]kvservice.Instance{instance("b", 1, false)})
		if _, incarnation := x.stateOf("new"); incarnation != 0 {
			t.Fatal("a member that is gone is remembered for good")
		}
	})
}

// Guards against tables that differ for good after a process missed a change.
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
	records := a.Differing(b.Digest(), 1000)
	if len(records) == 0 || len(records) > 20 {
		t.Fatalf("%d records for two differences, want a few", len(records))
	}
	b.MergeRelayed(records)
	if left, _ := b.stateOf("m7"); left != Leaving {
		t.Fatalf("m7 is %s, want leaving", left)
	}
	if rest := a.Differing(b.Digest(), 1000); len(rest) != 0 {
		t.Fatalf("%d records still differ", len(rest))
	}
}
