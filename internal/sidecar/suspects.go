package sidecar

import "time"

const (
	// suspectRetention is how long a fingerprint seen at a crash is remembered. A
	// caller that re-sends later meets the quarantine, which does not expire here.
	suspectRetention = time.Hour
	// maxSuspects bounds the memory; the oldest is forgotten first.
	maxSuspects = 4096
	// maxEngineCrashes is the number of crashes of this engine after which a
	// fingerprint is refused even when it is marked as a suspect.
	maxEngineCrashes = 2
)

// fingerprint identifies a request's content.
type fingerprint string

type crashRecord struct {
	count  int
	lastAt time.Duration
}

// Suspects is the aggregate that keeps a request that crashes engines from
// doing so again and again: it knows what is in flight, remembers what was in
// flight at a crash, and lets at most one suspect run at a time.
// It is not safe for concurrent use.
type Suspects struct {
	inFlight       map[string]fingerprint // by request id
	crashed        map[fingerprint]crashRecord
	insertionOrder []fingerprint
	runningID      string // request id of the suspect that runs
}

// NewSuspects returns an empty aggregate.
func NewSuspects() *Suspects {
	return &Suspects{inFlight: map[string]fingerprint{}, crashed: map[fingerprint]crashRecord{}}
}

// Refuses reports whether a request must not run here: it was in flight at a
// crash and is not marked as a suspect, or it was at too many.
func (s *Suspects) Refuses(now time.Duration, fp fingerprint, suspect bool) bool {
	rec, ok := s.crashed[fp]
	if !ok || fp == "" || now-rec.lastAt > suspectRetention {
		return false
	}
	return !suspect || rec.count >= maxEngineCrashes
}

// MayRun reports whether a request may run now beside the others.
func (s *Suspects) MayRun(suspect bool) bool { return !suspect || s.runningID == "" }

// SetRunning reserves the place of the only running suspect.
func (s *Suspects) SetRunning(id string, suspect bool) {
	if suspect {
		s.runningID = id
	}
}

// AddInFlight records that the engine works on a request.
func (s *Suspects) AddInFlight(id string, fp fingerprint) {
	if fp != "" {
		s.inFlight[id] = fp
	}
}

// RemoveInFlight records that the engine stopped working on a request.
func (s *Suspects) RemoveInFlight(id string) { delete(s.inFlight, id) }

// ClearRunning gives up the place of the only running suspect.
func (s *Suspects) ClearRunning(id string) {
	if s.runningID == id {
		s.runningID = ""
	}
}

// RecordCrash remembers what was in flight and returns how many fingerprints were.
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

// Remembered returns the number of remembered fingerprints.
func (s *Suspects) Remembered() int { return len(s.crashed) }
