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
	// GoneRetention is how long a gone member is remembered, so that a process
	// that was cut off for an hour cannot reintroduce it with an old record.
	GoneRetention = 2 * time.Hour
	// missedReadsBeforeGone is how many consecutive reads of the instance list
	// must lack a member before it is gone. One damaged read therefore removes
	// no member.
	missedReadsBeforeGone = 2
	// maxMissingFraction is the fraction of the listed members that a read may
	// lack. A list that lacks more may be damaged, and missedReadsAfterMassLoss
	// applies instead of missedReadsBeforeGone.
	maxMissingFraction       = 0.5
	missedReadsAfterMassLoss = 30
)

// Table holds what this process knows about the members. It follows these rules:
//
//   - A newer incarnation replaces an older one, whatever their states.
//   - Within an incarnation the state only moves forward, with the exceptions below.
//   - Suspect is an observation of this process. It is never taken from another
//     process, and only a response of the member itself ends it.
//   - Leaving is announced by the member and final: neither a stale instance list
//     nor an old record makes the member serve again.
//   - Gone is inferred from the instance list. Only the member's own record reverts
//     it, and only if the member had not announced that it was leaving.
//   - The absence of a member from the list matters only if the list has contained
//     the member before.
//
// Readers take no lock.
type Table struct {
	mu      sync.Mutex
	byName  map[string]*tableEntry
	current atomic.Pointer[tableView]
}

// tableEntry is a member together with the state that the rules of the table
// need.
type tableEntry struct {
	Member
	announcedLeaving bool      // the member or the list announced that it is leaving
	listed           bool      // the list has contained it
	missedReads      int       // consecutive reads of the list that lacked it
	goneSince        time.Time // when it became gone
}

// tableView is the immutable snapshot that readers of the table see.
type tableView struct {
	members    []Member
	byUpstream map[string]Member
	counts     map[State]int
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{byName: make(map[string]*tableEntry)}
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

// Counts returns the number of members per state, without gone members.
func (t *Table) Counts() map[State]int { return t.current.Load().counts }

// ReportState implements View. It records an observation of this process.
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
		changed = e.setState(state)
	case state == Leaving && !e.announcedLeaving:
		changed = e.markLeaving()
	}
	if changed {
		t.publish()
	}
}

// MergeAuthoritative merges a record that the member sent about itself. It
// reports whether the change should be passed on to other processes.
func (t *Table) MergeAuthoritative(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	propagate, visible := t.merge(m, true)
	if visible {
		t.publish()
	}
	return propagate
}

// MergeRelayed merges records that another process passed on. It returns those
// that should be passed on further.
func (t *Table) MergeRelayed(records []Member) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changedMembers []Member
	changed := false
	for _, m := range records {
		propagate, visible := t.merge(m, false)
		if propagate {
			changedMembers = append(changedMembers, m)
		}
		changed = changed || visible
	}
	if changed {
		t.publish()
	}
	return changedMembers
}

// merge merges one record; authoritative means that the member itself sent it.
// It reports whether to pass the record on to other processes, and whether the
// change is visible to readers of the table.
func (t *Table) merge(m Member, authoritative bool) (propagate, visible bool) {
	if m.State == Suspect {
		// A member that another process cannot reach may be reachable from here.
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
	previous := e.State
	propagate = e.applyState(m.State, authoritative)
	return propagate, e.State != previous
}

// insert adds a member, or replaces old, its entry of an earlier incarnation. The
// caller holds the lock.
func (t *Table) insert(m Member, old *tableEntry) *tableEntry {
	e := &tableEntry{Member: m, announcedLeaving: m.State == Leaving}
	if m.State == Gone {
		e.goneSince = time.Now()
	}
	if old != nil {
		e.listed = old.listed
	}
	t.byName[m.Name] = e
	return e
}

// applyState applies the state in a record of the same incarnation. It reports
// whether the change should be passed on; the end of this process's own
// suspicion should not.
func (e *tableEntry) applyState(state State, authoritative bool) bool {
	switch state {
	case Starting, Serving:
		if e.announcedLeaving || !authoritative && e.State != Starting {
			return false
		}
		if e.State == Gone {
			// The list no longer contains the member and would immediately declare
			// it gone again.
			e.listed, e.missedReads = false, 0
			return e.setState(state)
		}
		suspected := e.State == Suspect
		return state == Serving && e.setState(Serving) && !suspected
	case Leaving:
		return !e.announcedLeaving && e.State != Gone && e.markLeaving()
	case Gone:
		return e.State != Gone && e.setState(Gone)
	default:
		return false
	}
}

// markLeaving records that the member is leaving, which is final within an
// incarnation. It reports whether the state changed.
func (e *tableEntry) markLeaving() bool {
	e.announcedLeaving = true
	return e.State < Leaving && e.setState(Leaving)
}

// setState sets the state and reports whether it changed.
func (e *tableEntry) setState(state State) bool {
	if e.State == state {
		return false
	}
	e.State = state
	e.goneSince = time.Time{}
	if state == Gone {
		e.goneSince = time.Now()
	}
	return true
}

// ApplyInstanceList merges the platform's instance list and returns the members
// that it changed. The list adds members and marks members as leaving, but
// because it lags behind, it does not make a known member serve. A listed member
// that is missing from missedReadsBeforeGone consecutive reads is gone. A member
// that was never listed is kept, because peers may know a new process before the
// list does.
func (t *Table) ApplyInstanceList(list []kvservice.Instance) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnations := make(map[string]uint64, len(list))
	var changed []Member
	for _, in := range list {
		incarnations[in.Name] = in.Incarnation
		if t.applyInstance(in) {
			changed = append(changed, t.byName[in.Name].Member)
		}
	}
	changed = append(changed, t.countMissedReads(incarnations)...)
	if expired := t.removeExpired(); expired || len(changed) > 0 {
		t.publish()
	}
	return changed
}

// applyInstance merges one instance of the list and reports whether it changed the
// member. The caller holds the lock.
func (t *Table) applyInstance(in kvservice.Instance) bool {
	m := memberFromInstance(in)
	e, known := t.byName[m.Name]
	switch {
	case known && m.Incarnation < e.Incarnation:
		return false
	case !known || m.Incarnation > e.Incarnation:
		t.insert(m, e).listed = true
		return true
	}
	e.listed, e.missedReads = true, 0
	return m.State == Leaving && e.State != Gone && !e.announcedLeaving && e.markLeaving()
}

// countMissedReads counts a missed read for each listed member that is not in
// the list, and returns the members that are gone as a result.
func (t *Table) countMissedReads(incarnations map[string]uint64) []Member {
	var missing []*tableEntry
	listed := 0
	for name, e := range t.byName {
		if !e.listed || e.State == Gone {
			continue
		}
		listed++
		if _, ok := incarnations[name]; !ok {
			missing = append(missing, e)
		}
	}
	needed := missedReadsBeforeGone
	if len(incarnations) == 0 || float64(len(missing)) > maxMissingFraction*float64(listed) {
		needed = missedReadsAfterMassLoss
	}
	var gone []Member
	for _, e := range missing {
		if e.missedReads++; e.missedReads >= needed && e.setState(Gone) {
			gone = append(gone, e.Member)
		}
	}
	return gone
}

// removeExpired removes members that have been gone for GoneRetention. It
// reports whether it removed any.
func (t *Table) removeExpired() bool {
	before := len(t.byName)
	maps.DeleteFunc(t.byName, func(_ string, e *tableEntry) bool {
		return e.State == Gone && time.Since(e.goneSince) > GoneRetention
	})
	return len(t.byName) < before
}

func memberFromInstance(in kvservice.Instance) Member {
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

// publish replaces the snapshot that readers see. The caller holds the lock.
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
		if m.Upstream != "" && preferredOver(m, v.byUpstream[m.Upstream]) {
			v.byUpstream[m.Upstream] = m
		}
	}
	t.current.Store(v)
}

// preferredOver reports whether m takes precedence over other when both claim
// the same upstream: a member that accepts work precedes one that does not, and
// then a newer incarnation precedes an older one.
func preferredOver(m, other Member) bool {
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
