package plain

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/internal/wire"
	"github.com/go-faster/errors"
)

// sidecarTimeoutMargin is how much longer the entry waits than the sidecar, so
// that the sidecar's more precise verdict arrives before the entry times out.
const sidecarTimeoutMargin = 500 * time.Millisecond

// call is one caller's request to a service pool.
type call struct {
	caller   *config.Caller
	id       string
	route    *config.Route
	snapshot *config.Snapshot
	request  *http.Request
	body     *requestBody
	timeout  time.Duration
}

// attemptResult is the outcome of one attempt at one upstream.
type attemptResult struct {
	number uint32
	member membership.Member
	// response is the service's response; its body must be closed.
	response *http.Response
	// err is set when there is no response.
	err error
	// reason is the sidecar's reason code; it is empty when the sidecar sent none.
	reason reason
	// mayHaveRun is false only when the service certainly did not receive the
	// call.
	mayHaveRun bool
	elapsed    time.Duration
}

func (r attemptResult) hasResponse() bool { return r.response != nil }

// close discards the response of an attempt that is not used.
func (r attemptResult) close() {
	if r.response != nil {
		_ = r.response.Body.Close()
	}
}

// attempt sends the call to one upstream through its sidecar.
func (rt *Router) attempt(ctx context.Context, c *call, m membership.Member, n uint32) attemptResult {
	counter := rt.upstreams.inFlight(m.Upstream)
	counter.Add(1)
	rt.recordEvent(c, n, "attempt", m.Upstream, "")
	start := time.Now()
	res := rt.submit(ctx, c, m)
	res.number, res.member, res.elapsed = n, m, time.Since(start)
	if res.hasResponse() {
		res.response.Body = &inFlightBody{ReadCloser: res.response.Body, inFlight: counter}
		rt.recordEvent(c, n, "answered", m.Upstream, res.response.Status)
		return res
	}
	counter.Add(-1)
	rt.recordEvent(c, n, "failed", m.Upstream, res.err.Error())
	return res
}

// submit sends the call to the sidecar of m and classifies its response.
func (rt *Router) submit(ctx context.Context, c *call, m membership.Member) attemptResult {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport calls this before it writes the first header, and never
		// when dialing fails. Until then, no byte of the request can have been
		// sent.
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	resp, err := rt.transport.RoundTrip(rt.sidecarRequest(ctx, c, m))
	if err != nil {
		return attemptResult{err: errors.Wrap(err, "reach the sidecar"), mayHaveRun: sent.Load()}
	}
	return rt.classifyResponse(m, resp)
}

// sidecarRequest builds the request from this entry to the sidecar of m.
func (rt *Router) sidecarRequest(ctx context.Context, c *call, m membership.Member) *http.Request {
	in := c.request
	body, length := c.body.open()
	out := (&http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     m.PeerAddress,
			Path:     pathPrefix + in.URL.Path,
			RawPath:  pathPrefix + in.URL.EscapedPath(),
			RawQuery: in.URL.RawQuery,
		},
		Header:        make(http.Header, len(in.Header)+8),
		Body:          body,
		ContentLength: length,
		Trailer:       in.Trailer,
	}).WithContext(ctx)
	copyEndToEndHeaders(out.Header, in.Header)
	suppressDefaultHeaders(out.Header)
	addForwardedHeaders(out.Header, in)
	wire.SetSecret(out.Header, rt.secret) // overwrites the caller's API key
	rt.setSidecarHeaders(out.Header, c, m)
	return out
}

// setSidecarHeaders sets the headers that tell the sidecar how to forward the call.
func (rt *Router) setSidecarHeaders(h http.Header, c *call, m membership.Member) {
	if auth := c.request.Header.Get(HeaderUpstreamAuthorization); auth != "" {
		h.Set(HeaderUpstreamAuthorization, auth)
	}
	h.Set(HeaderRequestID, c.id)
	h.Set(HeaderCaller, c.caller.Name)
	h.Set(headerUpstream, m.Upstream)
	h.Set(headerTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.route.Repeatable {
		h.Set(headerRepeatable, "1")
	}
	if c.body.empty() {
		h.Set(headerNoBody, "1")
	}
}

// classifyResponse translates the sidecar's verdict header. A response without a
// verdict comes from a process whose sidecar handler never ran, so the service
// received nothing.
func (rt *Router) classifyResponse(m membership.Member, resp *http.Response) attemptResult {
	if resp.Header.Get(headerLeaving) != "" {
		rt.upstreams.members.ReportState(m.Name, m.Incarnation, membership.Leaving)
	}
	code := reason(resp.Header.Get(headerReason))
	switch verdict(resp.Header.Get(headerVerdict)) {
	case verdictAnswered:
		return attemptResult{response: resp}
	case verdictNoResponse:
		_ = resp.Body.Close()
		return attemptResult{err: errors.Errorf("the service gave no answer: %s", code), reason: code, mayHaveRun: true}
	case verdictRefused:
		_ = resp.Body.Close()
		return attemptResult{err: errors.Errorf("the sidecar refused the call: %s", code), reason: code}
	}
	_ = resp.Body.Close()
	return attemptResult{err: errors.Errorf("%s is not a sidecar of this system: %s", m.PeerAddress, resp.Status)}
}

func (rt *Router) recordEvent(c *call, attempt uint32, kind, upstream, detail string) {
	rt.events.Record(c.id, telemetry.Event{Attempt: attempt, Kind: kind, Upstream: upstream, Detail: detail})
}

// inFlightBody decrements the upstream's count of requests in flight when the
// response body is closed.
type inFlightBody struct {
	io.ReadCloser
	inFlight *atomic.Int64
	closed   atomic.Bool
}

// Close implements io.Closer.
func (b *inFlightBody) Close() error {
	if !b.closed.Swap(true) {
		b.inFlight.Add(-1)
	}
	return b.ReadCloser.Close()
}
