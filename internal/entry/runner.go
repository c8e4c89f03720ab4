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
	entry    *Entry
	req      *Request
	response *responseWriter
	snap     *config.Snapshot
	ctx      context.Context
	queue    *eventQueue

	candidates        []target
	pending           []*decodeConn
	allCandidates     []target    // candidates of this attempt, also those asked already
	movedToDuplicates bool        // this attempt gave a reservation back to join its copies
	decode            *decodeConn // holds the granted reservation
	chargedCost       float64     // cost noted for that reservation
	refusals          []*wire.Refused
	everGranted       bool
	mayHaveRun        bool // an engine may have begun work; the request is owed its answer

	prefill          *prefillConn
	ready            *wire.Ready // the output that the prefill stream holds
	prefillTried     map[string]bool
	prefillStartedAt time.Time
	prefillMoves     int
	failedImports    int // failed imports of this attempt
	decodeStarted    bool
	transferSource   string           // prefill upstream of the last transfer
	failedSources    map[string]bool  // sources of which a transfer failed
	prefillEstimate  time.Duration    // estimate from the grant until the import can begin
	escalationTick   <-chan time.Time // time to ask further sidecars; nil when there are none

	runsUnsuspected atomic.Bool     // an attempt runs that began before any crash was known
	crashUnshared   bool            // a crash of this attempt is to be shared
	avoid           map[string]bool // upstreams at which an attempt of this request failed
}

func (e *Entry) newRunner(ctx context.Context, req *Request, out *responseWriter, snap *config.Snapshot) *runner {
	return &runner{
		entry:         e,
		req:           req,
		response:      out,
		snap:          snap,
		ctx:           ctx,
		queue:         newEventQueue(),
		avoid:         make(map[string]bool),
		failedSources: make(map[string]bool),
	}
}

// run returns nil when the caller has the whole answer.
func (r *runner) run() error {
	defer r.closeAll("request ended")
	r.entry.duplicates.add(r)
	defer r.entry.duplicates.remove(r)
	delay := retryDelay
	for {
		if err := r.checkQuarantine(); err != nil {
			return err
		}
		r.runsUnsuspected.Store(!r.req.Suspect)
		err := r.attempt()
		r.runsUnsuspected.Store(false)
		if errors.Is(err, errFinished) {
			r.clearSuspicion()
			r.entry.duplicates.markCompleted(r)
			return nil
		}
		var failed *attemptError
		if !errors.As(err, &failed) || r.ctx.Err() != nil {
			return err
		}
		if err := r.prepareRetry(failed); err != nil {
			return err
		}
		if !r.entry.retryBudget.allow(r.snap.Policy.RetryBudget, r.req.Caller.Name, failed.upstream) {
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
	r.decodeStarted = false
	r.failedImports = 0
	defer r.closeReservations("attempt ended")
	r.candidates = r.entry.decodeCandidates(r.snap, r.req, r.avoid)
	if len(r.candidates) == 0 && len(r.avoid) > 0 {
		clear(r.avoid)
		r.candidates = r.entry.decodeCandidates(r.snap, r.req, r.avoid)
	}
	r.allCandidates, r.movedToDuplicates = slices.Clone(r.candidates), false
	r.recordEvent("attempt", "", "")
	r.prefillEstimate = r.entry.estimatePrefill(r.snap, r.req)
	r.escalate()
	if err := r.checkPending(); err != nil {
		return err
	}
	escalation := time.NewTicker(escalateAfter)
	defer escalation.Stop()
	r.escalationTick = escalation.C
	for r.req.Attempt() == n {
		ev, err := r.queue.next(r.ctx, r.escalationTick)
		switch {
		case errors.Is(err, errTick):
			r.escalate()
			continue
		case err != nil:
			return err
		}
		if err := r.handleEvent(ev); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) handleEvent(ev event) error {
	switch {
	case ev.quarantineChanged:
		return r.checkSuspected()
	case ev.decodeConn != nil && ev.decodeConn.closed, ev.prefillConn != nil && ev.prefillConn.closed:
		return nil
	case ev.decodeConn != nil && ev.err != nil:
		return r.handleDecodeEnd(ev.decodeConn, ev.err)
	case ev.decodeConn != nil:
		return r.handleDecodeFrame(ev.decodeConn, ev.decodeReply)
	case ev.err != nil:
		return r.handlePrefillEnd(ev.prefillConn, ev.err)
	default:
		return r.handlePrefillFrame(ev.prefillConn, ev.prefillReply)
	}
}

func (r *runner) handleDecodeEnd(c *decodeConn, err error) error {
	if c == r.decode {
		return r.failAttempt(c.target.upstream, wire.FailureKind_FAILURE_ENGINE_LOST, streamEndDetail(err))
	}
	r.recordEvent("reserve-failed", c.target.upstream, err.Error())
	r.refusals = append(r.refusals, &wire.Refused{Kind: wire.RefusalKind_REFUSAL_ENGINE_DOWN, Detail: err.Error()})
	r.dropPending(c, "stream failed")
	r.reserveNext()
	return r.checkPending()
}

func streamEndDetail(err error) string {
	if errors.Is(err, io.EOF) {
		return "the sidecar closed the stream"
	}
	return err.Error()
}

func (r *runner) handleDecodeFrame(c *decodeConn, m *wire.DecodeReply) error {
	r.entry.recordLoad(c.target, m.Load)
	switch b := m.Body.(type) {
	case *wire.DecodeReply_Granted:
		return r.handleGranted(c, b.Granted)
	case *wire.DecodeReply_Refused:
		return r.handleRefused(c, b.Refused)
	case *wire.DecodeReply_Imported:
		r.recordEvent("imported", c.target.upstream, "")
		r.releasePrefill("imported")
	case *wire.DecodeReply_Tokens:
		return r.handleTokens(b.Tokens)
	case *wire.DecodeReply_Done:
		return r.handleDone(c, b.Done)
	case *wire.DecodeReply_Failed:
		return r.handleDecodeFailed(c, b.Failed)
	}
	return nil
}

func (r *runner) handleDecodeFailed(c *decodeConn, f *wire.Failed) error {
	if c != r.decode {
		return r.handleDecodeEnd(c, errors.New(f.Detail))
	}
	if again, err := r.retryImport(c, f.Kind); again {
		return err
	}
	if f.Kind == wire.FailureKind_FAILURE_ENGINE_LOST {
		return r.handleCrash(c.target.upstream)
	}
	return r.failAttempt(c.target.upstream, f.Kind, f.Detail)
}

func (r *runner) failAttempt(upstream string, kind wire.FailureKind, detail string) error {
	r.recordEvent("attempt-failed", upstream, kind.String()+" "+detail)
	return &attemptError{upstream: upstream, kind: kind, detail: detail}
}

// prepareRetry decides whether another attempt follows a failed one.
func (r *runner) prepareRetry(f *attemptError) error {
	waits := f.kind == wire.FailureKind_FAILURE_PREEMPTED
	if f.upstream != "" && !waits {
		r.avoid[f.upstream] = true
	}
	if f.kind == wire.FailureKind_FAILURE_TRANSFER {
		r.recordFailedTransfer()
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
	r.entry.limitedLog.Log(log.WarnLevel, "retry/"+f.kind.String(), "attempt failed; trying another upstream",
		"request", r.req.ID, "attempt", r.req.Attempt(), "upstream", f.upstream, "kind", f.kind.String(), "detail", f.detail)
	return nil
}

func (r *runner) closeAll(reason string) {
	r.closeReservations(reason)
	r.releasePrefill(reason)
}

func (r *runner) recordEvent(kind, upstream, detail string) {
	r.entry.events.Record(r.req.ID, telemetry.Event{
		Attempt:  r.req.Attempt(),
		Kind:     kind,
		Upstream: upstream,
		Detail:   detail,
	})
}
