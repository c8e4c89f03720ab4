package engine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// Guards against memory or waste that is counted wrongly when requests,
// cancels and crashes meet: the journal's executions give the same figures.
func TestRandomRequestsAndFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			run(t, nil, func(b *bed) { b.storm(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func (b *bed) storm(rng *rand.Rand) {
	const requests = 60
	engines := []*engine.Engine{b.p, b.d, b.e}
	faults := []func(*engine.Engine){
		func(e *engine.Engine) { e.Crash(time.Second) },
		func(e *engine.Engine) { e.Pause(time.Second) },
		func(e *engine.Engine) { e.Blackhole(0, false) },
		func(e *engine.Engine) { e.StallTransfers(2 * time.Second) },
		func(e *engine.Engine) { e.Slow(3, time.Second) },
	}
	span := func() time.Duration { return time.Duration(rng.Int64N(int64(8 * time.Second))) }
	for range 6 {
		e, fault := engines[rng.IntN(3)], faults[rng.IntN(len(faults))]
		time.AfterFunc(span(), func() { fault(e) })
	}
	b.client.Timeout = 20 * time.Second
	var clients sync.WaitGroup
	for i := range requests {
		id, target := fmt.Sprint("r", i, "/1"), []string{"d", "e"}[rng.IntN(2)]
		text := prompt(1+rng.IntN(3000), id)
		start, cancel, leaves := span(), span(), rng.IntN(3) == 0
		clients.Go(func() {
			time.Sleep(start)
			b.request(target, id, text)
		})
		if leaves {
			clients.Go(func() {
				time.Sleep(start + cancel/4)
				b.cancelAll(id)
			})
		}
	}
	clients.Wait()
	for i := range requests {
		b.cancelAll(fmt.Sprint("r", i, "/1"))
	}
	time.Sleep(2 * time.Second)
	b.checkFigures(requests)
}

func (b *bed) request(target, id, text string) {
	_, out := b.prefill(id, text)
	if out.Handle == "" {
		return
	}
	b.load(target, id, out.Handle, 4000)
	got, end, _ := b.decode(target, id, text, 0, 60)
	want, reason := params.Output(text, 60)
	if (end == "stop" || end == "length") && (got != want || end != reason) {
		b.t.Errorf("%s: answer %q ends with %s, want %q", id, got, end, want)
	}
}

func (b *bed) cancelAll(id string) {
	for _, addr := range []string{"p", "d", "e"} {
		b.call(addr, "POST", "/v1/cancel", encode(map[string]string{"request_id": id}))
	}
}

func (b *bed) checkFigures(requests int) {
	b.t.Helper()
	computed, wasted := 0, 0
	for i := range requests {
		tokens, useful := 0, false
		for _, x := range b.journal.Executions(fmt.Sprint("r", i)) {
			if x.Outcome == engine.OutcomeRunning {
				b.t.Errorf("still running: %+v", x)
			}
			if x.Kind == engine.ExecutionPrefill {
				tokens += x.Tokens
			}
			useful = useful || x.Kind == engine.ExecutionDecode && x.Tokens > 0
		}
		computed += tokens
		if !useful {
			wasted += tokens
		}
	}
	if c := b.p.Counters(); c.PrefillTokens != computed || c.WastedPrefillTokens != wasted || wasted == 0 {
		b.t.Errorf("counters %+v, want %d computed, %d wasted", c, computed, wasted)
	}
	for _, e := range []*engine.Engine{b.p, b.d, b.e} {
		if c := e.Counters(); c.HeldTokens != 0 || c.Running != 0 {
			b.t.Errorf("%s: %+v after all requests have ended", e.Name(), c)
		}
	}
}
