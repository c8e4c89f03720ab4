// Package reqhead refuses requests whose key makes net/http reject the head of the
// request, which it does before any handler runs.
//
// net/http alone decides which heads are rejected, and reads no more of them than it would
// otherwise. Nothing of a rejected head is parsed again or passed on, and its connection is
// closed. Only the response is another one if the key is the cause, so that the client
// learns of it and the refusal is counted.
package reqhead

import (
	"context"
	"net"
	"net/http"

	"github.com/fescueslip/fescueslip/internal/outbuf"
)

// Responses of net/http to heads that it rejects. It writes each with one call of Write.
const (
	rejectionHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	tooLargeText     = "431 Request Header Fields Too Large"
	tooLarge         = "HTTP/1.1 " + tooLargeText + rejectionHeaders + tooLargeText
	malformedText    = "400 Bad Request"
	malformed        = "HTTP/1.1 " + malformedText + rejectionHeaders + malformedText
)

// Refuser refuses requests because of their keys.
type Refuser interface {
	// RefuseKey records a request that is refused because of a problem of its key. It
	// returns the complete response, or nil if the response of net/http is to be sent.
	RefuseKey(problem string) []byte
}

// Conn is the connection of a client to an http.Server. The server must use Handler,
// ConnContext and ConnState.
type Conn struct {
	*outbuf.Conn
	refuser Refuser
	// limit is the MaxHeaderBytes of the server.
	limit   int
	scanner scanner
	// responding is set from the call of the handler to the end of its response. Otherwise
	// only net/http itself writes.
	responding bool
}

// NewConn returns the connection c of a client, whose keys are in the header. The server
// reads heads of limit bytes.
func NewConn(c *outbuf.Conn, r Refuser, keyHeader string, limit int) *Conn {
	return &Conn{Conn: c, refuser: r, limit: limit, scanner: scanner{keyHeader: keyHeader}}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.scanner.scan(b[:n])
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.responding {
		if refusal := c.refusal(b); refusal != nil {
			if _, err := c.Conn.Write(refusal); err != nil {
				return 0, err
			}
			return len(b), nil
		}
	}
	return c.Conn.Write(b)
}

// refusal returns what is sent instead of a response of net/http, or nil.
func (c *Conn) refusal(response []byte) []byte {
	problem := ""
	switch string(response) {
	case tooLarge:
		problem = c.scanner.excess(c.limit)
	case malformed:
		problem = c.scanner.invalid()
	}
	if problem == "" {
		return nil
	}
	return c.refuser.RefuseKey(problem)
}

// connKey is the key of a Conn in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext of the server. It includes outbuf.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*Conn)
	if !ok {
		return outbuf.ConnContext(ctx, c)
	}
	return outbuf.ConnContext(context.WithValue(ctx, connKey{}, conn), conn.Conn)
}

// ConnState is the ConnState hook of the server.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.responding = false
	}
}

// Handler returns the handler of the server, which calls h.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*Conn); ok {
			conn.responding = true
		}
		h.ServeHTTP(w, r)
	})
}
