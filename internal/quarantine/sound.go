package quarantine

import "time"

const (
	// soundPeriod is how long a part is not suspected after a run with it proved it
	// sound. It is short, because a part can begin to crash upstreams, for example
	// with a new version of their software.
	soundPeriod = time.Second
	// maxSoundParts limits the parts that are remembered as sound.
	maxSoundParts = 8192
)

// soundParts remembers the parts that were proved sound recently. The zero value is
// empty. It keeps two generations, so that old parts go without being searched for.
type soundParts struct {
	current, previous map[Fingerprint]time.Time
	since             time.Time
}

// record adds a part.
func (s *soundParts) record(f Fingerprint, now time.Time) {
	if s.current == nil || now.Sub(s.since) >= soundPeriod || len(s.current) >= maxSoundParts {
		s.previous, s.current, s.since = s.current, make(map[Fingerprint]time.Time), now
	}
	s.current[f] = now
}

// recent reports whether the part was proved sound within soundPeriod.
func (s *soundParts) recent(f Fingerprint, now time.Time) bool {
	at, ok := s.current[f]
	if !ok {
		at, ok = s.previous[f]
	}
	return ok && now.Sub(at) < soundPeriod
}
