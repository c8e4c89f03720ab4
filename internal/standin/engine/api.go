package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Role is the stage of a model request that an engine runs.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// phase is the processing state of a request, as GET /v1/requests reports it.
type phase string

const (
	phasePrefill   phase = "prefill"
	phaseHeld      phase = "held"
	phaseImporting phase = "importing"
	phaseImported  phase = "imported"
	phaseDecoding  phase = "decoding"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// statusCancelled is the status of the response to a request that another call
// cancelled.
const statusCancelled = 499

// apiError is an error response of the engine API. A status of 0 closes the
// connection without a response.
type apiError struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newAPIError(status int, code, format string, args ...any) *apiError {
	return &apiError{status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *apiError) Error() string { return e.Code + ": " + e.Message }

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *apiError `json:"error"`
}

// errCrashed closes the connection without a response: its status is 0.
func errCrashed() *apiError { return newAPIError(0, "crashed", "the engine died") }

func errCancelled() *apiError {
	return newAPIError(statusCancelled, "cancelled", "the request was cancelled")
}

func errNoMemory(wanted, free int) *apiError {
	return newAPIError(http.StatusServiceUnavailable, "no_memory", "%d chunks wanted, %d free", wanted, free)
}

func errEvicted(handle string) *apiError {
	return newAPIError(http.StatusNotFound, "evicted", "no prefill output is held as %q", handle)
}

// infoResponse is the response body of GET /v1/info.
type infoResponse struct {
	BootID                 string  `json:"boot_id"`
	Role                   Role    `json:"role"`
	Slots                  int     `json:"slots"`
	CapacityTokens         int     `json:"capacity_tokens"`
	ChunkTokens            int     `json:"chunk_tokens"`
	MaxPromptTokens        int     `json:"max_prompt_tokens"`
	KVBytesPerToken        int64   `json:"kv_bytes_per_token"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_s"`
	LinkBytesPerSecond     float64 `json:"link_bytes_per_s"`
}

// prefillRequest is the request body of POST /v1/prefill.
type prefillRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Priority  int    `json:"priority"` // higher values run first
}

// prefillResponse is the response body of POST /v1/prefill.
type prefillResponse struct {
	Handle       string `json:"handle"`
	Tokens       int    `json:"tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	HoldMS       int64  `json:"hold_ms"`
}

// releaseRequest is the request body of POST /v1/kv/release.
type releaseRequest struct {
	Handle string `json:"handle"`
}

// importRequest is the request body of POST /v1/kv/import.
type importRequest struct {
	RequestID string `json:"request_id"`
	SourceURL string `json:"source_url"`
	Handle    string `json:"handle"`
	// ReserveTokens is the memory to reserve at the start of the import, including
	// that of the prompt.
	ReserveTokens int `json:"reserve_tokens"`
}

// importResponse is the response body of POST /v1/kv/import.
type importResponse struct {
	HeldTokens int `json:"held_tokens"`
}

// decodeRequest is the request body of POST /v1/decode.
type decodeRequest struct {
	RequestID    string `json:"request_id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	ResumeTokens int    `json:"resume_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
}

// decodeLine is one line of the response body of POST /v1/decode. The last line has a
// FinishReason or an Error.
type decodeLine struct {
	Index        int       `json:"index"`
	Text         string    `json:"text"`
	FinishReason string    `json:"finish_reason,omitempty"`
	Error        *apiError `json:"error,omitempty"`
}

// cancelRequest is the request body of POST /v1/cancel.
type cancelRequest struct {
	RequestID string `json:"request_id"`
}

// cancelResponse is the response body of POST /v1/cancel.
type cancelResponse struct {
	FreedTokens int `json:"freed_tokens"`
}

// requestsResponse is the response body of GET /v1/requests.
type requestsResponse struct {
	Requests []requestState `json:"requests"`
}

// requestState describes a request that the engine is processing.
type requestState struct {
	RequestID  string `json:"request_id"`
	Phase      phase  `json:"phase"`
	HeldTokens int    `json:"held_tokens"`
}

// loadResponse is the response body of GET /v1/load. The other figures are AgeMS old.
type loadResponse struct {
	Running        int   `json:"running"`
	Slots          int   `json:"slots"`
	HeldTokens     int   `json:"held_tokens"`
	CapacityTokens int   `json:"capacity_tokens"`
	AgeMS          int64 `json:"age_ms"`
}

// order is the request body of POST /v1/orders and the response body of GET
// /v1/orders/current.
type order struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Role    Role   `json:"role,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// orderResponse is the response body of POST /v1/orders.
type orderResponse struct {
	Applied bool `json:"applied"`
}

// jsonHandler returns a handler that decodes the JSON body, calls f and encodes
// its result.
func jsonHandler[In, Out any](f func(*http.Request, In) (Out, *apiError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decodeBody(w, r, &in); err != nil {
			writeError(w, err)
			return
		}
		out, err := f(r, in)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

// decodeBody decodes the JSON body of a request; GET requests have none.
func decodeBody(w http.ResponseWriter, r *http.Request, in any) *apiError {
	if r.Method == http.MethodGet {
		return nil
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(in); err != nil {
		return newAPIError(http.StatusBadRequest, "malformed", "cannot read the request: %v", err)
	}
	return nil
}

func writeError(w http.ResponseWriter, err *apiError) {
	if err.status == 0 {
		// The engine crashed: the connection is closed without a response.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, err.status, errorBody{Error: err})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
