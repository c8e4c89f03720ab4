package plain

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
)

// failureCase is a failure on the path to a service, with the expected response
// and number of executions of a call that meets it.
type failureCase struct {
	name           string
	fail           func(f *fleet, name string)
	status         int
	outcome        fault.Outcome
	wantExecutions int
}

var failureCases = []failureCase{
	{"sidecar cannot be dialled", func(f *fleet, n string) { f.net.Disconnect(n + ":1") }, 503, fault.NotRun, 0},
	{"service cannot be dialled", func(f *fleet, n string) { f.net.Disconnect(n + ":80") }, 503, fault.NotRun, 0},
	{"sidecar is leaving", func(f *fleet, n string) { f.sidecars[n].Leave() }, 503, fault.NotRun, 0},
	{"sidecar is full", func(f *fleet, n string) { f.sidecars[n].limiter.limit = 0 }, 429, fault.NotRun, 0},
	{"address belongs to another sidecar", func(f *fleet, n string) { f.sidecars[n].upstream = "other" }, 503, fault.NotRun, 0},
	{"peer secret is wrong", func(f *fleet, _ string) { f.router.secret = "wrong" }, 503, fault.NotRun, 0},
	{"service dies while running", func(f *fleet, n string) {
		f.handler[n] = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}, 502, fault.Unknown, 1},
	{"service is silent", func(f *fleet, n string) {
		f.handler[n] = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	}, 504, fault.Unknown, 1},
	{"sidecar dies while the service runs", func(f *fleet, n string) {
		f.handler[n] = func(http.ResponseWriter, *http.Request) { f.net.Disconnect(n + ":1"); time.Sleep(time.Second) }
	}, 502, fault.Unknown, 1},
	{"connection to the sidecar is silent", func(f *fleet, n string) { f.net.Blackhole(n+":1", true) }, 502, fault.Unknown, 0},
	{"connection to the service is silent", func(f *fleet, n string) { f.net.Blackhole(n+":80", true) }, 504, fault.Unknown, 0},
	{"answer of the service is a 503", func(f *fleet, n string) {
		f.handler[n] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }
	}, 503, fault.Ran, 1},
}

// runAll runs a test for each method, with and without a body. The first calls
// leave idle connections: when a request fails on one of them, net/http may
// silently open another and resend the request.
func (c failureCase) runAll(t *testing.T, keyed bool, test func(t *testing.T, f *fleet, call func() *httptest.ResponseRecorder)) {
	for _, method := range []string{"GET", "POST"} {
		for _, body := range []string{"", "print run"} {
			t.Run(c.name+" "+method+" "+body, func(t *testing.T) {
				runWithFleet(t, 2, func(t *testing.T, f *fleet) {
					var headers []string
					if keyed {
						f.enableLedger()
						headers = []string{HeaderIdempotencyKey, "key-1"}
					}
					for range 4 {
						f.call(method, "/orders/book/warm", body)
					}
					for name := range f.sidecars {
						c.fail(f, name)
					}
					synctest.Wait()
					test(t, f, func() *httptest.ResponseRecorder {
						w := f.call(method, "/orders/book/x", body, headers...)
						time.Sleep(time.Minute)
						return w
					})
				})
			})
		}
	}
}

// Guards against a non-repeatable call that runs twice, or that is reported as
// not-run although it ran, when the path to the service fails at any point.
func TestNonRepeatableRunsAtMostOnce(t *testing.T) {
	for _, c := range failureCases {
		c.runAll(t, false, func(t *testing.T, f *fleet, call func() *httptest.ResponseRecorder) {
			requireStatus(t, call(), c.status, c.outcome)
			if got := f.executions("/orders/book/x"); got != c.wantExecutions {
				t.Fatalf("ran %d times, want %d", got, c.wantExecutions)
			}
		})
	}
}

// Guards against a call with an idempotency key that runs again when it is re-sent
// after a failure, and against one that cannot run although it was rejected as
// not-run.
func TestResentKeyRunsAtMostOnce(t *testing.T) {
	for _, c := range failureCases {
		c.runAll(t, true, func(t *testing.T, f *fleet, call func() *httptest.ResponseRecorder) {
			requireStatus(t, call(), c.status, c.outcome)
			f.repair()
			again := call()
			expected := c.wantExecutions
			switch c.outcome {
			case fault.NotRun:
				requireStatus(t, again, 200, fault.Ran)
				expected++
			case fault.Unknown:
				requireStatus(t, again, 409, fault.Unknown)
				if again.Header().Get("Location") != "/v1/outcomes/key-1" {
					t.Error("the response has no Location of the outcome lookup")
				}
			default:
				requireStatus(t, again, c.status, fault.Ran)
				if again.Header().Get(HeaderReplayed) == "" {
					t.Error("the replayed response has no Fescueslip-Replayed header")
				}
			}
			if got := f.executions("/orders/book/x"); got != expected {
				t.Fatalf("ran %d times, want %d", got, expected)
			}
		})
	}
}

// Guards against a call with an idempotency key that reaches the service without a
// ledger record, and against an outage of the key-value service that stops other
// calls.
func TestStoreOutageStopsKeyedCallsOnly(t *testing.T) {
	runWithFleet(t, 2, func(t *testing.T, f *fleet) {
		f.enableLedger().StartOutage(0)
		requireStatus(t, f.call("POST", "/orders/book/x", "b", HeaderIdempotencyKey, "k"), 503, fault.NotRun)
		if n := f.executions("/orders/book/x"); n != 0 {
			t.Fatalf("the call ran %d times during the outage, want 0", n)
		}
		for _, path := range []string{"/orders/book", "/orders/status"} {
			if w := f.call("POST", path, "b"); w.Code != 200 {
				t.Errorf("%s: %d %s", path, w.Code, w.Body)
			}
		}
	})
}

// Guards against a key that runs once per concurrent sender, and against a
// response that is lost because the first sender disconnected.
func TestConcurrentCallsWithOneKey(t *testing.T) {
	runWithFleet(t, 2, func(t *testing.T, f *fleet) {
		f.enableLedger()
		for name := range f.sidecars {
			f.handler[name] = func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, "booked")
			}
		}
		ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer leave()
		hc := f.startHTTP()
		for range 5 {
			go func() {
				r, _ := http.NewRequestWithContext(ctx, "POST", "http://entry:80/orders/book/x", strings.NewReader("b"))
				r.Header.Set(HeaderIdempotencyKey, "k")
				if resp, err := hc.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		time.Sleep(5 * time.Second)
		w := f.call("POST", "http://entry:80/orders/book/x", "b", HeaderIdempotencyKey, "k")
		if w.Code != 200 || w.Body.String() != "booked" || f.executions("/orders/book/x") != 1 {
			t.Fatalf("got %d %s after %d executions", w.Code, w.Body, f.executions("/orders/book/x"))
		}
	})
}
