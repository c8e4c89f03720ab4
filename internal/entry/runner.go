package entry

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/internal/wait"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// reservationsPerStep is how many sidecars a request asks at once; the first
	// grant wins, which evens out queues that the entry knows late.
	reservationsPerStep = 2
	// escalateAfter is the wait after which a request asks further sidecars. A
	// caller that waits at few loses against one that waits at all.
	escalateAfter = 50 * time.Millisecond
	// maxAttempts bounds the attempts of one request after failures.
	maxAttempts = 8
	// maxPrefillsPerAttempt bounds the prefill upstreams tried under one reservation.
	maxPrefillsPerAttempt = 3
	retryDelay            = 100 * time.Millisecond
	maxRetryDelay         = 2 * time.Second
)

// attemptError ends an attempt that another attempt can follow.
type attemptError struct {
	upstream string
	kind     wire.FailureKind
	detail   string
}

func (e *attemptError) Error() string {
	return "attempt failed at " + e.upstream + ": " + e.kind.String() + ": " + e.detail
}

// errFinished ends a request whose answer is complete.
var errFinished = errors.New("answer complete")

// runner carries one request through its attempts. All events of its streams
// arrive in one inbox and are handled by one goroutine, so that its state
// needs no lock.
type runner struct {
	entry *Entry
	req   *Request
	out   *answer
	snap  *config.Snapshot
	ctx   context.Context
	inbox *inbox

	candidates []target
	pending    []*decodeConn
	offered    []target    // candidates of this attempt, also those asked already
	followed   bool        // this attempt gave a reservation back to join its copies
	decode     *decodeConn // holds the granted reservation
	charged    float64     // cost noted for that reservation
	refusals   []*wire.Refused
	wasGranted bool
	accepted   bool // an engine may have begun work; the request is owed its answer

	prefill      *prefillConn
	ready        *wire.Ready // the output that the prefill stream holds
	prefillTried map[string]bool
	prefillBegan time.Time
	prefillMoves int
	imports      int // failed imports of this attempt
	starting     bool
	source       string           // prefill upstream of the last transfer
	stalled      map[string]bool  // sources of which a transfer failed
	prefillTime  time.Duration    // estimate from the grant until the import can begin
	tick         <-chan time.Time // time to ask further sidecars; nil when there are none

	unsuspected atomic.Bool     // an attempt runs that began before any crash was known
	crashSeen   bool            // a crash of this attempt is to be shared
	avoid       map[string]bool // upstreams at which an attempt of this request failed
}

func (e *Entry) newRunner(ctx context.Context, req *Request, out *answer, snap *config.Snapshot) *runner {
	return &runner{
		entry:   e,
		req:     req,
		out:     out,
		snap:    snap,
		ctx:     ctx,
		inbox:   newInbox(),
		avoid:   make(map[string]bool),
		stalled: make(map[string]bool),
	}
}

// run returns nil when the caller has the whole answer.
func (r *runner) run() error {
	defer r.closeAll("request ended")
	r.entry.copies.join(r)
	defer r.entry.copies.leave(r)
	delay := retryDelay
	for {
		if err := r.checkQuarantine(); err != nil {
			return err
		}
		r.unsuspected.Store(!r.req.Suspect)
		err := r.attempt()
		r.unsuspected.Store(false)
		if errors.Is(err, errFinished) {
			r.acquit()
			r.entry.copies.proved(r)
			return nil
		}
		var failed *attemptError
		if !errors.As(err, &failed) || r.ctx.Err() != nil {
			return err
		}
		if err := r.planRetry(failed); err != nil {
			return err
		}
		if !r.entry.retries.allow(r.snap.Policy.RetryBudget, r.req.Caller.Name, failed.upstream) {
			delay = maxRetryDelay
		}
		r.shareCrash()
		if !wait.For(r.ctx, delay) {
			return context.Cause(r.ctx)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (r *runner) attempt() error {
	n := r.req.NextAttempt()
	r.prefillTried = make(map[string]bool)
	r.refusals = nil
	r.starting = false
	r.imports = 0
	defer r.closeReservations("attempt ended")
	r.candidates = r.entry.decodeCandidates(r.snap, r.req, r.avoid)
	if len(r.candidates) == 0 && len(r.avoid) > 0 {
		clear(r.avoid)
		r.candidates = r.entry.decodeCandidates(r.snap, r.req, r.avoid)
	}
	r.offered, r.followed = slices.Clone(r.candidates), false
	r.record("attempt", "", "")
	r.prefillTime = r.entry.prefillTime(r.snap, r.req)
	r.escalate()
	if err := r.checkPending(); err != nil {
		return err
	}
	escalation := time.NewTicker(escalateAfter)
	defer escalation.Stop()
	r.tick = escalation.C
	for r.req.Attempt() == n {
		ev, err := r.inbox.next(r.ctx, r.tick)
		switch {
		case errors.Is(err, errTick):
			r.escalate()
			continue
		case err != nil:
			return err
		}
		if err := r.handle(ev); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) handle(ev event) error {
	switch {
	case ev.suspected:
		return r.nowSuspected()
	case ev.decodeConn != nil && ev.decodeConn.closed, ev.prefillConn != nil && ev.prefillConn.closed:
		return nil
	case ev.decodeConn != nil && ev.err != nil:
		return r.decodeEnded(ev.decodeConn, ev.err)
	case ev.decodeConn != nil:
		return r.decodeFrame(ev.decodeConn, ev.decodeReply)
	case ev.err != nil:
		return r.prefillEnded(ev.prefillConn, ev.err)
	default:
		return r.prefillFrame(ev.prefillConn, ev.prefillReply)
	}
}

func (r *runner) decodeEnded(c *decodeConn, err error) error {
	if c == r.decode {
		return r.failAttempt(c.target.upstream, wire.FailureKind_FAILURE_ENGINE_LOST, endDetail(err))
	}
	r.record("reserve-failed", c.target.upstream, err.Error())
	r.refusals = append(r.refusals, &wire.Refused{Kind: wire.RefusalKind_REFUSAL_ENGINE_DOWN, Detail: err.Error()})
	r.dropPending(c, "stream failed")
	r.reserveNext()
	return r.checkPending()
}

func endDetail(err error) string {
	if errors.Is(err, io.EOF) {
		return "the sidecar closed the stream"
	}
	return err.Error()
}

func (r *runner) decodeFrame(c *decodeConn, m *wire.DecodeReply) error {
	r.entry.noteLoad(c.target, m.Load)
	switch b := m.Body.(type) {
	case *wire.DecodeReply_Granted:
		return r.granted(c, b.Granted)
	case *wire.DecodeReply_Refused:
		return r.refused(c, b.Refused)
	case *wire.DecodeReply_Imported:
		r.record("imported", c.target.upstream, "")
		r.releasePrefill("imported")
	case *wire.DecodeReply_Tokens:
		return r.tokens(b.Tokens)
	case *wire.DecodeReply_Done:
		return r.done(c, b.Done)
	case *wire.DecodeReply_Failed:
		return r.decodeFailed(c, b.Failed)
	}
	return nil
}

func (r *runner) decodeFailed(c *decodeConn, f *wire.Failed) error {
	if c != r.decode {
		return r.decodeEnded(c, errors.New(f.Detail))
	}
	if again, err := r.importAgain(c, f.Kind); again {
		return err
	}
	if f.Kind == wire.FailureKind_FAILURE_ENGINE_LOST {
		return r.crashed(c.target.upstream)
	}
	return r.failAttempt(c.target.upstream, f.Kind, f.Detail)
}

func (r *runner) failAttempt(upstream string, kind wire.FailureKind, detail string) error {
	r.record("attempt-failed", upstream, kind.String()+" "+detail)
	return &attemptError{upstream: upstream, kind: kind, detail: detail}
}

// planRetry decides whether another attempt follows a failed one.
func (r *runner) planRetry(f *attemptError) error {
	waits := f.kind == wire.FailureKind_FAILURE_PREEMPTED
	if f.upstream != "" && !waits {
		r.avoid[f.upstream] = true
	}
	if f.kind == wire.FailureKind_FAILURE_TRANSFER {
		r.changeSource()
	}
	if r.req.Delivered() > 0 {
		// The held output covers the prompt only; what was delivered has to be
		// computed again with it.
		r.releasePrefill("resume")
	}
	if !waits && int(r.req.Attempt()) >= maxAttempts {
		return fault.New(fault.KindUpstreamFailed, "send the request again later",
			"the request failed on %d upstreams", r.req.Attempt()).WithOutcome(fault.Unknown).WithCause(f)
	}
	r.entry.limited.Log(log.WarnLevel, "retry/"+f.kind.String(), "attempt failed; trying another upstream",
		"request", r.req.ID, "attempt", r.req.Attempt(), "upstream", f.upstream, "kind", f.kind.String(), "detail", f.detail)
	return nil
}

func (r *runner) closeAll(reason string) {
	r.closeReservations(reason)
	r.releasePrefill(reason)
}

func (r *runner) record(kind, upstream, detail string) {
	r.entry.events.Record(r.req.ID, telemetry.Event{
		Attempt:  r.req.Attempt(),
		Kind:     kind,
		Upstream: upstream,
		Detail:   detail,
	})
}
