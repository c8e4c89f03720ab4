package entry

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// escalate asks further candidates for a reservation while the request waits for
// a grant.
func (r *runner) escalate() {
	if r.decode != nil || len(r.candidates) == 0 {
		r.escalationTick = nil
		return
	}
	for range reservationsPerStep {
		r.reserveNext()
	}
}

// reserveNext asks the next candidate for a reservation.
func (r *runner) reserveNext() {
	if len(r.candidates) == 0 {
		return
	}
	t := r.candidates[0]
	r.candidates = r.candidates[1:]
	r.pending = append(r.pending, r.openDecode(t))
	r.entry.hints.recordSent(t.upstream, 0)
	r.recordEvent("reserve", t.upstream, "")
}

// checkPending fails the attempt when no reservation is granted and none is
// pending.
func (r *runner) checkPending() error {
	if r.decode != nil || len(r.pending) > 0 {
		return nil
	}
	f := refusalFault(r.refusals)
	if r.mayHaveRun {
		// An engine may have begun work, so the request must not be refused: wait
		// and try again.
		return &attemptError{kind: wire.FailureKind_FAILURE_PREEMPTED, detail: f.Message}
	}
	return f
}

// dropPending closes a pending reservation.
func (r *runner) dropPending(c *decodeConn, reason string) {
	for i, p := range r.pending {
		if p == c {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			break
		}
	}
	c.close(cancelDecode(reason))
}

// handleGranted uses the first granted reservation, closes the other pending
// ones and begins the prefill.
func (r *runner) handleGranted(c *decodeConn, g *wire.Granted) error {
	if r.decode != nil {
		return nil
	}
	if err := r.checkSuspected(); err != nil {
		return err
	}
	if !r.entry.duplicates.claimDecode(r, c.target.upstream) {
		return r.moveToDuplicates(c)
	}
	r.decode = c
	r.chargeReservation()
	if !r.everGranted {
		r.entry.retryBudget.recordAttempt(r.snap.Policy.RetryBudget, r.req.Caller.Name, c.target.upstream)
		r.entry.counters.get(r.req.Caller.Name).observeGrant(time.Since(r.req.Accepted))
	}
	r.everGranted = true
	r.recordEvent("granted", c.target.upstream, (time.Duration(g.FreeInMs) * time.Millisecond).String())
	for _, p := range r.pending {
		if p != c {
			p.close(cancelDecode("granted elsewhere"))
		}
	}
	r.pending = nil
	if r.ready != nil {
		return r.startDecode()
	}
	return r.beginPrefill()
}

// handleRefused handles a refused reservation, or a refusal that follows the
// grant, by asking the next candidate.
func (r *runner) handleRefused(c *decodeConn, f *wire.Refused) error {
	r.recordEvent("refused", c.target.upstream, f.Kind.String()+" "+f.Detail)
	r.refusals = append(r.refusals, f)
	if c == r.decode {
		r.settleCharge()
		r.decode = nil
	}
	r.dropPending(c, "refused")
	if f.Kind == wire.RefusalKind_REFUSAL_SUSPECT && !r.req.Suspect {
		return r.restartAsSuspect(c.target.upstream)
	}
	r.reserveNext()
	return r.checkPending()
}

// chargeReservation adds the cost of the granted reservation to the caller's
// usage. When the attempt has ended, settleCharge replaces the predicted output
// in it by the actual output.
func (r *runner) chargeReservation() {
	r.chargedCost = float64(r.req.PromptTokens) + outputWeight*float64(r.req.Delivered()+r.entry.predictRemaining(r.req))
	r.entry.usage.add(r.req.Caller.Name, r.req.Model.DecodePool, r.decode.target.upstream, r.chargedCost)
}

func (r *runner) settleCharge() {
	actual := float64(r.req.PromptTokens) + outputWeight*float64(r.req.Delivered())
	r.entry.usage.add(r.req.Caller.Name, r.req.Model.DecodePool, r.decode.target.upstream, actual-r.chargedCost)
}

// closeReservations closes the granted and all pending reservations.
func (r *runner) closeReservations(reason string) {
	for _, p := range r.pending {
		p.close(cancelDecode(reason))
	}
	r.pending = nil
	if r.decode == nil {
		return
	}
	r.settleCharge()
	r.decode.close(cancelDecode(reason))
	r.decode = nil
}
