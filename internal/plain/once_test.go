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

// failure is a point where the path to a service can fail, and the truth about a call then.
type failure struct {
	name    string
	fail    func(f *fleet, name string)
	status  int
	outcome fault.Outcome
	runs    int
}

var failures = []failure{
	{"sidecar cannot be dialled", func(f *fleet, n string) { f.net.Disconnect(n + ":1") }, 503, fault.NotRun, 0},
	{"service cannot be dialled", func(f *fleet, n string) { f.net.Disconnect(n + ":80") }, 503, fault.NotRun, 0},
	{"sidecar is leaving", func(f *fleet, n string) { f.sidecars[n].Leave() }, 503, fault.NotRun, 0},
	{"sidecar is full", func(f *fleet, n string) { f.sidecars[n].places.limit = 0 }, 429, fault.NotRun, 0},
	{"address belongs to another sidecar", func(f *fleet, n string) { f.sidecars[n].upstream = "other" }, 503, fault.NotRun, 0},
	{"peer secret is wrong", func(f *fleet, _ string) { f.router.secret = "wrong" }, 503, fault.NotRun, 0},
	{"service dies while running", func(f *fleet, n string) {
		f.serve[n] = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}, 502, fault.Unknown, 1},
	{"service is silent", func(f *fleet, n string) {
		f.serve[n] = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	}, 504, fault.Unknown, 1},
	{"sidecar dies while the service runs", func(f *fleet, n string) {
		f.serve[n] = func(http.ResponseWriter, *http.Request) { f.net.Disconnect(n + ":1"); time.Sleep(time.Second) }
	}, 502, fault.Unknown, 1},
	{"connection to the sidecar is silent", func(f *fleet, n string) { f.net.Blackhole(n+":1", true) }, 502, fault.Unknown, 0},
	{"connection to the service is silent", func(f *fleet, n string) { f.net.Blackhole(n+":80", true) }, 504, fault.Unknown, 0},
	{"answer of the service is a 503", func(f *fleet, n string) {
		f.serve[n] = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }
	}, 503, fault.Ran, 1},
}

// each runs a test for every failure, method, and body or none. A first call
// leaves idle connections, which net/http would silently replace together with
// the request.
func (c failure) each(t *testing.T, keyed bool, test func(t *testing.T, f *fleet, call func() *httptest.ResponseRecorder)) {
	for _, method := range []string{"GET", "POST"} {
		for _, body := range []string{"", "print run"} {
			t.Run(c.name+" "+method+" "+body, func(t *testing.T) {
				inFleet(t, 2, func(t *testing.T, f *fleet) {
					var headers []string
					if keyed {
						f.useLedger()
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

// Guards against a non-repeatable call running twice, or being reported as
// not-run when it ran, at each point where the path to the service can fail.
func TestNonRepeatableRunsAtMostOnce(t *testing.T) {
	for _, c := range failures {
		c.each(t, false, func(t *testing.T, f *fleet, call func() *httptest.ResponseRecorder) {
			wantRefusal(t, call(), c.status, c.outcome)
			if got := f.executions("/orders/book/x"); got != c.runs {
				t.Fatalf("ran %d times, want %d", got, c.runs)
			}
		})
	}
}

// Guards against a keyed call that runs again when it is re-sent after a
// failure, or that cannot run although it was refused as not-run.
func TestResentKeyRunsAtMostOnce(t *testing.T) {
	for _, c := range failures {
		c.each(t, true, func(t *testing.T, f *fleet, call func() *httptest.ResponseRecorder) {
			wantRefusal(t, call(), c.status, c.outcome)
			f.repair()
			again := call()
			want := c.runs
			switch c.outcome {
			case fault.NotRun:
				wantRefusal(t, again, 200, fault.Ran)
				want++
			case fault.Unknown:
				wantRefusal(t, again, 409, fault.Unknown)
				if again.Header().Get("Location") != "/v1/outcomes/key-1" {
					t.Error("no address of the lookup")
				}
			default:
				wantRefusal(t, again, c.status, fault.Ran)
				if again.Header().Get(HeaderReplayed) == "" {
					t.Error("the answer was not marked as given again")
				}
			}
			if got := f.executions("/orders/book/x"); got != want {
				t.Fatalf("ran %d times, want %d", got, want)
			}
		})
	}
}

// Guards against a keyed call that reaches the service without a record, and
// against an outage of the key-value service that stops any other call.
func TestStoreOutageStopsKeyedCallsOnly(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.useLedger().Down(0)
		wantRefusal(t, f.call("POST", "/orders/book/x", "b", HeaderIdempotencyKey, "k"), 503, fault.NotRun)
		if n := f.executions("/orders/book/x"); n != 0 {
			t.Fatalf("ran %d times", n)
		}
		for _, path := range []string{"/orders/book", "/orders/status"} {
			if w := f.call("POST", path, "b"); w.Code != 200 {
				t.Errorf("%s: %d %s", path, w.Code, w.Body)
			}
		}
	})
}

// Guards against one key that runs for several concurrent senders, and against
// an answer that is lost because the first sender left.
func TestConcurrentSendersOfOneKey(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.useLedger()
		for name := range f.sidecars {
			f.serve[name] = func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, "booked")
			}
		}
		ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer leave()
		hc := f.overHTTP()
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
			t.Fatalf("got %d %s after %d runs", w.Code, w.Body, f.executions("/orders/book/x"))
		}
	})
}
