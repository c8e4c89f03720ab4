package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureWeight is the weight of one answer in the moving failure share.
	failureWeight = 0.12
	// latencyWeight is the weight of one sample in the moving mean latency.
	latencyWeight = 0.15
)

// Upstream is one instance together with what this process has observed of it.
// The instance is replaced when the list changes; the observations are kept.
type Upstream struct {
	instance atomic.Pointer[Instance]

	// InFlight is the number of requests of this process that the upstream is
	// working on.
	InFlight atomic.Int64
	// PrefillTokens is the number of prompt tokens that this process has sent
	// for prefill and that are not processed yet.
	PrefillTokens atomic.Int64
	// PrefillTokensSent counts all prompt tokens that this process has sent for
	// prefill.
	PrefillTokensSent atomic.Int64
	// removed is set when the instance is no longer on the list.
	removed atomic.Bool
	// saidLeaving is set when the instance has said in an answer that it is leaving.
	saidLeaving atomic.Bool

	mu               sync.Mutex
	failureShare     float64 // moving share of failed requests, from 0 to 1
	latencyMs        float64 // moving mean in milliseconds
	unansweredStreak int     // consecutive requests without an answer
	lastAnswer       time.Time
	avoidUntil       time.Time
	fullUntil        time.Time
	lastFull         time.Time
	// pausedRole is the role for which the upstream gets no new work until
	// pausedUntil.
	pausedRole  Role
	pausedUntil time.Time
	// refusalStreak is the number of consecutive refused requests.
	refusalStreak int
	// notBefore is the time before which the upstream wants no requests of this process.
	notBefore time.Time
	// limit is the limit on the requests of all gateways that the upstream named.
	limit namedLimit
}

// Instance returns the latest description of the instance from the list.
func (u *Upstream) Instance() *Instance { return u.instance.Load() }

// Usable reports whether the upstream may get new work.
func (u *Upstream) Usable() bool {
	return !u.removed.Load() && !u.saidLeaving.Load() && !u.instance.Load().Leaving
}

// RecordLeaving records that the instance has said in an answer that it is leaving. That
// holds for the rest of this incarnation, whatever the list says. It reports whether it
// was not known.
func (u *Upstream) RecordLeaving() (first bool) { return u.saidLeaving.CompareAndSwap(false, true) }

// SaidLeaving reports whether the instance has said in an answer that it is leaving.
func (u *Upstream) SaidLeaving() bool { return u.saidLeaving.Load() }

// Removed reports whether the instance is no longer on the list.
func (u *Upstream) Removed() bool { return u.removed.Load() }

// RecordSuccess records an answer without an error and d as its latency: for an
// answer that is read whole, the time until its end; for a plain stream, the time
// until its head; for a decode, the time until its first event; and for a prefill,
// the time that it took.
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

// RecordError records an answer that reports an error of the upstream itself.
func (u *Upstream) RecordError() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureShare += (1 - u.failureShare) * failureWeight
	u.unansweredStreak = 0
	u.lastAnswer = time.Now()
}

// AnsweredSince reports whether the upstream has answered any request of this
// process since t. If it has, a request without an answer may just take long.
func (u *Upstream) AnsweredSince(t time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastAnswer.After(t)
}

// RecordUnreachable records a request without an answer. The upstream is
// avoided for the pause, which is multiplied by the number of consecutive
// requests without an answer, up to maxPauseFactor.
func (u *Upstream) RecordUnreachable(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureShare += (1 - u.failureShare) * failureWeight
	u.unansweredStreak++
	u.avoidUntil = now.Add(pause * time.Duration(min(u.unansweredStreak, maxPauseFactor)))
}

// maxPauseFactor limits the growth of the pause after consecutive requests
// without an answer.
const maxPauseFactor = 4

// RecordFull records that the upstream refused work because it has no free
// capacity. The upstream counts as full for the pause.
func (u *Upstream) RecordFull(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fullUntil, u.lastFull = now.Add(pause), now
}

// RecordNoConnection records that all connections that this process may open to the
// upstream are in use. The upstream counts as full for the pause.
func (u *Upstream) RecordNoConnection(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fullUntil = now.Add(pause)
}

// FullSince reports whether the upstream has refused work for lack of capacity since t.
func (u *Upstream) FullSince(t time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastFull.After(t)
}

// PauseRole keeps new work from the upstream until the given time, or until it
// no longer has the role.
func (u *Upstream) PauseRole(role Role, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pausedRole, u.pausedUntil = role, until
}

const (
	// initialRefusalPause and maxRefusalPause limit the pause after consecutive
	// refusals. Each refusal doubles it.
	initialRefusalPause = 700 * time.Millisecond
	maxRefusalPause     = 6 * time.Second
)

// RecordRefusal records that the upstream refused work that it should have
// accepted. The second consecutive refusal pauses the upstream. If certain is
// set, the refusal proves that the upstream does not do such work at present,
// and already the first one pauses it.
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

// maxPauseDoublings limits the shift of initialRefusalPause so that it cannot
// overflow.
const maxPauseDoublings = 8

// PauseRemaining returns how much longer the upstream is paused; 0 if it is
// not.
func (u *Upstream) PauseRemaining(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Instance().Role != u.pausedRole {
		return 0
	}
	return max(0, u.pausedUntil.Sub(now))
}

// Health is a snapshot of the observations of an upstream.
type Health struct {
	// FailureShare is the moving share of failed requests, from 0 to 1.
	FailureShare float64
	// LatencyMs is the mean latency in milliseconds; 0 before the first success.
	LatencyMs float64
	// Avoid reports that the upstream recently did not answer.
	Avoid bool
	// Paused upstreams get no new work, because they change their role or
	// refused work.
	Paused bool
	// Full reports that the upstream recently refused work for lack of capacity.
	Full bool
}

// Health returns the observations at the given time.
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
