package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Body is the JSON body of an error: the shape of the OpenAI API, with a remedy.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of Body.
type Detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Kind    `json:"code"`
	Param   *string `json:"param"`
	Remedy  string  `json:"remedy,omitempty"`
}

// Body returns the JSON body of the error.
func (e *Error) Body() Body {
	d := Detail{Message: e.Message, Type: e.openAIType(), Code: e.Kind, Remedy: e.Remedy}
	if e.Param != "" {
		d.Param = &e.Param
	}
	return Body{Error: d}
}

func (e *Error) openAIType() string {
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

// Write sends the error as the whole response.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	// A failed write means that the caller is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(e.Body())
}
