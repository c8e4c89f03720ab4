package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/memnet"
	standin "github.com/fescueslip/fescueslip/internal/standin/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// pair is a prefill and a decode stand-in engine, each behind its own sidecar.
type pair struct {
	t       *testing.T
	net     *memnet.Network
	client  *http.Client
	engines map[engine.Role]*standin.Engine
	sides   map[engine.Role]*Sidecar
}

// inPair runs a test over HTTP in virtual time.
func inPair(t *testing.T, change func(*standin.Options), test func(p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{t: t, net: memnet.New(0), engines: map[engine.Role]*standin.Engine{}, sides: map[engine.Role]*Sidecar{}}
		p.client = wire.NewClient(p.net.Dial)
		journal := standin.NewJournal()
		var stops []func()
		for _, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode} {
			stops = append(stops, p.startEngine(role, journal, change), p.startSidecar(role))
		}
		defer func() {
			for _, stop := range slices.Backward(stops) {
				stop()
			}
			p.client.CloseIdleConnections()
			time.Sleep(10 * time.Second)
		}()
		time.Sleep(10 * time.Millisecond)
		test(p)
	})
}

func (p *pair) startEngine(role engine.Role, journal *standin.Journal, change func(*standin.Options)) func() {
	addr := "engine-" + string(role) + ":80"
	listen := func() (l net.Listener, err error) { return p.net.Listen(addr) }
	l, err := listen()
	if err != nil {
		p.t.Fatal(err)
	}
	o := standin.Options{Name: string(role), Listener: l, Relisten: listen, Dial: p.net.Dial, Role: standin.Role(role), Journal: journal}
	if change != nil {
		change(&o)
	}
	e := standin.New(o)
	p.engines[role] = e
	return func() { _ = e.Close() }
}

func (p *pair) startSidecar(role engine.Role) func() {
	addr := "sidecar-" + string(role) + ":80"
	url := "http://engine-" + string(role) + ":80"
	hc := engine.NewHTTP(engine.HTTPOptions{BaseURL: url, Dial: p.net.Dial})
	policy := config.DefaultPolicy()
	policy.QueueLimit = patientQueueLimit
	s := New(Options{
		Upstream: string(role), Engine: hc, EngineURL: url, Logger: log.New(io.Discard),
		Config: config.Static{Current: config.Build(1, config.Objects{Policy: &policy})},
	})
	p.sides[role] = s
	l, err := p.net.Listen(addr)
	if err != nil {
		p.t.Fatal(err)
	}
	srv := wire.NewServer(wire.RequireSecret(testSecret, s.Handler()))
	go func() { _ = srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = s.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
		_ = srv.Close()
		hc.Close()
	}
}

func (p *pair) held() int {
	return p.engines[engine.RolePrefill].Counters().HeldTokens + p.engines[engine.RoleDecode].Counters().HeldTokens
}

// reserve opens a decode stream.
func (p *pair) reserve(m *wire.Reserve) *decodeStream {
	return dialDecode(p.t, p.client, "sidecar-decode:80", m)
}

// prefill runs a prefill to its end and returns the stream that holds it.
func (p *pair) prefill(id, prompt string, tokens int) (*prefillStream, *wire.Ready) {
	m := prefillFrame(id, "x")
	m.Prompt, m.PromptTokens = prompt, uint64(tokens)
	s := dialPrefill(p.t, p.client, "sidecar-prefill:80", m)
	return s, s.until(func(m *wire.PrefillReply) bool { return isReady(m) || isPrefillEnd(m) }).GetReady()
}

func (d *decodeStream) importFrom(r *wire.Ready, prompt string, maxTokens int) {
	d.send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Start{Start: &wire.Start{
		SourceUrl: r.GetSourceUrl(), Handle: r.GetHandle(), KvBytes: r.GetKvBytes(), Prompt: prompt, MaxTokens: uint64(maxTokens),
	}}})
}

// Guards against answers that end in part, memory that leaks or is promised
// twice, and cancels that the engine does not get, under random requests.
func TestRandomRequestsAgainstStandIns(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inPair(t, nil, func(p *pair) {
				rng := rand.New(rand.NewPCG(seed, 1))
				done := make(chan string)
				const n = 60
				for i := range n {
					id, tokens := fmt.Sprint("r", i), 100+rng.IntN(3500)
					leave := time.Duration(-1)
					if rng.IntN(4) == 0 {
						leave = time.Duration(rng.IntN(3000)) * time.Millisecond
					}
					go func() { done <- p.request(id, tokens, leave) }()
					time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				}
				ends := map[string]int{}
				for range n {
					ends[<-done]++
				}
				time.Sleep(250 * time.Millisecond)
				synctest.Wait()
				if ends["done"]+ends["left"] != n || p.held() != 0 {
					t.Fatalf("ends %v, %d tokens held", ends, p.held())
				}
				for _, s := range p.sides {
					if st := s.State(); st.Requests != 0 || st.Decode.ChunksUsed != 0 || st.Swept != 0 {
						t.Fatalf("left over: %+v", st)
					}
				}
			})
		})
	}
}

// Guards against memory or accounting that a fault leaves behind, and against
// requests that never end, under random faults of both engines.
func TestRandomFaultsAgainstStandIns(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inPair(t, nil, func(p *pair) {
				rng := rand.New(rand.NewPCG(seed, 2))
				done := make(chan string)
				const n = 60
				for i := range n {
					id, tokens := fmt.Sprint("r", i), 100+rng.IntN(3500)
					leave := time.Duration(rng.IntN(4)-1) * 2 * time.Second
					go func() { done <- p.request(id, tokens, leave) }()
					time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
					if i%10 == 9 {
						p.fault(rng)
					}
				}
				for range n {
					<-done
				}
				time.Sleep(10 * time.Second)
				if n := p.held(); n != 0 {
					t.Fatalf("%d tokens held", n)
				}
				for _, s := range p.sides {
					if st := s.State(); st.Requests != 0 || st.Decode.ChunksUsed != 0 || st.Prefill.Running+st.Prefill.Held != 0 || st.Engine != EngineUp {
						t.Fatalf("left over: %+v", st)
					}
				}
				if got := p.request("last", 1000, -1); got != "done" {
					t.Fatalf("after the faults: %s", got)
				}
			})
		})
	}
}

// fault starts a random fault of a random engine.
func (p *pair) fault(rng *rand.Rand) {
	role := []engine.Role{engine.RolePrefill, engine.RoleDecode}[rng.IntN(2)]
	d := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	switch e := p.engines[role]; rng.IntN(5) {
	case 0:
		e.Crash(d)
	case 1:
		e.Pause(d)
	case 2:
		e.Silence(d, rng.IntN(2) == 0)
	case 3:
		e.StallTransfer(d)
	default:
		e.Slow(standin.SlowFactor, d)
	}
}

// request runs one request; it leaves after the given time unless that is negative.
func (p *pair) request(id string, tokens int, leave time.Duration) string {
	prompt := id + " " + words(tokens-1)
	m := reserveFrame(id, "x")
	m.PromptTokens, m.PredictedTokens, m.MaxTokens, m.PrefillMs = uint64(tokens), 100, 400, uint64(25+tokens/8)
	d := p.reserve(m)
	defer d.Close()
	var left atomic.Bool
	if leave >= 0 {
		time.AfterFunc(leave, func() {
			left.Store(true)
			d.Close()
		})
	}
	if d.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isLast(m) }).GetGranted() == nil {
		return end(left.Load(), "not granted")
	}
	pre, ready := p.prefill(id, prompt, tokens)
	defer pre.Close()
	if ready == nil || left.Load() {
		return end(left.Load(), "not prefilled")
	}
	_ = d.Send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Start{Start: &wire.Start{
		SourceUrl: ready.GetSourceUrl(), Handle: ready.GetHandle(), KvBytes: ready.GetKvBytes(), Prompt: prompt, MaxTokens: 400,
	}}})
	last := d.until(func(m *wire.DecodeReply) bool {
		if isImported(m) {
			pre.Close()
		}
		return isLast(m)
	})
	if last.GetDone() != nil {
		return "done"
	}
	return end(left.Load(), last.String())
}

func end(left bool, what string) string {
	if left {
		return "left"
	}
	return what
}

// Guards against engine connections that go silent for good: the request must
// fail over within 3 s, its memory be freed and the next one succeed.
func TestSilentEngineConnection(t *testing.T) {
	inPair(t, nil, func(p *pair) {
		d := p.decoding("a")
		defer d.Close()
		p.net.Blackhole("engine-decode:80", false)
		begin := time.Now()
		if m := d.until(isLast); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE {
			t.Fatalf("got %v, want a failure of the engine", m)
		}
		if took := time.Since(begin); took > 3*time.Second {
			t.Fatalf("told after %v", took)
		}
		time.Sleep(250 * time.Millisecond)
		if n := p.engines[engine.RoleDecode].Counters().HeldTokens; n != 0 {
			t.Fatalf("engine holds %d tokens", n)
		}
		if st := p.sides[engine.RoleDecode].State(); st.Crashes != 0 || st.Engine != EngineUp {
			t.Fatalf("a silent connection counts as a crash: %+v", st)
		}
		d = p.decoding("b")
		defer d.Close()
		p.net.Blackhole("engine-decode:80", false)
		d.cancel()
		time.Sleep(250 * time.Millisecond)
		if n := p.engines[engine.RoleDecode].Counters().HeldTokens; n != 0 {
			t.Fatalf("engine holds %d tokens after a cancel over silent connections", n)
		}
		if got := p.request("c", 1000, -1); got != "done" {
			t.Fatalf("the next request: %s", got)
		}
	})
}

// decoding returns the stream of a request that has begun to decode.
func (p *pair) decoding(id string) *decodeStream {
	prompt := id + " " + words(999)
	d := p.reserve(reserveFrame(id, "x"))
	d.until(isGranted)
	pre, ready := p.prefill(id, prompt, 1000)
	defer pre.Close()
	d.importFrom(ready, prompt, 10_000)
	if d.until(func(m *wire.DecodeReply) bool { return isTokens(m) || isLast(m) }).GetTokens() == nil {
		p.t.Fatal("no tokens")
	}
	return d
}

// Guards against an engine that hangs: requests must be told in time and not be
// taken for crashers, new ones be refused, and memory be freed when it is back.
func TestPausedEngine(t *testing.T) {
	inPair(t, nil, func(p *pair) {
		d := p.decoding("a")
		defer d.Close()
		p.engines[engine.RoleDecode].Pause(6 * time.Second)
		begin := time.Now()
		if m := d.until(isLast); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE || time.Since(begin) > 3*time.Second {
			t.Fatalf("got %v after %v", m, time.Since(begin))
		}
		time.Sleep(time.Second)
		next := p.reserve(reserveFrame("b", "x"))
		defer next.Close()
		if m := next.until(isLast); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_ENGINE_DOWN {
			t.Fatalf("got %v, want a refusal", m)
		}
		time.Sleep(time.Until(begin.Add(9 * time.Second)))
		if st := p.sides[engine.RoleDecode].State(); st.Crashes != 0 || st.Engine != EngineUp || st.Decode.ChunksUsed != 0 || p.held() != 0 {
			t.Fatalf("3 s after the pause %d tokens are held: %+v", p.held(), st)
		}
		if got := p.request("c", 1000, -1); got != "done" {
			t.Fatalf("the next request: %s", got)
		}
	})
}

// Guards against a poison request whose crash is not told, and against work
// that is lost for good when the engine is back.
func TestPoisonRequest(t *testing.T) {
	poison := func(o *standin.Options) { o.PoisonDecode = "poison" }
	inPair(t, poison, func(p *pair) {
		prompt := "poison " + words(500)
		d := p.reserve(reserveFrame("a", "x"))
		defer d.Close()
		d.until(isGranted)
		pre, ready := p.prefill("a", prompt, 501)
		defer pre.Close()
		d.importFrom(ready, prompt, 400)
		if m := d.until(isLast); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE_LOST {
			t.Fatalf("got %v, want engine lost", m)
		}
		down := p.reserve(reserveFrame("b", "x"))
		defer down.Close()
		if m := down.until(isLast); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_ENGINE_DOWN {
			t.Fatalf("got %v, want a refusal while the engine is down", m)
		}
		time.Sleep(standin.DefaultCrashDown + time.Second)
		if got := p.request("c", 1000, -1); got != "done" {
			t.Fatalf("the next request: %s", got)
		}
	})
}

// Guards against an order with an old token that takes effect.
func TestStaleFencingToken(t *testing.T) {
	checks := func(o *standin.Options) { o.CheckFencing = true }
	inPair(t, checks, func(p *pair) {
		hc := p.sides[engine.RoleDecode].o.Engine
		newer := load("newer")
		newer.Fencing = 7
		if err := hc.IssueOrder(context.Background(), newer); err != nil {
			t.Fatal(err)
		}
		err := newTestOrders(&fakeKV{}, hc, "old", true).Issue(context.Background(), load("old"))
		if !errors.Is(err, ErrSuperseded) {
			t.Fatalf("got %v, want superseded", err)
		}
		if o, _, _ := hc.CurrentOrder(context.Background()); o.ID != "newer" {
			t.Fatalf("in force: %+v", o)
		}
	})
}
