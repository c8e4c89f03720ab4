package engine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// Guards against wrong counts of held memory and wasted tokens when requests,
// cancellations and crashes coincide. The counters must agree with the executions
// in the journal.
func TestRandomRequestsAndFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			withTestbed(t, nil, func(b *testbed) { b.runRandomLoad(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// runRandomLoad starts requests, cancellations and faults at random times, and
// checks the counters after all requests have ended.
func (b *testbed) runRandomLoad(rng *rand.Rand) {
	const requests = 60
	engines := []*engine.Engine{b.prefillEngine, b.decodeEngine1, b.decodeEngine2}
	faults := []func(*engine.Engine){
		func(e *engine.Engine) { e.Crash(time.Second) },
		func(e *engine.Engine) { e.Pause(time.Second) },
		func(e *engine.Engine) { e.Blackhole(0, false) },
		func(e *engine.Engine) { e.StallTransfers(2 * time.Second) },
		func(e *engine.Engine) { e.Slow(3, time.Second) },
	}
	randomDelay := func() time.Duration { return time.Duration(rng.Int64N(int64(8 * time.Second))) }
	for range 6 {
		e, fault := engines[rng.IntN(3)], faults[rng.IntN(len(faults))]
		time.AfterFunc(randomDelay(), func() { fault(e) })
	}
	b.client.Timeout = 20 * time.Second
	var clients sync.WaitGroup
	for i := range requests {
		id, target := fmt.Sprint("r", i, "/1"), []string{"d", "e"}[rng.IntN(2)]
		text := prompt(1+rng.IntN(3000), id)
		start, cancel, cancelled := randomDelay(), randomDelay(), rng.IntN(3) == 0
		clients.Go(func() {
			time.Sleep(start)
			b.runRequest(target, id, text)
		})
		if cancelled {
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
	b.checkCounters(requests)
}

func (b *testbed) runRequest(target, id, text string) {
	_, out := b.prefill(id, text)
	if out.Handle == "" {
		return
	}
	b.importKV(target, id, out.Handle, 4000)
	got, end, _ := b.decode(target, id, text, 0, 60)
	want, reason := params.Output(text, 60)
	if (end == "stop" || end == "length") && (got != want || end != reason) {
		b.t.Errorf("%s: output %q ends with %s, want %q, %s", id, got, end, want, reason)
	}
}

// cancelAll cancels the request on every engine.
func (b *testbed) cancelAll(id string) {
	for _, addr := range []string{"p", "d", "e"} {
		b.call(addr, "POST", "/v1/cancel", mustJSON(map[string]string{"request_id": id}))
	}
}

// checkCounters compares the engines' counters with the executions in the journal.
func (b *testbed) checkCounters(requests int) {
	b.t.Helper()
	computed, wasted := 0, 0
	for i := range requests {
		tokens, useful := 0, false
		for _, execution := range b.journal.Executions(fmt.Sprint("r", i)) {
			if execution.Outcome == engine.OutcomeRunning {
				b.t.Errorf("still running: %+v", execution)
			}
			if execution.Kind == engine.ExecutionPrefill {
				tokens += execution.Tokens
			}
			useful = useful || execution.Kind == engine.ExecutionDecode && execution.Tokens > 0
		}
		computed += tokens
		if !useful {
			wasted += tokens
		}
	}
	if c := b.prefillEngine.Counters(); c.PrefillTokens != computed || c.WastedPrefillTokens != wasted || wasted == 0 {
		b.t.Errorf("counters %+v, want %d computed, %d wasted", c, computed, wasted)
	}
	for _, e := range []*engine.Engine{b.prefillEngine, b.decodeEngine1, b.decodeEngine2} {
		if c := e.Counters(); c.HeldTokens != 0 || c.Running != 0 {
			b.t.Errorf("%s: %+v after all requests have ended", e.Name(), c)
		}
	}
}
