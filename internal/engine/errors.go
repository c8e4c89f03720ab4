package engine

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// Code is an error code of the engine API.
type Code string

// The error codes that docs/engine-api.md defines.
const (
	CodePromptTooLong  Code = "prompt_too_long"
	CodeWrongRole      Code = "wrong_role"
	CodeCancelled      Code = "cancelled"
	CodeBusy           Code = "busy"
	CodeEvicted        Code = "evicted" // the prefill output is no longer held
	CodeTransferFailed Code = "transfer_failed"
	CodeNoMemory       Code = "no_memory"
	CodeNotImported    Code = "not_imported"
	CodeStaleFencing   Code = "stale_fencing"
)

// ErrTimeout reports that the engine did not respond within the timeout of the
// call although the connection stayed open.
var ErrTimeout = errors.New("engine did not respond in time; the connection was closed, retry on a new one")

// ErrUnreachable reports that the connection to the engine could not be opened
// or was closed before the response was complete.
var ErrUnreachable = errors.New("connection to the engine failed; check that the engine runs")

// APIError is an error response of the engine.
type APIError struct {
	Status  int
	Code    Code
	Message string
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("engine responded with %d %s: %s", e.Status, e.Code, e.Message)
}

// IsCode reports whether err is an APIError with the given code.
func IsCode(err error, code Code) bool {
	var e *APIError
	return errors.As(err, &e) && e.Code == code
}

// IsAPIError reports whether err is an error response of the engine, which
// shows that the engine was reachable and running.
func IsAPIError(err error) bool {
	var e *APIError
	return errors.As(err, &e)
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *struct {
		Code    Code   `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func (b errorBody) toError(status int) *APIError {
	if b.Error == nil {
		return &APIError{Status: status, Message: http.StatusText(status)}
	}
	return &APIError{Status: status, Code: b.Error.Code, Message: b.Error.Message}
}
