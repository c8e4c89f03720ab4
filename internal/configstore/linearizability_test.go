package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore/kvmem"
)

const (
	objectCount     = 3
	maxTicketNumber = 24
)

// opInput is an operation of the test: a ticket that sets the objects whose bits are
// set in mask, or a read if the number is 0. Tickets with different variants have
// different contents.
type opInput struct {
	number  uint64
	mask    int
	variant int
}

type objectState struct {
	number  uint64
	variant int
}

// opOutput is the output of an operation: the result of a ticket, or the configuration
// that a read returned.
type opOutput struct {
	result   string
	revision uint64
	objects  [objectCount]objectState
}

// specState is the state of the sequential specification. It is written independently
// of package config, so that a fault there shows up as a difference.
type specState struct {
	revision   uint64
	objects    [objectCount]objectState
	accepted   [maxTicketNumber + 1]opInput
	acceptedAs [maxTicketNumber + 1]uint64
}

// decide returns the expected result of t in state s, and the state that follows.
func (s specState) decide(t opInput) (string, specState) {
	for i := range objectCount {
		if t.mask&(1<<i) != 0 && s.objects[i].number > t.number {
			return string(config.RefusalSuperseded), s
		}
	}
	switch s.accepted[t.number] {
	case t:
		return "already", s
	case opInput{}:
	default:
		return string(config.RefusalNumberReused), s
	}
	s.revision++
	s.accepted[t.number], s.acceptedAs[t.number] = t, s.revision
	for i := range objectCount {
		if t.mask&(1<<i) != 0 {
			s.objects[i] = objectState{t.number, t.variant}
		}
	}
	return "accepted", s
}

// stepSpec returns the states that may follow state after an operation with this input and
// output. It returns none if the output is wrong.
func stepSpec(state, input, output any) []any {
	s, t, out := state.(specState), input.(opInput), output.(opOutput)
	if t.number == 0 {
		if out.revision == s.revision && out.objects == s.objects {
			return []any{s}
		}
		return nil
	}
	result, next := s.decide(t)
	switch {
	case out.result == "not accepted":
		return []any{s}
	case out.result == "unknown":
		return []any{s, next}
	case out.result == "accepted" && result == "already":
		// Another process applied the same ticket during this call.
		result = "accepted"
	}
	accepted := result == "accepted" || result == "already"
	if out.result != result || accepted && out.revision != next.acceptedAs[t.number] {
		return nil
	}
	return []any{next}
}

func (t opInput) ticket() *config.Ticket {
	ticket := &config.Ticket{Number: t.number}
	for i := range objectCount {
		if t.mask&(1<<i) == 0 {
			continue
		}
		spec, _ := json.Marshal(config.Caller{KeySHA256: strings.Repeat(fmt.Sprint(i), 64), Share: 1, MaxStreams: t.variant})
		ticket.Objects = append(ticket.Objects, config.Object{
			Ref: config.Ref{Kind: config.KindCaller, Name: fmt.Sprint("c", i)}, Ticket: t.number, Spec: spec,
		})
	}
	return ticket
}

// randomClient applies random tickets, reads the configuration and records both as
// operations for the linearizability check.
type randomClient struct {
	store *Store
	rng   *rand.Rand
	clock *atomic.Int64
	ops   []porcupine.Operation
}

func (c *randomClient) run(ctx context.Context) {
	for i := range uint64(10) {
		time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
		t := opInput{number: 1 + 2*i + c.rng.Uint64N(6), mask: 1 + c.rng.IntN(1<<objectCount-1), variant: c.rng.IntN(2)}
		if c.rng.IntN(3) == 0 {
			t = opInput{}
		}
		op := porcupine.Operation{Input: t, Call: c.clock.Add(1)}
		limit := time.Duration(20+c.rng.IntN(800)) * time.Millisecond
		callCtx, cancel := context.WithTimeout(ctx, limit)
		out, ok := c.call(callCtx, t)
		cancel()
		op.Output, op.Return = out, c.clock.Add(1)
		if out.result == "unknown" {
			op.Return = math.MaxInt64 // the write may still take effect later
		}
		if ok {
			c.ops = append(c.ops, op)
		}
	}
}

func (c *randomClient) call(ctx context.Context, t opInput) (out opOutput, ok bool) {
	if t.number == 0 {
		return c.read(ctx)
	}
	result, err := c.store.Accept(ctx, t.ticket())
	var refusal *config.Refusal
	var storeErr *StoreError
	switch {
	case err == nil && result.AlreadyAccepted:
		return opOutput{result: "already", revision: result.Revision}, true
	case err == nil:
		return opOutput{result: "accepted", revision: result.Revision}, true
	case errors.As(err, &refusal):
		return opOutput{result: string(refusal.Kind)}, true
	case errors.As(err, &storeErr) && storeErr.OutcomeUnknown:
		return opOutput{result: "unknown"}, true
	default:
		return opOutput{result: "not accepted"}, true
	}
}

func (c *randomClient) read(ctx context.Context) (out opOutput, ok bool) {
	state, err := c.store.LoadWithTickets(ctx)
	if err != nil {
		return out, false
	}
	out.revision = state.Head.Revision
	current, err := state.Configuration()
	if err != nil {
		return out, false
	}
	snapshot, err := current.Snapshot()
	if err != nil {
		return out, false
	}
	for i := range objectCount {
		name := fmt.Sprint("c", i)
		if o, ok := current.Object(config.Ref{Kind: config.KindCaller, Name: name}); ok {
			out.objects[i] = objectState{o.Ticket, snapshot.Callers[name].MaxStreams}
		}
	}
	return out, true
}

// injectFaults injects random faults into the service until ctx ends.
func injectFaults(ctx context.Context, s *kvstore.Store, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		d := time.Duration(1+rng.IntN(400)) * time.Millisecond
		switch rng.IntN(5) {
		case 0:
			s.StartOutage(d)
		case 1:
			s.LoseAllAcks(d)
		case 2:
			s.DelayWrites(1+rng.IntN(4), d)
		case 3:
			s.Slow(d/20, d)
		case 4:
			s.DuplicateWrites(d * time.Duration(rng.IntN(2)))
		}
	}
}

// TestConcurrentTicketsAreLinearizable guards against wrong results when several
// processes apply tickets while the key-value service has outages, lost
// acknowledgements, and late and repeated writes. There must be an order of the
// tickets that explains all results and all states that readers see.
func TestConcurrentTicketsAreLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{specState{}} },
		Step: stepSpec,
	}
	resultCounts := make(map[string]int)
	for seed := range uint64(40) {
		history := recordHistory(t, seed)
		for _, op := range history {
			resultCounts[op.Output.(opOutput).result]++
		}
		if !porcupine.CheckOperations(model.ToModel(), history) {
			t.Fatalf("seed %d: the history is not linearizable: %+v", seed, history)
		}
	}
	t.Logf("results: %v", resultCounts)
}

// recordHistory runs four clients against a faulty service and returns their operations.
func recordHistory(t *testing.T, seed uint64) (history []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		service := kvstore.NewStore(kvstore.Options{Latency: 3 * time.Millisecond})
		defer service.Close()
		ctx, cancel := context.WithCancel(t.Context())
		var clock atomic.Int64
		var group, faults sync.WaitGroup
		faults.Go(func() { injectFaults(ctx, service, rand.New(rand.NewPCG(seed, 0))) })
		clients := make([]*randomClient, 4)
		for i := range clients {
			clients[i] = &randomClient{
				store: New(Options{KV: kvmem.New(service)}),
				rng:   rand.New(rand.NewPCG(seed, uint64(i+1))),
				clock: &clock,
			}
			group.Go(func() { clients[i].run(ctx) })
		}
		group.Wait()
		cancel()
		faults.Wait()
		for _, c := range clients {
			history = append(history, c.ops...)
		}
	})
	return history
}
