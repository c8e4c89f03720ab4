package plain

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/wire"
	"github.com/go-faster/errors"
)

const (
	defaultMaxInFlight = 256
	// serviceIdleTimeout is shorter than the idle timeouts of common servers, so
	// that a service rarely closes a connection just as a call is written to it.
	serviceIdleTimeout = 4 * time.Second
	// dialTimeout limits how long opening a connection to the service may take.
	// The service is local.
	dialTimeout = 2 * time.Second
	// drainPollInterval is how often Drain checks whether the last call has ended.
	drainPollInterval = 20 * time.Millisecond
)

// SidecarOptions are the dependencies of a Sidecar.
type SidecarOptions struct {
	// Upstream is the configured name of the service.
	Upstream string
	// Instance is the name of this process.
	Instance string
	// Target is the base address of the service.
	Target *url.URL
	// Dial opens connections to the service; nil means TCP.
	Dial wire.DialFunc
	// Config provides the callers' shares; nil means equal shares.
	Config config.Source
	Logger *log.Logger
	// MaxInFlight limits the concurrent calls to the service; 0 means 256.
	MaxInFlight int
}

// Sidecar is the sidecar side of plain calls. It submits each call that it accepts
// to its service at most once. It is safe for concurrent use.
type Sidecar struct {
	upstream  string
	instance  string
	target    *url.URL
	logger    *log.Logger
	limiter   *concurrencyLimiter
	transport *http.Transport
	leaving   atomic.Bool
	counters  sidecarCounters
}

// sidecarCounters counts the calls that are in progress (running), of which a part
// was sent to the service (submitted), that the service certainly did not receive
// (refused), that were sent but got no response (lost), and whose response was broken
// off (truncated).
type sidecarCounters struct {
	running, submitted, refused, lost, truncated atomic.Int64
	mu                                           sync.Mutex
	reasons                                      map[reason]int64
}

// SidecarState is a snapshot of a Sidecar for debug output.
type SidecarState struct {
	Upstream  string           `json:"upstream"`
	Instance  string           `json:"instance"`
	Leaving   bool             `json:"leaving"`
	Running   int64            `json:"running"`
	Submitted int64            `json:"submitted"`
	Refused   int64            `json:"refused"`
	Lost      int64            `json:"lost"`
	Truncated int64            `json:"truncated"`
	Reasons   map[string]int64 `json:"reasons,omitempty"`
}

// NewSidecar returns a Sidecar.
func NewSidecar(o SidecarOptions) *Sidecar {
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Dial == nil {
		o.Dial = wire.DefaultDial()
	}
	return &Sidecar{
		upstream:  o.Upstream,
		instance:  o.Instance,
		target:    o.Target,
		logger:    o.Logger,
		limiter:   newConcurrencyLimiter(o.MaxInFlight, o.Config),
		transport: serviceTransport(o.Dial, o.MaxInFlight),
		counters:  sidecarCounters{reasons: make(map[reason]int64)},
	}
}

func serviceTransport(dial wire.DialFunc, connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &serviceConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        serviceIdleTimeout,
		MaxResponseHeaderBytes: exchange.MaxHeadBytes,
	}
}

// Handler serves requests under /plain/. It must be wrapped in wire.RequireSecret:
// between entry and sidecar, Authorization carries the peer secret, and the
// sidecar replaces it before it forwards the call.
func (s *Sidecar) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// Leave makes the sidecar reject new calls and announce in its responses that it
// is leaving.
func (s *Sidecar) Leave() { s.leaving.Store(true) }

// Drain calls Leave and waits until the last accepted call has ended.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.Leave()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.counters.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain upstream %s: %d calls are still running", s.upstream, s.counters.running.Load())
		case <-tick.C:
		}
	}
	s.transport.CloseIdleConnections()
	return nil
}

// State returns a snapshot for debug output.
func (s *Sidecar) State() SidecarState {
	st := SidecarState{
		Upstream:  s.upstream,
		Instance:  s.instance,
		Leaving:   s.leaving.Load(),
		Running:   s.counters.running.Load(),
		Submitted: s.counters.submitted.Load(),
		Refused:   s.counters.refused.Load(),
		Lost:      s.counters.lost.Load(),
		Truncated: s.counters.truncated.Load(),
		Reasons:   make(map[string]int64),
	}
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()
	for r, n := range s.counters.reasons {
		st.Reasons[string(r)] = n
	}
	return st
}

// serve refuses the call if the sidecar is leaving, if the call is for another
// upstream or if the caller gets no slot, and forwards it otherwise.
func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request) {
	// The call is counted before leaving is checked, so that Drain cannot miss a
	// call that passes the check.
	s.counters.running.Add(1)
	defer s.counters.running.Add(-1)
	if s.leaving.Load() {
		w.Header().Set(headerLeaving, "1")
		s.refuse(w, reasonLeaving)
		return
	}
	if r.Header.Get(headerUpstream) != s.upstream {
		s.refuse(w, reasonMisdirected)
		return
	}
	caller := r.Header.Get(HeaderCaller)
	if !s.limiter.acquire(caller) {
		s.refuse(w, reasonOverloaded)
		return
	}
	defer s.limiter.release(caller)
	s.forward(w, r)
}

func (s *Sidecar) refuse(w http.ResponseWriter, r reason) {
	s.counters.refused.Add(1)
	s.writeVerdict(w, verdictRefused, r)
}

func (s *Sidecar) writeVerdict(w http.ResponseWriter, v verdict, r reason) {
	s.counters.mu.Lock()
	s.counters.reasons[r]++
	s.counters.mu.Unlock()
	w.Header().Set(headerVerdict, string(v))
	w.Header().Set(headerReason, string(r))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// forward submits the call to the service. A non-repeatable call is not cancelled
// when the entry disconnects, because the service may have started the work.
func (s *Sidecar) forward(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if r.Header.Get(headerRepeatable) == "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, idle := withIdleTimeout(ctx, callTimeout(r.Header))
	defer idle.stop()
	sending := new(upload)
	out := s.serviceRequest(httptrace.WithClientTrace(ctx, sending.trace()), r)
	resp, err := s.transport.RoundTrip(out)
	if sending.begun.Load() {
		s.counters.submitted.Add(1)
	}
	if err == nil && !exchange.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close() // the connection is not reused, since its body was not read
		err = errors.Errorf("the service sent a head with status %03d, which is not that of an answer", resp.StatusCode)
	}
	if err != nil {
		s.handleSubmitError(w, ctx, err, sending.begun.Load())
		return
	}
	resp.Body = idle.wrapBody(resp.Body)
	s.writeServiceResponse(ctx, w, resp, sending)
}

// handleSubmitError tells the entry that the service gave no response, and whether
// it may have received the call.
func (s *Sidecar) handleSubmitError(w http.ResponseWriter, ctx context.Context, err error, sent bool) {
	if s.logger != nil {
		s.logger.Warn("request to the service failed", "upstream", s.upstream, "submitted", sent, "err", err)
	}
	if !sent {
		s.refuse(w, reasonUnreachable)
		return
	}
	s.counters.lost.Add(1)
	r := reasonConnectionBroken
	if isIdleTimeout(ctx) {
		r = reasonIdleTimeout
	}
	s.writeVerdict(w, verdictNoResponse, r)
}

// dialAddress returns the host and port of a base address.
func dialAddress(target *url.URL) string {
	if target.Port() != "" {
		return target.Host
	}
	return net.JoinHostPort(target.Hostname(), "80")
}

func (s *Sidecar) writeServiceResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, sending *upload) {
	defer func() { _ = resp.Body.Close() }()
	announced := copyResponseHeaders(w.Header(), resp)
	w.Header().Set(headerVerdict, string(verdictAnswered))
	if s.leaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	w.WriteHeader(resp.StatusCode)
	err := copyBody(w, resp, nil)
	if err == nil {
		err = s.confirmEnd(ctx, resp, sending)
	}
	if err != nil {
		s.counters.truncated.Add(1)
		if s.logger != nil {
			s.logger.Warn("response of the service was broken off", "upstream", s.upstream, "status", resp.StatusCode, "err", err)
		}
		panic(http.ErrAbortHandler)
	}
	copyTrailers(w, resp, announced)
}

// confirmEnd returns an error if the end of a response, whose connection ended in order,
// may be that of a crashed service. A response without a length and chunks also ends in
// order if the service's process ends, so the service must still accept connections. It seems
// to end in order if its connection was reset while the request was being sent.
func (s *Sidecar) confirmEnd(ctx context.Context, resp *http.Response, sending *upload) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead {
		return nil
	}
	if err := sending.end(); err != nil {
		return err
	}
	conn, err := s.transport.DialContext(ctx, "tcp", dialAddress(s.target))
	if err != nil {
		return errors.Wrap(err, "the response ended with its connection, and the service no longer accepts connections")
	}
	// Nothing was sent on the connection.
	_ = conn.Close()
	return nil
}

// serviceRequest builds the request to the service. Like requestBody.open, it
// keeps net/http from resending the request on its own. net/http does so for
// methods without a body, and for requests that have an Idempotency-Key header.
// That header is written in lower case, where net/http does not find it.
func (s *Sidecar) serviceRequest(ctx context.Context, r *http.Request) *http.Request {
	out := (&http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   s.target.Scheme,
			Host:     s.target.Host,
			Path:     s.target.Path + strings.TrimPrefix(r.URL.Path, pathPrefix),
			RawPath:  s.target.EscapedPath() + strings.TrimPrefix(r.URL.EscapedPath(), pathPrefix),
			RawQuery: r.URL.RawQuery,
		},
		Header:        make(http.Header, len(r.Header)),
		Body:          r.Body,
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
	}).WithContext(ctx)
	if r.Header.Get(headerNoBody) != "" {
		setNoBody(out)
	}
	copyEndToEndHeaders(out.Header, r.Header)
	out.Header.Del("Authorization")
	if auth := r.Header.Get(HeaderUpstreamAuthorization); auth != "" {
		out.Header.Set("Authorization", auth)
	}
	out.Header.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	out.Header.Set(HeaderCaller, r.Header.Get(HeaderCaller))
	hideFromTransport(out.Header, HeaderIdempotencyKey)
	hideFromTransport(out.Header, "X-Idempotency-Key")
	suppressDefaultHeaders(out.Header)
	return out
}

// setNoBody replaces the body of a call that the caller sent without one. For the
// methods that net/http resends, it uses emptyBody, which prevents that.
func setNoBody(out *http.Request) {
	out.ContentLength = 0
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		out.Body = emptyBody{}
	default:
		out.Body = http.NoBody
	}
}

// hideFromTransport writes the name of a header in lower case, where net/http does
// not find it.
func hideFromTransport(h http.Header, name string) {
	if values, ok := h[name]; ok {
		delete(h, name)
		h[strings.ToLower(name)] = values
	}
}

// callTimeout returns the route's timeout from the header that the entry set.
func callTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}
