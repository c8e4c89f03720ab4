package sidecar

import "time"

const (
	// suspectRetention is how long a fingerprint that was in flight at a crash is
	// remembered. A request that is sent again later is subject to the quarantine,
	// which does not expire here.
	suspectRetention = time.Hour
	// maxSuspects is the maximum number of remembered fingerprints; the oldest is
	// dropped first.
	maxSuspects = 4096
	// maxEngineCrashes is the number of crashes of this engine after which a
	// fingerprint is refused even if the request is marked as a suspect.
	maxEngineCrashes = 2
)

// fingerprint identifies the content of a request.
type fingerprint string

// crashRecord counts the crashes at which a fingerprint was in flight.
type crashRecord struct {
	count  int
	lastAt time.Duration
}

// Suspects is the aggregate that prevents a request from crashing the engine
// repeatedly. It tracks the requests in flight, remembers those that were in flight
// at a crash, and lets at most one suspect run at a time, so that a crash is not
// attributed to the wrong one. It is not safe for concurrent use.
type Suspects struct {
	inFlight       map[string]fingerprint // by request id
	crashed        map[fingerprint]crashRecord
	insertionOrder []fingerprint
	runningID      string // id of the running suspect, or ""
}

// NewSuspects returns Suspects without any record.
func NewSuspects() *Suspects {
	return &Suspects{inFlight: map[string]fingerprint{}, crashed: map[fingerprint]crashRecord{}}
}

// Refuses reports whether a request must not run on this engine, because it was in
// flight at a crash and is not marked as a suspect, or because it was in flight at
// maxEngineCrashes crashes.
func (s *Suspects) Refuses(now time.Duration, fp fingerprint, suspect bool) bool {
	rec, ok := s.crashed[fp]
	if !ok || fp == "" || now-rec.lastAt > suspectRetention {
		return false
	}
	return !suspect || rec.count >= maxEngineCrashes
}

// MayRun reports whether a request may run now. A suspect may not while another
// suspect runs.
func (s *Suspects) MayRun(suspect bool) bool { return !suspect || s.runningID == "" }

// SetRunning records that a request runs. It has an effect for suspects only.
func (s *Suspects) SetRunning(id string, suspect bool) {
	if suspect {
		s.runningID = id
	}
}

// AddInFlight records that the engine works on a request. A request without a
// fingerprint is not tracked.
func (s *Suspects) AddInFlight(id string, fp fingerprint) {
	if fp != "" {
		s.inFlight[id] = fp
	}
}

// RemoveInFlight records that the engine no longer works on a request.
func (s *Suspects) RemoveInFlight(id string) { delete(s.inFlight, id) }

// ClearRunning records that a request no longer runs.
func (s *Suspects) ClearRunning(id string) {
	if s.runningID == id {
		s.runningID = ""
	}
}

// RecordCrash records a crash for every fingerprint in flight and returns the number
// of requests in flight.
func (s *Suspects) RecordCrash(now time.Duration) int {
	inFlight := len(s.inFlight)
	counted := make(map[fingerprint]bool, inFlight)
	for id, fp := range s.inFlight {
		delete(s.inFlight, id)
		if !counted[fp] {
			counted[fp] = true
			s.countCrash(now, fp)
		}
	}
	return inFlight
}

// countCrash counts a crash for a fingerprint. Crashes before a pause of more than
// suspectRetention no longer count.
func (s *Suspects) countCrash(now time.Duration, fp fingerprint) {
	rec, known := s.crashed[fp]
	if !known {
		s.insertionOrder = append(s.insertionOrder, fp)
	}
	if known && now-rec.lastAt > suspectRetention {
		rec.count = 0
	}
	s.crashed[fp] = crashRecord{count: rec.count + 1, lastAt: now}
	if len(s.insertionOrder) > maxSuspects {
		delete(s.crashed, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
}

// Remembered returns the number of fingerprints that are remembered.
func (s *Suspects) Remembered() int { return len(s.crashed) }
