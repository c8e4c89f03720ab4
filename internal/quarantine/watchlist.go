package quarantine

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"
)

// Process is one life of an upstream.
type Process struct {
	Upstream    string
	Incarnation int64
}

// Notice is what one process tells the others of a fingerprint.
type Notice struct {
	Fingerprint Fingerprint
	// Site is where a run broke off; it is empty in an acquittal.
	Process Process
	// Acquitted tells that the request ran to its end.
	Completed bool
}

const (
	// siteLimit is the number of upstreams that must have crashed with a request
	// before it is suspended. Two may be lost at once with a rack; a third after
	// them is no coincidence.
	siteLimit = 3
	// confirmTime is how long a run that broke off counts before the upstream has
	// proved to be gone: three missed heartbeats and the way of the list.
	confirmTime = 6 * time.Second
	// SuspensionDuration is how long a request is refused after its last arrival.
	SuspensionDuration = 10 * time.Minute
	// watchTime is how long crashes are remembered.
	watchTime = 30 * time.Minute
	// maxWatched bounds the fingerprints in memory; beyond that new ones are not
	// watched until old ones have expired.
	maxWatched = 8192
	// tellTimes is how often a notice is told: datagrams may be lost.
	tellTimes = 4
	// tellInterval is the least time between two of them.
	tellInterval = 250 * time.Millisecond
	// maxNotices bounds the notices of one message.
	maxNotices = 64
)

// Watchlist finds requests that crash the upstreams which run them. It is the
// counterpart of Record where no process stands beside the upstreams: a run that
// breaks off is a crash only if its upstream leaves the list soon after, and a
// run to the end clears the request. It is safe for concurrent use.
type Watchlist struct {
	mu      sync.Mutex
	watched map[Fingerprint]*watch
	outbox  []*told
	// size mirrors len(watched), so that requests need no lock while it is empty.
	size atomic.Int64
}

// watch is what is known of one fingerprint.
type watch struct {
	sites map[Process]sighting
	last  time.Time
	// until is the end of the suspension; zero: not suspended.
	until time.Time
}

// sighting is one run that broke off.
type sighting struct {
	at    time.Time
	state sightingState
}

type sightingState int

const (
	pending sightingState = iota
	confirmed
	// cleared runs do not count, but are kept: others may tell of them again.
	cleared
)

// told is a notice that is being told.
type told struct {
	notice Notice
	times  int
	last   time.Time
}

// NewWatchlist returns an empty list.
func NewWatchlist() *Watchlist { return &Watchlist{watched: make(map[Fingerprint]*watch)} }

// FingerprintOf returns the fingerprint of the parts that make requests equal.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		// The length keeps the parts apart.
		size := len(p)
		h.Write([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})
		h.Write(p)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Empty reports, without a lock, that no request is watched.
func (l *Watchlist) Empty() bool { return l.size.Load() == 0 }

// RecordInterruption notes that a run of the request ended without its end at the site.
func (l *Watchlist) RecordInterruption(f Fingerprint, at Process, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.note(f, at, now) {
		l.outbox = append(l.outbox, &told{notice: Notice{Fingerprint: f, Process: at}})
	}
}

// note adds a sighting; the lock is held. It reports whether it is new.
func (l *Watchlist) note(f Fingerprint, at Process, now time.Time) bool {
	w, ok := l.watched[f]
	if !ok {
		if len(l.watched) >= maxWatched {
			return false
		}
		w = &watch{sites: make(map[Process]sighting)}
		l.watched[f] = w
		l.size.Store(int64(len(l.watched)))
	}
	if _, known := w.sites[at]; known {
		return false
	}
	w.sites[at] = sighting{at: now}
	w.last = now
	return true
}

// RecordCompletion notes that the request ran to its end. It reports whether it was watched.
func (l *Watchlist) RecordCompletion(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watched[f]
	if !ok || !w.clear(now) {
		return false
	}
	l.outbox = append(l.outbox, &told{notice: Notice{Fingerprint: f, Completed: true}})
	return true
}

// clear makes all sightings so far count no longer; it reports whether any did.
func (w *watch) clear(now time.Time) bool {
	any := false
	for at, s := range w.sites {
		if s.state != cleared {
			any = true
			w.sites[at] = sighting{at: s.at, state: cleared}
		}
	}
	w.last = now
	return any
}

// Suspended reports whether the request must not run, and for how much longer.
// An arrival extends the suspension.
func (l *Watchlist) Suspended(f Fingerprint, now time.Time) (left time.Duration, suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watched[f]
	if !ok {
		return 0, false
	}
	if now.Before(w.until) {
		w.until, w.last = now.Add(SuspensionDuration), now
		return SuspensionDuration, true
	}
	counted, oldest := w.count()
	if counted < siteLimit {
		return 0, false
	}
	// Not all of them have proved to be crashes yet.
	return max(0, oldest.Add(confirmTime).Sub(now)), true
}

// count returns how many sites may have crashed, and when the first of those
// that are not confirmed was seen.
func (w *watch) count() (n int, oldest time.Time) {
	for _, s := range w.sites {
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

// Suspension is a request that has just been suspended.
type Suspension struct {
	Fingerprint Fingerprint
	Processes   []Process
}

// Settle settles which sightings were crashes and returns the requests that are
// suspended from now on. listed reports whether an upstream is still on the
// list. The list can be read since the given time; while it cannot, the time is
// zero and nothing is settled.
func (l *Watchlist) Settle(now, since time.Time, listed func(Process) bool) []Suspension {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Suspension
	for f, w := range l.watched {
		if now.Sub(w.last) > watchTime {
			delete(l.watched, f)
			continue
		}
		if !since.IsZero() {
			w.settle(now, since, listed)
		}
		if sites := w.confirmedSites(); len(sites) >= siteLimit && w.until.IsZero() {
			w.until, w.last = now.Add(SuspensionDuration), now
			out = append(out, Suspension{Fingerprint: f, Processes: sites})
		}
		if !w.until.IsZero() && !now.Before(w.until) {
			// It may run again, and starts anew.
			w.until = time.Time{}
			w.clear(now)
		}
	}
	l.size.Store(int64(len(l.watched)))
	return out
}

func (w *watch) settle(now, since time.Time, listed func(Process) bool) {
	for at, s := range w.sites {
		if s.state != pending {
			continue
		}
		switch {
		case !listed(at):
			w.sites[at] = sighting{at: s.at, state: confirmed}
		case now.Sub(s.at) > confirmTime && now.Sub(since) > confirmTime:
			w.sites[at] = sighting{at: s.at, state: cleared}
		}
	}
}

func (w *watch) confirmedSites() []Process {
	var out []Process
	for at, s := range w.sites {
		if s.state == confirmed {
			out = append(out, at)
		}
	}
	return out
}

// AddSuspension takes over a suspension that another process found.
func (l *Watchlist) AddSuspension(f Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watched[f]
	if !ok {
		w = &watch{sites: make(map[Process]sighting)}
		l.watched[f] = w
		l.size.Store(int64(len(l.watched)))
	}
	w.until, w.last = now.Add(SuspensionDuration), now
}

// DueNotices returns the notices that are due.
func (l *Watchlist) DueNotices(now time.Time) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Notice
	kept := l.outbox[:0]
	for _, t := range l.outbox {
		if len(out) < maxNotices && (t.times == 0 || now.Sub(t.last) >= tellInterval) {
			out = append(out, t.notice)
			t.times, t.last = t.times+1, now
		}
		if t.times < tellTimes {
			kept = append(kept, t)
		}
	}
	clear(l.outbox[len(kept):])
	l.outbox = kept
	return out
}

// AddNotices takes the notices of another process.
func (l *Watchlist) AddNotices(notices []Notice, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range notices {
		if !n.Completed {
			l.note(n.Fingerprint, n.Process, now)
		} else if w, ok := l.watched[n.Fingerprint]; ok {
			w.clear(now)
		}
	}
}

// Suspensions returns the fingerprints that are suspended.
func (l *Watchlist) Suspensions(now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Fingerprint
	for f, w := range l.watched {
		if now.Before(w.until) {
			out = append(out, f)
		}
	}
	return out
}
