package engine

import "time"

// Crash kills the engine: connections are reset, memory, cache, role changes
// and orders are lost. It is down for d (CrashDown when 0) and then starts with
// a new boot_id.
func (e *Engine) Crash(d time.Duration) {
	e.mu.Lock()
	b := e.boot
	e.mu.Unlock()
	if d <= 0 {
		d = e.opts.CrashDown
	}
	e.crashBoot(b, d)
}

// crashBoot is Crash for the given life of the engine; it does nothing when
// that has ended.
func (e *Engine) crashBoot(b *boot, d time.Duration) {
	e.crashing.Lock()
	defer e.crashing.Unlock()
	e.mu.Lock()
	current := e.boot == b && !e.closed
	e.mu.Unlock()
	if !current {
		return
	}
	e.server.Resume()
	e.server.StartOutage(d)
	b.cancel()
	b.loops.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	b.endAllLocked(OutcomeCrashed)
	if !e.closed {
		e.startLocked()
	}
}

// Pause stops the engine's progress and all its answers for d, or until Resume when d is 0.
func (e *Engine) Pause(d time.Duration) { e.server.Pause(d) }

// Resume ends a pause.
func (e *Engine) Resume() { e.server.Resume() }

// Blackhole makes the open connections pass nothing for good; the engine works
// on. When all is true, so do those opened within d.
func (e *Engine) Blackhole(d time.Duration, all bool) { e.server.Blackhole(d, all) }

// Slow multiplies the time of all computation by factor for d, or until
// Slow(1, 0) when d is 0.
func (e *Engine) Slow(factor float64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slowTimer != nil {
		e.slowTimer.Stop()
		e.slowTimer = nil
	}
	e.slow = factor
	if d <= 0 || e.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.slowTimer == t {
			e.slow = 1
		}
	})
	e.slowTimer = t
}

// StallTransfers stops the transfers over the engine's link, in both
// directions, for d, or until EndStall when d is 0.
func (e *Engine) StallTransfers(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	if e.stallTimer != nil {
		e.stallTimer.Stop()
		e.stallTimer = nil
	}
	if e.stalled == nil {
		e.stalled = make(chan struct{})
	}
	if d <= 0 {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stallTimer == t {
			e.endStallLocked()
		}
	})
	e.stallTimer = t
}

// EndStall lets the transfers go on.
func (e *Engine) EndStall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endStallLocked()
}

func (e *Engine) endStallLocked() {
	if e.stallTimer != nil {
		e.stallTimer.Stop()
		e.stallTimer = nil
	}
	if e.stalled != nil {
		close(e.stalled)
		e.stalled = nil
	}
}

// Faults returns the kinds of faults with the functions that start them.
func (e *Engine) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"crash":          func(d time.Duration) error { e.Crash(d); return nil },
		"pause":          func(d time.Duration) error { e.Pause(d); return nil },
		"slow":           func(d time.Duration) error { e.Slow(SlowFactor, d); return nil },
		"silence":        func(d time.Duration) error { e.Blackhole(d, false); return nil },
		"stall_transfer": func(d time.Duration) error { e.StallTransfers(d); return nil },
	}
}
