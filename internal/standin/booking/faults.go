package booking

import "time"

// Crash resets all connections and makes the server unreachable for d
// (DefaultCrashDowntime when 0). Bookings in progress are not executed.
func (s *Server) Crash(d time.Duration) { s.http.StartOutage(downtimeOrDefault(d)) }

// CrashBefore makes the server crash at its next booking, before it executes
// the booking.
func (s *Server) CrashBefore(downtime time.Duration) { s.armCrash(crashBefore, downtime) }

// CrashAfter makes the server crash at its next booking, after it has executed
// the booking and before it responds.
func (s *Server) CrashAfter(downtime time.Duration) { s.armCrash(crashAfter, downtime) }

// armCrash makes the server crash when the next booking reaches point.
func (s *Server) armCrash(point crashPoint, downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armedCrash, s.crashDowntime = point, downtimeOrDefault(downtime)
}

// downtimeOrDefault returns d, or DefaultCrashDowntime when d is not positive.
func downtimeOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultCrashDowntime
	}
	return d
}

// Pause stops all progress and all responses for d, or until Resume when d is 0.
func (s *Server) Pause(d time.Duration) { s.http.Pause(d) }

// Resume ends a pause.
func (s *Server) Resume() { s.http.Resume() }

// Blackhole makes the open connections pass no data for the rest of their
// lifetime, without closing them. When all is true, the same happens to
// connections that are opened within d.
func (s *Server) Blackhole(d time.Duration, all bool) { s.http.Blackhole(d, all) }

// StartOutage drops all connections and makes the server unreachable for d, or
// until EndOutage when d is 0.
func (s *Server) StartOutage(d time.Duration) { s.http.StartOutage(d) }

// EndOutage ends an outage that StartOutage started.
func (s *Server) EndOutage() { s.http.EndOutage() }

// Slow adds delay to the latency of every call for d, or until Slow(0, 0) when
// d is 0.
func (s *Server) Slow(delay, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowTimer != nil {
		s.slowTimer.Stop()
		s.slowTimer = nil
	}
	s.addedLatency = delay
	if d <= 0 {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.slowTimer == t {
			s.addedLatency = 0
		}
	})
	s.slowTimer = t
}

// Faults returns the fault kinds of the server and the functions that start them.
// The kind "silence" blackholes the open connections for the rest of their
// lifetime, whatever the duration.
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
