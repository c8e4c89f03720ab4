package fault

import (
	"bytes"
	"encoding/json"
	"io"
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

// Response returns the error as a complete HTTP response that ends its connection. It is
// for requests that no handler sees.
func (e *Error) Response() []byte {
	w := responseBuffer{header: make(http.Header)}
	e.Write(&w)
	resp := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
	var out bytes.Buffer
	_ = resp.Write(&out) // a buffer takes everything
	return out.Bytes()
}

// responseBuffer is an http.ResponseWriter that keeps the response.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *responseBuffer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseBuffer) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *responseBuffer) Write(p []byte) (int, error) { return w.body.Write(p) }
