package booking

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// EchoPrefix precedes the name of each request header that /orders/echo returns
// as a response header.
const EchoPrefix = "Echo-"

// Response trailers.
const (
	// TrailerBytes carries the number of body bytes that /orders/echo read.
	TrailerBytes = "Echo-Bytes"
	// TrailerLines carries the number of lines that /orders/stream sent.
	TrailerLines = "Stream-Lines"
)

// maxStreamLines bounds the number of lines of /orders/stream.
const maxStreamLines = 100_000

// handleEcho responds to any method with the request's body. Echo-Method and
// Echo-Host carry the method and the host. The request's headers and trailers
// are returned as headers and trailers with EchoPrefix. ?status=N selects the
// status code.
func (s *Server) handleEcho(w http.ResponseWriter, r *http.Request) {
	if !s.simulateWork(r.Context(), s.opts.LookupDuration) {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	for name, values := range r.Header {
		h[http.CanonicalHeaderKey(EchoPrefix+name)] = values
	}
	h.Set(EchoPrefix+"Method", r.Method)
	h.Set(EchoPrefix+"Host", r.Host)
	h.Add("Trailer", TrailerBytes)
	for name := range r.Trailer {
		h.Add("Trailer", EchoPrefix+name)
	}
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	// The response is written while the request body is still being read.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.WriteHeader(status)
	n, err := io.Copy(w, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Set(TrailerBytes, strconv.FormatInt(n, 10))
	for name, values := range r.Trailer {
		h[http.CanonicalHeaderKey(EchoPrefix+name)] = values
	}
}

// handleStream sends ?n=N lines (default 5) at an interval of ?every=D (default
// 50ms), flushes each, and sends their number as a trailer.
func (s *Server) handleStream(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 0 || n > maxStreamLines {
		n = 5
	}
	every, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil || every < 0 {
		every = 50 * time.Millisecond
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Trailer", TrailerLines)
	for i := range n {
		if !s.simulateWork(r.Context(), every) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	w.Header().Set(TrailerLines, strconv.Itoa(n))
}
