package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// transferSliceBytes is the number of bytes that a transfer moves before it checks
// for faults of the link and adapts its rate to the other transfers.
const transferSliceBytes = 64 << 10

// handleSendKV handles GET /v1/kv/{handle}.
func (e *Engine) handleSendKV(w http.ResponseWriter, r *http.Request) {
	req := e.beginSend(r.PathValue("handle"))
	if req == nil {
		writeError(w, errEvicted(r.PathValue("handle")))
		return
	}
	defer e.endSend(req)
	total := e.params.KVBytes(req.promptTokens)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	buf := make([]byte, transferSliceBytes)
	flush := http.NewResponseController(w).Flush
	for sent := int64(0); sent < total; {
		n := min(transferSliceBytes, total-sent)
		if !e.waitForLink(r.Context(), n, func() int { return req.boot.outgoingTransfers }) || !e.isHeld(req) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buf[:n]); err != nil || flush() != nil {
			return
		}
		sent += n
		e.recordProgress(req)
	}
	if e.opts.Journal == nil {
		e.journal.markTokenProduced(req.handle)
	}
}

// beginSend returns the request whose output is held under handle and registers a
// transfer of it. It returns nil when there is no such output.
func (e *Engine) beginSend(handle string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	req := e.boot.heldOutputs[handle]
	if req != nil {
		req.activeTransfers++
		e.boot.outgoingTransfers++
	}
	return req
}

// endSend ends the count of a transfer that reads the prefill output of req.
func (e *Engine) endSend(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req.activeTransfers--
	req.boot.outgoingTransfers--
}

func (e *Engine) isHeld(req *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !req.terminated
}

func (e *Engine) recordProgress(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req.lastProgress = time.Now()
}

// waitForLink waits as long as the link takes for n bytes of one of its transfers.
// It reports false when ctx ends first.
func (e *Engine) waitForLink(ctx context.Context, n int64, sharers func() int) bool {
	for {
		if e.server.WaitWhilePaused(ctx) != nil {
			return false
		}
		e.mu.Lock()
		stalled, d := e.stallEnded, e.params.TransferTime(n, sharers())
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

// handleImportKV handles POST /v1/kv/import.
func (e *Engine) handleImportKV(r *http.Request, in importRequest) (importResponse, *apiError) {
	req, err := e.beginImport(r.Context(), in)
	if err != nil {
		return importResponse{}, err
	}
	// The transfer continues when the caller's connection ends. It uses req.ctx,
	// which a crash cancels, so that the handler does not outlive the boot.
	tokens, err := e.fetchKV(req, in)
	e.mu.Lock()
	defer e.mu.Unlock()
	b := req.boot
	b.incomingTransfers--
	switch {
	case req.terminated:
		return importResponse{}, req.err
	case err != nil:
		b.endRequestLocked(req, OutcomeFailed, err)
		return importResponse{}, err
	}
	e.journal.addTokens(req.execution, tokens)
	e.journal.endExecution(req.execution, OutcomeFinished)
	req.importedTokens = tokens
	req.phase = phaseImported
	return importResponse{HeldTokens: req.chunks * e.params.ChunkTokens}, nil
}

// beginImport reserves the memory of an import and registers the request.
func (e *Engine) beginImport(ctx context.Context, in importRequest) (*request, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if err := b.validateLocked(ctx, RoleDecode, in.RequestID, ""); err != nil {
		return nil, err
	}
	if b.requests[in.RequestID] != nil {
		return nil, errDuplicate(in.RequestID)
	}
	if need := e.params.ChunksFor(in.ReserveTokens); need > b.freeChunksLocked() {
		return nil, errNoMemory(need, b.freeChunksLocked())
	}
	req := b.addRequestLocked(in.RequestID, phaseImporting, 0)
	b.reserveLocked(req, in.ReserveTokens)
	b.incomingTransfers++
	req.handle = in.Handle
	req.usesOutput = e.journal.addOutputUser(in.Handle)
	req.execution = e.journal.startExecution(Execution{RequestID: req.id, Engine: e.opts.Name, BootID: b.id, Kind: ExecutionImport})
	return req, nil
}

// fetchKV reads a prefill output from its source and returns its number of
// tokens.
func (e *Engine) fetchKV(req *request, in importRequest) (int, *apiError) {
	url := strings.TrimSuffix(in.SourceURL, "/") + "/v1/kv/" + in.Handle
	httpReq, err := http.NewRequestWithContext(req.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, newAPIError(http.StatusBadRequest, "malformed", "source_url: %v", err)
	}
	resp, err := e.client.Do(httpReq)
	if err != nil {
		return 0, errTransfer(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return 0, errEvicted(in.Handle)
	}
	if resp.StatusCode != http.StatusOK || resp.ContentLength < 0 {
		return 0, newAPIError(http.StatusBadGateway, "transfer_failed", "the source answered %s", resp.Status)
	}
	tokens := int(resp.ContentLength / e.params.KVBytesPerToken)
	if err := e.reserveImport(req, tokens); err != nil {
		return 0, err
	}
	return tokens, e.readKV(req, resp)
}

// reserveImport grows the memory of an import to the size of the output.
func (e *Engine) reserveImport(req *request, tokens int) *apiError {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := req.boot
	if !req.terminated && !b.reserveLocked(req, tokens) {
		return errNoMemory(e.params.ChunksFor(tokens)-req.chunks, b.freeChunksLocked())
	}
	return nil
}

// readKV reads the response body at the rate of the importing engine's link.
func (e *Engine) readKV(req *request, resp *http.Response) *apiError {
	for remaining := resp.ContentLength; remaining > 0; {
		n := min(transferSliceBytes, remaining)
		if _, err := io.CopyN(io.Discard, resp.Body, n); err != nil {
			return errTransfer(err)
		}
		if !e.waitForLink(req.ctx, n, func() int { return req.boot.incomingTransfers }) {
			return errTransfer(req.ctx.Err())
		}
		remaining -= n
	}
	return nil
}

func errTransfer(err error) *apiError {
	return newAPIError(http.StatusBadGateway, "transfer_failed", "cannot read the KV cache: %v", err)
}
