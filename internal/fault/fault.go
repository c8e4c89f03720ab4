// Package fault defines the typed errors that callers and operators see.
//
// An Error names what went wrong (Kind), what became of the work (Outcome) and
// what to do next (Remedy). The HTTP status follows from the kind.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Outcome tells what became of the work that a request asked for.
type Outcome string

// The outcomes of the Fescueslip-Outcome header.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// OutcomeHeader is the response header that carries the outcome of a refused call.
const OutcomeHeader = "Fescueslip-Outcome"

// Kind is a stable machine-readable name of an error.
type Kind string

// The kinds of errors that callers see.
const (
	KindMalformedRequest    Kind = "malformed_request"
	KindInvalidAPIKey       Kind = "invalid_api_key"
	KindModelNotFound       Kind = "model_not_found"
	KindRouteNotFound       Kind = "route_not_found"
	KindMethodNotAllowed    Kind = "method_not_allowed"
	KindPromptTooLong       Kind = "context_length_exceeded"
	KindBodyTooLarge        Kind = "request_too_large"
	KindHeaderTooLarge      Kind = "header_too_large"
	KindRequestTimeout      Kind = "request_timeout"
	KindTooManyStreams      Kind = "too_many_streams"
	KindOverloaded          Kind = "overloaded"
	KindQuarantined         Kind = "request_quarantined"
	KindSuspended           Kind = "request_suspended"
	KindUpstreamUnavailable Kind = "upstream_unavailable"
	KindInstanceLeaving     Kind = "instance_leaving"
	KindNotReady            Kind = "not_ready"
	KindUpstreamFailed      Kind = "upstream_failed"
	KindUpstreamTimeout     Kind = "upstream_timeout"
	KindKeyReused           Kind = "idempotency_key_reused"
	KindKeyRunning          Kind = "idempotency_key_running"
	KindOutcomeUnknown      Kind = "outcome_unknown"
	KindKeyNotFound         Kind = "idempotency_key_not_found"
	KindAnswerNotKept       Kind = "answer_not_kept"
	KindLedgerFull          Kind = "ledger_full"
	KindStoreUnavailable    Kind = "store_unavailable"
	KindInternal            Kind = "internal_error"
)

var statusByKind = map[Kind]int{
	KindMalformedRequest:    http.StatusBadRequest,
	KindInvalidAPIKey:       http.StatusUnauthorized,
	KindModelNotFound:       http.StatusNotFound,
	KindRouteNotFound:       http.StatusNotFound,
	KindMethodNotAllowed:    http.StatusMethodNotAllowed,
	KindPromptTooLong:       http.StatusBadRequest,
	KindBodyTooLarge:        http.StatusRequestEntityTooLarge,
	KindHeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	KindRequestTimeout:      http.StatusRequestTimeout,
	KindTooManyStreams:      http.StatusTooManyRequests,
	KindOverloaded:          http.StatusTooManyRequests,
	KindQuarantined:         http.StatusUnprocessableEntity,
	KindSuspended:           http.StatusServiceUnavailable,
	KindUpstreamUnavailable: http.StatusServiceUnavailable,
	KindInstanceLeaving:     http.StatusServiceUnavailable,
	KindNotReady:            http.StatusServiceUnavailable,
	KindUpstreamFailed:      http.StatusBadGateway,
	KindUpstreamTimeout:     http.StatusGatewayTimeout,
	KindKeyReused:           http.StatusUnprocessableEntity,
	KindKeyRunning:          http.StatusConflict,
	KindOutcomeUnknown:      http.StatusConflict,
	KindKeyNotFound:         http.StatusNotFound,
	KindAnswerNotKept:       http.StatusConflict,
	KindLedgerFull:          http.StatusServiceUnavailable,
	KindStoreUnavailable:    http.StatusServiceUnavailable,
	KindInternal:            http.StatusInternalServerError,
}

// Error is an error that a caller or an operator sees.
type Error struct {
	Kind    Kind
	Outcome Outcome
	Message string
	// Param names the request field at fault, if one is.
	Param string
	// Remedy says what the reader can do next.
	Remedy string
	// RetryAfter is set when sending the request again makes sense.
	RetryAfter time.Duration
	// Cause is the underlying error; it is logged and never sent to callers.
	Cause error
}

// New returns an error with the outcome not-run.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotRun, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error { c := *e; c.Outcome = o; return &c }

// WithRetryAfter returns a copy that invites a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error { c := *e; c.RetryAfter = d; return &c }

// WithParam returns a copy that names the request field at fault.
func (e *Error) WithParam(p string) *Error { c := *e; c.Param = p; return &c }

// WithCause returns a copy that wraps err.
func (e *Error) WithCause(err error) *Error { c := *e; c.Cause = err; return &c }

// Error implements error.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	if s, ok := statusByKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From finds the Error in err's chain; any other error becomes an internal
// error whose outcome is unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:    KindInternal,
		Outcome: Unknown,
		Message: "internal error",
		Remedy:  "report the request id to the operator",
		Cause:   err,
	}
}
