package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/url"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// MaxAnswerBytes is the largest size of an answer's body and content type that
	// the ledger keeps.
	MaxAnswerBytes = 256
	// maxKeyLength is the largest length of a caller's key in bytes.
	maxKeyLength = 255
	// commitTimeout limits how long a call waits for the commit of its intent.
	commitTimeout = 2500 * time.Millisecond

	// runningRetryDelay is how long a call waits before it retries its commit when
	// another call with the same key is running. It covers the time between a
	// caller receiving an answer and the ledger recording it, so that a re-sent
	// call gets the recorded answer at once.
	runningRetryDelay = 150 * time.Millisecond

	// The Retry-After values of errors: another call with the key is running, the
	// key-value service is unavailable, or the ledger has no room.
	retryAfterRunning     = time.Second
	retryAfterUnavailable = 2 * time.Second
	retryAfterFull        = time.Minute
)

// NewDigest returns a hash that identifies a request by its parts.
func NewDigest(parts ...[]byte) Digest {
	sum := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		sum.Write(length[:])
		sum.Write(p)
	}
	return Digest(sum.Sum(nil)[:16])
}

// OutcomePath returns the path at which a caller can look up the outcome of its
// key.
func OutcomePath(key string) string { return "/v1/outcomes/" + url.PathEscape(key) }

// Call is a non-repeatable call with an idempotency key.
type Call struct {
	Caller string
	Key    string
	Digest Digest
	// MaxRunTime is how long the work may run.
	MaxRunTime time.Duration
}

// Claim is the right to run the work of a key once. Only the first call of Done,
// Unknown or NotRun takes effect.
type Claim struct {
	ledger *Ledger
	intent Intent
	start  time.Time
	once   sync.Once
}

// Begin commits the intent of a call. It returns a claim when the work may be
// submitted, the kept answer when the work is already done, and otherwise a
// *fault.Error.
func (l *Ledger) Begin(ctx context.Context, c Call) (*Claim, *Answer, error) {
	if !validKey(c.Key) {
		return nil, nil, fault.New(fault.KindMalformedRequest, "send 1 to 255 printable ASCII characters",
			"the Idempotency-Key is malformed").WithParam("Idempotency-Key")
	}
	claim := &Claim{
		ledger: l,
		start:  time.Now(),
		intent: Intent{
			Key:        HashKey(c.Caller, c.Key),
			Digest:     c.Digest,
			Attempt:    newAttempt(),
			State:      Committed,
			MaxRunTime: c.MaxRunTime,
		},
	}
	wctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	res := l.commit(wctx, claim.intent)
	if res.verdict == AlreadyRunning && !res.contested {
		wait.For(ctx, runningRetryDelay)
		res = l.commit(wctx, claim.intent)
	}
	switch {
	case res.verdict == Undetermined, res.verdict == Accepted && ctx.Err() != nil:
		claim.abandon()
		res.verdict = StoreUnavailable
	case res.verdict != Accepted && res.contested:
		claim.abandon()
	}
	return l.toResult(claim, res, c.Key)
}

// commit writes one intent as committed and returns the result.
func (l *Ledger) commit(ctx context.Context, i Intent) opResult {
	return l.write(ctx, shardOf(i.Key), []operation{{intent: i}})[0]
}

// toResult converts the result of a commit to the results of Begin and counts it.
func (l *Ledger) toResult(claim *Claim, res opResult, key string) (*Claim, *Answer, error) {
	switch res.verdict {
	case Accepted:
		l.counters.commits.Add(1)
		return claim, nil, nil
	case AlreadyDone:
		l.counters.replays.Add(1)
		return l.replay(res.intent.Answer, key)
	case AlreadyRunning, OutcomeUnknown, KeyReused:
		l.counters.conflicts.Add(1)
	default:
		l.counters.refused.Add(1)
	}
	return nil, nil, faultFor(res.verdict, key)
}

// replay returns the kept answer of work that is done, or an error if it was not
// kept.
func (l *Ledger) replay(a Answer, key string) (*Claim, *Answer, error) {
	if a.BodyKept {
		return nil, &a, nil
	}
	return nil, nil, fault.New(fault.KindAnswerNotKept, "the work is done; look at "+OutcomePath(key),
		"the service answered %d, and its answer was too large to keep", a.Status).WithOutcome(fault.Ran)
}

// faultFor returns the error for a verdict other than Accepted and AlreadyDone.
func faultFor(v Verdict, key string) *fault.Error {
	switch v {
	case AlreadyRunning:
		return fault.New(fault.KindKeyRunning, "send the request again later, or look at "+OutcomePath(key),
			"a request with this key is running").WithOutcome(fault.Unknown).WithRetryAfter(retryAfterRunning)
	case OutcomeUnknown:
		return fault.New(fault.KindOutcomeUnknown, "check with the service whether the work was done; see "+OutcomePath(key),
			"a request with this key was sent and its outcome is unknown").WithOutcome(fault.Unknown)
	case KeyReused:
		return fault.New(fault.KindKeyReused, "send a new key for a new request",
			"the key belongs to a different request").WithParam("Idempotency-Key")
	case ShardFull:
		return fault.New(fault.KindLedgerFull, "send the request again later, or tell the operator",
			"the ledger has no room").WithRetryAfter(retryAfterFull)
	default:
		return fault.New(fault.KindStoreUnavailable, "send the request again with the same key",
			"the request could not be recorded and was not submitted").WithRetryAfter(retryAfterUnavailable)
	}
}

// validKey reports whether the key has 1 to maxKeyLength printable ASCII characters.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// Valid reports whether the work may still be submitted. A process that was paused
// after the commit must not submit work whose outcome others already report as
// unknown.
func (c *Claim) Valid() bool { return time.Since(c.start) < c.intent.MaxRunTime }

// Done records the upstream's answer. The body is not kept if body and content
// type together exceed MaxAnswerBytes.
func (c *Claim) Done(a Answer) {
	if len(a.Body)+len(a.ContentType) > MaxAnswerBytes {
		a.BodyKept = false
	}
	if !a.BodyKept {
		a.Body, a.ContentType = nil, ""
	}
	c.settle(Done, a)
}

// Unknown records that the call was sent and that its outcome is not known.
func (c *Claim) Unknown() { c.settle(Unknown, Answer{}) }

// NotRun records that the upstream certainly did not receive the call.
func (c *Claim) NotRun() { c.settle(NotRun, Answer{}) }

// settle queues the final state of the claim's intent, unless the claim was settled
// or abandoned before.
func (c *Claim) settle(s State, a Answer) {
	c.once.Do(func() {
		i := c.intent
		i.State, i.Answer = s, a
		c.ledger.outbox.add(operation{isSettlement: true, intent: i})
	})
}

// abandon settles as not run an intent that may be in force, or may still take
// effect, although its call is rejected. Otherwise the key would later be reported
// as unknown.
func (c *Claim) abandon() {
	c.once.Do(func() {
		i := c.intent
		i.State = NotRun
		c.ledger.outbox.add(operation{isSettlement: true, forcesWrite: true, intent: i})
	})
}

// write sends the operations to the shard's preferred writer, and writes them in
// this process when that writer fails. Repeating an operation is harmless.
func (l *Ledger) write(ctx context.Context, shard int, ops []operation) []opResult {
	w := l.writers.preferred(shard)
	if w.Name == l.writers.self.Name {
		return l.writeLocal(ctx, shard, ops)
	}
	results, err := l.writers.send(ctx, w, shard, ops)
	if err == nil && !anyFailed(results) {
		return results
	}
	if ctx.Err() == nil {
		l.logger.Warn("preferred ledger writer failed; writing from this process", "writer", w.Name, "shard", shard, "err", err)
		l.writers.pause(w.Name)
	}
	local := l.writeLocal(ctx, shard, ops)
	for n := range local {
		local[n].contested = true
		if local[n].verdict == StoreUnavailable {
			local[n].verdict = Undetermined
		}
	}
	return local
}

// anyFailed reports whether any operation was not written or has an unknown result.
func anyFailed(results []opResult) bool {
	for _, r := range results {
		if r.verdict == StoreUnavailable || r.verdict == Undetermined {
			return true
		}
	}
	return false
}

// writeLocal writes the operations in this process. Operations whose result has not
// arrived when ctx ends are Undetermined.
func (l *Ledger) writeLocal(ctx context.Context, shard int, ops []operation) []opResult {
	results := make([]opResult, len(ops))
	list := make([]*pendingOp, len(ops))
	for n, o := range ops {
		list[n] = newPendingOp(ctx, o)
		results[n].verdict = Undetermined
	}
	if !l.shards[shard].enqueue(list...) {
		for n := range results {
			results[n].verdict = StoreUnavailable
		}
		return results
	}
	for n, p := range list {
		select {
		case results[n] = <-p.result:
		case <-ctx.Done():
			return results
		}
	}
	return results
}
