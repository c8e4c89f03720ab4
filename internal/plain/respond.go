package plain

import (
	"io"
	"net/http"
	"strings"

	"github.com/fescueslip/fescueslip/internal/fault"
)

const copyBufferBytes = 32 << 10

// writeResponse forwards the service's response to the caller: status, headers,
// body and trailers. It also passes everything it reads to onRead, which may be
// nil. With onRead set, it reads the body to its end even when the caller has
// disconnected.
func writeResponse(w http.ResponseWriter, resp *http.Response, onRead func(chunk []byte, err error)) {
	defer func() { _ = resp.Body.Close() }()
	announced := copyResponseHeaders(w.Header(), resp)
	w.Header().Set(fault.OutcomeHeader, string(fault.Ran))
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp, onRead); err != nil {
		panic(http.ErrAbortHandler)
	}
	copyTrailers(w, resp, announced)
}

// copyResponseHeaders copies the headers and announces the trailers in the Trailer
// header. It returns the number of announced trailers.
func copyResponseHeaders(h http.Header, resp *http.Response) int {
	copyEndToEndHeaders(h, resp.Header)
	h.Del("Te")
	names := make([]string, 0, len(resp.Trailer))
	for name := range resp.Trailer {
		names = append(names, name)
	}
	if len(names) > 0 {
		h.Set("Trailer", strings.Join(names, ", "))
	}
	return len(names)
}

// copyBody forwards the body to the caller, and flushes after each read if its
// length is not known. With onRead set, it reads to the end of the body even if a
// write to the caller fails.
func copyBody(w http.ResponseWriter, resp *http.Response, onRead func([]byte, error)) error {
	control := http.NewResponseController(w)
	streaming := resp.ContentLength < 0
	buf := make([]byte, copyBufferBytes)
	var writeErr error
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
			if streaming && writeErr == nil {
				_ = control.Flush()
			}
		}
		if onRead != nil {
			onRead(buf[:n], err)
		}
		switch {
		case err == io.EOF:
			return writeErr
		case err != nil:
			return err
		case writeErr != nil && onRead == nil:
			return writeErr
		}
	}
}

// copyTrailers forwards the trailers. If some of them were not announced, all are
// sent with http.TrailerPrefix.
func copyTrailers(w http.ResponseWriter, resp *http.Response, announced int) {
	if len(resp.Trailer) == 0 {
		return
	}
	// Flushing makes the server use chunked encoding, which trailers require.
	_ = http.NewResponseController(w).Flush()
	for name, values := range resp.Trailer {
		if len(resp.Trailer) != announced {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}
