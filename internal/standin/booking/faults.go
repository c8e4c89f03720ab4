package booking

import "time"

// Crash resets all connections and takes the server down for d
// (DefaultCrashDown when 0). Bookings in progress are not executed.
func (s *Server) Crash(d time.Duration) { s.http.StartOutage(orDefault(d)) }

// CrashBefore crashes the server at its next booking, before it executes it.
func (s *Server) CrashBefore(down time.Duration) { s.arm(crashBefore, down) }

// CrashAfter crashes the server at its next booking, after it executed it and
// before it answers.
func (s *Server) CrashAfter(down time.Duration) { s.arm(crashAfter, down) }

func (s *Server) arm(point crashPoint, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash, s.crashDown = point, orDefault(down)
}

func orDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultCrashDowntime
	}
	return d
}

// Pause stops all progress and answers for d, or until Resume when d is 0.
func (s *Server) Pause(d time.Duration) { s.http.Pause(d) }

// Resume ends a pause.
func (s *Server) Resume() { s.http.Resume() }

// Blackhole makes the open connections pass nothing for good. When all is true,
// so do those opened within d.
func (s *Server) Blackhole(d time.Duration, all bool) { s.http.Blackhole(d, all) }

// StartOutage takes the server down for d, or until Up when d is 0.
func (s *Server) StartOutage(d time.Duration) { s.http.StartOutage(d) }

// EndOutage ends an outage that Down started.
func (s *Server) EndOutage() { s.http.EndOutage() }

// Slow adds delay to every call for d, or until Slow(0, 0) when d is 0.
func (s *Server) Slow(delay, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowTimer != nil {
		s.slowTimer.Stop()
		s.slowTimer = nil
	}
	s.delay = delay
	if d <= 0 {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.slowTimer == t {
			s.delay = 0
		}
	})
	s.slowTimer = t
}

// Faults returns the kinds of faults with the functions that start them.
func (s *Server) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"crash":        func(d time.Duration) error { s.Crash(d); return nil },
		"crash_before": func(d time.Duration) error { s.CrashBefore(d); return nil },
		"crash_after":  func(d time.Duration) error { s.CrashAfter(d); return nil },
		"pause":        func(d time.Duration) error { s.Pause(d); return nil },
		"slow":         func(d time.Duration) error { s.Slow(SlowDelay, d); return nil },
		"silence":      func(d time.Duration) error { s.Blackhole(d, false); return nil },
		"down":         func(d time.Duration) error { s.StartOutage(d); return nil },
	}
}
