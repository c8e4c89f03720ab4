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

func wantRefusal(t *testing.T, w *httptest.ResponseRecorder, status int, outcome fault.Outcome) {
	t.Helper()
	if w.Code != status || w.Header().Get(fault.OutcomeHeader) != string(outcome) {
		t.Fatalf("got %d %q (%s), want %d %q", w.Code, w.Header().Get(fault.OutcomeHeader), w.Body, status, outcome)
	}
}

// Guards against leaking the caller's key to a service or the peer secret to
// anyone, and against forged headers of the system.
func TestHeadersOnEachHop(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		var seen http.Header
		f.serve["s0"] = func(w http.ResponseWriter, r *http.Request) {
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
			t.Fatalf("response %d %v", w.Code, w.Header())
		}
		if f.view.members["s0"].State != membership.Serving || w.Header().Get(headerVerdict) != "" {
			t.Fatal("a service's own Fescueslip header was believed or passed on")
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

// Guards against losing trailers, query, escaped path or a streamed body on the way.
func TestStreamsAndTrailersPassBothWays(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		f.serve["s0"] = func(w http.ResponseWriter, r *http.Request) {
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
		resp, err := f.overHTTP().Post("http://entry:80/orders/book/a%20b%2Fc?q=1&r=%20", "text/plain", pr)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if got := string(body); err != nil || got != "/orders/book/a%20b%2Fc?q=1&r=%20 part one,part two" {
			t.Fatalf("got %q, %v", got, err)
		}
		if resp.Trailer.Get("X-Sum") != "42" || resp.Trailer.Get("X-Late") != "7" {
			t.Fatalf("trailers %v", resp.Trailer)
		}
	})
}

// Guards against refusals without status, outcome, or a route that a rewritten path reaches.
func TestRouting(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
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
			wantRefusal(t, w, c.status, fault.NotRun)
		}
		if f.call("DELETE", "/orders/book", "").Header().Get("Allow") == "" {
			t.Error("405 without Allow")
		}
		if len(f.runs) != 0 {
			t.Errorf("refused calls ran: %v", f.runs)
		}
		big := strings.Repeat("x", defaultMaxBody+1)
		wantRefusal(t, f.call("POST", "/orders/book", big), 413, fault.NotRun)
	})
}

// Guards against refusing a call while another upstream could take it.
func TestRefusedCallGoesToAnotherUpstream(t *testing.T) {
	for _, path := range []string{"/orders/book", "/orders/status"} {
		inFleet(t, 2, func(t *testing.T, f *fleet) {
			f.sidecars["s0"].Leave()
			for range 20 {
				if w := f.call("POST", path, "b"); w.Code != 200 || w.Body.String() != "POST b" {
					t.Fatalf("%s: got %d %s", path, w.Code, w.Body)
				}
			}
			if f.view.members["s0"].State != membership.Leaving {
				t.Error("the announcement of leaving was not reported")
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
			f.serve["s0"] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }
		}},
		{"broken answer", func(f *fleet) {
			f.serve["s0"] = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		}},
		{"silent service", func(f *fleet) {
			f.serve["s0"] = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		}},
		{"dead sidecar", func(f *fleet) { f.net.Disconnect("s0:1") }},
		{"dead service", func(f *fleet) { f.net.Disconnect("s0:80") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, 2, func(t *testing.T, f *fleet) {
				f.policy.RetryBudget = 1
				c.fail(f)
				for range 10 {
					if w := f.call("GET", "/orders/status/1", ""); w.Code != 200 {
						t.Fatalf("got %d %s", w.Code, w.Body)
					}
				}
				counts := &f.router.counts
				if counts.retriesRepeatable.Load()+counts.hedges.Load() == 0 {
					t.Error("the further attempts were not counted")
				}
				if n := counts.repeatable[callAnswered].Load(); n != 10 {
					t.Errorf("%d calls were counted as answered, want 10", n)
				}
			})
		})
	}
}

// Guards against retries that multiply the load of a failing pool.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		for name := range f.sidecars {
			f.serve[name] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }
		}
		const calls = 200
		for range calls {
			if w := f.call("GET", "/orders/status/1", ""); w.Code != 503 {
				t.Fatalf("got %d, want the service's own 503", w.Code)
			}
		}
		limit := calls + int(calls*f.policy.RetryBudget) + budgetStart
		if got := f.executions("/orders/status/1"); got > limit {
			t.Fatalf("%d calls ran %d times, want at most %d", calls, got, limit)
		}
	})
}

// Guards against slow calls that are not hedged, and against hedging when the policy forbids it.
func TestHedgeAfterP95(t *testing.T) {
	for _, hedge := range []bool{true, false} {
		inFleet(t, 2, func(t *testing.T, f *fleet) {
			f.policy.Hedge = hedge
			for range 2 * latencyRefresh {
				f.call("GET", "/orders/status/1", "")
			}
			f.serve["s0"] = func(w http.ResponseWriter, r *http.Request) { time.Sleep(time.Second) }
			var slowest time.Duration
			for range 10 {
				began := time.Now()
				f.call("GET", "/orders/status/1", "")
				slowest = max(slowest, time.Since(began))
			}
			if hedge && slowest > 10*time.Millisecond {
				t.Errorf("slowest hedged call took %v", slowest)
			}
			if n := f.router.counts.hedges.Load(); (n > 0) != hedge {
				t.Errorf("%d hedges were counted with hedging %v", n, hedge)
			}
			if !hedge && slowest < time.Second {
				t.Errorf("hedged although the policy forbids it: slowest %v", slowest)
			}
		})
	}
}

// Guards against an answer that breaks off and looks complete to the caller.
func TestBrokenAnswerIsNotTakenForComplete(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		f.serve["s0"] = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		resp, err := f.overHTTP().Post("http://entry:80/orders/book", "text/plain", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(resp.Body); err == nil {
			t.Fatalf("read %q without an error", data)
		}
	})
}

// Guards against a planned stop that interrupts a call in progress.
func TestDrainWaitsForRunningCalls(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		f.serve["s0"] = func(w http.ResponseWriter, _ *http.Request) {
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
		wantRefusal(t, f.call("POST", "/orders/book", "b"), 503, fault.NotRun)
	})
}

// Guards against a caller that takes all places of a service from others, and
// against places that are not divided by shares.
func TestPlacesAreDividedByShares(t *testing.T) {
	snapshot := config.BuildSnapshot(1, config.DecodedObjects{Callers: []*config.Caller{{Name: "one", Share: 1}, {Name: "three", Share: 3}}})
	p := newPlaces(256, config.StaticSource{Fixed: snapshot})
	for p.take("one") {
	}
	if free := p.limit - p.running; free < p.limit/6 || !p.take("three") {
		t.Fatalf("a flood leaves %d of %d places", free, p.limit)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		// Both ask far more often than calls end.
		for range 3 {
			p.take("one")
			p.take("three")
		}
		ends := "one"
		if rng.IntN(p.running) >= p.byCaller["one"] {
			ends = "three"
		}
		p.release(ends)
	}
	if ratio := float64(p.byCaller["three"]) / float64(p.byCaller["one"]); ratio < 2.8 || ratio > 3.2 {
		t.Fatalf("places %v, want 3 to 1", p.byCaller)
	}
}

// Guards against bodies that are too slow or too long being called not-run
// after part of them was sent, or unknown before.
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
		inFleet(t, 1, func(t *testing.T, f *fleet) {
			pr, pw := io.Pipe()
			defer func() { _ = pw.Close() }()
			go func() {
				for err := error(nil); err == nil && c.length == -1; {
					_, err = pw.Write(make([]byte, 1<<20))
				}
			}()
			r, _ := http.NewRequestWithContext(t.Context(), "POST", "http://entry:80/orders/book", pr)
			r.ContentLength = max(c.length, -1)
			resp, err := f.overHTTP().Do(r)
			if err != nil || resp.StatusCode != c.status || resp.Header.Get(fault.OutcomeHeader) != string(c.outcome) {
				t.Fatalf("%s: %v, %v", c.name, resp, err)
			}
			_ = resp.Body.Close()
		})
	}
}
