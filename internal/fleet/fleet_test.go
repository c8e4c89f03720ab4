package fleet

import (
	"testing"
	"time"
)

// Guards against observations of a former life that count for a new one under the
// same id, and against their loss when only the facts change.
func TestReplaceKeepsObservations(t *testing.T) {
	f := New()
	now := time.Now()
	f.Replace([]Instance{{ID: "a", Incarnation: 1, Service: "s"}}, 1)
	old := f.Snapshot().Service("s")[0]
	old.RecordUnreachable(now, time.Second)
	change := f.Replace([]Instance{{ID: "a", Incarnation: 1, Service: "s", Leaving: true}}, 2)
	if u := f.Snapshot().Service("s")[0]; u != old || u.Usable() || len(change.Leaving) != 1 {
		t.Errorf("a leaving instance must stay the same upstream and be unusable; change %+v", change)
	}
	f.Replace([]Instance{{ID: "a", Incarnation: 2, Service: "s"}}, 3)
	if u := f.Snapshot().Service("s")[0]; u == old || u.Health(now).Avoid || !old.Removed() {
		t.Error("a new incarnation inherits the failures of the one before")
	}
}

// Guards the rest after refusals: a first one may be the other engine's fault,
// later ones in a row double the rest, and a success ends the row.
func TestRefused(t *testing.T) {
	f := New()
	f.Replace([]Instance{{ID: "a", Service: "s", Role: RoleDecode}}, 1)
	u := f.Snapshot().Service("s")[0]
	now := time.Now()
	u.RecordRefusal(now, false)
	if u.PauseRemaining(now) != 0 {
		t.Error("one uncertain refusal must not rest the engine")
	}
	u.RecordRefusal(now, false)
	first := u.PauseRemaining(now)
	u.RecordRefusal(now, false)
	if second := u.PauseRemaining(now); first <= 0 || second != 2*first {
		t.Errorf("rests %v and %v; want the second twice the first", first, second)
	}
	u.RecordSuccess(time.Millisecond)
	later := now.Add(time.Hour)
	u.RecordRefusal(later, false)
	if u.PauseRemaining(later) != 0 {
		t.Error("refusals before a success still count")
	}
}
