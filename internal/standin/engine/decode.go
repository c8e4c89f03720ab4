package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// decodeStream answers POST /v1/decode.
func (e *Engine) decodeStream(w http.ResponseWriter, r *http.Request) {
	var in decodeCall
	if err := readCall(w, r, &in); err != nil {
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
		case <-st.more:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) takeLines(st *stream) ([]decodeLine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lines := st.lines
	st.lines = nil
	return lines, st.done
}

func (e *Engine) enqueueDecode(ctx context.Context, in decodeCall) (*stream, *apiError) {
	tokens := max(1, costmodel.CountTokens(in.Prompt))
	seed := costmodel.SeedOf(in.Prompt)
	end, finish := e.params.LengthOf(seed, in.MaxTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if err := b.checkLocked(ctx, RoleDecode, in.RequestID, in.Model); err != nil {
		return nil, err
	}
	req := b.requests[in.RequestID]
	switch {
	case req == nil || req.phase == phaseImporting:
		return nil, fail(http.StatusNotFound, "not_imported", "no import of %q has ended", in.RequestID)
	case req.phase != phaseImported:
		return nil, errDuplicate(in.RequestID)
	}
	if need := tokens + in.ResumeTokens + 1; !b.growLocked(req, need) {
		return nil, errNoMemory(e.params.ChunksFor(need)-req.chunks, b.freeLocked())
	}
	e.journal.end(req.run, Finished)
	req.phase, req.priority = phaseDecoding, in.Priority
	req.prompt, req.tokens = in.Prompt, tokens
	req.stream = &stream{
		seed: seed, index: in.ResumeTokens, end: end, finish: finish, more: make(chan struct{}, 1),
	}
	if missing := tokens + in.ResumeTokens - req.imported; missing > 0 {
		req.stream.recompute = e.params.ComputeTime(missing)
	}
	b.waiting = append(b.waiting, req)
	wake(b.wakeDecode)
	return req.stream, nil
}

// closeLocked ends the stream; err, when not nil, is its last line.
func (st *stream) closeLocked(err *apiError) {
	if err != nil {
		st.lines = append(st.lines, decodeLine{Index: st.index, Error: err})
	}
	st.done = true
	wake(st.more)
}

// decodeLoop runs the decode steps: in each, every running stream puts out one token.
func (e *Engine) decodeLoop(b *boot) {
	for b.ctx.Err() == nil {
		n, recompute := e.admit(b)
		if n == 0 {
			select {
			case <-b.wakeDecode:
			case <-b.ctx.Done():
			}
			continue
		}
		if e.compute(b.ctx, e.params.StepTime(n)+recompute) == 1 {
			e.step(b)
		}
	}
}

// admit gives free slots to the streams that wait. It returns the number of
// running streams and the time that recomputing missing tokens adds to the step.
func (e *Engine) admit(b *boot) (int, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var recompute time.Duration
	for len(b.waiting) > 0 && len(b.running) < e.params.Slots {
		req := first(b.waiting)
		b.waiting = without(b.waiting, req)
		b.running = append(b.running, req)
		recompute += req.stream.recompute
		req.run = e.journal.start(Execution{
			RequestID: req.id, Engine: e.opts.Name, BootID: b.id, Kind: ExecutionDecode, FirstIndex: req.stream.index,
		})
		e.poisonLocked(req, e.opts.PoisonMarker, e.opts.PoisonDecodeMarker)
		b.sampleLocked()
	}
	return len(b.running), recompute
}

func (e *Engine) step(b *boot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	for _, req := range append([]*request(nil), b.running...) {
		e.emitLocked(b, req)
	}
}

// emitLocked puts out one token of a stream.
func (e *Engine) emitLocked(b *boot, req *request) {
	st := req.stream
	if st.index >= st.end {
		// Resumed after its last token: only the reason is missing.
		st.lines = append(st.lines, decodeLine{Index: st.index, FinishReason: st.finish})
		e.journal.produced(req.handle)
		b.endLocked(req, Finished, nil)
		return
	}
	if need := req.tokens + st.index + 1; !b.growLocked(req, need) {
		b.endLocked(req, Failed, errNoMemory(e.params.ChunksFor(need)-req.chunks, b.freeLocked()))
		return
	}
	line := decodeLine{Index: st.index, Text: st.seed.Text(st.index)}
	st.index++
	if st.index == st.end {
		line.FinishReason = st.finish
	}
	st.lines = append(st.lines, line)
	e.journal.addTokens(req.run, 1)
	e.journal.produced(req.handle)
	wake(st.more)
	if st.index == st.end {
		b.endLocked(req, Finished, nil)
	}
}
