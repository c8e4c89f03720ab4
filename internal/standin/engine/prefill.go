package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// prefillSlice is the number of tokens that a prefill computes between two
// looks at faults.
const prefillSlice = 512

// pausedRetry spaces the looks of an eviction that is due in a paused engine.
const pausedRetry = 50 * time.Millisecond

func (e *Engine) prefill(r *http.Request, in prefillCall) (prefillReply, *apiError) {
	req, err := e.enqueuePrefill(r.Context(), in)
	if err != nil {
		return prefillReply{}, err
	}
	select {
	case <-req.ended:
	case <-r.Context().Done():
		return prefillReply{}, errCancelled()
	}
	if req.err != nil {
		return prefillReply{}, req.err
	}
	return prefillReply{
		Handle:       req.handle,
		Tokens:       req.tokens,
		CachedTokens: req.cached,
		KVBytes:      e.params.KVBytes(req.tokens),
		HoldMS:       e.params.HoldTime.Milliseconds(),
	}, nil
}

func (e *Engine) enqueuePrefill(ctx context.Context, in prefillCall) (*request, *apiError) {
	tokens := max(1, costmodel.CountTokens(in.Prompt))
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if err := b.checkLocked(ctx, RolePrefill, in.RequestID, in.Model); err != nil {
		return nil, err
	}
	switch {
	case tokens > e.params.MaxPromptTokens || tokens > e.params.CapacityTokens:
		return nil, fail(http.StatusBadRequest, "prompt_too_long",
			"the prompt has %d tokens, the limit is %d", tokens, e.params.MaxPromptTokens)
	case len(b.queue) >= e.opts.QueueLimit:
		return nil, fail(http.StatusServiceUnavailable, "busy", "%d prefills wait", len(b.queue))
	case b.requests[in.RequestID] != nil:
		return nil, errDuplicate(in.RequestID)
	}
	req := b.addLocked(in.RequestID, phasePrefill, in.Priority)
	req.prompt, req.tokens = in.Prompt, tokens
	b.queue = append(b.queue, req)
	wake(b.wakePrefill)
	return req, nil
}

func errDuplicate(id string) *apiError {
	return fail(http.StatusConflict, "duplicate", "request_id %q is in use", id)
}

// checkLocked checks what prefills, imports and decodes have in common. An
// empty model is not checked.
func (b *boot) checkLocked(ctx context.Context, role Role, id, model string) *apiError {
	switch {
	case ctx.Err() != nil:
		// The call came over a connection of an earlier life of the engine, or
		// its caller has left.
		return errDied()
	case id == "":
		return fail(http.StatusBadRequest, "malformed", "request_id is empty")
	case b.role != role:
		return fail(http.StatusConflict, "wrong_role", "the engine's role is %s", b.role)
	case b.models != nil && model != "" && !b.models[model]:
		return fail(http.StatusConflict, "model_not_loaded", "model %q is not loaded", model)
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
		case <-b.wakePrefill:
		case <-b.ctx.Done():
		}
	}
}

// nextPrefill takes the first prefill from the queue once its memory is free.
func (e *Engine) nextPrefill(b *boot) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(b.queue) == 0 {
		return nil
	}
	req := first(b.queue)
	if !b.growLocked(req, req.tokens) {
		return nil
	}
	b.queue = without(b.queue, req)
	b.handles++
	req.handle = fmt.Sprintf("%s-%d", b.id, b.handles)
	req.usesOutput = true
	e.journal.open(req.handle, e.opts.Name)
	req.run = e.journal.start(Execution{RequestID: req.id, Engine: e.opts.Name, BootID: b.id, Kind: ExecutionPrefill})
	e.poisonLocked(req, e.opts.PoisonMarker)
	return req
}

func (e *Engine) runPrefill(b *boot, req *request) {
	prefixes := costmodel.Prefixes(req.prompt, e.params.BlockTokens)
	prefixes = prefixes[:min(len(prefixes), e.params.CachedBlocks(req.tokens)+1)]
	e.mu.Lock()
	hit := min(b.cache.match(prefixes), e.params.CachedBlocks(req.tokens))
	e.mu.Unlock()
	req.cached = hit * e.params.BlockTokens
	if e.compute(req.ctx, e.params.PrefillFixed) < 1 {
		return
	}
	for rest := req.tokens - req.cached; rest > 0 && req.ctx.Err() == nil; {
		n := min(rest, prefillSlice)
		done := e.compute(req.ctx, e.params.ComputeTime(n))
		e.countPrefill(req, int(float64(n)*done))
		rest -= n
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.over || b.ctx.Err() != nil {
		return
	}
	b.cache.store(prefixes)
	e.journal.end(req.run, Finished)
	req.phase = phaseHeld
	b.holds[req.handle] = req
	req.progress = time.Now()
	req.evict = time.AfterFunc(e.params.HoldTime, func() { e.evict(req) })
	req.answerLocked(nil)
}

func (e *Engine) countPrefill(req *request, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillTokens += tokens
	e.journal.addTokens(req.run, tokens)
	if req.over {
		// A cancel has settled the output during this slice; charge the rest.
		e.journal.addWasted(e.opts.Name, tokens)
		return
	}
	e.journal.addComputed(req.handle, tokens)
}

// evict ends a hold when it is due. A transfer that makes progress extends the
// hold; one that stalls for a whole hold time does not.
func (e *Engine) evict(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case req.over || e.closed:
	case e.server.Paused():
		req.evict.Reset(pausedRetry)
	case req.transfers > 0 && time.Since(req.progress) < e.params.HoldTime:
		req.evict.Reset(e.params.HoldTime - time.Since(req.progress))
	default:
		req.boot.endLocked(req, Finished, errEvicted(req.handle))
	}
}

func (e *Engine) release(_ *http.Request, in releaseCall) (struct{}, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req := e.boot.holds[in.Handle]; req != nil {
		e.boot.endLocked(req, Finished, nil)
	}
	return struct{}{}, nil
}

// poisonLocked crashes the engine a little later if the prompt contains marker.
func (e *Engine) poisonLocked(req *request, markers ...string) {
	for _, marker := range markers {
		if marker == "" || !strings.Contains(req.prompt, marker) || e.closed {
			continue
		}
		e.background.Go(func() { e.crashAfter(req.ctx, req.boot) })
		return
	}
}

func (e *Engine) crashAfter(ctx context.Context, b *boot) {
	if sleep(ctx, e.opts.PoisonWait) {
		e.crashBoot(b, e.opts.CrashDown)
	}
}
