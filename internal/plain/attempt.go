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

// hopMargin is how much longer the entry waits than the sidecar, so that the
// sidecar's more exact verdict arrives before the entry gives up.
const hopMargin = 500 * time.Millisecond

// call is one call of a caller on its way to a pool.
type call struct {
	caller   *config.Caller
	id       string
	route    *config.Route
	snapshot *config.Snapshot
	request  *http.Request
	body     *callBody
	timeout  time.Duration
}

// result is how one attempt ended.
type result struct {
	number uint32
	member membership.Member
	// response is the service's answer; its body must be closed.
	response *http.Response
	// err is set when there is no answer.
	err error
	// reason is the sidecar's explanation, if it gave one.
	reason reason
	// mayHaveRun is false only when the service certainly did not see the call.
	mayHaveRun bool
	took       time.Duration
}

func (r result) answered() bool { return r.response != nil }

// close gives up the answer of an attempt that is not used.
func (r result) close() {
	if r.response != nil {
		_ = r.response.Body.Close()
	}
}

// attempt submits the call to one upstream through its sidecar.
func (p *Router) attempt(ctx context.Context, c *call, m membership.Member, n uint32) result {
	flight := p.upstreams.inFlight(m.Upstream)
	flight.Add(1)
	p.record(c, n, "attempt", m.Upstream, "")
	began := time.Now()
	res := p.submit(ctx, c, m)
	res.number, res.member, res.took = n, m, time.Since(began)
	if res.answered() {
		res.response.Body = &countedBody{ReadCloser: res.response.Body, flight: flight}
		p.record(c, n, "answered", m.Upstream, res.response.Status)
		return res
	}
	flight.Add(-1)
	p.record(c, n, "failed", m.Upstream, res.err.Error())
	return res
}

func (p *Router) submit(ctx context.Context, c *call, m membership.Member) result {
	var left atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Called before the first header is written, and not at all when
		// dialling fails: until then no byte can have left.
		WroteHeaderField: func(string, []string) { left.Store(true) },
	})
	resp, err := p.transport.RoundTrip(p.hopRequest(ctx, c, m))
	if err != nil {
		return result{err: errors.Wrap(err, "reach the sidecar"), mayHaveRun: left.Load()}
	}
	return p.judge(m, resp)
}

// hopRequest builds the request from this entry to a sidecar.
func (p *Router) hopRequest(ctx context.Context, c *call, m membership.Member) *http.Request {
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
	passHeaders(out.Header, in.Header)
	quietTransport(out.Header)
	addForwarded(out.Header, in)
	wire.SetSecret(out.Header, p.secret) // replaces the caller's key
	p.setSystemHeaders(out.Header, c, m)
	return out
}

func (p *Router) setSystemHeaders(h http.Header, c *call, m membership.Member) {
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

// judge reads the sidecar's verdict. A response without one comes from a
// process whose sidecar handler never ran, so the service saw nothing.
func (p *Router) judge(m membership.Member, resp *http.Response) result {
	if resp.Header.Get(headerLeaving) != "" {
		p.upstreams.members.ReportState(m.Name, m.Incarnation, membership.Leaving)
	}
	why := reason(resp.Header.Get(headerReason))
	switch verdict(resp.Header.Get(headerVerdict)) {
	case verdictAnswered:
		return result{response: resp}
	case verdictLost:
		_ = resp.Body.Close()
		return result{err: errors.Errorf("the service gave no answer: %s", why), reason: why, mayHaveRun: true}
	case verdictRefused:
		_ = resp.Body.Close()
		return result{err: errors.Errorf("the sidecar refused the call: %s", why), reason: why}
	}
	_ = resp.Body.Close()
	return result{err: errors.Errorf("%s is not a sidecar of this system: %s", m.PeerAddress, resp.Status)}
}

func (p *Router) record(c *call, attempt uint32, kind, upstream, detail string) {
	p.events.Record(c.id, telemetry.Event{Attempt: attempt, Kind: kind, Upstream: upstream, Detail: detail})
}

// countedBody ends the count of a request in flight when its answer is closed.
type countedBody struct {
	io.ReadCloser
	flight *atomic.Int64
	closed atomic.Bool
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	if !b.closed.Swap(true) {
		b.flight.Add(-1)
	}
	return b.ReadCloser.Close()
}
