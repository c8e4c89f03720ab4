package shutdown

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a timetable whose times are out of order or leave the process no time for
// final answers, for any grace period.
func TestTimetableFitsIntoGracePeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 8 * time.Second, time.Minute, 10 * time.Minute} {
		for _, inFlight := range []int64{0, 10, 100, 1000, 100_000} {
			s := newTimetable(began, grace, inFlight)
			times := []time.Time{began, s.RefusesFrom, s.EndOfService, s.CloseBy, began.Add(grace)}
			for i := 1; i < len(times); i++ {
				if times[i].Before(times[i-1]) {
					t.Errorf("grace %v, %d calls: time %d of %v is before the one before it", grace, inFlight, i, s)
				}
			}
			if s.EndOfService.Sub(began) < grace/2 {
				t.Errorf("grace %v, %d calls: the service ends %v after the stop began", grace, inFlight, s.EndOfService.Sub(began))
			}
			if !s.CloseBy.After(s.EndOfService) {
				t.Errorf("grace %v, %d calls: no time for final answers", grace, inFlight)
			}
			if paused := began.Add(grace); !s.CloseAfter(paused).After(paused) {
				t.Errorf("grace %v, %d calls: no time for final answers after a pause", grace, inFlight)
			}
		}
	}
}

// Guards against a time for final answers that does not grow with the calls in progress.
func TestReserveGrowsWithCallsInProgress(t *testing.T) {
	began := time.Unix(1000, 0)
	few, many := newTimetable(began, 8*time.Second, 10), newTimetable(began, 8*time.Second, 300)
	if !many.EndOfService.Before(few.EndOfService) {
		t.Errorf("service ends after %v with 10 calls and after %v with 300", few.EndOfService.Sub(began), many.EndOfService.Sub(began))
	}
}

// Guards against a second signal that moves the times of a stop, and against calls that are
// refused too early or not ended.
func TestStopTakesItsCourse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		ctx, cancel := context.WithCancel(s.Service())
		defer cancel()
		if s.HasBegun() || s.RefusesCalls(time.Now()) {
			t.Error("a stop that has not begun refuses calls")
		}
		deadline := time.Now().Add(time.Hour)
		if at, byShutdown := s.Earliest(deadline, 0); byShutdown || !at.Equal(deadline) {
			t.Errorf("a call must be answered by %v before the stop; want its deadline", at)
		}
		began := time.Now()
		first := s.Begin(began, 8*time.Second, 0)
		if !s.HasBegun() {
			t.Error("a stop that was begun has not")
		}
		time.Sleep(acceptTime / 2)
		if s.RefusesCalls(time.Now()) {
			t.Error("calls are refused while the balancer still sends them")
		}
		if again := s.Begin(time.Now(), time.Minute, 50); again != first {
			t.Errorf("a second signal moved the times from %v to %v", first, again)
		}
		time.Sleep(acceptTime)
		if !s.RefusesCalls(time.Now()) {
			t.Error("calls are still accepted")
		}
		if at, byShutdown := s.Earliest(deadline, 0); !byShutdown || !at.Equal(first.EndOfService) {
			t.Errorf("a call must be answered by %v; want the end of service", at)
		}
		if ctx.Err() != nil {
			t.Error("a call was ended before the end of service")
		}
		s.EndService()
		<-ctx.Done()
		if !errors.Is(context.Cause(ctx), ErrEnded) {
			t.Errorf("cause of a call that was ended: %v", context.Cause(ctx))
		}
	})
}
