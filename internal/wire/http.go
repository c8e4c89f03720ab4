package wire

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	pingIdleTime = time.Second
	pingTimeout  = time.Second
	// idleConnTimeout is long because opening a connection adds a round trip to
	// the latency of a request.
	idleConnTimeout = 2 * time.Minute
)

// DialFunc opens a connection. Tests replace it with an in-memory network.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DefaultDial returns a DialFunc for TCP. Its timeout is chosen for connections
// within one network.
func DefaultDial() DialFunc {
	d := &net.Dialer{Timeout: 2 * time.Second}
	return d.DialContext
}

// NewClient returns a client for HTTP/2 without TLS between the processes of the
// system. It closes a connection that answers no ping within 2 s, so that the
// next stream uses a new connection.
func NewClient(dial DialFunc) *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:     dial,
		Protocols:       &p,
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}}
}

// maxFrameBytes is the largest HTTP/2 frame that a server reads. A client keeps
// a buffer of this size, up to 512 KB, for each open stream whose request body
// has unknown length. With the library's default of 1 MB, 1,000 streams took 550
// MB.
const maxFrameBytes = 16 << 10

// NewServer returns a server for HTTP/1 and HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
			MaxConcurrentStreams: 10_000,
			MaxReadFrameSize:     maxFrameBytes,
		},
	}
}

const bearerPrefix = "Bearer "

// SetSecret adds the shared peer secret to a header.
func SetSecret(h http.Header, secret string) { h.Set("Authorization", bearerPrefix+secret) }

// RequireSecret refuses requests without the shared peer secret.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok || subtle.ConstantTimeCompare([]byte(presented), []byte(secret)) != 1 {
			http.Error(w, "missing or wrong peer secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
