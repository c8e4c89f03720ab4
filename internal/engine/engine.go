// Package engine is the client of a model engine's HTTP API (docs/engine-api.md).
//
// Client is the interface that the sidecar works against; HTTP implements it.
// Every call has a deadline, and a call that runs into it also drops the idle
// connections, because a connection that has gone silent accepts requests for
// good and answers none of them.
package engine

import (
	"context"
	"encoding/json"
	"time"
)

// Role tells which half of a model request an engine runs.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Phase is the step at which an engine holds a request.
type Phase string

// The phases of a request in an engine.
const (
	PhasePrefill   Phase = "prefill"
	PhaseHeld      Phase = "held"
	PhaseImporting Phase = "importing"
	PhaseImported  Phase = "imported"
	PhaseDecoding  Phase = "decoding"
)

// Info describes an engine. BootID changes each time the engine starts.
type Info struct {
	BootID             string  `json:"boot_id"`
	Role               Role    `json:"role"`
	Slots              int     `json:"slots"`
	CapacityTokens     int     `json:"capacity_tokens"`
	ChunkTokens        int     `json:"chunk_tokens"`
	MaxPromptTokens    int     `json:"max_prompt_tokens"`
	KVBytesPerToken    int64   `json:"kv_bytes_per_token"`
	PrefillTokensPerS  float64 `json:"prefill_tokens_per_s"`
	LinkBytesPerSecond float64 `json:"link_bytes_per_s"`
}

// PrefillRequest asks for the prefill of a prompt.
type PrefillRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Priority  int    `json:"priority"`
	// Timeout bounds the call; it is not sent. 0 selects DefaultWorkTimeout.
	Timeout time.Duration `json:"-"`
}

// PrefillResult tells where the output of a prefill is held, and for how long.
type PrefillResult struct {
	Handle       string `json:"handle"`
	PromptTokens int    `json:"tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	HoldMS       int64  `json:"hold_ms"`
}

// ImportRequest asks a decode engine to pull a prefill output.
type ImportRequest struct {
	RequestID     string `json:"request_id"`
	SourceURL     string `json:"source_url"`
	Handle        string `json:"handle"`
	ReserveTokens int    `json:"reserve_tokens"`
	// Timeout bounds the call; it is not sent. 0 selects DefaultWorkTimeout.
	Timeout time.Duration `json:"-"`
}

// ImportResult tells how much memory an imported request holds.
type ImportResult struct {
	HeldTokens int `json:"held_tokens"`
}

// DecodeRequest asks for the output of an imported request.
type DecodeRequest struct {
	RequestID    string `json:"request_id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	ResumeTokens int    `json:"resume_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	// Sampling is a JSON object that the engine takes as it is; empty for none.
	Sampling json.RawMessage `json:"sampling,omitempty"`
}

// Token is one line of a decode stream. The last line has a FinishReason and
// may have no text.
type Token struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// TokenStream is the output of a decode.
type TokenStream interface {
	// Next returns the next line. It fails with ErrSilent when no line comes
	// within IdleTimeout, and with ErrUnreachable when the stream ends
	// before the line with the finish reason.
	Next() (Token, error)
	// Close ends the stream; it does not cancel the request in the engine.
	Close() error
}

// CancelResult tells how much memory a cancel has freed.
type CancelResult struct {
	FreedTokens int `json:"freed_tokens"`
}

// RequestInfo is one request that the engine knows.
type RequestInfo struct {
	RequestID  string `json:"request_id"`
	Phase      Phase  `json:"phase"`
	HeldTokens int    `json:"held_tokens"`
}

// Load is the engine's own report of its load, which lags by AgeMS.
type Load struct {
	Running        int   `json:"running"`
	Slots          int   `json:"slots"`
	HeldTokens     int   `json:"held_tokens"`
	CapacityTokens int   `json:"capacity_tokens"`
	AgeMS          int64 `json:"age_ms"`
}

// CacheEvent tells that a prompt prefix was stored or evicted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
}

// CacheEvents is a page of cache events. Gap tells that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
}

// OrderKind names what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderSetRole     OrderKind = "set_role"
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
)

// Order tells the engine to change its role or its models. Fencing is the
// token of the issuer's lease.
type Order struct {
	ID      string    `json:"id"`
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	Role    Role      `json:"role,omitempty"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
}

// SameEffect reports whether both orders ask for the same state.
func (o Order) SameEffect(other Order) bool {
	return o.Kind == other.Kind && o.Role == other.Role && o.Model == other.Model && o.Version == other.Version
}

// Client is a model engine.
type Client interface {
	Health(ctx context.Context) error
	Info(ctx context.Context) (Info, error)
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	Release(ctx context.Context, handle string) error
	Import(ctx context.Context, r ImportRequest) (ImportResult, error)
	Decode(ctx context.Context, r DecodeRequest) (TokenStream, error)
	Cancel(ctx context.Context, requestID string) (CancelResult, error)
	Requests(ctx context.Context) ([]RequestInfo, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	IssueOrder(ctx context.Context, o Order) error
	// CurrentOrder returns the order in force; ok is false when there is none.
	CurrentOrder(ctx context.Context) (o Order, ok bool, err error)
}
