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
	// MaxAnswerBytes is the size up to which an answer's body is kept.
	MaxAnswerBytes = 256
	// maxKeyLength bounds a caller's key in bytes.
	maxKeyLength = 255
	// commitTimeout bounds how long a call waits for its intent.
	commitTimeout = 2500 * time.Millisecond

	// resendWait is how long a call waits for the answer of a running call with
	// its key. It covers the time in which an answer that its caller has
	// received is not recorded yet, so that a re-sent call gets it at once.
	resendWait = 150 * time.Millisecond

	retryRunning = time.Second
	retryDown    = 2 * time.Second
	retryFull    = time.Minute
)

// NewDigest identifies a request by its parts.
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

// OutcomePath is the address at which a caller looks up its key.
func OutcomePath(key string) string { return "/v1/outcomes/" + url.PathEscape(key) }

// Call is a keyed non-repeatable call.
type Call struct {
	Caller string
	Key    string
	Digest Digest
	// Limit is how long the work may run.
	MaxRunTime time.Duration
}

// Claim is the right to run the work of a key once. Exactly one of Done,
// Unknown and NotRun takes effect.
type Claim struct {
	ledger *Ledger
	intent Intent
	began  time.Time
	once   sync.Once
}

// Begin commits the intent of a call. It returns a claim when the work may be
// submitted, the kept answer when it has been done, and otherwise a fault.Error.
func (l *Ledger) Begin(ctx context.Context, c Call) (*Claim, *Answer, error) {
	if !validKey(c.Key) {
		return nil, nil, fault.New(fault.KindMalformedRequest, "send 1 to 255 printable ASCII characters",
			"the Idempotency-Key is malformed").WithParam("Idempotency-Key")
	}
	claim := &Claim{
		ledger: l,
		began:  time.Now(),
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
	if res.verdict == AlreadyRunning && !res.disputed {
		wait.For(ctx, resendWait)
		res = l.commit(wctx, claim.intent)
	}
	switch {
	case res.verdict == Undetermined, res.verdict == Accepted && ctx.Err() != nil:
		claim.giveUp()
		res.verdict = StoreUnavailable
	case res.verdict != Accepted && res.disputed:
		claim.giveUp()
	}
	return l.conclude(claim, res, c.Key)
}

func (l *Ledger) commit(ctx context.Context, i Intent) outcome {
	return l.write(ctx, shardOf(i.Key), []operation{{intent: i}})[0]
}

func (l *Ledger) conclude(claim *Claim, res outcome, key string) (*Claim, *Answer, error) {
	switch res.verdict {
	case Accepted:
		l.counts.commits.Add(1)
		return claim, nil, nil
	case AlreadyDone:
		l.counts.replays.Add(1)
		return l.replay(res.intent.Answer, key)
	case AlreadyRunning, OutcomeUnknown, KeyReused:
		l.counts.conflicts.Add(1)
	default:
		l.counts.refused.Add(1)
	}
	return nil, nil, refusal(res.verdict, key)
}

func (l *Ledger) replay(a Answer, key string) (*Claim, *Answer, error) {
	if a.BodyKept {
		return nil, &a, nil
	}
	return nil, nil, fault.New(fault.KindAnswerNotKept, "the work is done; look at "+OutcomePath(key),
		"the service answered %d, and its answer was too large to keep", a.Status).WithOutcome(fault.Ran)
}

func refusal(v Verdict, key string) *fault.Error {
	switch v {
	case AlreadyRunning:
		return fault.New(fault.KindKeyRunning, "send the request again later, or look at "+OutcomePath(key),
			"a request with this key is running").WithOutcome(fault.Unknown).WithRetryAfter(retryRunning)
	case OutcomeUnknown:
		return fault.New(fault.KindOutcomeUnknown, "check with the service whether the work was done; see "+OutcomePath(key),
			"a request with this key was sent and its outcome is unknown").WithOutcome(fault.Unknown)
	case KeyReused:
		return fault.New(fault.KindKeyReused, "send a new key for a new request",
			"the key belongs to a different request").WithParam("Idempotency-Key")
	case ShardFull:
		return fault.New(fault.KindLedgerFull, "send the request again later, or tell the operator",
			"the ledger has no room").WithRetryAfter(retryFull)
	default:
		return fault.New(fault.KindStoreUnavailable, "send the request again with the same key",
			"the request could not be recorded and was not submitted").WithRetryAfter(retryDown)
	}
}

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

// Valid reports whether the work may still be submitted. A process that was
// paused after the commit must not submit work that others call unknown.
func (c *Claim) Valid() bool { return time.Since(c.began) < c.intent.MaxRunTime }

// Done records the upstream's answer. A body over MaxAnswerBytes is not kept.
func (c *Claim) Done(a Answer) {
	if len(a.Body)+len(a.ContentType) > MaxAnswerBytes {
		a.BodyKept = false
	}
	if !a.BodyKept {
		a.Body, a.ContentType = nil, ""
	}
	c.settle(Done, a)
}

// Unknown records that the call was sent and its outcome is not known.
func (c *Claim) Unknown() { c.settle(Unknown, Answer{}) }

// NotRun records that the upstream certainly never saw the call.
func (c *Claim) NotRun() { c.settle(NotRun, Answer{}) }

func (c *Claim) settle(s State, a Answer) {
	c.once.Do(func() {
		i := c.intent
		i.State, i.Answer = s, a
		c.ledger.outbox.add(operation{settles: true, intent: i})
	})
}

// giveUp settles an intent that may be in force, or take effect late, although
// its call is refused. Without it the key would later read as unknown.
func (c *Claim) giveUp() {
	c.once.Do(func() {
		i := c.intent
		i.State = NotRun
		c.ledger.outbox.add(operation{settles: true, proves: true, intent: i})
	})
}

// write has the operations written by the preferred writer, or by this process
// when the writer fails. Repeating an operation is harmless.
func (l *Ledger) write(ctx context.Context, shard int, ops []operation) []outcome {
	w := l.writers.preferred(shard)
	if w.Name == l.writers.self.Name {
		return l.writeLocal(ctx, shard, ops)
	}
	results, err := l.writers.send(ctx, w, shard, ops)
	if err == nil && !anyFailed(results) {
		return results
	}
	if ctx.Err() == nil {
		l.logger.Warn("ledger writer failed; writing directly", "writer", w.Name, "shard", shard, "err", err)
		l.writers.pause(w.Name)
	}
	local := l.writeLocal(ctx, shard, ops)
	for n := range local {
		local[n].disputed = true
		if local[n].verdict == StoreUnavailable {
			local[n].verdict = Undetermined
		}
	}
	return local
}

func anyFailed(results []outcome) bool {
	for _, r := range results {
		if r.verdict == StoreUnavailable || r.verdict == Undetermined {
			return true
		}
	}
	return false
}

func (l *Ledger) writeLocal(ctx context.Context, shard int, ops []operation) []outcome {
	results := make([]outcome, len(ops))
	list := make([]*pending, len(ops))
	for n, o := range ops {
		list[n] = newPending(ctx, o)
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
