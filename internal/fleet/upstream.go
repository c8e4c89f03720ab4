package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// errorDecay is the weight of one answer in the failure share.
	errorDecay = 0.12
	// latencyDecay is the weight of one sample in the mean latency.
	latencyDecay = 0.15
)

// Upstream is one instance and what this process observed of it. Its facts from
// the list are replaced as a whole; observations survive that.
type Upstream struct {
	facts atomic.Pointer[Instance]

	// InFlight counts the requests of this process that the upstream works on.
	InFlight atomic.Int64
	// PrefillTokens counts the prompt tokens that this process sent for prefill
	// and that are not read yet.
	PrefillTokens atomic.Int64
	// removed is set once the instance has left the list.
	removed atomic.Bool

	mu        sync.Mutex
	failures  float64 // moving share of failed requests, 0 to 1
	latency   float64 // moving mean, in ms
	silentSeq int     // consecutive requests without any answer
	answered  time.Time
	avoidTill time.Time
	fullTill  time.Time
	// restRole is the role that the instance gives up, until restTill at most.
	restRole Role
	restTill time.Time
	// refusals counts requests refused in a row.
	refusals int
}

// Instance returns what the list says of the instance.
func (u *Upstream) Instance() *Instance { return u.facts.Load() }

// Usable reports whether the upstream may get new work.
func (u *Upstream) Usable() bool { return !u.removed.Load() && !u.facts.Load().Leaving }

// Removed reports whether the instance has left the list.
func (u *Upstream) Removed() bool { return u.removed.Load() }

// RecordSuccess records a complete answer after d.
func (u *Upstream) RecordSuccess(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures -= u.failures * errorDecay
	u.silentSeq, u.refusals = 0, 0
	u.answered = time.Now()
	ms := float64(d) / float64(time.Millisecond)
	if u.latency == 0 {
		u.latency = ms
		return
	}
	u.latency += (ms - u.latency) * latencyDecay
}

// RecordError records an answer that is an error of the upstream's own.
func (u *Upstream) RecordError() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures += (1 - u.failures) * errorDecay
	u.silentSeq = 0
	u.answered = time.Now()
}

// AnsweredSince reports whether the upstream answered any request of this
// process since t: one that got no answer may then just take long.
func (u *Upstream) AnsweredSince(t time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answered.After(t)
}

// RecordUnreachable records a request that got no answer and keeps the upstream out
// of the choice for the pause; it grows while nothing answers.
func (u *Upstream) RecordUnreachable(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures += (1 - u.failures) * errorDecay
	u.silentSeq++
	u.avoidTill = now.Add(pause * time.Duration(min(u.silentSeq, maxPauseFactor)))
}

// maxPauseFactor bounds the growth of the pause after failures in a row.
const maxPauseFactor = 4

// RecordFull records that the upstream refused work for lack of room.
func (u *Upstream) RecordFull(now time.Time, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fullTill = now.Add(pause)
}

// PauseRole keeps the upstream from new work until it no longer has the role, or the
// time is over.
func (u *Upstream) PauseRole(role Role, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restRole, u.restTill = role, until
}

const (
	// firstRest and longestRest bound the rest after refusals in a row; it doubles.
	firstRest   = 700 * time.Millisecond
	longestRest = 6 * time.Second
)

// RecordRefusal records that the upstream refused work that it should have taken. A
// second refusal in a row keeps new work away for a while, or a first one if it
// proves that the upstream does not do such work now.
func (u *Upstream) RecordRefusal(now time.Time, certain bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusals++
	step := u.refusals
	if !certain {
		step--
	}
	if step <= 0 {
		return
	}
	rest := min(longestRest, firstRest<<min(step-1, maxRestDoublings))
	if till := now.Add(rest); till.After(u.restTill) || u.restRole != u.Instance().Role {
		u.restRole, u.restTill = u.Instance().Role, till
	}
}

// maxRestDoublings keeps the shift of firstRest in range.
const maxRestDoublings = 8

// PauseRemaining returns how much longer the upstream rests; 0 if it does not.
func (u *Upstream) PauseRemaining(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Instance().Role != u.restRole {
		return 0
	}
	return max(0, u.restTill.Sub(now))
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
		FailureShare: u.failures,
		LatencyMs:    u.latency,
		Avoid:        now.Before(u.avoidTill),
		Paused:       now.Before(u.restTill) && u.Instance().Role == u.restRole,
		Full:         now.Before(u.fullTill),
	}
}
