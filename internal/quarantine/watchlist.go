package quarantine

import (
	"crypto/sha256"
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
	// Process is where a run of the request was interrupted. It is empty if
	// Completed is set.
	Process Process
	// Completed means that the request ran to completion.
	Completed bool
}

const (
	// suspensionThreshold is the number of upstreams that must have crashed with a
	// request before it is suspended. A rack failure can take two upstreams at once;
	// a third crash after them is no coincidence.
	suspensionThreshold = 3
	// confirmTimeout is how long an interrupted run counts as a possible crash.
	// Within that time a crashed upstream leaves the instance list: it covers three
	// missed heartbeats and the propagation of the list.
	confirmTimeout = 6 * time.Second
	// SuspensionDuration is how long a request is refused after it was last
	// received.
	SuspensionDuration = 10 * time.Minute
	// watchRetention is how long a fingerprint is remembered after its last event.
	watchRetention = 30 * time.Minute
	// maxWatched limits the fingerprints in memory. Beyond the limit, new
	// fingerprints are ignored until old ones have expired.
	maxWatched = 8192
	// noticeRepeats is how often each notice is sent, because datagrams may be lost.
	noticeRepeats = 4
	// noticeInterval is the minimum time between two transmissions of a notice.
	noticeInterval = 250 * time.Millisecond
	// maxNoticesPerMessage limits the notices in one message.
	maxNoticesPerMessage = 64
)

// Watchlist detects requests that crash the upstreams that run them. It replaces
// Record where no sidecar observes the upstream. An interrupted run counts as a
// crash only if its upstream leaves the instance list soon afterwards, and a run to
// completion clears the request. It is safe for concurrent use.
type Watchlist struct {
	mu      sync.Mutex
	watched map[Fingerprint]*watchedRequest
	outbox  []*outgoingNotice
	// size equals len(watched). It lets requests skip the lock while the list is
	// empty.
	size atomic.Int64
}

// watchedRequest is what is known about one fingerprint.
type watchedRequest struct {
	interruptions map[Process]interruption
	lastSeen      time.Time
	// suspendedUntil is the end of the suspension, or zero if the request is not
	// suspended.
	suspendedUntil time.Time
}

// interruption is a run that ended before its completion.
type interruption struct {
	at    time.Time
	state interruptionState
}

// interruptionState tells whether an interruption counts as a crash of the process.
type interruptionState int

const (
	// pending interruptions wait for the process to leave the instance list.
	pending interruptionState = iota
	// confirmed interruptions count as crashes.
	confirmed
	// cleared interruptions do not count. They are kept because other processes may
	// report them again.
	cleared
)

// outgoingNotice is a notice with the state of its transmission.
type outgoingNotice struct {
	notice    Notice
	sendCount int
	lastSent  time.Time
}

// NewWatchlist returns an empty watchlist.
func NewWatchlist() *Watchlist { return &Watchlist{watched: make(map[Fingerprint]*watchedRequest)} }

// FingerprintOf returns the fingerprint of a request that consists of the given
// parts.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		// The length prefix distinguishes parts whose concatenations are equal.
		size := len(p)
		h.Write([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})
		h.Write(p)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Empty reports whether no request is watched. It takes no lock.
func (l *Watchlist) Empty() bool { return l.size.Load() == 0 }

// RecordInterruption records that a run of the request at the given process ended
// before its completion.
func (l *Watchlist) RecordInterruption(f Fingerprint, process Process, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addInterruption(f, process, now) {
		l.outbox = append(l.outbox, &outgoingNotice{notice: Notice{Fingerprint: f, Process: process}})
	}
}

// addInterruption adds an interruption and reports whether it was new. The caller
// holds l.mu.
func (l *Watchlist) addInterruption(f Fingerprint, process Process, now time.Time) bool {
	w, ok := l.watched[f]
	if !ok {
		if len(l.watched) >= maxWatched {
			return false
		}
		w = &watchedRequest{interruptions: make(map[Process]interruption)}
		l.watched[f] = w
		l.size.Store(int64(len(l.watched)))
	}
	if _, known := w.interruptions[process]; known {
		return false
	}
	w.interruptions[process] = interruption{at: now}
	w.lastSeen = now
	return true
}

// RecordCompletion records that the request ran to completion. It reports whether
// this cleared any interruption.
func (l *Watchlist) RecordCompletion(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watched[f]
	if !ok || !w.clearInterruptions(now) {
		return false
	}
	l.outbox = append(l.outbox, &outgoingNotice{notice: Notice{Fingerprint: f, Completed: true}})
	return true
}

// clearInterruptions marks all interruptions as cleared. It reports whether any of
// them still counted.
func (w *watchedRequest) clearInterruptions(now time.Time) bool {
	changed := false
	for process, s := range w.interruptions {
		if s.state != cleared {
			changed = true
			w.interruptions[process] = interruption{at: s.at, state: cleared}
		}
	}
	w.lastSeen = now
	return changed
}

// Suspended reports whether the request must not run, and for how much longer.
// Calling it extends a confirmed suspension, since the request was received again.
func (l *Watchlist) Suspended(f Fingerprint, now time.Time) (left time.Duration, suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watched[f]
	if !ok {
		return 0, false
	}
	if now.Before(w.suspendedUntil) {
		w.suspendedUntil, w.lastSeen = now.Add(SuspensionDuration), now
		return SuspensionDuration, true
	}
	counted, oldest := w.countSuspected()
	if counted < suspensionThreshold {
		return 0, false
	}
	// Some of the interruptions are not confirmed as crashes yet.
	return max(0, oldest.Add(confirmTimeout).Sub(now)), true
}

// countSuspected returns the number of interruptions that count as possible crashes,
// and the time of the oldest unconfirmed one.
func (w *watchedRequest) countSuspected() (n int, oldest time.Time) {
	for _, s := range w.interruptions {
		if s.state == cleared {
			continue
		}
		n++
		if s.state == pending && (oldest.IsZero() || s.at.Before(oldest)) {
			oldest = s.at
		}
	}
	return n, oldest
}

// Suspension is a request that was just suspended, with the processes that crashed.
type Suspension struct {
	Fingerprint Fingerprint
	Processes   []Process
}

// Settle decides which interruptions were crashes and returns the requests that are
// suspended from now on. listed reports whether an upstream is in the instance list.
// since is the time since which the list has been readable. It is zero while the
// list is unreadable, and then no interruption is decided.
func (l *Watchlist) Settle(now, since time.Time, listed func(Process) bool) []Suspension {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Suspension
	for f, w := range l.watched {
		if now.Sub(w.lastSeen) > watchRetention {
			delete(l.watched, f)
			continue
		}
		if !since.IsZero() {
			w.settleInterruptions(now, since, listed)
		}
		if crashed := w.crashedProcesses(); len(crashed) >= suspensionThreshold && w.suspendedUntil.IsZero() {
			w.suspendedUntil, w.lastSeen = now.Add(SuspensionDuration), now
			out = append(out, Suspension{Fingerprint: f, Processes: crashed})
		}
		if !w.suspendedUntil.IsZero() && !now.Before(w.suspendedUntil) {
			// The request may run again, and its earlier crashes no longer count.
			w.suspendedUntil = time.Time{}
			w.clearInterruptions(now)
		}
	}
	l.size.Store(int64(len(l.watched)))
	return out
}

// settleInterruptions confirms the pending interruptions whose process is no longer
// listed. It clears those whose process is still listed when confirmTimeout has
// passed since the interruption and since the list became readable.
func (w *watchedRequest) settleInterruptions(now, since time.Time, listed func(Process) bool) {
	for process, s := range w.interruptions {
		if s.state != pending {
			continue
		}
		switch {
		case !listed(process):
			w.interruptions[process] = interruption{at: s.at, state: confirmed}
		case now.Sub(s.at) > confirmTimeout && now.Sub(since) > confirmTimeout:
			w.interruptions[process] = interruption{at: s.at, state: cleared}
		}
	}
}

// crashedProcesses returns the processes with a confirmed interruption.
func (w *watchedRequest) crashedProcesses() []Process {
	var out []Process
	for process, s := range w.interruptions {
		if s.state == confirmed {
			out = append(out, process)
		}
	}
	return out
}

// AddSuspension suspends a request that another process found to crash upstreams.
func (l *Watchlist) AddSuspension(f Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watched[f]
	if !ok {
		w = &watchedRequest{interruptions: make(map[Process]interruption)}
		l.watched[f] = w
		l.size.Store(int64(len(l.watched)))
	}
	w.suspendedUntil, w.lastSeen = now.Add(SuspensionDuration), now
}

// DueNotices returns the notices to send now.
func (l *Watchlist) DueNotices(now time.Time) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Notice
	kept := l.outbox[:0]
	for _, t := range l.outbox {
		if len(out) < maxNoticesPerMessage && (t.sendCount == 0 || now.Sub(t.lastSent) >= noticeInterval) {
			out = append(out, t.notice)
			t.sendCount, t.lastSent = t.sendCount+1, now
		}
		if t.sendCount < noticeRepeats {
			kept = append(kept, t)
		}
	}
	clear(l.outbox[len(kept):])
	l.outbox = kept
	return out
}

// AddNotices applies the notices of another process.
func (l *Watchlist) AddNotices(notices []Notice, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range notices {
		if !n.Completed {
			l.addInterruption(n.Fingerprint, n.Process, now)
		} else if w, ok := l.watched[n.Fingerprint]; ok {
			w.clearInterruptions(now)
		}
	}
}

// Suspensions returns the fingerprints that are suspended.
func (l *Watchlist) Suspensions(now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Fingerprint
	for f, w := range l.watched {
		if now.Before(w.suspendedUntil) {
			out = append(out, f)
		}
	}
	return out
}
