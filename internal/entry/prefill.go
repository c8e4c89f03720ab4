package entry

import (
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// beginPrefill sends the prompt to the next prefill upstream. The request must
// hold a granted reservation.
func (r *runner) beginPrefill() error {
	if r.prefill != nil {
		// The prefill of the previous attempt is still running, and its output
		// serves this attempt too. A second prefill would replace the reference
		// to the first one, which could then no longer be released.
		return nil
	}
	if len(r.prefillTried) >= maxPrefillsPerAttempt {
		return r.failWithoutPrefill("too many prefill upstreams failed")
	}
	t, took, ok := r.entry.choosePrefill(r.snap, r.req, r.decode.target.member.FailureDomain, r.prefillExclusions())
	if !ok {
		return r.failWithoutPrefill("no prefill upstream is available")
	}
	t = r.entry.duplicates.prefillTarget(r, t)
	r.prefillTried[t.upstream] = true
	r.prefillStartedAt = time.Now()
	r.prefill = r.openPrefill(t)
	r.entry.hints.recordSent(t.upstream, took-r.entry.hints.estimatedWait(t.upstream))
	r.recordEvent("prefill", t.upstream, "")
	return nil
}

// prefillExclusions returns the upstreams that must not prefill this attempt:
// those that failed the request and those already tried.
func (r *runner) prefillExclusions() map[string]bool {
	avoid := maps.Clone(r.avoid)
	maps.Copy(avoid, r.prefillTried)
	return avoid
}

// failWithoutPrefill ends the attempt because no prefill can start, so that a
// decode slot does not stay reserved in vain. While no engine can have begun
// work, the request is refused instead, and the refusal correctly says that it
// did not run.
func (r *runner) failWithoutPrefill(detail string) error {
	if !r.mayHaveRun && !r.req.Suspect {
		return refusalFault(r.refusals)
	}
	return &attemptError{kind: wire.FailureKind_FAILURE_PREEMPTED, detail: detail}
}

func (r *runner) handlePrefillFrame(c *prefillConn, m *wire.PrefillReply) error {
	r.entry.recordLoad(c.target, m.Load)
	switch b := m.Body.(type) {
	case *wire.PrefillReply_Queued:
		return r.handlePrefillQueued(c, time.Duration(b.Queued.WaitMs)*time.Millisecond)
	case *wire.PrefillReply_Started:
		r.mayHaveRun = true
		r.prefillStartedAt = time.Now()
	case *wire.PrefillReply_Ready:
		return r.handlePrefillReady(c, b.Ready)
	case *wire.PrefillReply_Refused:
		if b.Refused.Kind == wire.RefusalKind_REFUSAL_TOO_LARGE {
			return fault.New(fault.KindPromptTooLong, "shorten the prompt", "%s", b.Refused.Detail)
		}
		if b.Refused.Kind == wire.RefusalKind_REFUSAL_SUSPECT && !r.req.Suspect {
			return r.restartAsSuspect(c.target.upstream)
		}
		r.refusals = append(r.refusals, b.Refused)
		return r.handlePrefillLoss(c, "refused: "+b.Refused.Kind.String())
	case *wire.PrefillReply_Failed:
		r.mayHaveRun = true
		if b.Failed.Kind == wire.FailureKind_FAILURE_ENGINE_LOST {
			r.entry.cache.forget(c.target.upstream)
			return r.handleCrash(c.target.upstream)
		}
		return r.handlePrefillLoss(c, b.Failed.Kind.String()+" "+b.Failed.Detail)
	}
	return nil
}

func (r *runner) handlePrefillEnd(c *prefillConn, err error) error {
	// The prefill may have begun. Only a refusal proves that it did not.
	r.mayHaveRun = true
	return r.handlePrefillLoss(c, streamEndDetail(err))
}

// handlePrefillLoss handles the loss of a prefill stream. Before the import
// began, another upstream takes over the prefill. Afterwards nothing is done,
// because the decode sidecar reports the result of the transfer.
func (r *runner) handlePrefillLoss(c *prefillConn, detail string) error {
	r.recordEvent("prefill-failed", c.target.upstream, detail)
	c.close(cancelPrefill("failed"))
	if c != r.prefill {
		return nil
	}
	r.prefill, r.ready = nil, nil
	if r.decode == nil || r.decodeStarted {
		return nil
	}
	if r.req.Suspect {
		// A duplicate may have crashed the upstream. The next attempt checks the
		// quarantine for that.
		return r.failWithoutPrefill("the upstream of the suspect failed: " + detail)
	}
	return r.beginPrefill()
}

const (
	// maxPrefillMoves bounds how often a queued prefill moves to another
	// upstream.
	maxPrefillMoves = 3
	// prefillMoveMargin is how much earlier another upstream must be expected to
	// finish for a prefill to move there.
	prefillMoveMargin = 30 * time.Millisecond
)

// handlePrefillQueued moves a queued prefill to another upstream that is
// expected to finish earlier. The first choice can be wrong, because the entry's
// estimates of caches and queues can be out of date.
func (r *runner) handlePrefillQueued(c *prefillConn, wait time.Duration) error {
	// Without a reservation the prefill belongs to an earlier attempt, and the
	// decode upstream that will need its output is not known yet.
	if c != r.prefill || r.decode == nil || r.req.Suspect || r.prefillMoves >= maxPrefillMoves {
		return nil
	}
	avoid := r.prefillExclusions()
	avoid[c.target.upstream] = true
	_, otherEnd, ok := r.entry.choosePrefill(r.snap, r.req, r.decode.target.member.FailureDomain, avoid)
	ownEnd := wait + r.entry.prefillRate.durationFor(r.req.PrefillTokens()-r.entry.cache.cached(c.target.upstream, r.req.prefixHashes()))
	if !ok || otherEnd+prefillMoveMargin >= ownEnd {
		return nil
	}
	r.prefillMoves++
	r.recordEvent("prefill-moved", c.target.upstream, wait.String())
	r.releasePrefill("another upstream is sooner")
	defer delete(r.prefillTried, c.target.upstream)
	return r.beginPrefill()
}

// handlePrefillReady updates the estimates with the result of the prefill and,
// if a reservation is held, starts decoding.
func (r *runner) handlePrefillReady(c *prefillConn, ready *wire.Ready) error {
	r.mayHaveRun = true
	if c != r.prefill {
		c.close(cancelPrefill("replaced"))
		return nil
	}
	r.ready = ready
	r.entry.cache.dropMissing(c.target.upstream, r.req.prefixHashes(), int(ready.CachedTokens))
	r.entry.cache.add(c.target.upstream, r.req.prefixHashes())
	computed := ready.Tokens - min(ready.Tokens, ready.CachedTokens)
	r.entry.usage.add(r.req.Caller.Name, r.req.Model.PrefillPool, c.target.upstream, float64(computed))
	r.entry.prefillRate.observe(computed, time.Since(r.prefillStartedAt))
	r.recordEvent("prefilled", c.target.upstream, "")
	if r.decode == nil {
		return nil
	}
	return r.startDecode()
}

// startDecode tells the decode sidecar to import the prefill output and to start
// decoding.
func (r *runner) startDecode() error {
	r.decodeStarted = true
	r.transferSource = r.prefill.target.upstream
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

// maxImports bounds the imports under one reservation. A second failure
// indicates a stalled link, which only other upstreams avoid.
const maxImports = 2

// retryImport continues after a failed import. The decode sidecar keeps the
// reservation, so that the prefill output can be transferred again, or computed
// again if it is gone. It reports whether it handled the failure; if not, the
// attempt fails.
func (r *runner) retryImport(c *decodeConn, kind wire.FailureKind) (bool, error) {
	if kind != wire.FailureKind_FAILURE_TRANSFER && kind != wire.FailureKind_FAILURE_EVICTED {
		return false, nil
	}
	if kind == wire.FailureKind_FAILURE_EVICTED {
		r.releasePrefill("evicted")
	}
	if r.failedImports++; r.failedImports >= maxImports {
		return false, nil
	}
	r.recordEvent("import-failed", c.target.upstream, kind.String())
	if r.ready != nil {
		return true, r.startDecode()
	}
	r.releasePrefill("lost")
	r.decodeStarted = false
	return true, r.beginPrefill()
}

// recordFailedTransfer notes a failed transfer. The link of either end may be
// stalled: the next attempt uses another decode upstream and, once a second
// transfer from the same prefill upstream has failed, another prefill upstream.
func (r *runner) recordFailedTransfer() {
	if r.failedSources[r.transferSource] {
		r.avoid[r.transferSource] = true
		r.releasePrefill("transfer failed twice")
	}
	r.failedSources[r.transferSource] = true
}

// releasePrefill closes the prefill stream, so that its sidecar can discard the
// output.
func (r *runner) releasePrefill(reason string) {
	r.prefill.close(cancelPrefill(reason))
	r.prefill, r.ready = nil, nil
}

// openPrefill opens a prefill stream to t and sends it the request.
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
	openConn(r.ctx, t, streamConfig[*wire.PrefillRequest, *wire.PrefillReply]{
		client:       r.entry.client,
		secret:       r.entry.secret,
		path:         "/stream/prefill",
		firstFrame:   first,
		newHeartbeat: renewPrefill,
		newReply:     func() *wire.PrefillReply { return new(wire.PrefillReply) },
		onReply:      func(m *wire.PrefillReply, err error) { r.queue.push(event{prefillConn: c, prefillReply: m, err: err}) },
		reportState:  r.entry.stateReporter(t),
	}, c)
	return c
}

// openDecode opens a decode stream to t and asks it for a reservation.
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
		PredictedTokens: r.entry.predictRemaining(r.req),
		MaxTokens:       remaining,
		PrefillMs:       milliseconds(r.prefillEstimate),
		TtftBudgetMs:    milliseconds(r.req.TTFTBudget(now)),
		WaitedMs:        milliseconds(now.Sub(r.req.Accepted)),
		Fingerprint:     r.req.Fingerprint[:],
		Suspect:         r.req.Suspect,
		CallerUsage:     r.entry.usage.elsewhere(r.req.Caller.Name, r.req.Model.DecodePool, t.upstream),
		Source:          r.entry.instance,
		ConfigRevision:  r.snap.Revision,
	}}}
	openConn(r.ctx, t, streamConfig[*wire.DecodeRequest, *wire.DecodeReply]{
		client:       r.entry.client,
		secret:       r.entry.secret,
		path:         "/stream/decode",
		firstFrame:   first,
		newHeartbeat: renewDecode,
		newReply:     func() *wire.DecodeReply { return new(wire.DecodeReply) },
		onReply:      func(m *wire.DecodeReply, err error) { r.queue.push(event{decodeConn: c, decodeReply: m, err: err}) },
		reportState:  r.entry.stateReporter(t),
	}, c)
	return c
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// refusalFault returns the error for a request that got no reservation. Nothing
// has run, because each sidecar refused before it submitted work to its engine.
func refusalFault(refusals []*wire.Refused) *fault.Error {
	var retryAfter time.Duration
	overloaded := false
	for _, f := range refusals {
		switch f.Kind {
		case wire.RefusalKind_REFUSAL_TOO_LARGE:
			return fault.New(fault.KindPromptTooLong, "shorten the prompt or lower max_tokens", "%s", f.Detail)
		case wire.RefusalKind_REFUSAL_OVERLOADED:
			wait := time.Duration(f.RetryAfterMs) * time.Millisecond
			if !overloaded || wait < retryAfter {
				retryAfter = wait
			}
			overloaded = true
		}
	}
	if overloaded {
		return fault.New(fault.KindOverloaded, "send it again after Retry-After",
			"the upstreams are fully loaded").WithRetryAfter(max(retryAfter, time.Second))
	}
	cause := errors.New("no candidate upstream")
	if len(refusals) > 0 {
		cause = errors.Errorf("%s: %s", refusals[0].Kind, refusals[0].Detail)
	}
	return fault.New(fault.KindUpstreamUnavailable, "send it again after Retry-After",
		"no upstream takes the request").WithRetryAfter(time.Second).WithCause(cause)
}
