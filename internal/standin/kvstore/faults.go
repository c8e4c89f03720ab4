package kvstore

import "time"

// faultState is the fault state of a Store, guarded by its lock.
type faultState struct {
	down           bool
	addedLatency   time.Duration
	acksToLose     int // acknowledgements still to lose; negative: all
	writesToDelay  int // writes still to apply late; negative: all
	writeDelay     time.Duration
	duplicateDelay time.Duration
	// broken is closed when an outage starts; it ends the calls in progress.
	callsAborted chan struct{}
	timers       map[string]*time.Timer
}

func newFaultState() faultState {
	return faultState{callsAborted: make(chan struct{}), timers: make(map[string]*time.Timer)}
}

func (f *faultState) abortCallsLocked() {
	close(f.callsAborted)
	f.callsAborted = make(chan struct{})
}

func (f *faultState) stopTimers() {
	for _, t := range f.timers {
		t.Stop()
	}
}

// writePlan is what the faults in force do to one write.
type writePlan struct {
	delay          time.Duration
	duplicateDelay time.Duration
	loseAck        bool
	dropAnswer     bool
	callsAborted   chan struct{}
}

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
		p.dropAnswer = true
	}
	p.loseAck = consume(&s.faults.acksToLose)
	return p
}

func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func (s *Store) recordLostAck() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.LostAcks++
	return ErrNoAnswer
}

// setFault applies a fault and, when d is positive, ends it after d.
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

// StartOutage drops every call, those in progress included, for d, or until EndOutage when d
// is 0. A write that is already in progress still takes effect.
func (s *Store) StartOutage(d time.Duration) {
	apply := func(f *faultState) { f.down = true; f.abortCallsLocked() }
	s.setFault("down", d, apply, func(f *faultState) { f.down = false })
}

// EndOutage ends an outage that StartOutage started.
func (s *Store) EndOutage() {
	s.setFault("down", 0, func(f *faultState) { f.down = false }, nil)
}

// Slow adds delay to every call for d, or until Slow(0, 0) when d is 0.
func (s *Store) Slow(delay, d time.Duration) {
	s.setFault("slow", d, func(f *faultState) { f.addedLatency = delay }, func(f *faultState) { f.addedLatency = 0 })
}

// LoseAcks lets the next n writes take effect and drops their answers.
func (s *Store) LoseAcks(n int) {
	s.setFault("lost_ack", 0, func(f *faultState) { f.acksToLose = n }, nil)
}

// LoseAllAcks drops the answers of all writes for d, or until LoseAcks(0) when d is 0.
func (s *Store) LoseAllAcks(d time.Duration) {
	s.setFault("lost_ack", d, func(f *faultState) { f.acksToLose = -1 }, func(f *faultState) { f.acksToLose = 0 })
}

// DelayWrites drops the answers of the next n writes at once and lets the
// writes take effect only after by, when the caller may have read back already.
func (s *Store) DelayWrites(n int, delay time.Duration) {
	s.setFault("late_write", 0, func(f *faultState) { f.writesToDelay, f.writeDelay = n, delay }, nil)
}

// DuplicateWrites delivers every write a second time, after by, until by is 0.
func (s *Store) DuplicateWrites(delay time.Duration) {
	s.setFault("duplicate", 0, func(f *faultState) { f.duplicateDelay = delay }, nil)
}
