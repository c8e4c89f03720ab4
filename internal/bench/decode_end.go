package bench

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// freeMemory frees the slot and the chunks that the attempt holds.
func (s *decodeServer) freeMemory(a *decodeAttempt) {
	s.usedSlots--
	s.usedChunks -= a.chunks
}

// endAttempt removes the attempt from the server, whatever its state.
func (s *decodeServer) endAttempt(a *decodeAttempt) {
	same := func(x *decodeAttempt) bool { return x == a }
	switch a.state {
	case attemptQueued:
		if a.item != nil && s.queue.Remove(a.item) {
			s.drainUsage.Add(s.sim.now, a.item.Cost)
		}
	case attemptAwaitingMemory:
		s.awaitingMemory = slices.DeleteFunc(s.awaitingMemory, same)
	case attemptImporting:
		s.freeMemory(a)
		a.job.server.dropOutput(a.job)
	case attemptRunning:
		s.freeMemory(a)
		a.req.decodeStreams--
		s.streams = slices.DeleteFunc(s.streams, same)
		s.joiningStreams = slices.DeleteFunc(s.joiningStreams, same)
	}
	s.reserved = slices.DeleteFunc(s.reserved, same)
	a.state = attemptEnded
}

// cancel ends the attempt at the request of the entry. If it was granted but had not
// started to decode, the caller is not charged for it.
func (s *decodeServer) cancel(a *decodeAttempt) {
	if a.state == attemptEnded {
		return
	}
	if unused := a.state == attemptGranted || a.state == attemptAwaitingMemory || a.state == attemptImporting; unused {
		s.queue.AdjustCharge(a.req.caller.name, -a.cost)
	}
	s.endAttempt(a)
	s.startTransfers()
	s.grantQueued()
}

// preempt interrupts the most recently granted stream of the caller whose usage
// exceeds its share the most, but never the only stream. It reports whether it
// interrupted a stream.
func (s *decodeServer) preempt() bool {
	if len(s.streams) < 2 {
		return false
	}
	var victim *decodeAttempt
	victimUsage := 0.0
	for _, a := range s.streams {
		usage := s.queue.RelativeUsage(s.sim.now, a.req.caller.name)
		if victim == nil || usage > victimUsage || usage == victimUsage && a.grantedAt >= victim.grantedAt {
			victim, victimUsage = a, usage
		}
	}
	s.sim.traceEvent("preempted", victim.req)
	s.interrupt(victim)
	return true
}

// interrupt ends the attempt and reports the interruption to the entry.
func (s *decodeServer) interrupt(a *decodeAttempt) {
	s.endAttempt(a)
	s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleInterruption(a) })
}

// crash stops the server. It refuses the queued attempts and interrupts all others.
func (s *decodeServer) crash() {
	s.up = false
	s.incarnation++
	s.stepping = false
	var queued []*decodeAttempt
	s.queue.Each(func(it *fairqueue.Item) { queued = append(queued, it.Value.(*decodeAttempt)) })
	for _, a := range queued {
		s.endAttempt(a)
		s.refuse(a, true, 0)
	}
	for _, a := range append(slices.Clone(s.reserved), s.awaitingMemory...) {
		if a.state != attemptEnded {
			s.interrupt(a)
		}
	}
}

func (s *decodeServer) restart() {
	s.up = true
	s.sim.announceRestart(s.domain, s.name, s.hint())
}

// transferTimeout returns the time after which a transfer counts as stalled. Policy
// fescueslip derives it from the expected duration of the transfer; the baselines
// use a fixed time.
func (sim *simulation) transferTimeout(size time.Duration) time.Duration {
	if !sim.usesFescueslip {
		return baselineTransferTimeout
	}
	return transferTimeoutFactor*size + transferTimeoutBase
}

const (
	transferTimeoutFactor   = 2
	transferTimeoutBase     = 50 * time.Millisecond
	baselineTransferTimeout = 2 * time.Second
)
