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
	"github.com/fescueslip/fescueslip/internal/wire"
	"github.com/go-faster/errors"
)

const (
	defaultMaxInFlight = 256
	// serviceIdle is shorter than the idle limits of common servers, so that a
	// service rarely closes a connection just as a call is written to it.
	serviceIdle = 4 * time.Second
	// dialTimeout bounds opening a connection to the service, which is local.
	dialTimeout = 2 * time.Second
	// drainPoll is how often Drain looks whether the last call has ended.
	drainPoll = 20 * time.Millisecond
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
	// Config gives the callers' shares; nil means equal shares.
	Config config.Source
	Logger *log.Logger
	// MaxInFlight bounds the calls at the service; 0 means 256.
	MaxInFlight int
}

// Sidecar is the sidecar side of plain calls. It submits each call that it
// accepts exactly once to its service. It is safe for concurrent use.
type Sidecar struct {
	upstream  string
	instance  string
	target    *url.URL
	logger    *log.Logger
	places    *places
	transport *http.Transport
	leaving   atomic.Bool
	counts    sidecarCounts
}

type sidecarCounts struct {
	running, submitted, refused, lost atomic.Int64
	mu                                sync.Mutex
	reasons                           map[reason]int64
}

// SidecarState is the state of a Sidecar for dumps.
type SidecarState struct {
	Upstream  string           `json:"upstream"`
	Instance  string           `json:"instance"`
	Leaving   bool             `json:"leaving"`
	Running   int64            `json:"running"`
	Submitted int64            `json:"submitted"`
	Refused   int64            `json:"refused"`
	Lost      int64            `json:"lost"`
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
		places:    newPlaces(o.MaxInFlight, o.Config),
		transport: serviceTransport(o.Dial, o.MaxInFlight),
		counts:    sidecarCounts{reasons: make(map[reason]int64)},
	}
}

func serviceTransport(dial wire.DialFunc, connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, addr)
		},
		DisableCompression:  true,
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     serviceIdle,
	}
}

// Handler serves /plain/…. Mount it behind wire.RequireSecret: Authorization
// carries the peer secret on this hop and is replaced before the service.
func (s *Sidecar) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// Leave makes the sidecar refuse new calls and announce that it is leaving.
func (s *Sidecar) Leave() { s.leaving.Store(true) }

// Drain calls Leave and waits until the last accepted call has ended.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.Leave()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for s.counts.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d calls are still running", s.counts.running.Load())
		case <-tick.C:
		}
	}
	s.transport.CloseIdleConnections()
	return nil
}

// State returns the state for dumps.
func (s *Sidecar) State() SidecarState {
	st := SidecarState{
		Upstream:  s.upstream,
		Instance:  s.instance,
		Leaving:   s.leaving.Load(),
		Running:   s.counts.running.Load(),
		Submitted: s.counts.submitted.Load(),
		Refused:   s.counts.refused.Load(),
		Lost:      s.counts.lost.Load(),
		Reasons:   make(map[string]int64),
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	for why, n := range s.counts.reasons {
		st.Reasons[string(why)] = n
	}
	return st
}

func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request) {
	// Counted before the check, so that Drain cannot miss a call that passed it.
	s.counts.running.Add(1)
	defer s.counts.running.Add(-1)
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
	if !s.places.take(caller) {
		s.refuse(w, reasonOverloaded)
		return
	}
	defer s.places.release(caller)
	s.forward(w, r)
}

func (s *Sidecar) refuse(w http.ResponseWriter, why reason) {
	s.counts.refused.Add(1)
	s.say(w, verdictRefused, why)
}

func (s *Sidecar) say(w http.ResponseWriter, v verdict, why reason) {
	s.counts.mu.Lock()
	s.counts.reasons[why]++
	s.counts.mu.Unlock()
	w.Header().Set(headerVerdict, string(v))
	w.Header().Set(headerReason, string(why))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// forward submits the call. A non-repeatable call is not cancelled when the
// entry goes away, because the service may have begun it.
func (s *Sidecar) forward(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if r.Header.Get(headerRepeatable) == "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, silence := watchSilence(ctx, callTimeout(r.Header))
	defer silence.stop()
	var left atomic.Bool
	out := s.serviceRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { left.Store(true) },
	}), r)
	resp, err := s.transport.RoundTrip(out)
	if left.Load() {
		s.counts.submitted.Add(1)
	}
	if err != nil {
		s.failed(w, ctx, err, left.Load())
		return
	}
	resp.Body = silence.watch(resp.Body)
	s.answer(w, resp)
}

func (s *Sidecar) failed(w http.ResponseWriter, ctx context.Context, err error, left bool) {
	if s.logger != nil {
		s.logger.Warn("call of the service failed", "upstream", s.upstream, "submitted", left, "err", err)
	}
	if !left {
		s.refuse(w, reasonUnreachable)
		return
	}
	s.counts.lost.Add(1)
	why := reasonBroken
	if fellSilent(ctx) {
		why = reasonSilent
	}
	s.say(w, verdictLost, why)
}

func (s *Sidecar) answer(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	announced := passHead(w.Header(), resp)
	w.Header().Set(headerVerdict, string(verdictAnswered))
	if s.leaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	w.WriteHeader(resp.StatusCode)
	if err := passBody(w, resp, nil); err != nil {
		panic(http.ErrAbortHandler)
	}
	passTrailers(w, resp, announced)
}

// serviceRequest builds the request to the service. Like callBody.open, it
// leaves net/http no way to submit the request a second time by itself: that
// happens for bodyless methods and for requests with an Idempotency-Key header,
// which is therefore written in lower case, in which net/http does not find it.
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
	passHeaders(out.Header, r.Header)
	out.Header.Del("Authorization")
	if auth := r.Header.Get(HeaderUpstreamAuthorization); auth != "" {
		out.Header.Set("Authorization", auth)
	}
	out.Header.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	out.Header.Set(HeaderCaller, r.Header.Get(HeaderCaller))
	hideFromTransport(out.Header, HeaderIdempotencyKey)
	hideFromTransport(out.Header, "X-Idempotency-Key")
	quietTransport(out.Header)
	return out
}

func setNoBody(out *http.Request) {
	out.ContentLength = 0
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		out.Body = emptyBody{}
	default:
		out.Body = http.NoBody
	}
}

func hideFromTransport(h http.Header, name string) {
	if values, ok := h[name]; ok {
		delete(h, name)
		h[strings.ToLower(name)] = values
	}
}

// callTimeout reads the route's timeout as the entry sent it.
func callTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}
