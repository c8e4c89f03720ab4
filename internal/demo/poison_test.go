package demo

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

func (c *Cluster) crashCount() int {
	n := 0
	for _, e := range c.engines {
		n += e.Counters().Boots - 1
	}
	return n
}

// Guards against a poison request that crashes engines more than twice, and against
// other requests on the crashed engines that get no answer.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		copies int
		rounds int
		gap    time.Duration // delay between the copies of a round
		store  string        // fault of the key-value service during the test; empty for none
		decode bool          // the request crashes decode engines only
	}{
		{name: "again and again through one connection each", copies: 1, rounds: 8},
		{name: "two at once", copies: 2, rounds: 3},
		{name: "six at once", copies: 6, rounds: 3},
		{name: "six in a row", copies: 6, rounds: 3, gap: 60 * time.Millisecond},
		{name: "six at once while the store is down", copies: 6, rounds: 3, store: "down"},
		{name: "again and again while the store is down", copies: 1, rounds: 6, store: "down"},
		{name: "six at once while the store is slow", copies: 6, rounds: 3, store: "slow"},
		{name: "decode: again and again", copies: 1, rounds: 6, decode: true},
		{name: "decode: six at once", copies: 6, rounds: 3, decode: true},
		{name: "decode: six at once while the store is down", copies: 6, rounds: 3, decode: true, store: "down"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			configure := func(o *Options) { o.PoisonDecodeOnly = c.decode }
			runWithHarness(t, configure, func(ctx context.Context, h *harness) {
				if c.store != "" {
					h.injectFault("store", c.store, time.Hour)
				}
				var calls sync.WaitGroup
				for i := range 24 {
					calls.Go(func() {
						time.Sleep(time.Duration(i) * 400 * time.Millisecond)
						h.call(ctx, i, uniquePrompt(fmt.Sprint("innocent", i), 300), 60, 0)
					})
				}
				time.Sleep(700 * time.Millisecond)
				for round := range c.rounds {
					var copies sync.WaitGroup
					for i := range c.copies {
						copies.Go(func() {
							time.Sleep(time.Duration(i) * c.gap)
							h.sendPoison(ctx, round+i)
						})
					}
					copies.Wait()
					time.Sleep(time.Second)
				}
				calls.Wait()
				if crashes := h.cluster.crashCount(); crashes > 2 {
					t.Errorf("%d upstream crashes, want at most 2", crashes)
					for _, execution := range h.cluster.journal.AllExecutions() {
						if execution.Outcome == engine.OutcomeCrashed {
							t.Logf("%s: %s crashed during the %s of request %s, started at %s", execution.Ended.Format("05.000"), execution.Engine, execution.Kind, execution.RequestID, execution.Started.Format("05.000"))
						}
					}
				}
				t.Logf("crashes %d, failures %v, refusals %v", h.cluster.crashCount(), h.report.Failures, h.report.Refusals)
			})
		})
	}
}

// sendPoison sends a request that crashes the engines that execute it. It need not
// get an answer, so only a refusal with the outcome not-run is checked.
func (h *harness) sendPoison(ctx context.Context, entry int) {
	entry %= h.cluster.options.Entries
	c := modelCall{
		client: h.client, url: "http://" + h.cluster.options.Addresses.Entry(entry), entry: entry,
		key: callerKey(entry), stream: true, prompt: poisonMarker + " " + uniquePrompt("p", 80), maxTokens: 40,
	}
	result := c.run(ctx)
	if result.complete {
		h.t.Error("the poison request was answered")
	}
	if result.outcome == "not-run" {
		for _, x := range h.cluster.journal.Executions(result.requestID) {
			h.t.Errorf("a copy was refused with the outcome not-run, but %s executed its %s", x.Engine, x.Kind)
		}
	}
}
