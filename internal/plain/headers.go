// Package plain carries calls of plain HTTP services. The entry side (Router)
// matches a route, chooses an upstream and applies the rules of repeatable and
// non-repeatable calls; the sidecar side (Sidecar) submits each call that it
// accepts to its service at most once.
//
// Headers. A caller's Authorization authenticates it to the entry and goes no
// further, since it is a key of this system and not of the service. On the hop
// between entry and sidecar, Authorization carries the peer secret, which the
// sidecar removes. A caller that must authenticate to the service sends
// Fescueslip-Upstream-Authorization, which the service receives as
// Authorization. All other Fescueslip-* headers of callers and services are
// dropped, so neither can forge a header of the system.
package plain

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that services and callers see.
const (
	// HeaderUpstreamAuthorization is sent by callers and reaches the service as Authorization.
	HeaderUpstreamAuthorization = "Fescueslip-Upstream-Authorization"
	// HeaderRequestID names the request for the service and in the reply.
	HeaderRequestID = "Fescueslip-Request-Id"
	// HeaderCaller names the caller for the service.
	HeaderCaller = "Fescueslip-Caller"
	// HeaderReplayed marks an answer that is given again from the ledger.
	HeaderReplayed = "Fescueslip-Replayed"
	// HeaderIdempotencyKey identifies one piece of non-repeatable work of a caller.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers between entry and sidecar.
const (
	headerUpstream   = "Fescueslip-Upstream"
	headerTimeout    = "Fescueslip-Timeout-Ms"
	headerRepeatable = "Fescueslip-Repeatable"
	headerNoBody     = "Fescueslip-No-Body"
	headerVerdict    = "Fescueslip-Verdict"
	headerReason     = "Fescueslip-Reason"
	headerLeaving    = "Fescueslip-Leaving"
	systemPrefix     = "Fescueslip-"
)

// verdict is what a sidecar says about a call: it is the only proof by which an
// entry tells an answer of the service from a failure on the way.
type verdict string

const (
	// verdictAnswered marks the service's own answer.
	verdictAnswered verdict = "answered"
	// verdictRefused marks a call that was never submitted to the service.
	verdictRefused verdict = "refused"
	// verdictLost marks a call that may have reached the service and got no answer.
	verdictLost verdict = "lost"
)

// reason explains a verdict other than answered.
type reason string

const (
	reasonLeaving     reason = "leaving"
	reasonOverloaded  reason = "overloaded"
	reasonUnreachable reason = "unreachable"
	reasonMisdirected reason = "misdirected"
	reasonBroken      reason = "broken"
	reasonSilent      reason = "silent"
)

var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passHeaders copies the end-to-end headers from src to dst. It leaves out
// hop-by-hop headers, those that Connection lists, and the system's own.
func passHeaders(dst, src http.Header) {
	dropped := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		dropped[name] = true
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if dropped[name] || strings.HasPrefix(name, systemPrefix) {
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

// quietTransport stops net/http from adding headers that the caller did not send.
func quietTransport(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	if h.Get("Accept-Encoding") == "" {
		h.Set("Accept-Encoding", "identity")
	}
}

func addForwarded(h http.Header, r *http.Request) {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if prior := h.Values("X-Forwarded-For"); len(prior) > 0 {
			host = strings.Join(prior, ", ") + ", " + host
		}
		h.Set("X-Forwarded-For", host)
	}
	h.Set("X-Forwarded-Host", r.Host)
	if h.Get("X-Forwarded-Proto") == "" {
		// The platform's load balancer sets it when it ends TLS.
		h.Set("X-Forwarded-Proto", "http")
	}
}
