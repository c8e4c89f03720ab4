package plain

import (
	"io"
	"net/http"
	"strings"

	"github.com/fescueslip/fescueslip/internal/fault"
)

const copyBuffer = 32 << 10

// pass sends the service's answer to the caller: status, headers, body and
// trailers. What it reads is also given to observe, which goes on when the
// caller has left; observe may be nil.
func pass(w http.ResponseWriter, resp *http.Response, observe func(chunk []byte, err error)) {
	defer func() { _ = resp.Body.Close() }()
	announced := passHead(w.Header(), resp)
	w.Header().Set(fault.OutcomeHeader, string(fault.Ran))
	w.WriteHeader(resp.StatusCode)
	if err := passBody(w, resp, observe); err != nil {
		panic(http.ErrAbortHandler)
	}
	passTrailers(w, resp, announced)
}

// passHead copies the headers and announces the trailers. It returns the
// number of announced trailers.
func passHead(h http.Header, resp *http.Response) int {
	passHeaders(h, resp.Header)
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

func passBody(w http.ResponseWriter, resp *http.Response, observe func([]byte, error)) error {
	control := http.NewResponseController(w)
	streaming := resp.ContentLength < 0
	buf := make([]byte, copyBuffer)
	var writeErr error
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
			if streaming && writeErr == nil {
				_ = control.Flush()
			}
		}
		if observe != nil {
			observe(buf[:n], err)
		}
		switch {
		case err == io.EOF:
			return writeErr
		case err != nil:
			return err
		case writeErr != nil && observe == nil:
			return writeErr
		}
	}
}

func passTrailers(w http.ResponseWriter, resp *http.Response, announced int) {
	if len(resp.Trailer) == 0 {
		return
	}
	// A flush makes the server use chunks, which trailers need.
	_ = http.NewResponseController(w).Flush()
	for name, values := range resp.Trailer {
		if len(resp.Trailer) != announced {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}
