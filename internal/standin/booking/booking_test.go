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

func run(t *testing.T, f func(t *testing.T, s *booking.Server, orders *booking.ExecutionLog, client *http.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		l, err := network.Listen("orders:80")
		if err != nil {
			t.Fatal(err)
		}
		orders := booking.NewExecutionLog()
		s := booking.Serve(booking.Options{Name: "orders", Listener: l, ExecutionLog: orders})
		transport := &http.Transport{DialContext: network.Dial}
		f(t, s, orders, &http.Client{Transport: transport})
		transport.CloseIdleConnections()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
}

func book(ctx context.Context, client *http.Client, id string) int {
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://orders:80/orders/book", strings.NewReader(`{"id":"`+id+`"}`))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against executions that aren't counted: faults must not hide that a
// booking took place, nor that it did not.
func TestExecutions(t *testing.T) {
	const down = time.Second
	cases := []struct {
		name           string
		fault          func(*booking.Server)
		status, booked int
	}{
		{"none", func(*booking.Server) {}, 201, 1},
		{"crash before", func(s *booking.Server) { s.CrashBefore(down) }, 0, 0},
		{"crash after", func(s *booking.Server) { s.CrashAfter(down) }, 0, 1},
		{"crash in between", func(s *booking.Server) {
			time.AfterFunc(booking.DefaultBookTime/2, func() { s.Crash(down) })
		}, 0, 0},
		{"down", func(s *booking.Server) { s.StartOutage(down) }, 0, 0},
		{"caller leaves", func(s *booking.Server) { s.Slow(2*time.Second, 0) }, 0, 1},
		{"pause", func(s *booking.Server) { s.Pause(500 * time.Millisecond) }, 201, 1},
		{"long pause", func(s *booking.Server) { s.Pause(2 * time.Second) }, 0, 1},
		{"silence", func(s *booking.Server) {
			time.AfterFunc(booking.DefaultBookTime/2, func() { s.Blackhole(0, false) })
		}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, s *booking.Server, orders *booking.ExecutionLog, client *http.Client) {
				c.fault(s)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if status := book(ctx, client, "b1"); status != c.status {
					t.Errorf("status %d, want %d", status, c.status)
				}
				time.Sleep(3 * time.Second)
				if got := orders.Count("b1"); got != c.booked {
					t.Errorf("executed %d times, want %d", got, c.booked)
				}
				s.Slow(0, 0)
				if status := book(t.Context(), client, "b2"); status != 201 {
					t.Errorf("status %d after the fault", status)
				}
			})
		})
	}
}

// Guards against a paused server that goes on executing and only withholds its answers.
func TestPauseStopsExecution(t *testing.T) {
	run(t, func(t *testing.T, s *booking.Server, orders *booking.ExecutionLog, client *http.Client) {
		time.AfterFunc(booking.DefaultBookTime/2, func() { s.Pause(2 * time.Second) })
		time.AfterFunc(time.Second, func() {
			if got := orders.Count("b1"); got != 0 {
				t.Errorf("executed %d times during the pause", got)
			}
		})
		if status := book(t.Context(), client, "b1"); status != 201 || orders.Count("b1") != 1 {
			t.Errorf("status %d, executed %d times after the pause", status, orders.Count("b1"))
		}
	})
}

// Guards against an echo that loses what pass-through tests look for.
func TestEchoAndStream(t *testing.T) {
	run(t, func(t *testing.T, _ *booking.Server, _ *booking.ExecutionLog, client *http.Client) {
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
