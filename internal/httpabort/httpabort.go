// Package httpabort ends responses that have begun and cannot be completed, so that their
// clients see that they are not whole.
package httpabort

import (
	"net/http"

	"github.com/charmbracelet/log"
)

// Abort ends the response to r and does not return.
//
// A client of HTTP/1.1 misses the last chunk, or bytes of the announced length. For a
// client of HTTP/1.0 the end of the connection is the end of the response, so the
// connection is reset.
func Abort(w http.ResponseWriter, r *http.Request, logger *log.Logger) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w, logger)
	}
	panic(http.ErrAbortHandler)
}

// lingerSetter is the part of net.TCPConn that determines how a connection is closed.
type lingerSetter interface {
	SetLinger(seconds int) error
}

// resetConnection closes the client's connection with a reset.
func resetConnection(w http.ResponseWriter, logger *log.Logger) {
	conn, _, err := http.NewResponseController(serverWriter(w)).Hijack()
	if err != nil {
		logger.Error("connection of a broken answer cannot be reset; the client may take the answer for whole", "err", err)
		return
	}
	if c, ok := conn.(lingerSetter); ok {
		if err := c.SetLinger(0); err != nil {
			logger.Error("connection of a broken answer is closed without a reset; the client may take the answer for whole", "err", err)
		}
	}
	// The reset discards what was not sent; an error from Close changes nothing.
	_ = conn.Close()
}

// serverWriter returns the writer of the HTTP server inside w. Wrappers refuse to hand out
// a connection on which a response has begun.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}
