package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureWeight is the weight of one answer in the failure share.
	failureWeight = 0.12
	// latencyWeight is the weight of one sample in the mean latency.
	latencyWeight = 0.15
)

// Upstream is one instance and what this process observed of it. Its facts from
// the list are replaced as a whole; observations survive that.
type Upstream struct {
	instance atomic.Pointer[Instance]

	// InFlight counts the requests of this process that the upstream works on.
	InFlight atomic.Int64
	// PrefillTokens counts the prompt tokens that this process sent for prefill
	// and that are not read yet.
	PrefillTokens atomic.Int64
	// removed is set once the instance has left the list.
	removed atomic.Bool

	mu               sync.Mutex
	failureShare     float64 // moving share of failed requests, 0 to 1
	latencyMs        float64 // moving mean, in ms
	unansweredStreak int     // consecutive requests without any answer
	lastAnswer       time.Time
	avoidUntil       time.Time
	fullUntil        time.Time
	// restRole is the role that the instance gives up, until restTill at most.
	pausedRole  Role
	pausedUntil time.Time
	// refusals counts requests refused in a row.
	refusalStreak int
}

// Instance returns what the list says of the instance.
func (u *Upstream) Instance() *Instance { return u.instance.Load() }

// Usable reports whether the upstream may get new work.
func (u *Upstream) Usable() bool { return !u.removed.Load() && !u.instance.Load().Leaving }

// Removed reports whether the instance has left the list.
func (u *Upstream) Removed() bool { return u.removed.Load() }

// RecordSuccess records a complete answer after d.
func (u *Upstream) RecordSuccess(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureShare -= u.failureShare * failureWeight
	u.unansweredStreak, u.refusalStreak = 0, 0
	u.lastAnswer = time.Now()
	ms := float64(d) / float64(time.Millisecond)
	if u.latencyMs == 0 {
		u.latencyMs = ms
		return
	}
	u.latencyMs += (ms - u.latencyMs) * latencyWeight
}

// RecordError records an answer that is an error of the upstream's own.
func (u *Upstream) RecordError() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureShare += (1 - u.failureShare) * failureWeight
	u.unansweredStreak = 0
	u.lastAnswer = time.Now()
}

// AnsweredSince reports whether the upstream answered any request of this
// process since t: one that got no answer may then just take long.
func (u *Upstream) AnsweredSince(t time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastAnswer.After(t)
}

// RecordUnreachable records a request that got no answer and keeps the upstream out
// of the choice for the pause; it grows while nothing answers.
func (u *Upstream) RecordUnreachable(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureShare += (1 - u.failureShare) * failureWeight
	u.unansweredStreak++
	u.avoidUntil = now.Add(pause * time.Duration(min(u.unansweredStreak, maxPauseFactor)))
}

// maxPauseFactor bounds the growth of the pause after failures in a row.
const maxPauseFactor = 4

// RecordFull records that the upstream refused work for lack of room.
func (u *Upstream) RecordFull(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fullUntil = now.Add(pause)
}

// PauseRole keeps the upstream from new work until it no longer has the role, or the
// time is over.
func (u *Upstream) PauseRole(role Role, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pausedRole, u.pausedUntil = role, until
}

const (
	// initialRefusalPause and longestRest bound the rest after refusals in a row; it doubles.
	initialRefusalPause = 700 * time.Millisecond
	maxRefusalPause     = 6 * time.Second
)

// RecordRefusal records that the upstream refused work that it should have taken. A
// second refusal in a row keeps new work away for a while, or a first one if it
// proves that the upstream does not do such work now.
func (u *Upstream) RecordRefusal(now time.Time, certain bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusalStreak++
	streak := u.refusalStreak
	if !certain {
		streak--
	}
	if streak <= 0 {
		return
	}
	pause := min(maxRefusalPause, initialRefusalPause<<min(streak-1, maxPauseDoublings))
	if until := now.Add(pause); until.After(u.pausedUntil) || u.pausedRole != u.Instance().Role {
		u.pausedRole, u.pausedUntil = u.Instance().Role, until
	}
}

// maxPauseDoublings keeps the shift of firstRest in range.
const maxPauseDoublings = 8

// PauseRemaining returns how much longer the upstream rests; 0 if it does not.
func (u *Upstream) PauseRemaining(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Instance().Role != u.pausedRole {
		return 0
	}
	return max(0, u.pausedUntil.Sub(now))
}

// Health is a view of the observations at one moment.
type Health struct {
	FailureShare float64
	LatencyMs    float64
	Avoid        bool
	// Resting upstreams change their role and get no new work.
	Paused bool
	Full   bool
}

// Health returns the observations as of now.
func (u *Upstream) Health(now time.Time) Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Health{
		FailureShare: u.failureShare,
		LatencyMs:    u.latencyMs,
		Avoid:        now.Before(u.avoidUntil),
		Paused:       now.Before(u.pausedUntil) && u.Instance().Role == u.pausedRole,
		Full:         now.Before(u.fullUntil),
	}
}
