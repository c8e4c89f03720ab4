package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

const (
	// GoneRetention is how long a member that is gone is remembered, so that a
	// process that was cut off for an hour cannot bring it back with an old record.
	GoneRetention = 2 * time.Hour
	// absentReads is how many reads of the list in a row must lack a member
	// before it is gone; one damaged answer of the list removes nobody.
	absentReads = 2
	// maxVanished is the part of the listed members that may be absent from a
	// read. A list that lost more may be damaged, and massAbsentReads apply.
	maxVanished     = 0.5
	massAbsentReads = 30
)

// Table is the aggregate of what a process knows about the members. Its rules:
//
//   - A newer incarnation replaces an older one whatever its state.
//   - Within an incarnation the state only moves forward, except as follows.
//   - Suspect is this process's own observation. It is never taken from others,
//     and only an answer of the member itself ends it.
//   - Leaving is announced by the member and final: neither a list that is stuck
//     nor an old record makes it serve again.
//   - Gone is inferred from the list. Only the member's own record disproves it,
//     and then only if the member had not announced its leaving.
//   - The list never had a say about a member that it does not know yet.
//
// Reading takes no lock.
type Table struct {
	mu      sync.Mutex
	byName  map[string]*entry
	current atomic.Pointer[tableView]
}

// entry is a member with what this process needs to know for the rules.
type entry struct {
	Member
	left     bool      // announced its leaving, or the list did
	listed   bool      // was on the list when it was last read
	absent   int       // reads of the list in a row that lacked it
	goneFrom time.Time // when it became gone
}

type tableView struct {
	members    []Member
	byUpstream map[string]Member
	counts     map[State]int
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{byName: make(map[string]*entry)}
	t.current.Store(&tableView{})
	return t
}

// Members implements View.
func (t *Table) Members() []Member { return t.current.Load().members }

// SidecarOf implements View.
func (t *Table) SidecarOf(name string) (Member, bool) {
	m, ok := t.current.Load().byUpstream[name]
	return m, ok
}

// Counts returns the number of members in each state; gone ones are not counted.
func (t *Table) Counts() map[State]int { return t.current.Load().counts }

// ReportState implements View: it takes an observation of this process.
func (t *Table) ReportState(name string, incarnation uint64, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[name]
	if !ok || e.Incarnation != incarnation {
		return
	}
	changed := false
	switch {
	case state == Serving && e.State == Suspect, state == Suspect && e.State == Serving:
		changed = e.move(state)
	case state == Leaving && !e.left:
		changed = e.leave()
	}
	if changed {
		t.publish()
	}
}

// MergeAuthoritative takes the record that a member gave of itself. It reports whether
// other processes should learn of the change.
func (t *Table) MergeAuthoritative(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news, visible := t.merge(m, true)
	if visible {
		t.publish()
	}
	return news
}

// MergeRelayed takes records that another process passed on, and returns those
// that were news.
func (t *Table) MergeRelayed(records []Member) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Member
	changed := false
	for _, m := range records {
		news, visible := t.merge(m, false)
		if news {
			fresh = append(fresh, m)
		}
		changed = changed || visible
	}
	if changed {
		t.publish()
	}
	return fresh
}

// merge reports whether the record was news for others, and whether readers of
// the table see a difference.
func (t *Table) merge(m Member, self bool) (news, visible bool) {
	if m.State == Suspect {
		// What another process cannot reach may well be reachable from here.
		m.State = Serving
	}
	e, known := t.byName[m.Name]
	if known && m.Incarnation < e.Incarnation || !known && m.State == Gone {
		return false, false
	}
	if !known || m.Incarnation > e.Incarnation {
		t.insert(m, e)
		return true, true
	}
	e.ConfigRevision = max(e.ConfigRevision, m.ConfigRevision)
	was := e.State
	news = e.follow(m.State, self)
	return news, e.State != was
}

func (t *Table) insert(m Member, old *entry) *entry {
	e := &entry{Member: m, left: m.State == Leaving}
	if m.State == Gone {
		e.goneFrom = time.Now()
	}
	if old != nil {
		e.listed = old.listed
	}
	t.byName[m.Name] = e
	return e
}

// follow moves to a state that a record of the same incarnation names. It
// reports whether that was more than the end of an own suspicion.
func (e *entry) follow(state State, self bool) bool {
	switch state {
	case Starting, Serving:
		if e.left || !self && e.State != Starting {
			return false
		}
		if e.State == Gone {
			// The list has dropped it and would at once declare it gone again.
			e.listed, e.absent = false, 0
			return e.move(state)
		}
		suspected := e.State == Suspect
		return state == Serving && e.move(Serving) && !suspected
	case Leaving:
		return !e.left && e.State != Gone && e.leave()
	case Gone:
		return e.State != Gone && e.move(Gone)
	default:
		return false
	}
}

func (e *entry) leave() bool {
	e.left = true
	return e.State < Leaving && e.move(Leaving)
}

func (e *entry) move(state State) bool {
	if e.State == state {
		return false
	}
	e.State = state
	e.goneFrom = time.Time{}
	if state == Gone {
		e.goneFrom = time.Now()
	}
	return true
}

// ApplyInstanceList merges the platform's list and returns the records of the members
// that changed by it. The list tells who exists and who leaves, but a member
// known already is not made to serve by it, because it lags. A member that the
// list had and lacks in absentReads reads in a row is gone; one that the list
// never had is kept, since peers may know a new process before the list does.
func (t *Table) ApplyInstanceList(list []kvservice.Instance) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	on := make(map[string]uint64, len(list))
	var changed []Member
	for _, in := range list {
		on[in.Name] = in.Incarnation
		if t.applyInstance(in) {
			changed = append(changed, t.byName[in.Name].Member)
		}
	}
	changed = append(changed, t.applyAbsence(on)...)
	if forgotten := t.forget(); forgotten || len(changed) > 0 {
		t.publish()
	}
	return changed
}

func (t *Table) applyInstance(in kvservice.Instance) bool {
	m := fromInstance(in)
	e, known := t.byName[m.Name]
	switch {
	case known && m.Incarnation < e.Incarnation:
		return false
	case !known || m.Incarnation > e.Incarnation:
		t.insert(m, e).listed = true
		return true
	}
	e.listed, e.absent = true, 0
	return m.State == Leaving && e.State != Gone && !e.left && e.leave()
}

// applyAbsence counts the reads that lack a listed member.
func (t *Table) applyAbsence(on map[string]uint64) []Member {
	var absent []*entry
	listed := 0
	for name, e := range t.byName {
		if !e.listed || e.State == Gone {
			continue
		}
		listed++
		if _, ok := on[name]; !ok {
			absent = append(absent, e)
		}
	}
	needed := absentReads
	if len(on) == 0 || float64(len(absent)) > maxVanished*float64(listed) {
		needed = massAbsentReads
	}
	var gone []Member
	for _, e := range absent {
		if e.absent++; e.absent >= needed && e.move(Gone) {
			gone = append(gone, e.Member)
		}
	}
	return gone
}

// forget drops members that have been gone for GoneRetention.
func (t *Table) forget() bool {
	before := len(t.byName)
	maps.DeleteFunc(t.byName, func(_ string, e *entry) bool {
		return e.State == Gone && time.Since(e.goneFrom) > GoneRetention
	})
	return len(t.byName) < before
}

func fromInstance(in kvservice.Instance) Member {
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
	v := &tableView{
		members:    make([]Member, 0, len(t.byName)),
		byUpstream: make(map[string]Member),
		counts:     make(map[State]int),
	}
	for _, e := range t.byName {
		if e.State != Gone {
			v.members = append(v.members, e.Member)
		}
	}
	slices.SortFunc(v.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range v.members {
		v.counts[m.State]++
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
