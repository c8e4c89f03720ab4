// Package fault defines the typed errors that are returned to callers and
// operators.
//
// An Error states what went wrong (Kind), whether the requested work was executed
// (Outcome) and what to do next (Remedy). The HTTP status follows from the kind.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Outcome states whether the work that a request asked for was executed.
type Outcome string

// The values of the Fescueslip-Outcome header.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// OutcomeHeader is the response header that carries the outcome of a call.
const OutcomeHeader = "Fescueslip-Outcome"

// Kind is a stable, machine-readable identifier of an error.
type Kind string

// The kinds of errors that are returned to callers.
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
	KindQuotaExceeded       Kind = "quota_exceeded"
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
	KindQuotaExceeded:       http.StatusTooManyRequests,
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

// Error is an error that is returned to a caller or an operator.
type Error struct {
	Kind    Kind
	Outcome Outcome
	Message string
	// Param names the invalid request field, if there is one.
	Param string
	// Remedy tells the reader what to do next.
	Remedy string
	// RetryAfter is how long to wait before sending the request again. It is zero
	// when a retry is not suggested.
	RetryAfter time.Duration
	// Cause is the underlying error. It is logged and never sent to callers.
	Cause error
}

// New returns an error with the outcome NotRun.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotRun, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// WithOutcome returns a copy with the given outcome.
func (e *Error) WithOutcome(o Outcome) *Error { c := *e; c.Outcome = o; return &c }

// WithRetryAfter returns a copy that suggests a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error { c := *e; c.RetryAfter = d; return &c }

// WithParam returns a copy that names the invalid request field.
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

// From returns the Error in err's chain. Any other error becomes an internal error
// with the outcome Unknown.
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
