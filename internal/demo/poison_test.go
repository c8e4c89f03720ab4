package demo

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

func (f *Fleet) crashes() int {
	n := 0
	for _, e := range f.engines {
		n += e.Counters().Boots - 1
	}
	return n
}

// Guards against a request that crashes engines doing so more than twice, and
// against innocent requests that share those engines staying without an answer.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		copies int
		rounds int
		gap    time.Duration // between copies of a round
		store  string        // fault of the key-value service meanwhile
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
			change := func(o *Options) { o.PoisonDecode = c.decode }
			inFleet(t, change, func(ctx context.Context, b *bench) {
				if c.store != "" {
					b.fault("store", c.store, time.Hour)
				}
				var calls sync.WaitGroup
				for i := range 24 {
					calls.Go(func() {
						time.Sleep(time.Duration(i) * 400 * time.Millisecond)
						b.call(ctx, i, words(fmt.Sprint("innocent", i), 300), 60, 0)
					})
				}
				time.Sleep(700 * time.Millisecond)
				for round := range c.rounds {
					var copies sync.WaitGroup
					for i := range c.copies {
						copies.Go(func() {
							time.Sleep(time.Duration(i) * c.gap)
							b.poison(ctx, round+i)
						})
					}
					copies.Wait()
					time.Sleep(time.Second)
				}
				calls.Wait()
				if n := b.fleet.crashes(); n > 2 {
					t.Errorf("%d upstream crashes, want at most 2", n)
					for _, x := range b.fleet.journal.AllExecutions() {
						if x.Outcome == engine.OutcomeCrashed {
							t.Logf("%s: %s ran the %s of %s from %s", x.Ended.Format("05.000"), x.Engine, x.Kind, x.RequestID, x.Started.Format("05.000"))
						}
					}
				}
				t.Logf("crashes %d, failures %v, refusals %v", b.fleet.crashes(), b.report.Failures, b.report.Refusals)
			})
		})
	}
}

// poison sends the request that crashes engines. It is no accepted request that
// is owed an answer, so only its refusal is judged.
func (b *bench) poison(ctx context.Context, entry int) {
	entry %= b.fleet.options.Entries
	c := modelCall{
		client: b.client, url: "http://" + b.fleet.options.Addresses.Entry(entry), entry: entry,
		key: caller(entry), stream: true, prompt: poisonMarker + " " + words("p", 80), maxTokens: 40,
	}
	m := c.run(ctx)
	if m.done {
		b.t.Error("the poison request was answered")
	}
	if m.outcome == "not-run" {
		for _, x := range b.fleet.journal.Executions(m.requestID) {
			b.t.Errorf("a copy was refused as not run, but %s ran its %s", x.Engine, x.Kind)
		}
	}
}
