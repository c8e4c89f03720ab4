package kvstore

import "time"

// faults is the fault state of a Store, guarded by its lock.
type faults struct {
	down       bool
	delay      time.Duration
	loseAcks   int // acknowledgements still to lose; negative: all
	lateWrites int // writes still to apply late; negative: all
	lateBy     time.Duration
	duplicate  time.Duration
	// broken is closed when an outage starts; it ends the calls in progress.
	broken chan struct{}
	timers map[string]*time.Timer
}

func newFaults() faults {
	return faults{broken: make(chan struct{}), timers: make(map[string]*time.Timer)}
}

func (f *faults) breakLocked() {
	close(f.broken)
	f.broken = make(chan struct{})
}

func (f *faults) stop() {
	for _, t := range f.timers {
		t.Stop()
	}
}

// writePlan is what the faults in force do to one write.
type writePlan struct {
	delay      time.Duration
	duplicate  time.Duration
	loseAck    bool
	hideAnswer bool
	broken     chan struct{}
}

func (s *Store) planWrite() writePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := writePlan{
		delay:     s.opts.Latency + s.faults.delay,
		duplicate: s.faults.duplicate,
		broken:    s.faults.broken,
	}
	if take(&s.faults.lateWrites) {
		p.delay += s.faults.lateBy
		p.hideAnswer = true
	}
	p.loseAck = take(&s.faults.loseAcks)
	return p
}

func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func (s *Store) loseAck() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.LostAcks++
	return ErrNoAnswer
}

// set applies a fault and, when d is positive, ends it after d.
func (s *Store) set(kind string, d time.Duration, on, off func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if old := s.faults.timers[kind]; old != nil {
		old.Stop()
		delete(s.faults.timers, kind)
	}
	on(&s.faults)
	if d <= 0 {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.faults.timers[kind] == t {
			off(&s.faults)
		}
	})
	s.faults.timers[kind] = t
}

// StartOutage drops every call, those in progress included, for d, or until Up when d
// is 0. A write that is already in progress still takes effect.
func (s *Store) StartOutage(d time.Duration) {
	on := func(f *faults) { f.down = true; f.breakLocked() }
	s.set("down", d, on, func(f *faults) { f.down = false })
}

// EndOutage ends an outage that Down started.
func (s *Store) EndOutage() {
	s.set("down", 0, func(f *faults) { f.down = false }, nil)
}

// Slow adds delay to every call for d, or until Slow(0, 0) when d is 0.
func (s *Store) Slow(delay, d time.Duration) {
	s.set("slow", d, func(f *faults) { f.delay = delay }, func(f *faults) { f.delay = 0 })
}

// LoseAcks lets the next n writes take effect and drops their answers.
func (s *Store) LoseAcks(n int) {
	s.set("lost_ack", 0, func(f *faults) { f.loseAcks = n }, nil)
}

// LoseAllAcks drops the answers of all writes for d, or until LoseAcks(0) when d is 0.
func (s *Store) LoseAllAcks(d time.Duration) {
	s.set("lost_ack", d, func(f *faults) { f.loseAcks = -1 }, func(f *faults) { f.loseAcks = 0 })
}

// DelayWrites drops the answers of the next n writes at once and lets the
// writes take effect only after by, when the caller may have read back already.
func (s *Store) DelayWrites(n int, by time.Duration) {
	s.set("late_write", 0, func(f *faults) { f.lateWrites, f.lateBy = n, by }, nil)
}

// DuplicateWrites delivers every write a second time, after by, until by is 0.
func (s *Store) DuplicateWrites(by time.Duration) {
	s.set("duplicate", 0, func(f *faults) { f.duplicate = by }, nil)
}
