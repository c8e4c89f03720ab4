package bench

import (
	"container/heap"
	"time"
)

// event is something that happens at a point of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// sim runs events in order of time; events of the same time run in the order
// in which they were scheduled, so that a run is reproducible.
type sim struct {
	now    time.Duration
	events events
	seq    uint64
}

func (s *sim) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(t, s.now), seq: s.seq, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// run executes all events up to the end.
func (s *sim) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}
