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

// enginePair is a simulated prefill engine and a simulated decode engine, each behind
// its own sidecar.
type enginePair struct {
	t        *testing.T
	net      *memnet.Network
	client   *http.Client
	engines  map[engine.Role]*standin.Engine
	sidecars map[engine.Role]*Sidecar
}

// runWithEnginePair runs a test with an enginePair over HTTP in virtual time.
func runWithEnginePair(t *testing.T, change func(*standin.Options), test func(p *enginePair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &enginePair{t: t, net: memnet.New(0), engines: map[engine.Role]*standin.Engine{}, sidecars: map[engine.Role]*Sidecar{}}
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

func (p *enginePair) startEngine(role engine.Role, journal *standin.Journal, change func(*standin.Options)) func() {
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

func (p *enginePair) startSidecar(role engine.Role) func() {
	addr := "sidecar-" + string(role) + ":80"
	url := "http://engine-" + string(role) + ":80"
	hc := engine.NewHTTPClient(engine.HTTPOptions{BaseURL: url, Dial: p.net.Dial})
	policy := config.DefaultPolicy()
	policy.QueueLimit = longQueueLimit
	s := New(Options{
		Upstream: string(role), Engine: hc, EngineURL: url, Logger: log.New(io.Discard),
		Config: config.StaticSource{Fixed: config.BuildSnapshot(1, config.DecodedObjects{Policy: &policy})},
	})
	p.sidecars[role] = s
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

func (p *enginePair) held() int {
	return p.engines[engine.RolePrefill].Counters().HeldTokens + p.engines[engine.RoleDecode].Counters().HeldTokens
}

// openDecode opens a decode stream and requests a reservation.
func (p *enginePair) openDecode(m *wire.Reserve) *decodeStream {
	return dialDecode(p.t, p.client, "sidecar-decode:80", m)
}

// prefill runs a prefill to its end and returns the stream that holds it.
func (p *enginePair) prefill(id, prompt string, tokens int) (*prefillStream, *wire.Ready) {
	m := prefillFrame(id, "x")
	m.Prompt, m.PromptTokens = prompt, uint64(tokens)
	s := dialPrefill(p.t, p.client, "sidecar-prefill:80", m)
	return s, s.until(func(m *wire.PrefillReply) bool { return isReady(m) || isPrefillFinal(m) }).GetReady()
}

func (d *decodeStream) startFrom(r *wire.Ready, prompt string, maxTokens int) {
	d.send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Start{Start: &wire.Start{
		SourceUrl: r.GetSourceUrl(), Handle: r.GetHandle(), KvBytes: r.GetKvBytes(), Prompt: prompt, MaxTokens: uint64(maxTokens),
	}}})
}

// TestRandomRequestsAgainstStandIns guards against incomplete answers, memory that
// leaks or is reserved twice, and cancels that do not reach the engine, under
// random requests.
func TestRandomRequestsAgainstStandIns(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithEnginePair(t, nil, func(p *enginePair) {
				rng := rand.New(rand.NewPCG(seed, 1))
				done := make(chan string)
				const n = 60
				for i := range n {
					id, tokens := fmt.Sprint("r", i), 100+rng.IntN(3500)
					leaveAfter := time.Duration(-1)
					if rng.IntN(4) == 0 {
						leaveAfter = time.Duration(rng.IntN(3000)) * time.Millisecond
					}
					go func() { done <- p.request(id, tokens, leaveAfter) }()
					time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				}
				outcomes := map[string]int{}
				for range n {
					outcomes[<-done]++
				}
				time.Sleep(250 * time.Millisecond)
				synctest.Wait()
				if outcomes["done"]+outcomes["left"] != n || p.held() != 0 {
					t.Fatalf("outcomes %v, %d tokens held", outcomes, p.held())
				}
				for _, s := range p.sidecars {
					if st := s.State(); st.Requests != 0 || st.Decode.ChunksUsed != 0 || st.OrphansCancelled != 0 {
						t.Fatalf("left over: %+v", st)
					}
				}
			})
		})
	}
}

// TestRandomFaultsAgainstStandIns guards against memory or reservations that
// remain after a fault, and against requests that never end, under random faults
// of both engines.
func TestRandomFaultsAgainstStandIns(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithEnginePair(t, nil, func(p *enginePair) {
				rng := rand.New(rand.NewPCG(seed, 2))
				done := make(chan string)
				const n = 60
				for i := range n {
					id, tokens := fmt.Sprint("r", i), 100+rng.IntN(3500)
					leaveAfter := time.Duration(rng.IntN(4)-1) * 2 * time.Second
					go func() { done <- p.request(id, tokens, leaveAfter) }()
					time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
					if i%10 == 9 {
						p.injectFault(rng)
					}
				}
				for range n {
					<-done
				}
				time.Sleep(10 * time.Second)
				if n := p.held(); n != 0 {
					t.Fatalf("engines hold %d tokens after the last request", n)
				}
				for _, s := range p.sidecars {
					if st := s.State(); st.Requests != 0 || st.Decode.ChunksUsed != 0 || st.Prefill.Running+st.Prefill.Held != 0 || st.Engine != EngineUp {
						t.Fatalf("left over: %+v", st)
					}
				}
				if got := p.request("last", 1000, -1); got != "done" {
					t.Fatalf("a request after the faults: %s", got)
				}
			})
		})
	}
}

// injectFault starts a random fault of a random engine.
func (p *enginePair) injectFault(rng *rand.Rand) {
	role := []engine.Role{engine.RolePrefill, engine.RoleDecode}[rng.IntN(2)]
	d := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	switch e := p.engines[role]; rng.IntN(5) {
	case 0:
		e.Crash(d)
	case 1:
		e.Pause(d)
	case 2:
		e.Blackhole(d, rng.IntN(2) == 0)
	case 3:
		e.StallTransfers(d)
	default:
		e.Slow(standin.SlowFactor, d)
	}
}

// request runs one request and returns its outcome. It abandons the request after
// leaveAfter unless that is negative.
func (p *enginePair) request(id string, tokens int, leaveAfter time.Duration) string {
	prompt := id + " " + words(tokens-1)
	m := reserveFrame(id, "x")
	m.PromptTokens, m.PredictedTokens, m.MaxTokens, m.PrefillMs = uint64(tokens), 100, 400, uint64(25+tokens/8)
	stream := p.openDecode(m)
	defer stream.Close()
	var abandoned atomic.Bool
	if leaveAfter >= 0 {
		time.AfterFunc(leaveAfter, func() {
			abandoned.Store(true)
			stream.Close()
		})
	}
	if stream.until(func(m *wire.DecodeReply) bool { return isGranted(m) || isFinal(m) }).GetGranted() == nil {
		return outcome(abandoned.Load(), "not granted")
	}
	source, ready := p.prefill(id, prompt, tokens)
	defer source.Close()
	if ready == nil || abandoned.Load() {
		return outcome(abandoned.Load(), "not prefilled")
	}
	_ = stream.Send(&wire.DecodeRequest{Body: &wire.DecodeRequest_Start{Start: &wire.Start{
		SourceUrl: ready.GetSourceUrl(), Handle: ready.GetHandle(), KvBytes: ready.GetKvBytes(), Prompt: prompt, MaxTokens: 400,
	}}})
	last := stream.until(func(m *wire.DecodeReply) bool {
		if isImported(m) {
			source.Close()
		}
		return isFinal(m)
	})
	if last.GetDone() != nil {
		return "done"
	}
	return outcome(abandoned.Load(), last.String())
}

func outcome(abandoned bool, reason string) string {
	if abandoned {
		return "left"
	}
	return reason
}

// TestSilentEngineConnection guards against waiting on an engine connection that
// went silent permanently: the request must fail within 3 s, its memory must be
// freed and the next request must succeed.
func TestSilentEngineConnection(t *testing.T) {
	runWithEnginePair(t, nil, func(p *enginePair) {
		d := p.startDecoding("a")
		defer d.Close()
		p.net.Blackhole("engine-decode:80", false)
		begin := time.Now()
		if m := d.until(isFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE {
			t.Fatalf("got %v, want a failure of the engine", m)
		}
		if elapsed := time.Since(begin); elapsed > 3*time.Second {
			t.Fatalf("the failure was reported after %v", elapsed)
		}
		time.Sleep(250 * time.Millisecond)
		if n := p.engines[engine.RoleDecode].Counters().HeldTokens; n != 0 {
			t.Fatalf("engine holds %d tokens", n)
		}
		if st := p.sidecars[engine.RoleDecode].State(); st.Crashes != 0 || st.Engine != EngineUp {
			t.Fatalf("a silent connection counts as a crash: %+v", st)
		}
		d = p.startDecoding("b")
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

// startDecoding runs a request, including its prefill, up to its first tokens and
// returns its decode stream.
func (p *enginePair) startDecoding(id string) *decodeStream {
	prompt := id + " " + words(999)
	d := p.openDecode(reserveFrame(id, "x"))
	d.until(isGranted)
	source, ready := p.prefill(id, prompt, 1000)
	defer source.Close()
	d.startFrom(ready, prompt, 10_000)
	if d.until(func(m *wire.DecodeReply) bool { return isTokens(m) || isFinal(m) }).GetTokens() == nil {
		p.t.Fatal("no tokens")
	}
	return d
}

// TestPausedEngine guards against requests that hang with their engine: they must
// fail in time without counting as a crash, new requests must be refused, and the
// memory must be freed after the engine resumes.
func TestPausedEngine(t *testing.T) {
	runWithEnginePair(t, nil, func(p *enginePair) {
		d := p.startDecoding("a")
		defer d.Close()
		p.engines[engine.RoleDecode].Pause(6 * time.Second)
		begin := time.Now()
		if m := d.until(isFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE || time.Since(begin) > 3*time.Second {
			t.Fatalf("got %v after %v", m, time.Since(begin))
		}
		time.Sleep(time.Second)
		next := p.openDecode(reserveFrame("b", "x"))
		defer next.Close()
		if m := next.until(isFinal); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_ENGINE_DOWN {
			t.Fatalf("got %v, want a refusal", m)
		}
		time.Sleep(time.Until(begin.Add(9 * time.Second)))
		if st := p.sidecars[engine.RoleDecode].State(); st.Crashes != 0 || st.Engine != EngineUp || st.Decode.ChunksUsed != 0 || p.held() != 0 {
			t.Fatalf("3 s after the pause %d tokens are held: %+v", p.held(), st)
		}
		if got := p.request("c", 1000, -1); got != "done" {
			t.Fatalf("the next request: %s", got)
		}
	})
}

// TestPoisonRequest guards against a crash by a poison request that is not
// reported, and against a sidecar that refuses work after the engine has
// restarted.
func TestPoisonRequest(t *testing.T) {
	poison := func(o *standin.Options) { o.PoisonDecodeMarker = "poison" }
	runWithEnginePair(t, poison, func(p *enginePair) {
		prompt := "poison " + words(500)
		d := p.openDecode(reserveFrame("a", "x"))
		defer d.Close()
		d.until(isGranted)
		source, ready := p.prefill("a", prompt, 501)
		defer source.Close()
		d.startFrom(ready, prompt, 400)
		if m := d.until(isFinal); m.GetFailed().GetKind() != wire.FailureKind_FAILURE_ENGINE_LOST {
			t.Fatalf("got %v, want engine lost", m)
		}
		refused := p.openDecode(reserveFrame("b", "x"))
		defer refused.Close()
		if m := refused.until(isFinal); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_ENGINE_DOWN {
			t.Fatalf("got %v, want a refusal while the engine is down", m)
		}
		time.Sleep(standin.DefaultCrashDowntime + time.Second)
		if got := p.request("c", 1000, -1); got != "done" {
			t.Fatalf("the next request: %s", got)
		}
	})
}

// TestStaleFencingToken guards against an order with an old token that takes
// effect on an engine that checks tokens.
func TestStaleFencingToken(t *testing.T) {
	checks := func(o *standin.Options) { o.CheckFencing = true }
	runWithEnginePair(t, checks, func(p *enginePair) {
		hc := p.sidecars[engine.RoleDecode].opts.Engine
		newer := loadOrder("newer")
		newer.Fencing = 7
		if err := hc.IssueOrder(context.Background(), newer); err != nil {
			t.Fatal(err)
		}
		err := newTestOrders(&fakeKV{}, hc, "old", true).Issue(context.Background(), loadOrder("old"))
		if !errors.Is(err, ErrSuperseded) {
			t.Fatalf("got %v, want superseded", err)
		}
		if o, _, _ := hc.CurrentOrder(context.Background()); o.ID != "newer" {
			t.Fatalf("in force: %+v", o)
		}
	})
}
