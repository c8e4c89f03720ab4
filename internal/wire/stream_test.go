package wire_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const testSecret = "secret"

func newReply() *wire.DecodeReply     { return new(wire.DecodeReply) }
func newRequest() *wire.DecodeRequest { return new(wire.DecodeRequest) }

// serve starts a decode server on the network and returns a function that stops
// it.
func serve(t *testing.T, n *memnet.Network, handle func(*wire.Stream[*wire.DecodeReply, *wire.DecodeRequest])) func() {
	t.Helper()
	l, err := n.Listen("sidecar:1")
	if err != nil {
		t.Fatal(err)
	}
	srv := wire.NewServer(wire.RequireSecret(testSecret, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := wire.Accept[*wire.DecodeReply](w, r, newRequest)
		if err != nil {
			return
		}
		defer s.Close()
		handle(s)
	})))
	go func() { _ = srv.Serve(l) }()
	return func() { _ = srv.Close() }
}

func dial(t *testing.T, n *memnet.Network) (*wire.Stream[*wire.DecodeRequest, *wire.DecodeReply], *http.Client) {
	t.Helper()
	hc := wire.NewClient(n.Dial)
	s, err := wire.Dial[*wire.DecodeRequest](t.Context(), hc, "http://sidecar:1/stream/decode", testSecret, newReply)
	if err != nil {
		t.Fatal(err)
	}
	return s, hc
}

// Guards against a stream that delivers no reply while its request side is still
// open.
func TestStreamCarriesFramesBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(0)
		stop := serve(t, n, func(s *wire.Stream[*wire.DecodeReply, *wire.DecodeRequest]) {
			for {
				m, err := s.Recv()
				if err != nil {
					return
				}
				id := m.GetReserve().GetRequestId()
				_ = s.Send(&wire.DecodeReply{Body: &wire.DecodeReply_Done{Done: &wire.Done{FinishReason: id}}})
			}
		})
		defer stop()
		s, hc := dial(t, n)
		defer hc.CloseIdleConnections()
		defer s.Close()
		for _, id := range []string{"a", "b"} {
			if err := s.Send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Reserve{Reserve: &wire.Reserve{RequestId: id}}}); err != nil {
				t.Fatal(err)
			}
			m, err := s.Recv()
			if err != nil || m.GetDone().GetFinishReason() != id {
				t.Fatalf("got %v, %v; want %q", m, err, id)
			}
		}
	})
}

// Guards against a connection that goes silent without either end detecting it.
func TestSilentConnectionIsNoticedByBothEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(0)
		serverEnd := make(chan time.Time, 1)
		stop := serve(t, n, func(s *wire.Stream[*wire.DecodeReply, *wire.DecodeRequest]) {
			go s.Heartbeat(func() *wire.DecodeReply { return &wire.DecodeReply{} })
			for {
				if _, err := s.Recv(); err != nil {
					serverEnd <- time.Now()
					return
				}
			}
		})
		defer stop()
		s, hc := dial(t, n)
		defer hc.CloseIdleConnections()
		defer s.Close()
		go s.Heartbeat(func() *wire.DecodeRequest { return &wire.DecodeRequest{} })
		begin := time.Now()
		time.AfterFunc(10*time.Second, func() { n.Blackhole("sidecar:1", false) })
		var err error
		for err == nil {
			_, err = s.Recv()
		}
		noticed := time.Since(begin) - 10*time.Second
		if noticed < 0 || noticed > 3*time.Second {
			t.Fatalf("client noticed after %v (%v), want within 3s", noticed, err)
		}
		if d := (<-serverEnd).Sub(begin) - 10*time.Second; d < 0 || d > 3*time.Second {
			t.Fatalf("server noticed after %v, want within 3s", d)
		}
		fresh, err := wire.Dial[*wire.DecodeRequest](t.Context(), hc, "http://sidecar:1/stream/decode", testSecret, newReply)
		if err != nil {
			t.Fatalf("fresh stream after silence: %v", err)
		}
		fresh.Close()
	})
}

// failFirstTransport is a transport that loses the connection of its first
// request before the response.
type failFirstTransport struct {
	http.RoundTripper
	tries int
}

// RoundTrip implements http.RoundTripper.
func (l *failFirstTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.tries++; l.tries == 1 {
		return nil, errors.New("http2: client connection lost")
	}
	return l.RoundTripper.RoundTrip(r)
}

// Guards against a stream that fails because the idle connection that it was to
// use is closed as silent at that moment. This happened once in CI on a loaded
// machine.
func TestDialAfterLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(0)
		stop := serve(t, n, func(s *wire.Stream[*wire.DecodeReply, *wire.DecodeRequest]) {
			_, _ = s.Recv()
		})
		defer stop()
		hc := wire.NewClient(n.Dial)
		defer hc.CloseIdleConnections()
		hc.Transport = &failFirstTransport{RoundTripper: hc.Transport}
		s, err := wire.Dial[*wire.DecodeRequest](t.Context(), hc, "http://sidecar:1/stream/decode", testSecret, newReply)
		if err != nil {
			t.Fatalf("the stream was not opened on a new connection: %v", err)
		}
		s.Close()
	})
}

// Guards against a sidecar that serves a process without the shared peer secret.
func TestWrongSecretIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(0)
		stop := serve(t, n, func(*wire.Stream[*wire.DecodeReply, *wire.DecodeRequest]) {})
		defer stop()
		hc := wire.NewClient(n.Dial)
		defer hc.CloseIdleConnections()
		_, err := wire.Dial[*wire.DecodeRequest](t.Context(), hc, "http://sidecar:1/stream/decode", "wrong", newReply)
		if err == nil || errors.Is(err, wire.ErrSilent) {
			t.Fatalf("got %v, want a refusal", err)
		}
	})
}

// Guards against a cancelled request whose sidecar learns of the cancellation
// only from the silence that follows. Until then its engine memory would stay in
// use.
func TestCancelledStreamEndsAtTheServerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(0)
		serverEnd := make(chan time.Time, 1)
		stop := serve(t, n, func(s *wire.Stream[*wire.DecodeReply, *wire.DecodeRequest]) {
			_, _ = s.Recv()
			serverEnd <- time.Now()
		})
		defer stop()
		hc := wire.NewClient(n.Dial)
		defer hc.CloseIdleConnections()
		ctx, cancel := context.WithCancel(t.Context())
		s, err := wire.Dial[*wire.DecodeRequest](ctx, hc, "http://sidecar:1/stream/decode", testSecret, newReply)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		time.Sleep(100 * time.Millisecond)
		cancelled := time.Now()
		cancel()
		if d := (<-serverEnd).Sub(cancelled); d > 10*time.Millisecond {
			t.Fatalf("the server's stream ended %v after the cancellation, want at most 10ms", d)
		}
	})
}
