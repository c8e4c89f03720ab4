package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// prefillSliceTokens is the number of tokens that a prefill computes between
// checks for faults.
const prefillSliceTokens = 512

// pausedEvictionRetry is the delay after which an eviction that is due in a
// paused engine is tried again.
const pausedEvictionRetry = 50 * time.Millisecond

func (e *Engine) handlePrefill(r *http.Request, in prefillRequest) (prefillResponse, *apiError) {
	req, err := e.enqueuePrefill(r.Context(), in)
	if err != nil {
		return prefillResponse{}, err
	}
	select {
	case <-req.phaseDone:
	case <-r.Context().Done():
		return prefillResponse{}, errCancelled()
	}
	if req.err != nil {
		return prefillResponse{}, req.err
	}
	return prefillResponse{
		Handle:       req.handle,
		Tokens:       req.promptTokens,
		CachedTokens: req.cachedTokens,
		KVBytes:      e.params.KVBytes(req.promptTokens),
		HoldMS:       e.params.HoldTime.Milliseconds(),
	}, nil
}

func (e *Engine) enqueuePrefill(ctx context.Context, in prefillRequest) (*request, *apiError) {
	tokens := max(1, costmodel.CountTokens(in.Prompt))
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if err := b.validateLocked(ctx, RolePrefill, in.RequestID, in.Model); err != nil {
		return nil, err
	}
	switch {
	case tokens > e.params.MaxPromptTokens || tokens > e.params.CapacityTokens:
		return nil, newAPIError(http.StatusBadRequest, "prompt_too_long",
			"the prompt has %d tokens, the limit is %d", tokens, e.params.MaxPromptTokens)
	case len(b.prefillQueue) >= e.opts.MaxQueuedPrefills:
		return nil, newAPIError(http.StatusServiceUnavailable, "busy", "%d prefills wait", len(b.prefillQueue))
	case b.requests[in.RequestID] != nil:
		return nil, errDuplicate(in.RequestID)
	}
	req := b.addRequestLocked(in.RequestID, phasePrefill, in.Priority)
	req.prompt, req.promptTokens = in.Prompt, tokens
	b.prefillQueue = append(b.prefillQueue, req)
	signal(b.prefillSignal)
	return req, nil
}

func errDuplicate(id string) *apiError {
	return newAPIError(http.StatusConflict, "duplicate", "request_id %q is in use", id)
}

// validateLocked performs the checks that prefills, imports and decodes have in
// common. An empty model is not checked.
func (b *boot) validateLocked(ctx context.Context, role Role, id, model string) *apiError {
	switch {
	case ctx.Err() != nil:
		// The call arrived over a connection of an earlier boot, or its caller has
		// disconnected.
		return errCrashed()
	case id == "":
		return newAPIError(http.StatusBadRequest, "malformed", "request_id is empty")
	case b.role != role:
		return newAPIError(http.StatusConflict, "wrong_role", "the engine's role is %s", b.role)
	case b.models != nil && model != "" && !b.models[model]:
		return newAPIError(http.StatusConflict, "model_not_loaded", "model %q is not loaded", model)
	}
	return nil
}

// prefillLoop runs the prefills one at a time.
func (e *Engine) prefillLoop(b *boot) {
	for b.ctx.Err() == nil {
		req := e.nextPrefill(b)
		if req != nil {
			e.runPrefill(b, req)
			continue
		}
		select {
		case <-b.prefillSignal:
		case <-b.ctx.Done():
		}
	}
}

// nextPrefill takes the prefill that runs next from the queue. It returns nil
// when the queue is empty or the prefill's memory is not free yet.
func (e *Engine) nextPrefill(b *boot) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(b.prefillQueue) == 0 {
		return nil
	}
	req := nextByPriority(b.prefillQueue)
	if !b.reserveLocked(req, req.promptTokens) {
		return nil
	}
	b.prefillQueue = removeRequest(b.prefillQueue, req)
	b.handleCount++
	req.handle = fmt.Sprintf("%s-%d", b.id, b.handleCount)
	req.usesOutput = true
	e.journal.openOutput(req.handle, e.opts.Name)
	req.execution = e.journal.startExecution(Execution{RequestID: req.id, Engine: e.opts.Name, BootID: b.id, Kind: ExecutionPrefill})
	e.scheduleCrashIfPoisonedLocked(req, e.opts.PoisonMarker)
	return req
}

// runPrefill computes the tokens of a prefill that are not cached. When it
// completes, the output is held for HoldTime.
func (e *Engine) runPrefill(b *boot, req *request) {
	prefixes := costmodel.PrefixIDs(req.prompt, e.params.BlockTokens)
	prefixes = prefixes[:min(len(prefixes), e.params.CachedBlocks(req.promptTokens)+1)]
	e.mu.Lock()
	cachedBlocks := min(b.cache.matchLength(prefixes), e.params.CachedBlocks(req.promptTokens))
	e.mu.Unlock()
	req.cachedTokens = cachedBlocks * e.params.BlockTokens
	if e.simulateCompute(req.ctx, e.params.PrefillOverhead) < 1 {
		return
	}
	for remaining := req.promptTokens - req.cachedTokens; remaining > 0 && req.ctx.Err() == nil; {
		n := min(remaining, prefillSliceTokens)
		computedFraction := e.simulateCompute(req.ctx, e.params.ComputeTime(n))
		e.recordPrefillTokens(req, int(float64(n)*computedFraction))
		remaining -= n
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.terminated || b.ctx.Err() != nil {
		return
	}
	b.cache.store(prefixes)
	e.journal.endExecution(req.execution, OutcomeFinished)
	req.phase = phaseHeld
	b.heldOutputs[req.handle] = req
	req.lastProgress = time.Now()
	req.evictTimer = time.AfterFunc(e.params.HoldTime, func() { e.evict(req) })
	req.resolvePhaseLocked(nil)
}

// recordPrefillTokens counts tokens that a prefill has computed.
func (e *Engine) recordPrefillTokens(req *request, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillTokens += tokens
	e.journal.addTokens(req.execution, tokens)
	if req.terminated {
		// The request ended during this slice, so the journal has already counted its
		// output as wasted; count the tokens of the slice as well.
		e.journal.addWastedTokens(e.opts.Name, tokens)
		return
	}
	e.journal.addComputedTokens(req.handle, tokens)
}

// evict ends a hold whose time has expired. A transfer that makes progress
// extends the hold; a transfer that stalls for a whole hold time does not.
func (e *Engine) evict(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case req.terminated || e.closed:
	case e.server.Paused():
		req.evictTimer.Reset(pausedEvictionRetry)
	case req.activeTransfers > 0 && time.Since(req.lastProgress) < e.params.HoldTime:
		req.evictTimer.Reset(e.params.HoldTime - time.Since(req.lastProgress))
	default:
		req.boot.endRequestLocked(req, OutcomeFinished, errEvicted(req.handle))
	}
}

func (e *Engine) handleRelease(_ *http.Request, in releaseRequest) (struct{}, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req := e.boot.heldOutputs[in.Handle]; req != nil {
		e.boot.endRequestLocked(req, OutcomeFinished, nil)
	}
	return struct{}{}, nil
}

// scheduleCrashIfPoisonedLocked crashes the engine after PoisonDelay if the prompt
// contains one of the markers.
func (e *Engine) scheduleCrashIfPoisonedLocked(req *request, markers ...string) {
	for _, marker := range markers {
		if marker == "" || !strings.Contains(req.prompt, marker) || e.closed {
			continue
		}
		e.pendingCrashes.Go(func() { e.crashAfterPoisonDelay(req.ctx, req.boot) })
		return
	}
}

// crashAfterPoisonDelay crashes the engine after PoisonDelay, unless ctx ends before
// or b is no longer the current boot.
func (e *Engine) crashAfterPoisonDelay(ctx context.Context, b *boot) {
	if sleep(ctx, e.opts.PoisonDelay) {
		e.crashBoot(b, e.opts.CrashDowntime)
	}
}
