package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// handleDecode handles POST /v1/decode.
func (e *Engine) handleDecode(w http.ResponseWriter, r *http.Request) {
	var in decodeRequest
	if err := decodeBody(w, r, &in); err != nil {
		writeError(w, err)
		return
	}
	st, err := e.enqueueDecode(r.Context(), in)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	enc := json.NewEncoder(w)
	for {
		lines, done := e.takeLines(st)
		for _, line := range lines {
			if line.Error != nil && line.Error.status == 0 {
				panic(http.ErrAbortHandler)
			}
			if enc.Encode(line) != nil || flush() != nil {
				return
			}
		}
		if done {
			return
		}
		select {
		case <-st.updated:
		case <-r.Context().Done():
			return
		}
	}
}

// takeLines returns the lines that were not sent yet and whether the stream has
// ended.
func (e *Engine) takeLines(st *stream) ([]decodeLine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lines := st.lines
	st.lines = nil
	return lines, st.closed
}

// enqueueDecode queues the decode of an imported request and returns its output
// stream.
func (e *Engine) enqueueDecode(ctx context.Context, in decodeRequest) (*stream, *apiError) {
	tokens := max(1, costmodel.CountTokens(in.Prompt))
	seed := costmodel.SeedOf(in.Prompt)
	end, finishReason := e.params.OutputLengthForSeed(seed, in.MaxTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if err := b.validateLocked(ctx, RoleDecode, in.RequestID, in.Model); err != nil {
		return nil, err
	}
	req := b.requests[in.RequestID]
	switch {
	case req == nil || req.phase == phaseImporting:
		return nil, newAPIError(http.StatusNotFound, "not_imported", "no import of %q has ended", in.RequestID)
	case req.phase != phaseImported:
		return nil, errDuplicate(in.RequestID)
	}
	if need := tokens + in.ResumeTokens + 1; !b.reserveLocked(req, need) {
		return nil, errNoMemory(e.params.ChunksFor(need)-req.chunks, b.freeChunksLocked())
	}
	e.journal.endExecution(req.execution, OutcomeFinished)
	req.phase, req.priority = phaseDecoding, in.Priority
	req.prompt, req.promptTokens = in.Prompt, tokens
	req.stream = &stream{
		seed: seed, nextIndex: in.ResumeTokens, endIndex: end, finishReason: finishReason, updated: make(chan struct{}, 1),
	}
	if missing := tokens + in.ResumeTokens - req.importedTokens; missing > 0 {
		req.stream.recomputeTime = e.params.ComputeTime(missing)
	}
	b.decodeQueue = append(b.decodeQueue, req)
	signal(b.decodeSignal)
	return req.stream, nil
}

// closeLocked ends the stream. If err is not nil, it becomes the last line.
func (st *stream) closeLocked(err *apiError) {
	if err != nil {
		st.lines = append(st.lines, decodeLine{Index: st.nextIndex, Error: err})
	}
	st.closed = true
	signal(st.updated)
}

// decodeLoop runs the decode steps of one boot. In each step, every running
// stream produces one token.
func (e *Engine) decodeLoop(b *boot) {
	for b.ctx.Err() == nil {
		n, recompute := e.admitDecodes(b)
		if n == 0 {
			select {
			case <-b.decodeSignal:
			case <-b.ctx.Done():
			}
			continue
		}
		if e.simulateCompute(b.ctx, e.params.StepTime(n)+recompute) == 1 {
			e.runDecodeStep(b)
		}
	}
}

// admitDecodes assigns the free slots to the waiting streams. It returns the
// number of running streams and the time that computing their missing tokens adds
// to the next step.
func (e *Engine) admitDecodes(b *boot) (int, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var recompute time.Duration
	for len(b.decodeQueue) > 0 && len(b.running) < e.params.Slots {
		req := nextByPriority(b.decodeQueue)
		b.decodeQueue = removeRequest(b.decodeQueue, req)
		b.running = append(b.running, req)
		recompute += req.stream.recomputeTime
		req.execution = e.journal.startExecution(Execution{
			RequestID: req.id, Engine: e.opts.Name, BootID: b.id, Kind: ExecutionDecode, FirstIndex: req.stream.nextIndex,
		})
		e.scheduleCrashIfPoisonedLocked(req, e.opts.PoisonMarker, e.opts.PoisonDecodeMarker)
		b.recordLoadLocked()
	}
	return len(b.running), recompute
}

// runDecodeStep produces one token of each running stream.
func (e *Engine) runDecodeStep(b *boot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	for _, req := range append([]*request(nil), b.running...) {
		e.emitTokenLocked(b, req)
	}
}

// emitTokenLocked produces one token of a stream. It ends the request after the
// last token, and when there is no memory for the token.
func (e *Engine) emitTokenLocked(b *boot, req *request) {
	st := req.stream
	if st.nextIndex >= st.endIndex {
		// The stream was resumed after its last token, so only the finish reason is
		// missing.
		st.lines = append(st.lines, decodeLine{Index: st.nextIndex, FinishReason: st.finishReason})
		e.journal.markTokenProduced(req.handle)
		b.endRequestLocked(req, OutcomeFinished, nil)
		return
	}
	if need := req.promptTokens + st.nextIndex + 1; !b.reserveLocked(req, need) {
		b.endRequestLocked(req, OutcomeFailed, errNoMemory(e.params.ChunksFor(need)-req.chunks, b.freeChunksLocked()))
		return
	}
	line := decodeLine{Index: st.nextIndex, Text: st.seed.TokenText(st.nextIndex)}
	st.nextIndex++
	if st.nextIndex == st.endIndex {
		line.FinishReason = st.finishReason
	}
	st.lines = append(st.lines, line)
	e.journal.addTokens(req.execution, 1)
	e.journal.markTokenProduced(req.handle)
	signal(st.updated)
	if st.nextIndex == st.endIndex {
		b.endRequestLocked(req, OutcomeFinished, nil)
	}
}
