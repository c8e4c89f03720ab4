package plain

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/membership"
)

func requireStatus(t *testing.T, w *httptest.ResponseRecorder, status int, outcome fault.Outcome) {
	t.Helper()
	if w.Code != status || w.Header().Get(fault.OutcomeHeader) != string(outcome) {
		t.Fatalf("got %d %q (%s), want %d %q", w.Code, w.Header().Get(fault.OutcomeHeader), w.Body, status, outcome)
	}
}

// Guards against leaking the caller's API key to a service or the peer secret to
// anyone, and against forged headers of the system.
func TestHeadersOnEachHop(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		var seen http.Header
		f.handler["s0"] = func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.Header().Set("Connection", "X-Local")
			w.Header().Set("X-Local", "1")
			w.Header().Set("X-Kept", "1")
			w.Header().Set(headerVerdict, "refused")
			w.Header().Set(headerLeaving, "1")
			w.WriteHeader(http.StatusFound)
		}
		w := f.call("POST", "/orders/book", "x",
			"Connection", "X-Private, close", "X-Private", "1", "Proxy-Authorization", "p", "Te", "gzip, trailers",
			"X-End", "kept", HeaderUpstreamAuthorization, "Basic s", headerRepeatable, "1", HeaderCaller, "forged",
			"Idempotency-Key-Hint", "h", "X-Forwarded-For", "9.9.9.9")
		if w.Code != http.StatusFound || w.Header().Get("X-Kept") != "1" || w.Header().Get("X-Local") != "" {
			t.Fatalf("got status %d and headers %v", w.Code, w.Header())
		}
		if f.view.members["s0"].State != membership.Serving || w.Header().Get(headerVerdict) != "" {
			t.Fatal("a Fescueslip header that the service set was trusted or forwarded")
		}
		want := map[string]string{
			"Authorization": "Basic s", "X-Private": "", "Proxy-Authorization": "", "Te": "trailers", "X-End": "kept",
			HeaderCaller: "bakery", headerRepeatable: "", HeaderUpstreamAuthorization: "", headerUpstream: "",
			"X-Forwarded-For": "9.9.9.9, 192.0.2.1", "X-Forwarded-Host": "example.com", "User-Agent": "",
		}
		for name, value := range want {
			if got := seen.Get(name); got != value {
				t.Errorf("service saw %s: %q, want %q", name, got, value)
			}
		}
		for name, values := range seen {
			if strings.Contains(strings.Join(values, ""), testSecret) || strings.Contains(strings.Join(values, ""), "caller-key") {
				t.Errorf("%s leaks a secret to the service", name)
			}
		}
	})
}

// Guards against a trailer, query, escaped path or streamed body that is lost
// between caller and service.
func TestStreamsAndTrailersPassBothWays(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		f.handler["s0"] = func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, r.URL.RequestURI()+" "+string(data))
			w.(http.Flusher).Flush()
			w.Header().Set("X-Sum", "42")
			w.Header().Set(http.TrailerPrefix+"X-Late", "7")
		}
		pr, pw := io.Pipe()
		go func() {
			_, _ = io.WriteString(pw, "part one,")
			time.Sleep(time.Second)
			_, _ = io.WriteString(pw, "part two")
			_ = pw.Close()
		}()
		resp, err := f.startHTTP().Post("http://entry:80/orders/book/a%20b%2Fc?q=1&r=%20", "text/plain", pr)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if got := string(body); err != nil || got != "/orders/book/a%20b%2Fc?q=1&r=%20 part one,part two" {
			t.Fatalf("got %q, %v", got, err)
		}
		if resp.Trailer.Get("X-Sum") != "42" || resp.Trailer.Get("X-Late") != "7" {
			t.Fatalf("got trailers %v", resp.Trailer)
		}
	})
}

// Guards against rejections without a status or outcome, and against a rewritten
// path that reaches a different route.
func TestRouting(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		for _, c := range []struct {
			method, path string
			status       int
		}{
			{"GET", "/nothing", 404},
			{"DELETE", "/orders/book", 405},
			{"GET", "/orders/status/../book", 400},
			{"GET", "/orders/status/%2e%2e/book", 400},
			{"GET", "/orders/status%2f..%2fbook", 400},
			{"GET", "/orders//book", 400},
		} {
			w := f.call(c.method, c.path, "")
			requireStatus(t, w, c.status, fault.NotRun)
		}
		if f.call("DELETE", "/orders/book", "").Header().Get("Allow") == "" {
			t.Error("the 405 response has no Allow header")
		}
		if len(f.executionsByPath) != 0 {
			t.Errorf("refused calls ran: %v", f.executionsByPath)
		}
		big := strings.Repeat("x", defaultMaxBody+1)
		requireStatus(t, f.call("POST", "/orders/book", big), 413, fault.NotRun)
	})
}

// Guards against rejecting a call while another upstream could take it.
func TestRefusedCallGoesToAnotherUpstream(t *testing.T) {
	for _, path := range []string{"/orders/book", "/orders/status"} {
		runWithFleet(t, 2, func(t *testing.T, f *fleet) {
			f.sidecars["s0"].Leave()
			for range 20 {
				if w := f.call("POST", path, "b"); w.Code != 200 || w.Body.String() != "POST b" {
					t.Fatalf("%s: got %d %s", path, w.Code, w.Body)
				}
			}
			if f.view.members["s0"].State != membership.Leaving {
				t.Error("the leaving sidecar was not reported to the membership view")
			}
			if n := f.sidecars["s0"].State().Refused; n > 1 {
				t.Errorf("%d calls were sent to a leaving sidecar, want at most 1", n)
			}
		})
	}
}

// Guards against repeatable calls that fail although a retry would have succeeded.
func TestRepeatableRetries(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *fleet)
	}{
		{"status 503", func(f *fleet) {
			f.handler["s0"] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }
		}},
		{"broken answer", func(f *fleet) {
			f.handler["s0"] = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		}},
		{"silent service", func(f *fleet) {
			f.handler["s0"] = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		}},
		{"dead sidecar", func(f *fleet) { f.net.Disconnect("s0:1") }},
		{"dead service", func(f *fleet) { f.net.Disconnect("s0:80") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, 2, func(t *testing.T, f *fleet) {
				f.policy.RetryBudget = 1
				c.fail(f)
				for range 10 {
					if w := f.call("GET", "/orders/status/1", ""); w.Code != 200 {
						t.Fatalf("got %d %s", w.Code, w.Body)
					}
				}
				counters := &f.router.counters
				if counters.retriesRepeatable.Load()+counters.hedges.Load() == 0 {
					t.Error("the retries and hedges were not counted")
				}
				if n := counters.repeatable[callAnswered].Load(); n != 10 {
					t.Errorf("%d calls were counted as answered, want 10", n)
				}
			})
		})
	}
}

// Guards against retries that multiply the load of a failing pool.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	runWithFleet(t, 2, func(t *testing.T, f *fleet) {
		for name := range f.sidecars {
			f.handler[name] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }
		}
		const calls = 200
		for range calls {
			if w := f.call("GET", "/orders/status/1", ""); w.Code != 503 {
				t.Fatalf("got %d, want the service's own 503", w.Code)
			}
		}
		limit := calls + int(calls*f.policy.RetryBudget) + initialRetryTokens
		if got := f.executions("/orders/status/1"); got > limit {
			t.Fatalf("%d calls ran %d times, want at most %d", calls, got, limit)
		}
	})
}

// Guards against slow calls that are not hedged, and against hedging when the
// policy forbids it.
func TestHedgeAfterP95(t *testing.T) {
	for _, hedge := range []bool{true, false} {
		runWithFleet(t, 2, func(t *testing.T, f *fleet) {
			f.policy.Hedge = hedge
			for range 2 * p95RefreshInterval {
				f.call("GET", "/orders/status/1", "")
			}
			f.handler["s0"] = func(w http.ResponseWriter, r *http.Request) { time.Sleep(time.Second) }
			var slowest time.Duration
			for range 10 {
				start := time.Now()
				f.call("GET", "/orders/status/1", "")
				slowest = max(slowest, time.Since(start))
			}
			if hedge && slowest > 10*time.Millisecond {
				t.Errorf("slowest hedged call took %v", slowest)
			}
			if n := f.router.counters.hedges.Load(); (n > 0) != hedge {
				t.Errorf("%d hedges were counted with hedging %v", n, hedge)
			}
			if !hedge && slowest < time.Second {
				t.Errorf("hedged although the policy forbids it: slowest %v", slowest)
			}
		})
	}
}

// Guards against a response that breaks off but looks complete to the caller.
func TestTruncatedResponseIsNotTakenForComplete(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		f.handler["s0"] = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		resp, err := f.startHTTP().Post("http://entry:80/orders/book", "text/plain", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(resp.Body); err == nil {
			t.Fatalf("read %q without an error", data)
		}
	})
}

// Guards against a planned stop that interrupts a running call.
func TestDrainWaitsForRunningCalls(t *testing.T) {
	runWithFleet(t, 1, func(t *testing.T, f *fleet) {
		f.handler["s0"] = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(w, "done")
		}
		drained := make(chan error)
		time.AfterFunc(time.Second, func() { drained <- f.sidecars["s0"].Drain(t.Context()) })
		if w := f.call("POST", "/orders/book", "b"); w.Body.String() != "done" {
			t.Fatalf("got %d %s", w.Code, w.Body)
		}
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		requireStatus(t, f.call("POST", "/orders/book", "b"), 503, fault.NotRun)
	})
}

// Guards against a caller that takes all slots of a service, and against slots
// that are not divided by the callers' shares.
func TestLimiterDividesSlotsByShare(t *testing.T) {
	snapshot := config.BuildSnapshot(1, config.DecodedObjects{Callers: []*config.Caller{{Name: "one", Share: 1}, {Name: "three", Share: 3}}})
	l := newConcurrencyLimiter(256, config.StaticSource{Fixed: snapshot})
	for l.acquire("one") {
	}
	if free := l.limit - l.inFlight; free < l.limit/6 || !l.acquire("three") {
		t.Fatalf("a flood by one caller leaves %d of %d slots free", free, l.limit)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		// Both callers request slots far more often than calls end.
		for range 3 {
			l.acquire("one")
			l.acquire("three")
		}
		finished := "one"
		if rng.IntN(l.inFlight) >= l.byCaller["one"] {
			finished = "three"
		}
		l.release(finished)
	}
	if ratio := float64(l.byCaller["three"]) / float64(l.byCaller["one"]); ratio < 2.8 || ratio > 3.2 {
		t.Fatalf("slots %v, want 3 to 1", l.byCaller)
	}
}

// Guards against wrong outcomes for bodies that are too slow or too long: not-run
// after part of the body was sent, or unknown before any of it was.
func TestBodyLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		length  int64
		status  int
		outcome fault.Outcome
	}{
		{"declared and slow", 1000, 408, fault.NotRun},
		{"undeclared and too long", -1, 502, fault.Unknown},
		{"undeclared and stalled", -2, 504, fault.Unknown},
	} {
		runWithFleet(t, 1, func(t *testing.T, f *fleet) {
			pr, pw := io.Pipe()
			defer func() { _ = pw.Close() }()
			go func() {
				for err := error(nil); err == nil && c.length == -1; {
					_, err = pw.Write(make([]byte, 1<<20))
				}
			}()
			r, _ := http.NewRequestWithContext(t.Context(), "POST", "http://entry:80/orders/book", pr)
			r.ContentLength = max(c.length, -1)
			resp, err := f.startHTTP().Do(r)
			if err != nil || resp.StatusCode != c.status || resp.Header.Get(fault.OutcomeHeader) != string(c.outcome) {
				t.Fatalf("%s: %v, %v", c.name, resp, err)
			}
			_ = resp.Body.Close()
		})
	}
}
