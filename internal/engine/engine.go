// Package engine contains the client of a model engine's HTTP API
// (docs/engine-api.md).
//
// Client is the interface that the sidecar uses; HTTPClient implements it.
// Every call has a timeout. A call that times out also closes the idle
// connections, because a connection that no longer passes data stays open and
// would let every later request time out as well.
package engine

import (
	"context"
	"encoding/json"
	"time"
)

// Role is the stage of a model request that an engine runs.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Phase is the processing state of a request in an engine.
type Phase string

// The phases of a request in an engine.
const (
	PhasePrefill   Phase = "prefill"
	PhaseHeld      Phase = "held"
	PhaseImporting Phase = "importing"
	PhaseImported  Phase = "imported"
	PhaseDecoding  Phase = "decoding"
)

// Info describes an engine's identity, role and capacity. BootID changes each
// time the engine starts.
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

// PrefillResult identifies the output of a prefill and states how long the
// engine holds it.
type PrefillResult struct {
	Handle       string `json:"handle"`
	PromptTokens int    `json:"tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	HoldMS       int64  `json:"hold_ms"`
}

// ImportRequest asks a decode engine to fetch a prefill output from the prefill
// engine that holds it.
type ImportRequest struct {
	RequestID     string `json:"request_id"`
	SourceURL     string `json:"source_url"`
	Handle        string `json:"handle"`
	ReserveTokens int    `json:"reserve_tokens"`
	// Timeout bounds the call; it is not sent. 0 selects DefaultWorkTimeout.
	Timeout time.Duration `json:"-"`
}

// ImportResult states how much memory, in tokens, the decode engine holds for the
// request after the import.
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
	// Sampling is a JSON object that is passed to the engine unchanged; empty
	// means no sampling parameters.
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
	// Next returns the next line, and io.EOF after the line with the finish
	// reason. It fails with ErrTimeout when no line arrives within
	// DecodeIdleTimeout, and with ErrUnreachable when the stream ends before
	// the line with the finish reason.
	Next() (Token, error)
	// Close ends the stream; it does not cancel the request in the engine.
	Close() error
}

// CancelResult states how much memory, in tokens, a cancellation has freed.
type CancelResult struct {
	FreedTokens int `json:"freed_tokens"`
}

// RequestInfo describes one request that the engine is processing.
type RequestInfo struct {
	RequestID  string `json:"request_id"`
	Phase      Phase  `json:"phase"`
	HeldTokens int    `json:"held_tokens"`
}

// Load is the load that the engine reports. The figures are AgeMS old.
type Load struct {
	Running        int   `json:"running"`
	Slots          int   `json:"slots"`
	HeldTokens     int   `json:"held_tokens"`
	CapacityTokens int   `json:"capacity_tokens"`
	AgeMS          int64 `json:"age_ms"`
}

// CacheEvent reports that a prompt prefix was stored in the prefix cache or
// evicted from it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"op"`
	Prefix string `json:"prefix"`
}

// CacheEvents is a page of cache events. Gap reports that events before or
// within the page were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The kinds of orders.
const (
	OrderSetRole     OrderKind = "set_role"
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
)

// Order tells the engine to change its role or its loaded models. Fencing is
// the fencing token of the issuer's lease.
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

// Client calls one model engine.
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
	// CurrentOrder returns the last order that the engine applied; ok is false
	// when it has applied none since its start.
	CurrentOrder(ctx context.Context) (o Order, ok bool, err error)
}
