package contact

import (
	"testing"
	"time"
)

// Guards against a short pause that counts as an absence, and against an absence that
// nobody sees because later contacts hide it.
func TestGap(t *testing.T) {
	var tracker Tracker
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	if tracker.Uninterrupted(start) != 0 {
		t.Error("in contact before the first answer")
	}
	tracker.Observe(at(0))
	tracker.Observe(at(1.9))
	if got := tracker.Uninterrupted(at(2)); tracker.LastGap() != (Gap{}) || got != 2*time.Second {
		t.Errorf("gap %v, in contact for %v; want no gap and 2 s", tracker.LastGap(), got)
	}
	if tracker.Uninterrupted(at(4)) != 0 {
		t.Error("in contact 2.1 s after the last answer")
	}
	tracker.Observe(at(5))
	tracker.Observe(at(6))
	if want := (Gap{Start: at(1.9), End: at(5)}); tracker.LastGap() != want || tracker.Uninterrupted(at(6)) != time.Second {
		t.Errorf("gap %v, in contact for %v; want %v and 1 s", tracker.LastGap(), tracker.Uninterrupted(at(6)), want)
	}
}
