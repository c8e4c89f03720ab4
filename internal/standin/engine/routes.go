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
	mux.Handle("GET /v1/info", handle(e.info))
	mux.Handle("POST /v1/prefill", handle(e.prefill))
	mux.Handle("POST /v1/kv/release", handle(e.release))
	mux.HandleFunc("GET /v1/kv/{handle}", e.sendKV)
	mux.Handle("POST /v1/kv/import", handle(e.importKV))
	mux.HandleFunc("POST /v1/decode", e.decodeStream)
	mux.Handle("POST /v1/cancel", handle(e.cancel))
	mux.Handle("GET /v1/requests", handle(e.requests))
	mux.Handle("GET /v1/load", handle(e.load))
	mux.Handle("GET /v1/cache/events", handle(e.events))
	mux.Handle("POST /v1/orders", handle(e.order))
	mux.Handle("GET /v1/orders/current", handle(e.currentOrder))
	return mux
}

func (e *Engine) info(*http.Request, struct{}) (infoReply, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return infoReply{
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

func (e *Engine) cancel(_ *http.Request, in cancelCall) (cancelReply, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req := e.boot.requests[in.RequestID]
	if req == nil {
		return cancelReply{}, nil
	}
	return cancelReply{FreedTokens: e.boot.endLocked(req, OutcomeCancelled, errCancelled())}, nil
}

func (e *Engine) requests(*http.Request, struct{}) (requestsReply, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := requestsReply{Requests: make([]requestState, 0, len(e.boot.requests))}
	for _, r := range e.boot.requests {
		reply.Requests = append(reply.Requests, requestState{
			RequestID: r.id, Phase: r.phase, HeldTokens: r.chunks * e.params.ChunkTokens,
		})
	}
	slices.SortFunc(reply.Requests, func(a, b requestState) int { return strings.Compare(a.RequestID, b.RequestID) })
	return reply, nil
}

func (e *Engine) load(*http.Request, struct{}) (loadReply, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.boot.visibleLoadLocked()
	return loadReply{
		Running:        seen.running,
		Slots:          e.params.Slots,
		HeldTokens:     seen.used * e.params.ChunkTokens,
		CapacityTokens: e.params.CapacityTokens,
		AgeMS:          e.opts.LoadLag.Milliseconds(),
	}, nil
}

func (e *Engine) events(r *http.Request, _ struct{}) (eventsReply, *apiError) {
	after := uint64(0)
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return eventsReply{}, fail(http.StatusBadRequest, "malformed", "after: %v", err)
		}
		after = n
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot.cache.after(after, e.opts.EventLag), nil
}
