package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// transferSlice is the number of bytes that a transfer moves between two looks
// at the link's faults and other users.
const transferSlice = 64 << 10

// sendKV answers GET /v1/kv/{handle}.
func (e *Engine) sendKV(w http.ResponseWriter, r *http.Request) {
	req := e.beginSend(r.PathValue("handle"))
	if req == nil {
		writeError(w, errEvicted(r.PathValue("handle")))
		return
	}
	defer e.endSend(req)
	total := e.params.KVBytes(req.tokens)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	buf := make([]byte, transferSlice)
	flush := http.NewResponseController(w).Flush
	for sent := int64(0); sent < total; {
		n := min(transferSlice, total-sent)
		if !e.pace(r.Context(), n, func() int { return req.boot.sending }) || !e.isHeld(req) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buf[:n]); err != nil || flush() != nil {
			return
		}
		sent += n
		e.noteProgress(req)
	}
	if e.opts.Journal == nil {
		e.journal.produced(req.handle)
	}
}

func (e *Engine) beginSend(handle string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	req := e.boot.holds[handle]
	if req != nil {
		req.transfers++
		e.boot.sending++
	}
	return req
}

func (e *Engine) endSend(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req.transfers--
	req.boot.sending--
}

func (e *Engine) isHeld(req *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !req.over
}

func (e *Engine) noteProgress(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req.progress = time.Now()
}

// pace waits until the link has passed n bytes of one of its transfers.
func (e *Engine) pace(ctx context.Context, n int64, sharers func() int) bool {
	for {
		if e.server.Gate(ctx) != nil {
			return false
		}
		e.mu.Lock()
		stalled, d := e.stalled, e.params.TransferTime(n, sharers())
		e.mu.Unlock()
		if stalled == nil {
			return sleep(ctx, d)
		}
		select {
		case <-stalled:
		case <-ctx.Done():
			return false
		}
	}
}

// importKV answers POST /v1/kv/import.
func (e *Engine) importKV(r *http.Request, in importCall) (importReply, *apiError) {
	req, err := e.beginImport(r.Context(), in)
	if err != nil {
		return importReply{}, err
	}
	// The transfer goes on when the caller's connection ends, but the handler
	// must not outlive the engine: req.ctx ends with it.
	tokens, err := e.pull(req, in)
	e.mu.Lock()
	defer e.mu.Unlock()
	b := req.boot
	b.reading--
	switch {
	case req.over:
		return importReply{}, req.err
	case err != nil:
		b.endLocked(req, Failed, err)
		return importReply{}, err
	}
	e.journal.addTokens(req.run, tokens)
	e.journal.end(req.run, Finished)
	req.imported = tokens
	req.phase = phaseImported
	return importReply{HeldTokens: req.chunks * e.params.ChunkTokens}, nil
}

func (e *Engine) beginImport(ctx context.Context, in importCall) (*request, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if err := b.checkLocked(ctx, RoleDecode, in.RequestID, ""); err != nil {
		return nil, err
	}
	if b.requests[in.RequestID] != nil {
		return nil, errDuplicate(in.RequestID)
	}
	if need := e.params.ChunksFor(in.ReserveTokens); need > b.freeLocked() {
		return nil, errNoMemory(need, b.freeLocked())
	}
	req := b.addLocked(in.RequestID, phaseImporting, 0)
	b.growLocked(req, in.ReserveTokens)
	b.reading++
	req.handle = in.Handle
	req.usesOutput = e.journal.use(in.Handle)
	req.run = e.journal.start(Execution{RequestID: req.id, Engine: e.opts.Name, BootID: b.id, Kind: ExecutionImport})
	return req, nil
}

// pull reads a prefill output from its source and returns its tokens.
func (e *Engine) pull(req *request, in importCall) (int, *apiError) {
	url := strings.TrimSuffix(in.SourceURL, "/") + "/v1/kv/" + in.Handle
	get, err := http.NewRequestWithContext(req.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fail(http.StatusBadRequest, "malformed", "source_url: %v", err)
	}
	resp, err := e.client.Do(get)
	if err != nil {
		return 0, errTransfer(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return 0, errEvicted(in.Handle)
	}
	if resp.StatusCode != http.StatusOK || resp.ContentLength < 0 {
		return 0, fail(http.StatusBadGateway, "transfer_failed", "the source answered %s", resp.Status)
	}
	tokens := int(resp.ContentLength / e.params.KVBytesPerToken)
	if err := e.growImport(req, tokens); err != nil {
		return 0, err
	}
	return tokens, e.readKV(req, resp)
}

func (e *Engine) growImport(req *request, tokens int) *apiError {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := req.boot
	if !req.over && !b.growLocked(req, tokens) {
		return errNoMemory(e.params.ChunksFor(tokens)-req.chunks, b.freeLocked())
	}
	return nil
}

// readKV reads the KV bytes at the rate of this end's link.
func (e *Engine) readKV(req *request, resp *http.Response) *apiError {
	for rest := resp.ContentLength; rest > 0; {
		n := min(transferSlice, rest)
		if _, err := io.CopyN(io.Discard, resp.Body, n); err != nil {
			return errTransfer(err)
		}
		if !e.pace(req.ctx, n, func() int { return req.boot.reading }) {
			return errTransfer(req.ctx.Err())
		}
		rest -= n
	}
	return nil
}

func errTransfer(err error) *apiError {
	return fail(http.StatusBadGateway, "transfer_failed", "cannot read the KV cache: %v", err)
}
