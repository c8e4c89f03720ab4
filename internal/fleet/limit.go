package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/pace"
)

// limitReleaseDelay is how long after its last mention a limit still applies. Answers
// on different connections overtake each other, so one without the limit may be older
// than one with it.
const limitReleaseDelay = time.Second

// namedLimit is the limit that an upstream named last.
type namedLimit struct {
	// perSecond is the number of requests a second that the upstream takes from all
	// gateways together.
	perSecond float64
	// namedAt is the time of the last answer that named a limit; zero if none is in
	// force.
	namedAt time.Time
	// since is the time at which the upstream named a limit after it had named none.
	since time.Time
	// endedAt is the time of the answer that ended the last limit.
	endedAt time.Time
	// pace spreads this gateway's part of the limit over time.
	pace pace.Pace
	// invalid means that the upstream has named a limit that cannot be read.
	invalid bool
}

// RecordLimit records whether an answer of the upstream names a limit on the requests
// of all gateways, and which. It reports whether the limit in force has changed.
func (u *Upstream) RecordLimit(perSecond float64, named bool, now time.Time) (changed bool) {
	perSecond = roundLimit(perSecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	if named {
		return u.limit.set(perSecond, now)
	}
	if u.limit.namedAt.IsZero() || now.Sub(u.limit.namedAt) < limitReleaseDelay {
		return false
	}
	u.limit = namedLimit{endedAt: now}
	return true
}

// roundLimit returns the limit with the precision that processes report it with. The limit
// would seem to change with each report otherwise, and its pace would begin anew.
func roundLimit(perSecond float64) float64 { return float64(float32(perSecond)) }

// RecordReportedLimit records a limit that the upstream named to another process at the
// given time. It reports whether the limit in force has changed.
func (u *Upstream) RecordReportedLimit(perSecond float64, namedAt time.Time) (changed bool) {
	perSecond = roundLimit(perSecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !namedAt.After(u.limit.namedAt) || !namedAt.After(u.limit.endedAt) {
		return false
	}
	return u.limit.set(perSecond, namedAt)
}

// set puts a limit in force that the upstream named at the given time. It reports whether the
// limit has changed.
func (l *namedLimit) set(perSecond float64, namedAt time.Time) (changed bool) {
	if l.namedAt.IsZero() {
		l.since = namedAt
	}
	changed = l.namedAt.IsZero() || l.perSecond != perSecond
	l.perSecond, l.namedAt = perSecond, namedAt
	return changed
}

// RecordReportedLimitEnd records that an answer to another process at the given time named no
// limit any more. It reports whether a limit was in force.
func (u *Upstream) RecordReportedLimitEnd(endedAt time.Time) (changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit.namedAt.IsZero() || endedAt.Sub(u.limit.namedAt) < limitReleaseDelay {
		return false
	}
	u.limit = namedLimit{endedAt: endedAt}
	return true
}

// LimitEnd returns the time of the answer that ended the last limit, and whether there was
// one and none is in force.
func (u *Upstream) LimitEnd() (endedAt time.Time, ended bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.endedAt, u.limit.namedAt.IsZero() && !u.limit.endedAt.IsZero()
}

// RecordInvalidLimit records that the upstream named a limit that cannot be read. It
// reports whether this is the first since the limit in force changed.
func (u *Upstream) RecordInvalidLimit() (first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first = !u.limit.invalid
	u.limit.invalid = true
	return first
}

// Limit returns the limit in force, in requests a second, when the upstream named it
// last, and whether there is one.
func (u *Upstream) Limit() (perSecond float64, namedAt time.Time, limited bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.perSecond, u.limit.namedAt, !u.limit.namedAt.IsZero()
}

// LimitWait returns how long this process must wait before it may send the upstream a
// request: 0 if it may send one now. gateways is the number of processes that share the
// limit.
func (u *Upstream) LimitWait(gateways int, now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limitWait(gateways, now)
}

// limitWait is LimitWait. The caller holds u.mu.
func (u *Upstream) limitWait(gateways int, now time.Time) time.Duration {
	wait := max(0, u.notBefore.Sub(now))
	if u.limit.namedAt.IsZero() {
		return wait
	}
	u.limit.pace.Set(pace.ShareOf(u.limit.perSecond, gateways), rand.Float64(), u.limit.since, now)
	return max(wait, u.limit.pace.Wait(now))
}

// maxRetryAfter limits how long a single answer keeps this process from an upstream.
const maxRetryAfter = 10 * time.Minute

// RecordRetryAfter records that the upstream has turned a request away and wants none from
// this process for the given time.
func (u *Upstream) RecordRetryAfter(after time.Duration, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if until := now.Add(min(after, maxRetryAfter)); until.After(u.notBefore) {
		u.notBefore = until
	}
}

// Admits reports whether this process may send the upstream a request that it has selected
// it for.
func (u *Upstream) Admits(now time.Time) bool {
	if !u.Usable() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return !now.Before(u.notBefore)
}

// TakeLimit reports whether this process may send the upstream a request that consists
// of the given number of calls, and if so counts it.
func (u *Upstream) TakeLimit(calls, gateways int, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limitWait(gateways, now) > 0 {
		return false
	}
	if !u.limit.namedAt.IsZero() {
		u.limit.pace.Take(calls, now)
	}
	return true
}
