package engine

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

// Code is the engine's name of an error.
type Code string

// The codes of docs/engine-api.md.
const (
	CodePromptTooLong  Code = "prompt_too_long"
	CodeWrongRole      Code = "wrong_role"
	CodeCancelled      Code = "cancelled"
	CodeBusy           Code = "busy"
	CodeEvicted        Code = "evicted"
	CodeTransferFailed Code = "transfer_failed"
	CodeNoMemory       Code = "no_memory"
	CodeNotImported    Code = "not_imported"
	CodeStaleFencing   Code = "stale_fencing"
)

// ErrTimeout reports that the engine did not answer within the deadline of the
// call, while the connection stayed open.
var ErrTimeout = errors.New("engine did not answer in time; the connection was dropped, try again on a new one")

// ErrUnreachable reports that the connection to the engine failed or broke.
var ErrUnreachable = errors.New("connection to the engine failed; check that the engine runs")

// APIError is an error that the engine itself reported.
type APIError struct {
	Status  int
	Code    Code
	Message string
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("engine answered %d %s: %s", e.Status, e.Code, e.Message)
}

// IsCode reports whether err is an engine error with the given code.
func IsCode(err error, code Code) bool {
	var e *APIError
	return errors.As(err, &e) && e.Code == code
}

// IsAPIError reports whether the engine itself reported err, so it was alive.
func IsAPIError(err error) bool {
	var e *APIError
	return errors.As(err, &e)
}

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
