// Package shutdown keeps the timetable of the planned stop of a process that serves calls.
//
// A stop has three times. When it begins, the process counts as not ready, and calls learn
// by when they must be answered. After the balancer has noticed, new calls are refused. At
// the end of service, every call without a final answer gets one, and the connections are
// closed after that. All of it fits into the grace period, after which the process is killed.
package shutdown

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// acceptTime is how long new calls are accepted after the stop began. The load balancer
	// stops sending after two missed probes, which are one second apart.
	acceptTime = 2900 * time.Millisecond
	// closeTime is the part of the grace period for closing the connections and for what the
	// process does after that, such as removing its registration.
	closeTime = 300 * time.Millisecond
	// answerTime is the time for the final answer to one call that is still in progress at
	// the end of service, on a small instance.
	answerTime = 4 * time.Millisecond
	// minReserve and maxReserveShare bound the time between the end of service and the end
	// of the grace period; the latter is a part of the grace period.
	minReserve      = 500 * time.Millisecond
	maxReserveShare = 0.25
	// lateCloseTime is the least time between the end of service and the close of the
	// connections, if the process was paused or delayed until then.
	lateCloseTime = 200 * time.Millisecond
	// OverrunTime is how long a process goes on with a stop after its grace period, unless the
	// platform kills it. It needs that time only if it was paused or delayed. The calls that
	// remove its registration may take a second if the store is silent.
	OverrunTime = 2 * time.Second
)

// ErrEnded is the cause of calls that are ended because the process stops.
var ErrEnded = errors.New("the instance has stopped its service")

// Timetable holds the times of one stop.
type Timetable struct {
	Began time.Time
	// RefusesFrom is the time after which new calls are refused.
	RefusesFrom time.Time
	// EndOfService is the time at which each call in progress gets its final answer.
	EndOfService time.Time
	// CloseBy is the time by which the connections are closed.
	CloseBy time.Time
}

// newTimetable returns the times of a stop that begins now, while inFlight calls are in
// progress. Each of them may need a final answer after the end of service.
func newTimetable(now time.Time, grace time.Duration, inFlight int64) *Timetable {
	reserve := max(minReserve, closeTime+time.Duration(inFlight)*answerTime)
	reserve = min(reserve, time.Duration(maxReserveShare*float64(grace)))
	end := now.Add(grace - reserve)
	t := &Timetable{Began: now, RefusesFrom: now.Add(acceptTime), EndOfService: end, CloseBy: now.Add(grace - min(closeTime, reserve/2))}
	if end.Before(t.RefusesFrom) {
		t.RefusesFrom = end
	}
	return t
}

// CloseAfter returns the time by which the connections are closed if the service ended at the
// given time. It is CloseBy, or later if the service ended late: until the process is killed,
// calls can still get their final answers.
func (t *Timetable) CloseAfter(ended time.Time) time.Time {
	if late := ended.Add(lateCloseTime); late.After(t.CloseBy) {
		return late
	}
	return t.CloseBy
}

// Shutdown is the planned stop of a process. It may be used concurrently; a nil Shutdown
// never begins.
type Shutdown struct {
	timetable atomic.Pointer[Timetable]
	once      sync.Once
	service   context.Context
	end       context.CancelCauseFunc
}

// New returns the stop of a process that has not begun.
func New() *Shutdown {
	s := new(Shutdown)
	s.service, s.end = context.WithCancelCause(context.Background())
	return s
}

// Begin begins the stop, unless it has begun, and returns its timetable. The process is
// killed when the grace period ends; inFlight is the number of calls in progress.
func (s *Shutdown) Begin(now time.Time, grace time.Duration, inFlight int64) Timetable {
	s.once.Do(func() { s.timetable.Store(newTimetable(now, grace, inFlight)) })
	return *s.timetable.Load()
}

// HasBegun reports whether the stop has begun.
func (s *Shutdown) HasBegun() bool { return s != nil && s.timetable.Load() != nil }

// RefusesCalls reports whether new calls are refused.
func (s *Shutdown) RefusesCalls(now time.Time) bool {
	if !s.HasBegun() {
		return false
	}
	return now.After(s.timetable.Load().RefusesFrom)
}

// EndOfService returns the time by which all calls must be answered, and whether there is one.
func (s *Shutdown) EndOfService() (end time.Time, begun bool) {
	if !s.HasBegun() {
		return time.Time{}, false
	}
	return s.timetable.Load().EndOfService, true
}

// Earliest returns the earlier one of a time and the last one from which needed time is left
// until the end of service, and whether it is the latter.
func (s *Shutdown) Earliest(t time.Time, needed time.Duration) (earliest time.Time, byShutdown bool) {
	end, begun := s.EndOfService()
	if last := end.Add(-needed); begun && last.Before(t) {
		return last, true
	}
	return t, false
}

// EndService ends the context of all calls; see Service.
func (s *Shutdown) EndService() { s.end(ErrEnded) }

// HasEnded reports whether the service has ended.
func (s *Shutdown) HasEnded() bool { return s != nil && s.service.Err() != nil }

// Service returns the context that the contexts of all calls are derived from. It ends with the
// service, and its cause is ErrEnded then.
func (s *Shutdown) Service() context.Context { return s.service }

// OnEnd calls f in a goroutine of its own when the service ends, unless stop is called before.
func (s *Shutdown) OnEnd(f func()) (stop func() bool) { return context.AfterFunc(s.service, f) }
