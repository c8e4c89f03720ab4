package sidecar

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	testSecret = "secret"
	testAddr   = "sidecar:1"
)

// harness runs a Sidecar over an in-memory network in virtual time.
type harness struct {
	t       *testing.T
	net     *memnet.Network
	engine  *fakeEngine
	sidecar *Sidecar
	client  *http.Client
	stop    func()
}

// longQueueLimit lets requests wait in tests of order, memory and faults. Tests of
// refusals set a different limit.
const longQueueLimit = 20 * time.Second

// runWithHarness runs a test in virtual time and stops everything at its end.
func runWithHarness(t *testing.T, f *fakeEngine, test func(h *harness), policies ...func(*config.Policy)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := config.DefaultPolicy()
		p.QueueLimit = longQueueLimit
		for _, set := range policies {
			set(&p)
		}
		h := &harness{t: t, net: memnet.New(0), engine: f}
		f.bootCtx, f.killBoot = context.WithCancel(context.Background())
		h.sidecar = New(Options{
			Upstream:  "up",
			Instance:  "i",
			Engine:    f,
			EngineURL: "http://engine:1",
			Config:    config.StaticSource{Fixed: config.BuildSnapshot(1, config.DecodedObjects{Policy: &p})},
			Logger:    log.New(io.Discard),
		})
		h.start()
		defer h.stop()
		time.Sleep(10 * time.Millisecond)
		test(h)
	})
}

func (h *harness) start() {
	l, err := h.net.Listen(testAddr)
	if err != nil {
		h.t.Fatal(err)
	}
	srv := wire.NewServer(wire.RequireSecret(testSecret, h.sidecar.Handler()))
	go func() { _ = srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = h.sidecar.Run(ctx)
		close(done)
	}()
	h.client = wire.NewClient(h.net.Dial)
	h.stop = func() {
		cancel()
		<-done
		_ = srv.Close()
		h.client.CloseIdleConnections()
		time.Sleep(10 * time.Second)
	}
}

// maxFrames is the number of received frames that a test stream buffers.
const maxFrames = 1 << 14

// decodeStream is the entry's end of a decode stream. It reads continuously, as
// entries do.
type decodeStream struct {
	*wire.Stream[*wire.DecodeRequest, *wire.DecodeReply]
	t           *testing.T
	frames      chan *wire.DecodeReply
	stopReading atomic.Bool // no further frames are read
}

func dialDecode(t *testing.T, hc *http.Client, addr string, res *wire.Reserve) *decodeStream {
	t.Helper()
	s, err := wire.Dial[*wire.DecodeRequest](context.Background(), hc, "http://"+addr+"/stream/decode", testSecret,
		func() *wire.DecodeReply { return new(wire.DecodeReply) })
	if err != nil {
		t.Fatal(err)
	}
	d := &decodeStream{Stream: s, t: t, frames: make(chan *wire.DecodeReply, maxFrames)}
	d.send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Reserve{Reserve: res}})
	go s.Heartbeat(func() *wire.DecodeRequest {
		return &wire.DecodeRequest{Body: &wire.DecodeRequest_Renew{Renew: &wire.Renew{}}}
	})
	go receive(func() (*wire.DecodeReply, error) {
		if d.stopReading.Load() {
			<-d.Context().Done()
		}
		return s.Recv()
	}, d.frames)
	return d
}

func receive[R any](recv func() (R, error), frames chan R) {
	defer close(frames)
	for {
		m, err := recv()
		if err != nil {
			return
		}
		frames <- m
	}
}

func (h *harness) decode(res *wire.Reserve) *decodeStream {
	return dialDecode(h.t, h.client, testAddr, res)
}

func (d *decodeStream) send(m *wire.DecodeRequest) {
	d.t.Helper()
	if err := d.Send(m); err != nil {
		d.t.Fatal(err)
	}
}

func (d *decodeStream) start(handle string) {
	d.send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Start{Start: &wire.Start{
		SourceUrl: "http://prefill:1", Handle: handle, KvBytes: 1000, Prompt: words(100), MaxTokens: 500,
	}}})
}

func (d *decodeStream) cancel() {
	d.send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Cancel{Cancel: &wire.Cancel{Reason: "test"}}})
}

// until reads frames up to the first one that matches and returns it. It returns nil
// if the stream ends before.
func (d *decodeStream) until(match func(*wire.DecodeReply) bool) *wire.DecodeReply {
	for m := range d.frames {
		if match(m) {
			return m
		}
	}
	return nil
}

func isGranted(m *wire.DecodeReply) bool  { return m.GetGranted() != nil }
func isImported(m *wire.DecodeReply) bool { return m.GetImported() != nil }
func isTokens(m *wire.DecodeReply) bool   { return m.GetTokens() != nil }
func isQueued(m *wire.DecodeReply) bool   { return m.GetQueued() != nil }
func isFinal(m *wire.DecodeReply) bool {
	return m.GetDone() != nil || m.GetFailed() != nil || m.GetRefused() != nil
}

// prefillStream is the entry's end of a prefill stream.
type prefillStream struct {
	*wire.Stream[*wire.PrefillRequest, *wire.PrefillReply]
	t      *testing.T
	frames chan *wire.PrefillReply
}

func dialPrefill(t *testing.T, hc *http.Client, addr string, m *wire.Prefill) *prefillStream {
	t.Helper()
	s, err := wire.Dial[*wire.PrefillRequest](context.Background(), hc, "http://"+addr+"/stream/prefill", testSecret,
		func() *wire.PrefillReply { return new(wire.PrefillReply) })
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Send(&wire.PrefillRequest{Body: &wire.PrefillRequest_Prefill{Prefill: m}}); err != nil {
		t.Fatal(err)
	}
	go s.Heartbeat(func() *wire.PrefillRequest {
		return &wire.PrefillRequest{Body: &wire.PrefillRequest_Renew{Renew: &wire.Renew{}}}
	})
	p := &prefillStream{Stream: s, t: t, frames: make(chan *wire.PrefillReply, maxFrames)}
	go receive(s.Recv, p.frames)
	return p
}

func (h *harness) prefill(m *wire.Prefill) *prefillStream {
	return dialPrefill(h.t, h.client, testAddr, m)
}

func (p *prefillStream) cancel() {
	if err := p.Send(&wire.PrefillRequest{Body: &wire.PrefillRequest_Cancel{Cancel: &wire.Cancel{}}}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *prefillStream) until(match func(*wire.PrefillReply) bool) *wire.PrefillReply {
	for m := range p.frames {
		if match(m) {
			return m
		}
	}
	return nil
}

func isStarted(m *wire.PrefillReply) bool { return m.GetStarted() != nil }
func isReady(m *wire.PrefillReply) bool   { return m.GetReady() != nil }
func isPrefillFinal(m *wire.PrefillReply) bool {
	return m.GetFailed() != nil || m.GetRefused() != nil
}

func words(n int) string { return strings.TrimSpace(strings.Repeat("w ", n)) }

func reserveFrame(id, caller string) *wire.Reserve {
	return &wire.Reserve{
		RequestId: id, Attempt: 1, Caller: caller, Share: 1, Model: "m", PromptTokens: 100,
		PredictedTokens: 50, PrefillMs: 100, TtftBudgetMs: 1000, Fingerprint: []byte("fp-" + id), Source: "e1",
	}
}

func prefillFrame(id, caller string) *wire.Prefill {
	return &wire.Prefill{
		RequestId: id, Attempt: 1, Caller: caller, Share: 1, Model: "m", Prompt: words(100),
		PromptTokens: 100, TtftBudgetMs: 1000, Fingerprint: []byte("fp-" + id), Source: "e1",
	}
}
