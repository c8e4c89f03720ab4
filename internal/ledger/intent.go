// Package ledger records the intents of non-repeatable calls with an idempotency
// key, so that each call runs at most once and its caller can look up the outcome
// afterwards.
//
// An intent is committed to the key-value service by compare-and-swap before the
// upstream receives the call, and settled after the upstream has answered. Keys
// are hashed to a few shards. A shard consists of one bounded value, its head, and
// a list of immutable segments to which settled intents are moved when the head
// grows. One entry is the preferred writer of a shard and writes many intents at
// once. Correctness depends only on the compare-and-swap, so any entry may write.
package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"time"
)

// Retention is how long a key is kept.
const Retention = 24 * time.Hour

// State is the state of an intent.
type State uint8

// The states of an intent.
const (
	// Committed means that the work may be running.
	Committed State = iota + 1
	// Done means that the upstream answered.
	Done
	// Unknown means that the call was sent and that it is not known whether it
	// ran.
	Unknown
	// NotRun means that the upstream certainly did not receive the call.
	NotRun
)

// String returns the name of the state as it is reported to callers.
func (s State) String() string {
	switch s {
	case Committed:
		return "running"
	case Done:
		return "done"
	case Unknown:
		return "unknown"
	case NotRun:
		return "not-run"
	default:
		return "unspecified"
	}
}

// KeyHash identifies a caller's key without revealing it.
type KeyHash [16]byte

// HashKey hashes a caller's key. Equal keys of different callers have different
// hashes.
func HashKey(caller, key string) KeyHash {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return KeyHash(sum[:16])
}

// Digest identifies the request that a key was first used for.
type Digest [16]byte

// Attempt identifies one attempt to run the work of a key. It makes repeated
// writes of the same operation idempotent.
type Attempt [12]byte

func newAttempt() Attempt {
	var a Attempt
	_, _ = rand.Read(a[:]) // crypto/rand.Read never fails
	return a
}

// Answer is the response of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyKept is false when the body was too large to keep.
	BodyKept bool
}

// Intent records one non-repeatable operation of one caller.
type Intent struct {
	Key     KeyHash
	Digest  Digest
	Attempt Attempt
	State   State
	// CommittedAt is the shard's clock at the commit.
	CommittedAt Clock
	// MaxRunTime is how long the work may run. After it, a Committed intent reads
	// as Unknown, because the entry that committed it must have died.
	MaxRunTime time.Duration
	Answer     Answer
}

// Clock is the age of a shard in milliseconds. It advances only by time that a
// writer measured with its monotonic clock. It may therefore fall behind real time
// but never runs ahead of it, so that a step of the system clock cannot expire a
// key early.
type Clock uint64

func (c Clock) plus(d time.Duration) Clock { return c + Clock(max(0, d.Milliseconds())) }

// since returns the time from then to c, or 0 if then is later.
func (c Clock) since(then Clock) time.Duration {
	if c < then {
		return 0
	}
	return time.Duration(c-then) * time.Millisecond
}

// StateAt returns the state at the time now. An entry that died leaves its intent
// Committed. Whether the work ran is then unknown, so the state is never reported
// as not run.
func (i Intent) StateAt(now Clock) State {
	if i.State == Committed && now.since(i.CommittedAt) > i.MaxRunTime {
		return Unknown
	}
	return i.State
}

// expired reports whether the retention period has passed since the commit.
func (i Intent) expired(now Clock) bool { return now.since(i.CommittedAt) >= Retention }

// Verdict is the result of an operation on an intent.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that the operation is in force.
	Accepted Verdict = iota + 1
	// AlreadyDone means that the work is done and its answer can be replayed.
	AlreadyDone
	// AlreadyRunning means that another attempt may be running.
	AlreadyRunning
	// OutcomeUnknown means that the outcome of an earlier attempt is unknown.
	OutcomeUnknown
	// KeyReused means that the key belongs to a different request.
	KeyReused
	// Stale means that the operation's own attempt is no longer in force.
	Stale
	// ShardFull means that the shard has no space for another intent.
	ShardFull
	// StoreUnavailable means that the key-value service is unavailable and nothing was written.
	StoreUnavailable
	// Undetermined means that the operation may or may not be in force.
	Undetermined
)

// commit decides whether the intent want may replace prior, which is nil when the
// key is free or has expired.
func commit(prior *Intent, want Intent, now Clock) Verdict {
	if prior == nil {
		return Accepted
	}
	if prior.Digest != want.Digest {
		return KeyReused
	}
	own := prior.Attempt == want.Attempt
	switch prior.StateAt(now) {
	case NotRun:
		if own {
			// The attempt was abandoned before this write of its commit took
			// effect.
			return Stale
		}
		return Accepted
	case Done:
		return AlreadyDone
	case Committed:
		if own {
			return Accepted
		}
		return AlreadyRunning
	default:
		return OutcomeUnknown
	}
}

// settle decides whether the attempt of want may record its outcome. Any attempt
// may settle a key as NotRun that is free or already not run. That write blocks a
// delayed commit of the same attempt, which would otherwise be reported as unknown
// although its call was rejected.
func settle(prior *Intent, want Intent) Verdict {
	if prior == nil {
		if want.State == NotRun {
			return Accepted
		}
		return Stale
	}
	if prior.State == NotRun && want.State == NotRun && prior.Attempt != want.Attempt {
		return Accepted
	}
	if prior.Attempt != want.Attempt || prior.State != Committed {
		return Stale
	}
	return Accepted
}
