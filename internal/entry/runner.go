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
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// reservationsPerStep is how many sidecars a request asks for a reservation
	// at once. The first grant is used, which compensates for queue lengths that
	// the entry learns late.
	reservationsPerStep = 2
	// escalateAfter is the time between two steps in which a waiting request
	// asks further sidecars. A request that waits at only a few sidecars loses
	// against one that waits at all of them.
	escalateAfter = 50 * time.Millisecond
	// maxAttempts bounds how many attempts a request makes if they fail.
	maxAttempts = 8
	// maxPrefillsPerAttempt bounds the prefill upstreams that are tried under
	// one reservation.
	maxPrefillsPerAttempt = 3
	retryDelay            = 100 * time.Millisecond
	maxRetryDelay         = 2 * time.Second
)

// attemptError ends an attempt that another attempt may follow.
type attemptError struct {
	upstream string
	kind     wire.FailureKind
	detail   string
}

func (e *attemptError) Error() string {
	return "attempt failed at " + e.upstream + ": " + e.kind.String() + ": " + e.detail
}

// errFinished ends a request whose response is complete.
var errFinished = errors.New("response is complete")

// runner runs one request through its attempts. All events of its streams arrive
// in one queue and are handled by one goroutine, so that its fields need no
// lock.
type runner struct {
	entry    *Entry
	req      *Request
	response *responseWriter
	snap     *config.Snapshot
	ctx      context.Context
	queue    *eventQueue

	candidates        []target
	pending           []*decodeConn
	allCandidates     []target    // candidates of this attempt, including those already asked
	movedToDuplicates bool        // this attempt gave a reservation back to run where its duplicates do
	decode            *decodeConn // holds the granted reservation
	chargedCost       float64     // cost charged for that reservation
	refusals          []*wire.Refused
	everGranted       bool
	mayHaveRun        bool // an engine may have begun work, so the request must be retried, not refused

	prefill          *prefillConn
	ready            *wire.Ready // the prefill output that is ready for the import
	prefillTried     map[string]bool
	prefillStartedAt time.Time
	prefillMoves     int
	failedImports    int // during this attempt
	decodeStarted    bool
	transferSource   string           // prefill upstream of the last transfer
	failedSources    map[string]bool  // prefill upstreams from which a transfer failed
	prefillEstimate  time.Duration    // estimated time from the grant until the import can begin
	escalationTick   <-chan time.Time // fires when it is time to ask further sidecars; nil if there are none

	runsUnsuspected atomic.Bool     // the running attempt, or a prefill kept for the next one, began before a crash was known
	crashUnshared   bool            // a crash in this attempt has yet to be shared
	avoid           map[string]bool // upstreams at which this request failed or crashed an engine
}

func (e *Entry) newRunner(ctx context.Context, req *Request, response *responseWriter, snap *config.Snapshot) *runner {
	return &runner{
		entry:         e,
		req:           req,
		response:      response,
		snap:          snap,
		ctx:           ctx,
		queue:         newEventQueue(),
		avoid:         make(map[string]bool),
		failedSources: make(map[string]bool),
	}
}

// run runs attempts until the request ends. It returns nil when the caller has
// received the complete response.
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
		r.runsUnsuspected.Store(r.keepsUnsuspectedPrefill())
		r.shareCrash()
		if err := r.backOff(delay); err != nil {
			return err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// backOff waits before the next attempt. A prefill that the last attempt began may still run,
// so its events are handled meanwhile: a crash must be known, and a copy that has become suspect
// cancelled, before a suspect copy runs elsewhere.
func (r *runner) backOff(delay time.Duration) error {
	ctx, cancel := context.WithTimeout(r.ctx, delay)
	defer cancel()
	for {
		ev, err := r.queue.next(ctx, nil)
		if err != nil {
			return context.Cause(r.ctx) // nil when only the delay is over
		}
		var failed *attemptError
		if err := r.handleEvent(ev); err != nil && !errors.As(err, &failed) {
			return err
		}
		r.runsUnsuspected.Store(r.keepsUnsuspectedPrefill())
		r.shareCrash()
	}
}

// keepsUnsuspectedPrefill reports whether a prefill that the next attempt may use began before a
// crash was known, and is not cancelled.
func (r *runner) keepsUnsuspectedPrefill() bool { return r.prefill != nil && !r.req.Suspect }

// attempt runs one attempt. It returns errFinished when the response is complete
// and an *attemptError when another attempt may follow.
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

// handleEvent handles one event of the queue. Events of streams that have been
// closed are ignored.
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

// handleDecodeEnd handles the unexpected end of a decode stream. If the stream
// held the granted reservation, the attempt fails; otherwise the next candidate
// is asked.
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

// streamEndDetail describes the end of a stream for the event log and the logs.
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

// failAttempt records the failure of the attempt and returns it as an error.
func (r *runner) failAttempt(upstream string, kind wire.FailureKind, detail string) error {
	r.recordEvent("attempt-failed", upstream, kind.String()+" "+detail)
	return &attemptError{upstream: upstream, kind: kind, detail: detail}
}

// prepareRetry decides whether another attempt follows a failed one and which
// upstreams that attempt avoids. It returns an error if no attempt follows.
func (r *runner) prepareRetry(f *attemptError) error {
	waits := f.kind == wire.FailureKind_FAILURE_PREEMPTED
	if f.upstream != "" && !waits {
		r.avoid[f.upstream] = true
	}
	if f.kind == wire.FailureKind_FAILURE_TRANSFER {
		r.recordFailedTransfer()
	}
	if r.req.Delivered() > 0 {
		// The prefill output covers the prompt only. The next attempt has to
		// prefill the delivered output as well.
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

// recordEvent adds an event to the request's history, which the explain command
// shows.
func (r *runner) recordEvent(kind, upstream, detail string) {
	r.entry.events.Record(r.req.ID, telemetry.Event{
		Attempt:  r.req.Attempt(),
		Kind:     kind,
		Upstream: upstream,
		Detail:   detail,
	})
}
