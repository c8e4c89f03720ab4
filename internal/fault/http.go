package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Body is the JSON body of an error response. It has the format of the OpenAI API
// with an additional remedy field.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the error object in Body.
type Detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Kind    `json:"code"`
	Param   *string `json:"param"`
	Remedy  string  `json:"remedy,omitempty"`
}

// Body returns the JSON body of the error.
func (e *Error) Body() Body {
	d := Detail{Message: e.Message, Type: e.openAIErrorType(), Code: e.Kind, Remedy: e.Remedy}
	if e.Param != "" {
		d.Param = &e.Param
	}
	return Body{Error: d}
}

func (e *Error) openAIErrorType() string {
	switch status := e.Status(); {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// Write sends the error as a complete HTTP response.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(e.Body())
}
