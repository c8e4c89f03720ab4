package sidecar

import "time"

const (
	// suspectMemory is how long a fingerprint seen at a crash is remembered. A
	// caller that re-sends later meets the quarantine, which does not expire here.
	suspectMemory = time.Hour
	// maxSuspects bounds the memory; the oldest is forgotten first.
	maxSuspects = 4096
	// maxCrashesHere is the number of crashes of this engine after which a
	// fingerprint is refused even when it is marked as a suspect.
	maxCrashesHere = 2
)

// fingerprint identifies a request's content.
type fingerprint string

type crashRecord struct {
	count int
	last  time.Duration
}

// Suspects is the aggregate that keeps a request that crashes engines from
// doing so again and again: it knows what is in flight, remembers what was in
// flight at a crash, and lets at most one suspect run at a time.
// It is not safe for concurrent use.
type Suspects struct {
	inFlight map[string]fingerprint // by request id
	crashed  map[fingerprint]crashRecord
	order    []fingerprint
	running  string // request id of the suspect that runs
}

// NewSuspects returns an empty aggregate.
func NewSuspects() *Suspects {
	return &Suspects{inFlight: map[string]fingerprint{}, crashed: map[fingerprint]crashRecord{}}
}

// Refuses reports whether a request must not run here: it was in flight at a
// crash and is not marked as a suspect, or it was at too many.
func (s *Suspects) Refuses(now time.Duration, fp fingerprint, suspect bool) bool {
	rec, ok := s.crashed[fp]
	if !ok || fp == "" || now-rec.last > suspectMemory {
		return false
	}
	return !suspect || rec.count >= maxCrashesHere
}

// MayRun reports whether a request may run now beside the others.
func (s *Suspects) MayRun(suspect bool) bool { return !suspect || s.running == "" }

// Claim reserves the place of the only running suspect.
func (s *Suspects) Claim(id string, suspect bool) {
	if suspect {
		s.running = id
	}
}

// Enter records that the engine works on a request.
func (s *Suspects) Enter(id string, fp fingerprint) {
	if fp != "" {
		s.inFlight[id] = fp
	}
}

// Exit records that the engine stopped working on a request.
func (s *Suspects) Exit(id string) { delete(s.inFlight, id) }

// Unclaim gives up the place of the only running suspect.
func (s *Suspects) Unclaim(id string) {
	if s.running == id {
		s.running = ""
	}
}

// Crash remembers what was in flight and returns how many fingerprints were.
func (s *Suspects) Crash(now time.Duration) int {
	n := len(s.inFlight)
	counted := make(map[fingerprint]bool, n)
	for id, fp := range s.inFlight {
		delete(s.inFlight, id)
		if !counted[fp] {
			counted[fp] = true
			s.remember(now, fp)
		}
	}
	return n
}

func (s *Suspects) remember(now time.Duration, fp fingerprint) {
	rec, known := s.crashed[fp]
	if !known {
		s.order = append(s.order, fp)
	}
	if known && now-rec.last > suspectMemory {
		rec.count = 0
	}
	s.crashed[fp] = crashRecord{count: rec.count + 1, last: now}
	if len(s.order) > maxSuspects {
		delete(s.crashed, s.order[0])
		s.order = s.order[1:]
	}
}

// Remembered returns the number of remembered fingerprints.
func (s *Suspects) Remembered() int { return len(s.crashed) }
