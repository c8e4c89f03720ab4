package entry

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// checkQuarantine refuses a quarantined request and marks a suspect one. A
// suspect avoids the upstreams that crashed, so that all entries choose the same
// upstream for it.
func (r *runner) checkQuarantine() error {
	switch r.entry.quarantine.Status(r.req.Fingerprint) {
	case quarantine.Quarantined:
		r.recordEvent("quarantined", "", "")
		return quarantinedFault()
	case quarantine.Suspect:
		if !r.req.Suspect {
			// The prefill of the last attempt may still run, and crash its engine.
			r.becomeSuspect()
			r.shareCrash()
			return r.checkQuarantine()
		}
		for _, upstream := range r.entry.quarantine.CrashedUpstreams(r.req.Fingerprint) {
			r.avoid[upstream] = true
		}
	}
	return nil
}

// checkSuspected ends the attempt if the request has become suspect or
// quarantined since the attempt began, for example because a duplicate crashed
// an engine elsewhere. The attempt is cancelled before it crashes another
// engine.
func (r *runner) checkSuspected() error {
	switch r.entry.quarantine.Status(r.req.Fingerprint) {
	case quarantine.Quarantined:
		return r.checkQuarantine()
	case quarantine.Suspect:
		if r.req.Suspect {
			return nil
		}
		r.becomeSuspect()
		return &attemptError{kind: wire.FailureKind_FAILURE_PREEMPTED, detail: "a copy of the request was in flight at a crash"}
	}
	return nil
}

// becomeSuspect cancels what the request began before the crash was known.
func (r *runner) becomeSuspect() {
	r.req.Suspect = true
	r.cancelAttempt()
	r.runsUnsuspected.Store(false)
}

// cancelTimeout bounds the wait for sidecars to confirm a cancellation. A
// sidecar detects a dead engine within 500 ms.
const cancelTimeout = time.Second

// cancelAttempt cancels the attempt and waits until its sidecars have reported
// whether their engine has died in the meantime. A crash that stays unnoticed
// would let the request crash one more engine.
func (r *runner) cancelAttempt() {
	ctx, cancel := context.WithTimeout(r.ctx, cancelTimeout)
	defer cancel()
	open := 0
	if r.decode.trySend(cancelDecode("suspect")) {
		open++
	}
	if r.prefill.trySend(cancelPrefill("suspect")) {
		open++
	}
	for open > 0 {
		ev, err := r.queue.next(ctx, nil)
		if err != nil {
			break
		}
		if ev.err != nil && (ev.decodeConn != nil && ev.decodeConn == r.decode || ev.prefillConn != nil && ev.prefillConn == r.prefill) {
			open--
		}
		r.recordEngineLoss(ev)
	}
	r.releasePrefill("suspect")
}

// recordEngineLoss reports a crash if the event says that an engine was lost.
func (r *runner) recordEngineLoss(ev event) {
	upstream := ""
	switch {
	case ev.decodeReply.GetFailed().GetKind() == wire.FailureKind_FAILURE_ENGINE_LOST:
		upstream = ev.decodeConn.target.upstream
	case ev.prefillReply.GetFailed().GetKind() == wire.FailureKind_FAILURE_ENGINE_LOST:
		upstream = ev.prefillConn.target.upstream
	default:
		return
	}
	r.entry.quarantine.ReportCrash(r.req.Fingerprint, upstream)
	r.crashUnshared = true
}

// clearSuspicion removes the suspicion from a request that completed.
func (r *runner) clearSuspicion() {
	if r.req.Suspect {
		r.entry.quarantine.ClearSuspect(r.req.Fingerprint)
	}
}

// handleCrash records that an engine died while it ran the request. After the
// first crash the request runs again only once the other entries have been
// informed; see shareCrash. After a crash of a second engine the request is
// quarantined and must not run again.
func (r *runner) handleCrash(upstream string) error {
	r.entry.quarantine.ReportCrash(r.req.Fingerprint, upstream)
	return r.failAsSuspect(upstream, wire.FailureKind_FAILURE_ENGINE_LOST, "the engine died while it ran the request")
}

// restartAsSuspect ends the attempt after a sidecar reported that its engine
// died while a duplicate of this request, sent through another entry, was in
// flight. The next attempt runs as a suspect.
func (r *runner) restartAsSuspect(upstream string) error {
	r.entry.quarantine.ReportCrash(r.req.Fingerprint, upstream)
	return r.failAsSuspect(upstream, wire.FailureKind_FAILURE_PREEMPTED, "the request is a suspect at "+upstream)
}

// failAsSuspect marks the request as suspect and fails the attempt. The next
// attempt avoids the upstream and first shares the crash.
func (r *runner) failAsSuspect(upstream string, kind wire.FailureKind, detail string) error {
	r.req.Suspect, r.crashUnshared = true, true
	r.avoid[upstream] = true
	r.releasePrefill("suspect")
	return r.failAttempt(upstream, kind, detail)
}

// shareCrash informs the other entries of a crash before the request runs again.
// They cancel their duplicates in flight and report the crashes that they know
// of, so that the next attempt takes every crash so far into account. It then waits
// for the duplicates at this entry.
func (r *runner) shareCrash() {
	if !r.crashUnshared {
		return
	}
	r.crashUnshared = false
	if r.entry.crashes != nil {
		r.entry.crashes.Broadcast(r.ctx, r.req.Fingerprint)
	}
	ctx, cancel := context.WithTimeout(r.ctx, cancelTimeout)
	defer cancel()
	r.entry.duplicates.waitUntilSuspected(ctx, r.req.Fingerprint)
}

func quarantinedFault() *fault.Error {
	return fault.New(fault.KindQuarantined, "change the request; ask the operator to lift the quarantine if it is harmless",
		"upstreams crashed while they ran this request, so it is not run again")
}
