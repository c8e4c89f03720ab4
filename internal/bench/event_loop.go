package bench

import (
	"container/heap"
	"time"
)

// event is a callback scheduled at a point of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap implements heap.Interface, earliest event first.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// eventLoop runs events in order of time. Events of the same time run in the order
// in which they were scheduled, which makes a run reproducible.
type eventLoop struct {
	now     time.Duration
	pending eventHeap
	seq     uint64
}

// at schedules run for the time t. A time in the past counts as now.
func (l *eventLoop) at(t time.Duration, run func()) {
	l.seq++
	heap.Push(&l.pending, event{at: max(t, l.now), seq: l.seq, run: run})
}

func (l *eventLoop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// run executes the events up to and including the time end.
func (l *eventLoop) run(end time.Duration) {
	for len(l.pending) > 0 && l.pending[0].at <= end {
		e := heap.Pop(&l.pending).(event)
		l.now = e.at
		e.run()
	}
}
