package entry

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// escalate asks further candidates while the request waits for a grant.
func (r *runner) escalate() {
	if r.decode != nil || len(r.candidates) == 0 {
		r.tick = nil
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
	r.entry.hints.noteSent(t.upstream, 0)
	r.record("reserve", t.upstream, "")
}

// checkPending fails the attempt when no reservation can be granted any more.
func (r *runner) checkPending() error {
	if r.decode != nil || len(r.pending) > 0 {
		return nil
	}
	f := refusalFault(r.refusals)
	if r.accepted {
		// Work ran for the request, so it is owed its answer: wait and try again.
		return &attemptError{kind: wire.FailureKind_FAILURE_PREEMPTED, detail: f.Message}
	}
	return f
}

func (r *runner) dropPending(c *decodeConn, reason string) {
	for i, p := range r.pending {
		if p == c {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			break
		}
	}
	c.close(cancelDecode(reason))
}

func (r *runner) granted(c *decodeConn, g *wire.Granted) error {
	if r.decode != nil {
		return nil
	}
	if err := r.nowSuspected(); err != nil {
		return err
	}
	if !r.entry.copies.mayDecode(r, c.target.upstream) {
		return r.followCopy(c)
	}
	r.decode = c
	r.charge()
	if !r.wasGranted {
		r.entry.retries.first(r.snap.Policy.RetryBudget, r.req.Caller.Name, c.target.upstream)
		r.entry.accounts.of(r.req.Caller.Name).granted(time.Since(r.req.Accepted))
	}
	r.wasGranted = true
	r.record("granted", c.target.upstream, (time.Duration(g.FreeInMs) * time.Millisecond).String())
	for _, p := range r.pending {
		if p != c {
			p.close(cancelDecode("granted elsewhere"))
		}
	}
	r.pending = nil
	if r.ready != nil {
		return r.start()
	}
	return r.beginPrefill()
}

func (r *runner) refused(c *decodeConn, f *wire.Refused) error {
	r.record("refused", c.target.upstream, f.Kind.String()+" "+f.Detail)
	r.refusals = append(r.refusals, f)
	if c == r.decode {
		r.settleCharge()
		r.decode = nil
	}
	r.dropPending(c, "refused")
	if f.Kind == wire.RefusalKind_REFUSAL_SUSPECT && !r.req.Suspect {
		return r.becomeSuspect(c.target.upstream)
	}
	r.reserveNext()
	return r.checkPending()
}

// charge notes the cost of the granted reservation; settleCharge replaces the
// predicted output by the real one when the attempt has ended.
func (r *runner) charge() {
	r.charged = float64(r.req.PromptTokens) + outputWeight*float64(r.req.Delivered()+r.entry.predict(r.req))
	r.entry.usage.add(r.req.Caller.Name, r.req.Model.DecodePool, r.decode.target.upstream, r.charged)
}

func (r *runner) settleCharge() {
	real := float64(r.req.PromptTokens) + outputWeight*float64(r.req.Delivered())
	r.entry.usage.add(r.req.Caller.Name, r.req.Model.DecodePool, r.decode.target.upstream, real-r.charged)
}

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
