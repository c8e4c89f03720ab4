package fleet

import (
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// TestReplaceKeepsObservations guards against two failures: observations of an
// earlier incarnation that count for a new one with the same id, and
// observations that are lost when only the properties of the instance change.
func TestReplaceKeepsObservations(t *testing.T) {
	f := New()
	now := time.Now()
	f.Replace([]Instance{{ID: "a", Incarnation: 1, Service: "s"}}, revision.Revision{Number: 1})
	old := f.Snapshot().Service("s")[0]
	old.RecordUnreachable(now, time.Second)
	change := f.Replace([]Instance{{ID: "a", Incarnation: 1, Service: "s", Leaving: true}}, revision.Revision{Number: 2})
	if u := f.Snapshot().Service("s")[0]; u != old || u.Usable() || len(change.Leaving) != 1 {
		t.Errorf("a leaving instance must keep its upstream, be unusable and be reported as leaving; got change %+v", change)
	}
	f.Replace([]Instance{{ID: "a", Incarnation: 2, Service: "s"}}, revision.Revision{Number: 3})
	if u := f.Snapshot().Service("s")[0]; u == old || u.Health(now).Avoid || !old.Removed() {
		t.Error("a new incarnation must not take over the observations of the previous one, which must be removed")
	}
}

// TestRefusalsPauseUpstream checks the pauses after refusals. The first refusal
// that is not certain is ignored, because it may be caused by the other engine
// of the request. Each further consecutive refusal doubles the pause, and a
// success resets it.
func TestRefusalsPauseUpstream(t *testing.T) {
	f := New()
	f.Replace([]Instance{{ID: "a", Service: "s", Role: RoleDecode}}, revision.Revision{Number: 1})
	u := f.Snapshot().Service("s")[0]
	now := time.Now()
	u.RecordRefusal(now, false)
	if u.PauseRemaining(now) != 0 {
		t.Error("one uncertain refusal must not pause the upstream")
	}
	u.RecordRefusal(now, false)
	first := u.PauseRemaining(now)
	u.RecordRefusal(now, false)
	if second := u.PauseRemaining(now); first <= 0 || second != 2*first {
		t.Errorf("pauses are %v and %v, want the second to be twice the first", first, second)
	}
	u.RecordSuccess(time.Millisecond)
	later := now.Add(time.Hour)
	u.RecordRefusal(later, false)
	if u.PauseRemaining(later) != 0 {
		t.Error("refusals before a success must not count")
	}
}
