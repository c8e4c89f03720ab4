package control_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/booking"
	"github.com/fescueslip/fescueslip/internal/standin/control"
	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// Guards against a control port that accepts a fault without starting it, or
// whose state lacks the fields that the demo's checks read.
func TestControlPort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := memnet.New(0).Listen("p:80")
		if err != nil {
			t.Fatal(err)
		}
		e := engine.New(engine.Options{Name: "prefill-1", Listener: l, Role: engine.RolePrefill})
		defer e.Close()
		var started time.Duration
		r := control.NewRegistry()
		r.AddEngine(e)
		r.AddBookings(booking.NewExecutionLog())
		r.AddTarget("link-1", map[string]control.FaultFunc{"slow": func(d time.Duration) error { started = d; return nil }})
		steps := []struct {
			method, path, body string
			status             int
			want               string
		}{
			{"GET", "/faults", "", 200, `{"target":"prefill-1","kinds":["crash","pause","silence","slow","stall_transfer"]}`},
			{"POST", "/faults", `{"target":"link-1","kind":"slow","for":"7s"}`, 200, `"for":"7s"`},
			{"POST", "/faults", `{"target":"prefill-1","kind":"crash"}`, 200, `"for":"5s"`},
			{"POST", "/faults", `{"target":"prefill-2","kind":"crash"}`, 404, `use one of link-1, prefill-1`},
			{"POST", "/faults", `{"target":"link-1","kind":"crash"}`, 404, `use one of slow`},
			{"POST", "/faults", `{"target":"link-1","kind":"slow","for":"7"}`, 400, `malformed`},
			{"POST", "/faults", `{"target":"link-1","kind":"slow","duration":"7s"}`, 400, `malformed`},
			{"GET", "/state", "", 200, `{"bookings":{},"engines":{"prefill-1":{"held_tokens":0,"running":0,"prefill_tokens":0,"wasted_prefill_tokens":0,"boots":2}}}`},
		}
		for _, s := range steps {
			w := httptest.NewRecorder()
			r.Handler().ServeHTTP(w, httptest.NewRequest(s.method, s.path, strings.NewReader(s.body)))
			if w.Code != s.status || !strings.Contains(w.Body.String(), s.want) {
				t.Errorf("%s %s %s: %d %s", s.method, s.path, s.body, w.Code, w.Body)
			}
		}
		if started != 7*time.Second {
			t.Errorf("the fault was started for %v", started)
		}
	})
}
