package kvstore

import "time"

// faultState is the fault state of a Store, guarded by its lock.
type faultState struct {
	down           bool
	addedLatency   time.Duration
	acksToLose     int // number of further write responses to drop; negative: all
	writesToDelay  int // number of further writes to delay; negative: all
	writeDelay     time.Duration
	duplicateDelay time.Duration
	// callsAborted is closed when an outage starts, to end the calls in progress.
	callsAborted chan struct{}
	timers       map[string]*time.Timer
}

func newFaultState() faultState {
	return faultState{callsAborted: make(chan struct{}), timers: make(map[string]*time.Timer)}
}

// abortCallsLocked ends the calls in progress.
func (f *faultState) abortCallsLocked() {
	close(f.callsAborted)
	f.callsAborted = make(chan struct{})
}

func (f *faultState) stopTimers() {
	for _, t := range f.timers {
		t.Stop()
	}
}

// writePlan states how the active faults affect one write.
type writePlan struct {
	delay              time.Duration
	duplicateDelay     time.Duration
	loseAck            bool
	dropResponseAtOnce bool
	callsAborted       chan struct{}
}

// planWrite returns how the active faults affect the next write, and counts the
// write against the faults that affect a limited number of writes.
func (s *Store) planWrite() writePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := writePlan{
		delay:          s.opts.Latency + s.faults.addedLatency,
		duplicateDelay: s.faults.duplicateDelay,
		callsAborted:   s.faults.callsAborted,
	}
	if consume(&s.faults.writesToDelay) {
		p.delay += s.faults.writeDelay
		p.dropResponseAtOnce = true
	}
	p.loseAck = consume(&s.faults.acksToLose)
	return p
}

// consume reports whether a fault applies to one more call and decrements its
// counter; a negative counter applies to all calls.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// recordLostAck counts a write that took effect and whose response is dropped. It
// returns ErrNoAnswer.
func (s *Store) recordLostAck() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.LostAcks++
	return ErrNoAnswer
}

// setFault applies a fault and, when d is positive, removes it after d. It
// replaces a fault of the same kind.
func (s *Store) setFault(kind string, d time.Duration, apply, remove func(*faultState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if old := s.faults.timers[kind]; old != nil {
		old.Stop()
		delete(s.faults.timers, kind)
	}
	apply(&s.faults)
	if d <= 0 {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.faults.timers[kind] == t {
			remove(&s.faults)
		}
	})
	s.faults.timers[kind] = t
}

// StartOutage drops every call, including those in progress, for d, or until
// EndOutage when d is 0. A write that is already in progress still takes effect.
func (s *Store) StartOutage(d time.Duration) {
	apply := func(f *faultState) { f.down = true; f.abortCallsLocked() }
	s.setFault("down", d, apply, func(f *faultState) { f.down = false })
}

// EndOutage ends an outage that StartOutage started.
func (s *Store) EndOutage() {
	s.setFault("down", 0, func(f *faultState) { f.down = false }, nil)
}

// Slow adds delay to the latency of every call for d, or until Slow(0, 0) when
// d is 0.
func (s *Store) Slow(delay, d time.Duration) {
	s.setFault("slow", d, func(f *faultState) { f.addedLatency = delay }, func(f *faultState) { f.addedLatency = 0 })
}

// LoseAcks drops the responses of the next n writes, which still take effect.
func (s *Store) LoseAcks(n int) {
	s.setFault("lost_ack", 0, func(f *faultState) { f.acksToLose = n }, nil)
}

// LoseAllAcks drops the responses of all writes for d, or until LoseAcks(0) when
// d is 0. The writes still take effect.
func (s *Store) LoseAllAcks(d time.Duration) {
	s.setFault("lost_ack", d, func(f *faultState) { f.acksToLose = -1 }, func(f *faultState) { f.acksToLose = 0 })
}

// DelayWrites drops the responses of the next n writes at once and applies the
// writes only after delay, when the caller may have read back the key already.
func (s *Store) DelayWrites(n int, delay time.Duration) {
	s.setFault("late_write", 0, func(f *faultState) { f.writesToDelay, f.writeDelay = n, delay }, nil)
}

// DuplicateWrites delivers every write a second time, after delay; 0 ends the
// duplication.
func (s *Store) DuplicateWrites(delay time.Duration) {
	s.setFault("duplicate", 0, func(f *faultState) { f.duplicateDelay = delay }, nil)
}
