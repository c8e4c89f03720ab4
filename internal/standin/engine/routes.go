package engine

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /v1/info", jsonHandler(e.handleInfo))
	mux.Handle("POST /v1/prefill", jsonHandler(e.handlePrefill))
	mux.Handle("POST /v1/kv/release", jsonHandler(e.handleRelease))
	mux.HandleFunc("GET /v1/kv/{handle}", e.handleSendKV)
	mux.Handle("POST /v1/kv/import", jsonHandler(e.handleImportKV))
	mux.HandleFunc("POST /v1/decode", e.handleDecode)
	mux.Handle("POST /v1/cancel", jsonHandler(e.handleCancel))
	mux.Handle("GET /v1/requests", jsonHandler(e.handleRequests))
	mux.Handle("GET /v1/load", jsonHandler(e.handleLoad))
	mux.Handle("GET /v1/cache/events", jsonHandler(e.handleCacheEvents))
	mux.Handle("POST /v1/orders", jsonHandler(e.handleOrder))
	mux.Handle("GET /v1/orders/current", jsonHandler(e.handleCurrentOrder))
	return mux
}

func (e *Engine) handleInfo(*http.Request, struct{}) (infoResponse, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return infoResponse{
		BootID:                 e.boot.id,
		Role:                   e.boot.role,
		Slots:                  e.params.Slots,
		CapacityTokens:         e.params.CapacityTokens,
		ChunkTokens:            e.params.ChunkTokens,
		MaxPromptTokens:        e.params.MaxPromptTokens,
		KVBytesPerToken:        e.params.KVBytesPerToken,
		PrefillTokensPerSecond: e.params.PrefillTokensPerSecond,
		LinkBytesPerSecond:     e.params.LinkBytesPerSecond,
	}, nil
}

func (e *Engine) handleCancel(_ *http.Request, in cancelRequest) (cancelResponse, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req := e.boot.requests[in.RequestID]
	if req == nil {
		return cancelResponse{}, nil
	}
	return cancelResponse{FreedTokens: e.boot.endRequestLocked(req, OutcomeCancelled, errCancelled())}, nil
}

func (e *Engine) handleRequests(*http.Request, struct{}) (requestsResponse, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := requestsResponse{Requests: make([]requestState, 0, len(e.boot.requests))}
	for _, r := range e.boot.requests {
		reply.Requests = append(reply.Requests, requestState{
			RequestID: r.id, Phase: r.phase, HeldTokens: r.chunks * e.params.ChunkTokens,
		})
	}
	slices.SortFunc(reply.Requests, func(a, b requestState) int { return strings.Compare(a.RequestID, b.RequestID) })
	return reply, nil
}

func (e *Engine) handleLoad(*http.Request, struct{}) (loadResponse, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := e.boot.visibleLoadLocked()
	return loadResponse{
		Running:        visible.running,
		Slots:          e.params.Slots,
		HeldTokens:     visible.usedChunks * e.params.ChunkTokens,
		CapacityTokens: e.params.CapacityTokens,
		AgeMS:          e.opts.LoadLag.Milliseconds(),
	}, nil
}

func (e *Engine) handleCacheEvents(r *http.Request, _ struct{}) (eventsResponse, *apiError) {
	after := uint64(0)
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return eventsResponse{}, newAPIError(http.StatusBadRequest, "malformed", "after: %v", err)
		}
		after = n
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot.cache.eventsAfter(after, e.opts.EventLag), nil
}
