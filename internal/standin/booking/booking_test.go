package booking_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/booking"
)

// withServer runs f with a booking server and a client, on an in-memory network
// and in virtual time.
func withServer(t *testing.T, f func(t *testing.T, s *booking.Server, executions *booking.ExecutionLog, client *http.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		l, err := network.Listen("orders:80")
		if err != nil {
			t.Fatal(err)
		}
		executions := booking.NewExecutionLog()
		s := booking.Serve(booking.Options{Name: "orders", Listener: l, ExecutionLog: executions})
		transport := &http.Transport{DialContext: network.Dial}
		f(t, s, executions, &http.Client{Transport: transport})
		transport.CloseIdleConnections()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
}

// postBooking books id. It returns the status code, or 0 when there was no
// response.
func postBooking(ctx context.Context, client *http.Client, id string) int {
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://orders:80/orders/book", strings.NewReader(`{"id":"`+id+`"}`))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a wrong execution count under faults: a fault must not hide
// that a booking was executed, or count one that was not.
func TestExecutions(t *testing.T) {
	const downtime = time.Second
	cases := []struct {
		name           string
		fault          func(*booking.Server)
		status, booked int
	}{
		{"none", func(*booking.Server) {}, 201, 1},
		{"crash before", func(s *booking.Server) { s.CrashBefore(downtime) }, 0, 0},
		{"crash after", func(s *booking.Server) { s.CrashAfter(downtime) }, 0, 1},
		{"crash during the execution", func(s *booking.Server) {
			time.AfterFunc(booking.DefaultBookingDuration/2, func() { s.Crash(downtime) })
		}, 0, 0},
		{"down", func(s *booking.Server) { s.StartOutage(downtime) }, 0, 0},
		{"caller disconnects", func(s *booking.Server) { s.Slow(2*time.Second, 0) }, 0, 1},
		{"pause", func(s *booking.Server) { s.Pause(500 * time.Millisecond) }, 201, 1},
		{"long pause", func(s *booking.Server) { s.Pause(2 * time.Second) }, 0, 1},
		{"blackhole", func(s *booking.Server) {
			time.AfterFunc(booking.DefaultBookingDuration/2, func() { s.Blackhole(0, false) })
		}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, func(t *testing.T, s *booking.Server, executions *booking.ExecutionLog, client *http.Client) {
				c.fault(s)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if status := postBooking(ctx, client, "b1"); status != c.status {
					t.Errorf("status %d, want %d", status, c.status)
				}
				time.Sleep(3 * time.Second)
				if got := executions.Count("b1"); got != c.booked {
					t.Errorf("executed %d times, want %d", got, c.booked)
				}
				s.Slow(0, 0)
				if status := postBooking(t.Context(), client, "b2"); status != 201 {
					t.Errorf("status %d after the fault", status)
				}
			})
		})
	}
}

// Guards against a paused server that continues to execute and only withholds
// its responses.
func TestPauseStopsExecution(t *testing.T) {
	withServer(t, func(t *testing.T, s *booking.Server, executions *booking.ExecutionLog, client *http.Client) {
		time.AfterFunc(booking.DefaultBookingDuration/2, func() { s.Pause(2 * time.Second) })
		time.AfterFunc(time.Second, func() {
			if got := executions.Count("b1"); got != 0 {
				t.Errorf("executed %d times during the pause", got)
			}
		})
		if status := postBooking(t.Context(), client, "b1"); status != 201 || executions.Count("b1") != 1 {
			t.Errorf("status %d, executed %d times after the pause", status, executions.Count("b1"))
		}
	})
}

// Guards against an echo or stream that loses the body, headers, trailers or
// status that pass-through tests compare.
func TestEchoAndStream(t *testing.T) {
	withServer(t, func(t *testing.T, _ *booking.Server, _ *booking.ExecutionLog, client *http.Client) {
		req, _ := http.NewRequest("PATCH", "http://orders:80/orders/echo?status=418", io.NopCloser(strings.NewReader("body")))
		req.Header.Set("X-Shade", "teal")
		req.Trailer = http.Header{"X-Sum": {"42"}}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "body" || resp.StatusCode != 418 {
			t.Errorf("echo: %d %q %v", resp.StatusCode, body, err)
		}
		if got := resp.Header.Get("Echo-Method") + resp.Header.Get("Echo-X-Shade"); got != "PATCHteal" {
			t.Errorf("headers = %v", resp.Header)
		}
		if got := resp.Trailer.Get("Echo-X-Sum") + resp.Trailer.Get(booking.TrailerBytes); got != "424" {
			t.Errorf("trailers = %v", resp.Trailer)
		}
		resp, err = client.Get("http://orders:80/orders/stream?n=3&every=1s")
		if err != nil {
			t.Fatal(err)
		}
		body, err = io.ReadAll(resp.Body)
		if err != nil || strings.Count(string(body), "\n") != 3 || resp.Trailer.Get(booking.TrailerLines) != "3" {
			t.Errorf("stream: %q, trailers %v, %v", body, resp.Trailer, err)
		}
	})
}
