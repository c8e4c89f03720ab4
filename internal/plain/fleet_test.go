package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/ledger"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore/kvmem"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const testSecret = "peer-secret"

var testCaller = &config.Caller{Name: "bakery", Share: 1}

// fakeView is a membership.View whose member states are set by tests.
type fakeView struct {
	mu      sync.Mutex
	members map[string]membership.Member
}

func (v *fakeView) Members() []membership.Member { return nil }

func (v *fakeView) SidecarOf(name string) (membership.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[name]
	return m, ok
}

func (v *fakeView) ReportState(name string, _ uint64, state membership.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for upstream, m := range v.members {
		if m.Name == name {
			m.State = state
			v.members[upstream] = m
		}
	}
}

// fleet is an entry with sidecars and services on an in-memory network.
type fleet struct {
	t                *testing.T
	net              *memnet.Network
	view             *fakeView
	router           *Router
	policy           config.Policy
	sidecars         map[string]*Sidecar
	mu               sync.Mutex
	executionsByPath map[string]int // number of executions by path
	handler          map[string]http.HandlerFunc
	closers          []func()
}

// runWithFleet runs a test in virtual time with n services named "s0", "s1" and so
// on.
func runWithFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, net: memnet.New(0), view: &fakeView{members: map[string]membership.Member{}},
			policy: config.DefaultPolicy(), sidecars: map[string]*Sidecar{},
			executionsByPath: map[string]int{}, handler: map[string]http.HandlerFunc{},
		}
		client := wire.NewClient(f.net.Dial)
		f.router = NewRouter(RouterOptions{Config: f, Members: f.view, Client: client, Secret: testSecret, FailureDomain: "a", RandIntN: roundRobin()})
		for i := range n {
			f.addService(fmt.Sprintf("s%d", i))
		}
		defer func() {
			client.CloseIdleConnections()
			for _, c := range f.closers {
				c()
			}
			time.Sleep(time.Minute) // abandoned handlers end meanwhile
		}()
		test(t, f)
	})
}

// roundRobin returns the numbers below n in turn, so that a few calls try every
// upstream first. Choices with a single outcome do not advance the sequence.
func roundRobin() func(n int) int {
	var turn atomic.Int64
	return func(n int) int {
		if n == 1 {
			return 0
		}
		return int(turn.Add(1)) % n
	}
}

// enableLedger gives the router a ledger on an in-memory key-value service.
func (f *fleet) enableLedger() *kvstore.Store {
	store := kvstore.NewStore(kvstore.Options{Latency: 3 * time.Millisecond})
	f.router.ledger = ledger.New(ledger.Options{KV: kvmem.New(store), Members: f.view, Self: "entry"})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.router.ledger.Run(ctx) }()
	f.closers = append(f.closers, cancel)
	return store
}

// Snapshot implements config.Source.
func (f *fleet) Snapshot() *config.Snapshot {
	o := config.DecodedObjects{Policy: &f.policy}
	for name := range f.sidecars {
		o.Upstreams = append(o.Upstreams, &config.Upstream{Name: name, Pool: "orders", Kind: config.UpstreamService})
	}
	o.Routes = []*config.Route{
		{Name: "status", Prefix: "/orders/status", Pool: "orders", Repeatable: true, Timeout: 6 * time.Second},
		{Name: "book", Prefix: "/orders/book", Methods: []string{"POST", "GET"}, Pool: "orders", Timeout: 6 * time.Second},
	}
	return config.BuildSnapshot(1, o)
}

func (f *fleet) addService(name string) {
	f.listen(name+":80", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.mu.Lock()
		f.executionsByPath[r.URL.Path]++
		handler := f.handler[name]
		f.mu.Unlock()
		if handler != nil {
			handler(w, r)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, body)
	})})
	s := NewSidecar(SidecarOptions{Upstream: name, Target: &url.URL{Scheme: "http", Host: name + ":80"}, Dial: f.net.Dial})
	f.sidecars[name] = s
	f.closers = append(f.closers, s.transport.CloseIdleConnections)
	f.listen(name+":1", wire.NewServer(wire.RequireSecret(testSecret, s.Handler())))
	f.view.members[name] = membership.Member{
		Name: "sidecar-" + name, Role: "sidecar", Upstream: name, FailureDomain: "a",
		PeerAddress: name + ":1", State: membership.Serving,
	}
}

func (f *fleet) listen(addr string, srv *http.Server) {
	l, err := f.net.Listen(addr)
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	f.closers = append(f.closers, func() { _ = srv.Close() })
}

// repair reverts all injected failures.
func (f *fleet) repair() {
	f.router.secret = testSecret
	clear(f.handler)
	for name, s := range f.sidecars {
		f.net.Restore(name + ":1")
		f.net.Restore(name + ":80")
		s.leaving.Store(false)
		s.limiter.limit, s.upstream = defaultMaxInFlight, name
		m := f.view.members[name]
		m.State = membership.Serving
		f.view.members[name] = m
	}
	time.Sleep(10 * time.Second)
}

func (f *fleet) executions(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionsByPath[path]
}

// call passes one call directly to the router, without an HTTP server.
func (f *fleet) call(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(f.t.Context(), method, path, bytes.NewReader([]byte(body)))
	r.Header.Set("Authorization", "Bearer caller-key")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.router.ServeCall(w, r, testCaller, "req-1")
	return w
}

// startHTTP serves the router on the in-memory network and returns an HTTP client
// for it.
func (f *fleet) startHTTP() *http.Client {
	f.listen("entry:80", wire.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.router.ServeCall(w, r, testCaller, "req-1")
	})))
	tr := &http.Transport{DialContext: func(ctx context.Context, n, a string) (net.Conn, error) { return f.net.Dial(ctx, n, a) }}
	f.closers = append(f.closers, tr.CloseIdleConnections)
	return &http.Client{Transport: tr, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}
