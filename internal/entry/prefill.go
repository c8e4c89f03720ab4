package entry

import (
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// beginPrefill asks the next prefill upstream under the granted reservation.
func (r *runner) beginPrefill() error {
	if r.prefill != nil {
		// The prefill of the attempt before is still running; its output serves
		// this one. A second one would leave the first without an owner.
		return nil
	}
	if len(r.prefillTried) >= maxPrefillsPerAttempt {
		return r.noPrefill("too many prefill upstreams failed")
	}
	t, took, ok := r.entry.prefillCandidate(r.snap, r.req, r.decode.target.member.FailureDomain, r.prefillAvoid())
	if !ok {
		return r.noPrefill("no prefill upstream is available")
	}
	t = r.entry.copies.prefillOf(r, t)
	r.prefillTried[t.upstream] = true
	r.prefillBegan = time.Now()
	r.prefill = r.openPrefill(t)
	r.entry.hints.noteSent(t.upstream, took-r.entry.hints.wait(t.upstream))
	r.record("prefill", t.upstream, "")
	return nil
}

// prefillAvoid returns the upstreams that failed this request.
func (r *runner) prefillAvoid() map[string]bool {
	avoid := maps.Clone(r.avoid)
	maps.Copy(avoid, r.prefillTried)
	return avoid
}

// noPrefill gives the reservation back: a decode slot must not wait for a
// prefill that cannot start. As long as no engine has begun, the request is
// refused, truthfully as not run.
func (r *runner) noPrefill(detail string) error {
	if !r.accepted && !r.req.Suspect {
		return refusalFault(r.refusals)
	}
	return &attemptError{kind: wire.FailureKind_FAILURE_PREEMPTED, detail: detail}
}

func (r *runner) prefillFrame(c *prefillConn, m *wire.PrefillReply) error {
	r.entry.noteLoad(c.target, m.Load)
	switch b := m.Body.(type) {
	case *wire.PrefillReply_Queued:
		return r.prefillQueued(c, time.Duration(b.Queued.WaitMs)*time.Millisecond)
	case *wire.PrefillReply_Started:
		r.accepted = true
		r.prefillBegan = time.Now()
	case *wire.PrefillReply_Ready:
		return r.prefillReady(c, b.Ready)
	case *wire.PrefillReply_Refused:
		if b.Refused.Kind == wire.RefusalKind_REFUSAL_TOO_LARGE {
			return fault.New(fault.KindPromptTooLong, "shorten the prompt", "%s", b.Refused.Detail)
		}
		if b.Refused.Kind == wire.RefusalKind_REFUSAL_SUSPECT && !r.req.Suspect {
			return r.becomeSuspect(c.target.upstream)
		}
		r.refusals = append(r.refusals, b.Refused)
		return r.prefillLost(c, "refused: "+b.Refused.Kind.String())
	case *wire.PrefillReply_Failed:
		r.accepted = true
		if b.Failed.Kind == wire.FailureKind_FAILURE_ENGINE_LOST {
			r.entry.cache.forget(c.target.upstream)
			return r.crashed(c.target.upstream)
		}
		return r.prefillLost(c, b.Failed.Kind.String()+" "+b.Failed.Detail)
	}
	return nil
}

func (r *runner) prefillEnded(c *prefillConn, err error) error {
	// The prefill may have begun; only a refusal tells that it has not.
	r.accepted = true
	return r.prefillLost(c, endDetail(err))
}

// prefillLost handles the loss of the prefill stream: before the import began
// another upstream prefills; afterwards the decode side reports what the
// transfer came to.
func (r *runner) prefillLost(c *prefillConn, detail string) error {
	r.record("prefill-failed", c.target.upstream, detail)
	c.close(cancelPrefill("failed"))
	if c != r.prefill {
		return nil
	}
	r.prefill, r.ready = nil, nil
	if r.decode == nil || r.starting {
		return nil
	}
	if r.req.Suspect {
		// The upstream may have died of a copy; the next attempt knows.
		return r.noPrefill("the upstream of the suspect failed: " + detail)
	}
	return r.beginPrefill()
}

const (
	// maxPrefillMoves bounds how often a queued prefill moves.
	maxPrefillMoves = 3
	// prefillMoveMargin is how much sooner another upstream must be.
	prefillMoveMargin = 30 * time.Millisecond
)

// prefillQueued moves a prefill that waits longer than another upstream
// promises: what an entry believes of caches and queues can be out of date.
func (r *runner) prefillQueued(c *prefillConn, wait time.Duration) error {
	// Without a reservation the prefill is that of an earlier attempt; where it
	// will be needed is not known yet.
	if c != r.prefill || r.decode == nil || r.req.Suspect || r.prefillMoves >= maxPrefillMoves {
		return nil
	}
	avoid := r.prefillAvoid()
	avoid[c.target.upstream] = true
	_, other, ok := r.entry.prefillCandidate(r.snap, r.req, r.decode.target.member.FailureDomain, avoid)
	own := wait + r.entry.prefillRate.estimate(r.req.PrefillTokens()-r.entry.cache.cached(c.target.upstream, r.req.prefixHashes()))
	if !ok || other+prefillMoveMargin >= own {
		return nil
	}
	r.prefillMoves++
	r.record("prefill-moved", c.target.upstream, wait.String())
	r.releasePrefill("another upstream is sooner")
	defer delete(r.prefillTried, c.target.upstream)
	return r.beginPrefill()
}

func (r *runner) prefillReady(c *prefillConn, ready *wire.Ready) error {
	r.accepted = true
	if c != r.prefill {
		c.close(cancelPrefill("replaced"))
		return nil
	}
	r.ready = ready
	r.entry.cache.correct(c.target.upstream, r.req.prefixHashes(), int(ready.CachedTokens))
	r.entry.cache.prefilled(c.target.upstream, r.req.prefixHashes())
	computed := ready.Tokens - min(ready.Tokens, ready.CachedTokens)
	r.entry.usage.add(r.req.Caller.Name, r.req.Model.PrefillPool, c.target.upstream, float64(computed))
	r.entry.prefillRate.observe(computed, time.Since(r.prefillBegan))
	r.record("prefilled", c.target.upstream, "")
	if r.decode == nil {
		return nil
	}
	return r.start()
}

// start tells the decode sidecar to import the held output and to decode.
func (r *runner) start() error {
	r.starting = true
	r.source = r.prefill.target.upstream
	err := r.decode.send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Start{Start: &wire.Start{
		SourceUrl:    r.ready.SourceUrl,
		Handle:       r.ready.Handle,
		KvBytes:      r.ready.KvBytes,
		Prompt:       r.req.Prompt,
		ResumeTokens: r.req.Delivered(),
		MaxTokens:    uint64(r.req.MaxTokens),
		Sampling:     r.req.Sampling,
	}}})
	if err != nil {
		return r.failAttempt(r.decode.target.upstream, wire.FailureKind_FAILURE_ENGINE_LOST, err.Error())
	}
	return nil
}

// maxImports bounds the imports under one reservation. A second failure points
// to a stalled link, which only other upstreams avoid.
const maxImports = 2

// importAgain continues after a failed import: the sidecar keeps the
// reservation, so the held output is transferred again, or computed again when
// it is gone. It reports whether it took the failure over.
func (r *runner) importAgain(c *decodeConn, kind wire.FailureKind) (bool, error) {
	if kind != wire.FailureKind_FAILURE_TRANSFER && kind != wire.FailureKind_FAILURE_EVICTED {
		return false, nil
	}
	if kind == wire.FailureKind_FAILURE_EVICTED {
		r.releasePrefill("evicted")
	}
	if r.imports++; r.imports >= maxImports {
		return false, nil
	}
	r.record("import-failed", c.target.upstream, kind.String())
	if r.ready != nil {
		return true, r.start()
	}
	r.releasePrefill("lost")
	r.starting = false
	return true, r.beginPrefill()
}

// changeSource follows a failed transfer. Either end's link may be stalled, so
// the next attempt uses another decode upstream and, once a second transfer from
// the same output has failed, another prefill upstream.
func (r *runner) changeSource() {
	if r.stalled[r.source] {
		r.avoid[r.source] = true
		r.releasePrefill("transfer failed twice")
	}
	r.stalled[r.source] = true
}

func (r *runner) releasePrefill(reason string) {
	r.prefill.close(cancelPrefill(reason))
	r.prefill, r.ready = nil, nil
}

func (r *runner) openPrefill(t target) *prefillConn {
	now := time.Now()
	c := new(prefillConn)
	first := &wire.PrefillRequest{Body: &wire.PrefillRequest_Prefill{Prefill: &wire.Prefill{
		RequestId:      r.req.ID,
		Attempt:        r.req.Attempt(),
		Caller:         r.req.Caller.Name,
		Share:          r.req.Caller.Share,
		Model:          r.req.Model.Name,
		Prompt:         r.req.PrefillText(),
		PromptTokens:   uint64(r.req.PrefillTokens()),
		TtftBudgetMs:   milliseconds(r.req.TTFTBudget(now)),
		WaitedMs:       milliseconds(now.Sub(r.req.Accepted)),
		Fingerprint:    r.req.Fingerprint[:],
		Suspect:        r.req.Suspect,
		CallerUsage:    r.entry.usage.elsewhere(r.req.Caller.Name, r.req.Model.PrefillPool, t.upstream),
		Source:         r.entry.instance,
		ConfigRevision: r.snap.Revision,
	}}}
	openConn(r.ctx, t, streamCall[*wire.PrefillRequest, *wire.PrefillReply]{
		client:  r.entry.client,
		secret:  r.entry.secret,
		path:    "/stream/prefill",
		first:   first,
		renew:   renewPrefill,
		newR:    func() *wire.PrefillReply { return new(wire.PrefillReply) },
		deliver: func(m *wire.PrefillReply, err error) { r.inbox.put(event{prefillConn: c, prefillReply: m, err: err}) },
		report:  r.entry.reporter(t),
	}, c)
	return c
}

func (r *runner) openDecode(t target) *decodeConn {
	now := time.Now()
	c := new(decodeConn)
	remaining := uint64(r.req.MaxTokens) - min(uint64(r.req.MaxTokens), r.req.Delivered())
	first := &wire.DecodeRequest{Body: &wire.DecodeRequest_Reserve{Reserve: &wire.Reserve{
		RequestId:       r.req.ID,
		Attempt:         r.req.Attempt(),
		Caller:          r.req.Caller.Name,
		Share:           r.req.Caller.Share,
		Model:           r.req.Model.Name,
		PromptTokens:    uint64(r.req.PrefillTokens()),
		PredictedTokens: r.entry.predict(r.req),
		MaxTokens:       remaining,
		PrefillMs:       milliseconds(r.prefillTime),
		TtftBudgetMs:    milliseconds(r.req.TTFTBudget(now)),
		WaitedMs:        milliseconds(now.Sub(r.req.Accepted)),
		Fingerprint:     r.req.Fingerprint[:],
		Suspect:         r.req.Suspect,
		CallerUsage:     r.entry.usage.elsewhere(r.req.Caller.Name, r.req.Model.DecodePool, t.upstream),
		Source:          r.entry.instance,
		ConfigRevision:  r.snap.Revision,
	}}}
	openConn(r.ctx, t, streamCall[*wire.DecodeRequest, *wire.DecodeReply]{
		client:  r.entry.client,
		secret:  r.entry.secret,
		path:    "/stream/decode",
		first:   first,
		renew:   renewDecode,
		newR:    func() *wire.DecodeReply { return new(wire.DecodeReply) },
		deliver: func(m *wire.DecodeReply, err error) { r.inbox.put(event{decodeConn: c, decodeReply: m, err: err}) },
		report:  r.entry.reporter(t),
	}, c)
	return c
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// refusalFault tells the caller why no reservation was granted. Nothing ran:
// each sidecar refused before it submitted anything.
func refusalFault(refusals []*wire.Refused) *fault.Error {
	var retry time.Duration
	overloaded := false
	for _, f := range refusals {
		switch f.Kind {
		case wire.RefusalKind_REFUSAL_TOO_LARGE:
			return fault.New(fault.KindPromptTooLong, "shorten the prompt or lower max_tokens", "%s", f.Detail)
		case wire.RefusalKind_REFUSAL_OVERLOADED:
			wait := time.Duration(f.RetryAfterMs) * time.Millisecond
			if !overloaded || wait < retry {
				retry = wait
			}
			overloaded = true
		}
	}
	if overloaded {
		return fault.New(fault.KindOverloaded, "send it again after Retry-After",
			"the upstreams are fully loaded").WithRetryAfter(max(retry, time.Second))
	}
	cause := errors.New("no candidate upstream")
	if len(refusals) > 0 {
		cause = errors.Errorf("%s: %s", refusals[0].Kind, refusals[0].Detail)
	}
	return fault.New(fault.KindUpstreamUnavailable, "send it again after Retry-After",
		"no upstream takes the request").WithRetryAfter(time.Second).WithCause(cause)
}
