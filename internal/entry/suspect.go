package entry

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// checkQuarantine refuses a quarantined request and marks a suspect. A suspect
// avoids the upstreams that crashed, so that all entries choose the same one.
func (r *runner) checkQuarantine() error {
	switch r.entry.quarantine.Status(r.req.Fingerprint) {
	case quarantine.Quarantined:
		r.record("quarantined", "", "")
		return quarantinedFault()
	case quarantine.Suspect:
		r.req.Suspect = true
		for _, upstream := range r.entry.quarantine.CrashedUpstreams(r.req.Fingerprint) {
			r.avoid[upstream] = true
		}
	}
	return nil
}

// nowSuspected ends the attempt when the request was found to be a suspect or
// was quarantined since it began, for example by a crash that a copy of it
// caused elsewhere: what runs of it is cancelled before it crashes one more.
func (r *runner) nowSuspected() error {
	switch r.entry.quarantine.Status(r.req.Fingerprint) {
	case quarantine.Quarantined:
		return r.checkQuarantine()
	case quarantine.Suspect:
		if r.req.Suspect {
			return nil
		}
		r.req.Suspect = true
		r.withdraw()
		return &attemptError{kind: wire.FailureKind_FAILURE_PREEMPTED, detail: "a copy of the request was in flight at a crash"}
	}
	return nil
}

// withdrawTimeout bounds the wait for sidecars to confirm a cancel. They find a
// dead engine within 500 ms.
const withdrawTimeout = time.Second

// withdraw cancels the attempt and waits until its sidecars have said whether
// their engine died meanwhile: a crash that went unseen would let the request
// crash one engine more.
func (r *runner) withdraw() {
	ctx, cancel := context.WithTimeout(r.ctx, withdrawTimeout)
	defer cancel()
	open := 0
	if r.decode.say(cancelDecode("suspect")) {
		open++
	}
	if r.prefill.say(cancelPrefill("suspect")) {
		open++
	}
	for open > 0 {
		ev, err := r.inbox.next(ctx, nil)
		if err != nil {
			break
		}
		if ev.err != nil && (ev.decodeConn != nil && ev.decodeConn == r.decode || ev.prefillConn != nil && ev.prefillConn == r.prefill) {
			open--
		}
		r.noteLoss(ev)
	}
	r.releasePrefill("suspect")
}

func (r *runner) noteLoss(ev event) {
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
	r.crashSeen = true
}

// acquit clears the suspicion of a request that ran to its end.
func (r *runner) acquit() {
	if r.req.Suspect {
		r.entry.quarantine.ClearSuspect(r.req.Fingerprint)
	}
}

// crashed notes that an engine died while it ran the request. After the second
// engine the request is quarantined and must not run again. After the first it
// runs again only once the other entries know, see shareCrash.
func (r *runner) crashed(upstream string) error {
	r.entry.quarantine.ReportCrash(r.req.Fingerprint, upstream)
	return r.suspectAt(upstream, wire.FailureKind_FAILURE_ENGINE_LOST, "the engine died while it ran the request")
}

// becomeSuspect starts over as a suspect after a sidecar reported that its
// engine died with this request in flight, sent by somebody else.
func (r *runner) becomeSuspect(upstream string) error {
	r.entry.quarantine.ReportCrash(r.req.Fingerprint, upstream)
	return r.suspectAt(upstream, wire.FailureKind_FAILURE_PREEMPTED, "the request is a suspect at "+upstream)
}

func (r *runner) suspectAt(upstream string, kind wire.FailureKind, detail string) error {
	r.req.Suspect, r.crashSeen = true, true
	r.avoid[upstream] = true
	r.releasePrefill("suspect")
	return r.failAttempt(upstream, kind, detail)
}

// shareCrash tells the other entries of a crash before the request runs again.
// They cancel the copies that they have in flight and say what they know, so
// that the next attempt counts every crash so far.
func (r *runner) shareCrash() {
	if !r.crashSeen {
		return
	}
	r.crashSeen = false
	if r.entry.crashes != nil {
		r.entry.crashes.Broadcast(r.ctx, r.req.Fingerprint)
	}
}

func quarantinedFault() *fault.Error {
	return fault.New(fault.KindQuarantined, "change the request; ask the operator to lift the quarantine if it is harmless",
		"upstreams crashed while they ran this request, so it is not run again")
}
