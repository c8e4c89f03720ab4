package revision

import (
	"math"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against a restoration that is not noticed, or that is noticed twice.
func TestTrackerNoticesRestorations(t *testing.T) {
	var changes [][2]uint64
	tracker := &Tracker{OnChange: func(from, to uint64) { changes = append(changes, [2]uint64{from, to}) }}
	for _, generation := range []uint64{1, 1, 2, 2, 5} {
		if err := tracker.Observe(tracker.BeginCall(), generation); err != nil {
			t.Errorf("generation %d: %v", generation, err)
		}
	}
	if len(changes) != 2 || changes[0] != [2]uint64{1, 2} || changes[1] != [2]uint64{2, 5} || tracker.Restorations() != 2 {
		t.Errorf("changes %v", changes)
	}
}

// Guards against a late response from before a restoration that counts as another one.
func TestTrackerIgnoresLateResponses(t *testing.T) {
	tracker := new(Tracker)
	_ = tracker.Observe(tracker.BeginCall(), 1)
	late := tracker.BeginCall()
	changed := tracker.Changed()
	_ = tracker.Observe(tracker.BeginCall(), 2)
	select {
	case <-changed:
	default:
		t.Error("the change was not announced")
	}
	if err := tracker.Observe(late, 1); !errors.Is(err, ErrOutdated) || tracker.Current() != 2 {
		t.Errorf("error %v, generation %d", err, tracker.Current())
	}
}

// Guards against a store that is never believed again after one wrong number.
func TestTrackerRecoversFromWrongGeneration(t *testing.T) {
	tracker := new(Tracker)
	_ = tracker.Observe(tracker.BeginCall(), 3)
	_ = tracker.Observe(tracker.BeginCall(), math.MaxUint64)
	if err := tracker.Observe(tracker.BeginCall(), 3); err != nil || tracker.Current() != 3 {
		t.Errorf("error %v, generation %d", err, tracker.Current())
	}
}

// Guards against a log line for each response with a malformed generation.
func TestTrackerReportsMalformedOnce(t *testing.T) {
	reports := 0
	tracker := &Tracker{OnMalformed: func(string, error) { reports++ }}
	_ = tracker.Observe(tracker.BeginCall(), 1)
	for range 3 {
		tracker.ObserveMalformed("x", nil)
	}
	_ = tracker.Observe(tracker.BeginCall(), 1)
	tracker.ObserveMalformed("x", nil)
	if reports != 2 || tracker.Current() != 1 {
		t.Errorf("%d reports, generation %d", reports, tracker.Current())
	}
}
