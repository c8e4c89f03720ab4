// Package plain proxies calls to plain HTTP services. The entry side (Router)
// matches a route, chooses an upstream, and applies the rules for repeatable and
// non-repeatable calls. The sidecar side (Sidecar) submits each call that it
// accepts to its service at most once.
//
// A caller's Authorization header authenticates it to the entry and is not
// forwarded, since it holds a key of this system and not of the service. Between
// entry and sidecar, Authorization carries the peer secret, which the sidecar
// removes. A caller that must authenticate to the service sends
// Fescueslip-Upstream-Authorization, which the service receives as Authorization.
// All other Fescueslip-* headers from callers and services are dropped, so that
// neither can forge a header of the system.
package plain

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that services and callers see.
const (
	// HeaderUpstreamAuthorization is sent by callers and forwarded to the service
	// as Authorization.
	HeaderUpstreamAuthorization = "Fescueslip-Upstream-Authorization"
	// HeaderRequestID carries the request ID to the service and back to the
	// caller.
	HeaderRequestID = "Fescueslip-Request-Id"
	// HeaderCaller carries the name of the caller to the service.
	HeaderCaller = "Fescueslip-Caller"
	// HeaderReplayed marks a response that is replayed from the ledger.
	HeaderReplayed = "Fescueslip-Replayed"
	// HeaderIdempotencyKey identifies one non-repeatable operation of a caller, so
	// that a retry of the request does not run it again.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers between entry and sidecar.
const (
	headerUpstream     = "Fescueslip-Upstream"
	headerTimeout      = "Fescueslip-Timeout-Ms"
	headerRepeatable   = "Fescueslip-Repeatable"
	headerNoBody       = "Fescueslip-No-Body"
	headerVerdict      = "Fescueslip-Verdict"
	headerReason       = "Fescueslip-Reason"
	headerLeaving      = "Fescueslip-Leaving"
	systemHeaderPrefix = "Fescueslip-"
)

// verdict is a sidecar's statement about a call. Only by its presence can an entry
// tell a response of the service from a failure between entry and service.
type verdict string

const (
	// verdictAnswered marks a response of the service itself.
	verdictAnswered verdict = "answered"
	// verdictRefused marks a call that was not submitted to the service.
	verdictRefused verdict = "refused"
	// verdictNoResponse marks a call that may have reached the service and got no
	// response.
	verdictNoResponse verdict = "lost"
)

// reason is a sidecar's code for why it sent a verdict other than answered.
type reason string

const (
	reasonLeaving          reason = "leaving"
	reasonOverloaded       reason = "overloaded"
	reasonUnreachable      reason = "unreachable"
	reasonMisdirected      reason = "misdirected"
	reasonConnectionBroken reason = "broken"
	reasonIdleTimeout      reason = "silent"
)

var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEndHeaders copies the end-to-end headers from src to dst. It omits
// hop-by-hop headers, headers listed in Connection, and the system's own headers.
func copyEndToEndHeaders(dst, src http.Header) {
	dropped := make(map[string]bool, len(hopByHopHeaders))
	for _, name := range hopByHopHeaders {
		dropped[name] = true
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if dropped[name] || strings.HasPrefix(name, systemHeaderPrefix) {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
	if acceptsTrailers(src) {
		dst.Set("Te", "trailers")
	}
}

func acceptsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "trailers") {
				return true
			}
		}
	}
	return false
}

// suppressDefaultHeaders keeps net/http from adding its own User-Agent, which an
// empty value omits, and Accept-Encoding: gzip, which identity replaces, when the
// caller sent none.
func suppressDefaultHeaders(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	if h.Get("Accept-Encoding") == "" {
		h.Set("Accept-Encoding", "identity")
	}
}

func addForwardedHeaders(h http.Header, r *http.Request) {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if prior := h.Values("X-Forwarded-For"); len(prior) > 0 {
			host = strings.Join(prior, ", ") + ", " + host
		}
		h.Set("X-Forwarded-For", host)
	}
	h.Set("X-Forwarded-Host", r.Host)
	if h.Get("X-Forwarded-Proto") == "" {
		// The platform's load balancer sets this header when it terminates TLS.
		h.Set("X-Forwarded-Proto", "http")
	}
}
