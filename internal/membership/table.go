package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fescueslip/fescueslip/internal/platform"
)

// Table is the aggregate of what a process knows about the members. Its rules:
// a newer incarnation replaces an older one whatever its state, and within one
// incarnation the state only moves towards Gone, except that a suspect member
// that proves to be alive serves again. Reading takes no lock.
type Table struct {
	mu      sync.Mutex
	byName  map[string]Member
	listed  map[string]bool // names on the platform's list when it was last read
	current atomic.Pointer[tableView]
}

type tableView struct {
	members    []Member
	byUpstream map[string]Member
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{byName: make(map[string]Member)}
	t.current.Store(&tableView{})
	return t
}

// Members implements View.
func (t *Table) Members() []Member { return t.current.Load().members }

// Upstream implements View.
func (t *Table) Upstream(name string) (Member, bool) {
	m, ok := t.current.Load().byUpstream[name]
	return m, ok
}

// Report implements View.
func (t *Table) Report(name string, incarnation uint64, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.byName[name]
	if !ok || m.Incarnation != incarnation || !mayFollow(m.State, state) {
		return
	}
	m.State = state
	t.byName[name] = m
	t.publish()
}

// mayFollow reports whether a member may move from one state to another within
// an incarnation. Leaving is final: a process that announced it never takes
// work again, even when the platform's list still shows it as live.
func mayFollow(from, to State) bool {
	if from == Suspect && to == Serving {
		return true
	}
	return to > from
}

// Merge takes a record that another process or the list gave. It reports
// whether the table changed.
func (t *Table) Merge(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(m)
	if changed {
		t.publish()
	}
	return changed
}

func (t *Table) merge(m Member) bool {
	old, known := t.byName[m.Name]
	switch {
	case !known, m.Incarnation > old.Incarnation:
		t.byName[m.Name] = m
		return true
	case m.Incarnation < old.Incarnation:
		return false
	}
	changed := false
	if mayFollow(old.State, m.State) {
		old.State = m.State
		changed = true
	}
	if m.ConfigRevision > old.ConfigRevision {
		old.ConfigRevision = m.ConfigRevision
		changed = true
	}
	if changed {
		t.byName[m.Name] = old
	}
	return changed
}

// ApplyList merges the platform's list. A member that the list had and no longer
// has is gone. One that the list never had is kept: the list lags, and peers
// may know a new process before it.
func (t *Table) ApplyList(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		listed[in.Name] = true
		if t.merge(fromInstance(in)) {
			changed = true
		}
	}
	for name, m := range t.byName {
		if t.listed[name] && !listed[name] && m.State != Gone {
			m.State = Gone
			t.byName[name] = m
			changed = true
		}
	}
	t.listed = listed
	if changed {
		t.publish()
	}
}

func fromInstance(in platform.Instance) Member {
	m := Member{
		Name:          in.Name,
		Role:          in.Role,
		Upstream:      in.Upstream,
		FailureDomain: in.FailureDomain,
		Region:        in.Region,
		PeerAddress:   in.PeerAddress,
		AdminAddress:  in.AdminAddress,
		Incarnation:   in.Incarnation,
		State:         Serving,
	}
	if in.Leaving {
		m.State = Leaving
	}
	return m
}

// publish replaces the view that readers see. The caller holds the lock.
func (t *Table) publish() {
	v := &tableView{byUpstream: make(map[string]Member)}
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		m := t.byName[name]
		if m.State == Gone {
			continue
		}
		v.members = append(v.members, m)
		if m.Upstream != "" && prefer(m, v.byUpstream[m.Upstream]) {
			v.byUpstream[m.Upstream] = m
		}
	}
	t.current.Store(v)
}

// prefer picks between two members that claim the same upstream: one that takes
// work goes before one that leaves, then the newer incarnation.
func prefer(m, other Member) bool {
	if other.Name == "" {
		return true
	}
	if m.State.AcceptsWork() != other.State.AcceptsWork() {
		return m.State.AcceptsWork()
	}
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return strings.Compare(m.Name, other.Name) < 0
}
