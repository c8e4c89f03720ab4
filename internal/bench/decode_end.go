package bench

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// free returns the memory that the leg holds on the engine.
func (s *decodeServer) free(l *leg) {
	s.slots--
	s.chunks -= l.chunks
}

// end removes the leg from the server in whatever state it is.
func (s *decodeServer) end(l *leg) {
	same := func(x *leg) bool { return x == l }
	switch l.state {
	case legQueued:
		if l.item != nil && s.queue.Remove(l.item) {
			s.drained.Add(s.w.now, l.item.Cost)
		}
	case legReady:
		s.ready = slices.DeleteFunc(s.ready, same)
	case legImporting:
		s.free(l)
		l.job.srv.drop(l.job)
	case legRunning:
		s.free(l)
		l.req.decoding--
		s.running = slices.DeleteFunc(s.running, same)
		s.joining = slices.DeleteFunc(s.joining, same)
	}
	s.reserved = slices.DeleteFunc(s.reserved, same)
	l.state = legEnded
}

// cancel ends the leg on behalf of the entry.
func (s *decodeServer) cancel(l *leg) {
	if l.state == legEnded {
		return
	}
	if unused := l.state == legGranted || l.state == legReady || l.state == legImporting; unused {
		s.queue.AdjustCharge(l.req.caller.name, -l.cost)
	}
	s.end(l)
	s.admitReady()
	s.grant()
}

// preempt pauses the most recently granted running stream of the caller that is
// furthest over its share, but never the only stream.
func (s *decodeServer) preempt() bool {
	if len(s.running) < 2 {
		return false
	}
	var victim *leg
	lead := 0.0
	for _, l := range s.running {
		x := s.queue.RelativeUsage(s.w.now, l.req.caller.name)
		if victim == nil || x > lead || x == lead && l.grantedAt >= victim.grantedAt {
			victim, lead = l, x
		}
	}
	s.w.trace("preempted", victim.req)
	s.lose(victim)
	return true
}

// lose ends the leg and tells the entry that it broke.
func (s *decodeServer) lose(l *leg) {
	s.end(l)
	s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.lost(l) })
}

// crash loses all streams.
func (s *decodeServer) crash() {
	s.up = false
	s.epoch++
	s.stepping = false
	var queued []*leg
	s.queue.Each(func(it *fairqueue.Item) { queued = append(queued, it.Value.(*leg)) })
	for _, l := range queued {
		s.end(l)
		s.refuse(l, true, 0)
	}
	for _, l := range append(slices.Clone(s.reserved), s.ready...) {
		if l.state != legEnded {
			s.lose(l)
		}
	}
}

func (s *decodeServer) restart() {
	s.up = true
	s.w.announce(s.domain, s.name, s.hint())
}

// transferDeadline derives the time that a transfer may take from its size.
func (w *world) transferDeadline(size time.Duration) time.Duration {
	if !w.fair {
		return baselineTransferTimeout
	}
	return deadlineFactor*size + deadlineBase
}

const (
	deadlineFactor          = 2
	deadlineBase            = 50 * time.Millisecond
	baselineTransferTimeout = 2 * time.Second
)
