package engine

import "time"

// Crash simulates a crash of the engine: its connections are reset, and its
// memory, its cache, the last order (POST /v1/orders) and the effects of all orders
// on its role and its models are lost. The engine is unreachable for d
// (CrashDowntime when 0) and then runs with a new boot_id.
func (e *Engine) Crash(d time.Duration) {
	e.mu.Lock()
	b := e.boot
	e.mu.Unlock()
	if d <= 0 {
		d = e.opts.CrashDowntime
	}
	e.crashBoot(b, d)
}

// crashBoot crashes the engine if b is still its current boot.
func (e *Engine) crashBoot(b *boot, d time.Duration) {
	e.crashMu.Lock()
	defer e.crashMu.Unlock()
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
	b.endAllRequestsLocked(OutcomeCrashed)
	if !e.closed {
		e.startBootLocked()
	}
}

// Pause stops the engine's progress and all its responses for d, or until Resume
// when d is 0.
func (e *Engine) Pause(d time.Duration) { e.server.Pause(d) }

// Resume ends a pause.
func (e *Engine) Resume() { e.server.Resume() }

// Blackhole makes the open connections pass no data for the rest of their
// lifetime, without closing them; the engine continues to work. When all is true,
// the same happens to connections that are opened within d.
func (e *Engine) Blackhole(d time.Duration, all bool) { e.server.Blackhole(d, all) }

// Slow multiplies the duration of all computation by factor for d, or until
// Slow(1, 0) when d is 0.
func (e *Engine) Slow(factor float64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slowTimer != nil {
		e.slowTimer.Stop()
		e.slowTimer = nil
	}
	e.slowFactor = factor
	if d <= 0 || e.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.slowTimer == t {
			e.slowFactor = 1
		}
	})
	e.slowTimer = t
}

// StallTransfers stops the transfers over the engine's link, in both
// directions, for d, or until EndTransferStall when d is 0.
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
	if e.stallEnded == nil {
		e.stallEnded = make(chan struct{})
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

// EndTransferStall ends StallTransfers: the transfers continue.
func (e *Engine) EndTransferStall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endStallLocked()
}

func (e *Engine) endStallLocked() {
	if e.stallTimer != nil {
		e.stallTimer.Stop()
		e.stallTimer = nil
	}
	if e.stallEnded != nil {
		close(e.stallEnded)
		e.stallEnded = nil
	}
}

// Faults returns the fault kinds of the engine and the functions that start them.
// The kind "silence" blackholes the open connections for the rest of their
// lifetime, whatever the duration.
func (e *Engine) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"crash":          func(d time.Duration) error { e.Crash(d); return nil },
		"pause":          func(d time.Duration) error { e.Pause(d); return nil },
		"slow":           func(d time.Duration) error { e.Slow(SlowFactor, d); return nil },
		"silence":        func(d time.Duration) error { e.Blackhole(d, false); return nil },
		"stall_transfer": func(d time.Duration) error { e.StallTransfers(d); return nil },
	}
}
