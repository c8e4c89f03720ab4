// Package contact tracks whether a remote service has been absent.
//
// A failed call or a broken connection does not prove that a service was absent: new
// connections to it may work. A Tracker therefore records only when the service was in
// contact, on any connection. A longer time without any contact is a gap.
package contact

import (
	"sync"
	"time"
)

// MaxPause is the longest time between two contacts that is no gap.
const MaxPause = 2 * time.Second

// Gap is a time without contact. Both ends are zero if there was none.
type Gap struct{ Start, End time.Time }

// Tracker records contacts with one service. It is safe for concurrent use, and its zero
// value has had no contact yet.
type Tracker struct {
	mu sync.Mutex
	// since is the first contact after the last gap, and last the latest one.
	since, last time.Time
	gap         Gap
}

// Observe records that the service answered at the given time.
func (t *Tracker) Observe(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.IsZero() {
		t.since = now
	} else if now.Sub(t.last) > MaxPause {
		t.gap = Gap{Start: t.last, End: now}
		t.since = now
	}
	if now.After(t.last) {
		t.last = now
	}
}

// LastGap returns the latest gap that has ended.
func (t *Tracker) LastGap() Gap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gap
}

// Uninterrupted returns for how long the service has been in contact without a gap; 0 if
// it is not in contact now.
func (t *Tracker) Uninterrupted(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.IsZero() || now.Sub(t.last) > MaxPause {
		return 0
	}
	return now.Sub(t.since)
}
