package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Process identifies one run of an upstream's process.
type Process struct {
	Upstream    string
	Incarnation int64
}

// Notice is a report about a fingerprint that processes send to each other.
type Notice struct {
	Fingerprint Fingerprint
	// Process is where a run was interrupted. It is empty if Completed is set.
	Process Process
	// Completed means that a run got past the point at which it would have crashed
	// its upstream.
	Completed bool
}

const (
	// suspensionThreshold is the number of crashes after which a fingerprint is
	// suspended. A rack failure can take two upstreams at once; a third crash after
	// them is no coincidence.
	suspensionThreshold = 3
	// unexplainedThreshold is the number of crashes of a fingerprint that no other
	// suspected fingerprint explains. Fewer than that may be due to the others.
	unexplainedThreshold = 2
	// confirmTimeout is how long an interrupted run counts as a possible crash.
	// Within that time a crashed upstream leaves the instance list: it covers three
	// missed heartbeats and the propagation of the list.
	confirmTimeout = 6 * time.Second
	// SuspensionDuration is how long a request is refused after it was last
	// received, and a prompt part after it was suspended.
	SuspensionDuration = 10 * time.Minute
	// minRefusal is the shortest time for which a request is refused.
	minRefusal = time.Second
	// watchRetention is how long a fingerprint is remembered after its last event.
	watchRetention = 30 * time.Minute
	// maxWatched limits the fingerprints in memory. Beyond the limit, the one with
	// the oldest event is forgotten.
	maxWatched = 8192
)

// Watchlist detects requests, and parts of prompts that many requests share, that
// crash the upstreams that run them. It replaces Record where no sidecar observes the
// upstream.
//
// A request is described by its subjects: its own fingerprint and those of the shared
// parts of its prompt. An interrupted run counts as a possible crash against each
// subject, and as a crash once its upstream has left the instance list. A run that gets
// past the point of the crash clears its subjects, since a subject that crashes
// upstreams does so in each run. Subjects that always crashed together are suspended
// together: only a request that has all of them is refused, and the others show which
// of them is sound.
//
// It is safe for concurrent use.
type Watchlist struct {
	mu          sync.Mutex
	watched     map[Fingerprint]*subject
	suspensions []*activeSuspension
	sound       soundParts
	outbox      outbox
	// size is the number of watched fingerprints and suspensions. It lets requests
	// skip the lock while both lists are empty.
	size atomic.Int64
}

// Suspension lists the subjects that a request must have to be refused, and the
// processes that crashed while they ran such requests.
type Suspension struct {
	Subjects  []Fingerprint
	Processes []Process
}

// activeSuspension is a suspension that is in effect.
type activeSuspension struct {
	Suspension
	until time.Time
}

// extendable reports whether each request that is refused prolongs the suspension. A
// part is tried again after a while, since its other requests may be sound.
func (s *activeSuspension) extendable() bool {
	return len(s.Subjects) == 1 && !s.Subjects[0].IsPart()
}

// Refusal says why a request must not run.
type Refusal struct {
	Suspension
	// Left is how much longer the request must not run.
	Left time.Duration
	// Confirmed is false as long as some of the interruptions may not be crashes.
	Confirmed bool
}

// NewWatchlist returns an empty watchlist.
func NewWatchlist() *Watchlist { return &Watchlist{watched: make(map[Fingerprint]*subject)} }

// Empty reports whether nothing is watched or suspended. It takes no lock.
func (l *Watchlist) Empty() bool { return l.size.Load() == 0 }

// updateSize publishes the size. The caller holds l.mu.
func (l *Watchlist) updateSize() { l.size.Store(int64(len(l.watched) + len(l.suspensions))) }

// RecordInterruption records that a run of a request with the given subjects ended at
// the process before its completion.
func (l *Watchlist) RecordInterruption(subjects []Fingerprint, process Process, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range subjects {
		if l.addInterruption(f, process, now) {
			l.outbox.add(Notice{Fingerprint: f, Process: process})
		}
	}
	l.updateSize()
}

// addInterruption adds an interruption and reports whether it was new. The caller
// holds l.mu.
func (l *Watchlist) addInterruption(f Fingerprint, process Process, now time.Time) bool {
	w, ok := l.watched[f]
	if !ok {
		if len(l.watched) >= maxWatched {
			l.forgetOldest()
		}
		w = newSubject()
		l.watched[f] = w
	}
	return w.interrupt(process, now)
}

// forgetOldest removes the subject with the oldest event. The caller holds l.mu.
func (l *Watchlist) forgetOldest() {
	var oldest Fingerprint
	var seen time.Time
	for f, w := range l.watched {
		if seen.IsZero() || w.lastSeen.Before(seen) {
			oldest, seen = f, w.lastSeen
		}
	}
	delete(l.watched, oldest)
}

// RecordCompletion records that a request ran to completion. It reports whether this
// cleared any interruption.
func (l *Watchlist) RecordCompletion(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(f, now)
}

// RecordSound records that a run with the given parts got past the point at which it
// would have crashed its upstream.
func (l *Watchlist) RecordSound(parts []Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range parts {
		l.sound.record(f, now)
		l.clear(f, now)
	}
}

// clear clears the interruptions of a subject and tells the other processes if any of
// them still counted. The caller holds l.mu.
func (l *Watchlist) clear(f Fingerprint, now time.Time) bool {
	w, ok := l.watched[f]
	if !ok || !w.clear(now) {
		return false
	}
	l.outbox.add(Notice{Fingerprint: f, Completed: true})
	return true
}

// Suspended returns why a request with the given subjects must not run, or nil if it
// may. It extends the suspension of a request that was received again.
func (l *Watchlist) Suspended(subjects []Fingerprint, now time.Time) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.suspensions {
		if !now.Before(s.until) || !containsAll(subjects, s.Subjects) {
			continue
		}
		if s.extendable() {
			s.until = now.Add(SuspensionDuration)
		}
		return &Refusal{Suspension: s.Suspension, Left: s.until.Sub(now), Confirmed: true}
	}
	for _, f := range subjects {
		w, ok := l.watched[f]
		if ok && l.accused(f, w, subjects, now) {
			found := Suspension{Subjects: []Fingerprint{f}, Processes: w.crashes(possibleCrash).processes()}
			return &Refusal{Suspension: found, Left: max(minRefusal, w.oldestPending().Add(confirmTimeout).Sub(now))}
		}
	}
	return nil
}

// accused reports whether a request with the given subjects must be refused because of
// its subject f: f has enough possible crashes, and the suspected subjects that the
// request lacks do not explain them. The caller holds l.mu.
func (l *Watchlist) accused(f Fingerprint, w *subject, subjects []Fingerprint, now time.Time) bool {
	crashes := w.crashes(possibleCrash)
	if !l.suspected(f, crashes, now) {
		return false
	}
	for other, o := range l.watched {
		if len(o.interruptions) < suspensionThreshold || slices.Contains(subjects, other) {
			continue
		}
		if explained := o.crashes(possibleCrash); l.suspected(other, explained, now) {
			crashes = crashes.without(explained)
		}
	}
	return crashes.count(f) >= unexplainedThreshold
}

// suspected reports whether the crashes suffice to suspend the subject. The caller
// holds l.mu.
func (l *Watchlist) suspected(f Fingerprint, crashes crashTimes, now time.Time) bool {
	return len(crashes) >= suspensionThreshold && crashes.count(f) >= suspensionThreshold && !l.sound.recent(f, now)
}

// containsAll reports whether list contains all elements of subset.
func containsAll(list, subset []Fingerprint) bool {
	for _, f := range subset {
		if !slices.Contains(list, f) {
			return false
		}
	}
	return true
}

// Settle decides which interruptions were crashes and returns the suspensions that
// are in effect from now on. listed reports whether an upstream is in the instance
// list. since is the time since which the list has been readable. It is zero while the
// list is unreadable, and then no interruption is decided.
func (l *Watchlist) Settle(now, since time.Time, listed func(Process) bool) []Suspension {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, w := range l.watched {
		if now.Sub(w.lastSeen) > watchRetention {
			delete(l.watched, f)
			continue
		}
		if !since.IsZero() {
			w.settle(now, since, listed)
		}
	}
	l.endSuspensions(now)
	out := l.newSuspensions(now)
	l.updateSize()
	return out
}

// endSuspensions removes the suspensions whose time is over. The caller holds l.mu.
func (l *Watchlist) endSuspensions(now time.Time) {
	l.suspensions = slices.DeleteFunc(l.suspensions, func(s *activeSuspension) bool {
		if now.Before(s.until) {
			return false
		}
		for _, f := range s.Subjects {
			if w, ok := l.watched[f]; ok {
				w.forgive(f, now)
			}
		}
		return true
	})
}

// newSuspensions suspends the subjects with enough confirmed crashes. The caller holds
// l.mu.
func (l *Watchlist) newSuspensions(now time.Time) []Suspension {
	suspects := l.confirmedSuspects(now)
	var out []Suspension
	for f, crashes := range suspects {
		found := Suspension{Subjects: []Fingerprint{f}, Processes: crashes.processes()}
		unexplained := crashes
		for other, o := range suspects {
			switch {
			case other == f:
			case o.containsAll(crashes):
				found.Subjects = append(found.Subjects, other)
			default:
				unexplained = unexplained.without(o)
			}
		}
		slices.SortFunc(found.Subjects, Fingerprint.Compare)
		if unexplained.count(f) >= unexplainedThreshold && l.add(found, now) {
			out = append(out, found)
		}
	}
	return out
}

// confirmedSuspects returns the subjects with enough confirmed crashes. The caller
// holds l.mu.
func (l *Watchlist) confirmedSuspects(now time.Time) map[Fingerprint]crashTimes {
	suspects := make(map[Fingerprint]crashTimes)
	for f, w := range l.watched {
		if crashes := w.crashes(confirmedCrash); l.suspected(f, crashes, now) {
			suspects[f] = crashes
		}
	}
	return suspects
}

// add puts a suspension in effect. It reports false if one in effect refuses the same
// requests already. The caller holds l.mu.
func (l *Watchlist) add(s Suspension, now time.Time) bool {
	for _, known := range l.suspensions {
		if containsAll(s.Subjects, known.Subjects) {
			return false
		}
	}
	l.suspensions = append(l.suspensions, &activeSuspension{Suspension: s, until: now.Add(SuspensionDuration)})
	return true
}

// AddSuspension puts a suspension in effect that another process decided on.
func (l *Watchlist) AddSuspension(s Suspension, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(s, now)
	l.updateSize()
}

// Lift ends all suspensions that include the fingerprint. It clears the crashes of the
// fingerprint and of the subjects that crashed together with it, which would be
// suspended in its place. It reports whether the fingerprint was suspended or suspected.
func (l *Watchlist) Lift(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.suspensions)
	l.suspensions = slices.DeleteFunc(l.suspensions, func(s *activeSuspension) bool { return slices.Contains(s.Subjects, f) })
	lifted := len(l.suspensions) < before
	if w, ok := l.watched[f]; ok {
		crashes := w.crashes(possibleCrash)
		for other, o := range l.watched {
			if len(crashes) > 0 && o.crashes(possibleCrash).containsAll(crashes) {
				l.clear(other, now)
				lifted = true
			}
		}
	}
	l.updateSize()
	return lifted
}

// DueNotices returns the notices to send now.
func (l *Watchlist) DueNotices(now time.Time) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbox.due(now)
}

// AddNotices applies the notices of another process.
func (l *Watchlist) AddNotices(notices []Notice, now time.Time) {
	if len(notices) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range notices {
		if !n.Completed {
			l.addInterruption(n.Fingerprint, n.Process, now)
		} else if w, ok := l.watched[n.Fingerprint]; ok {
			w.clear(now)
		}
	}
	l.updateSize()
}

// Suspensions returns the suspensions that are in effect.
func (l *Watchlist) Suspensions(now time.Time) []Suspension {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Suspension
	for _, s := range l.suspensions {
		if now.Before(s.until) {
			out = append(out, s.Suspension)
		}
	}
	return out
}
