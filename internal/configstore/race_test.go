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
	raceObjects = 3
	raceNumbers = 24
)

// raceTicket sets the objects in mask; variant tells contents apart. Number 0
// stands for a read.
type raceTicket struct {
	number  uint64
	mask    int
	variant int
}

type raceObject struct {
	number  uint64
	variant int
}

// raceOutput is a verdict, or what a read saw.
type raceOutput struct {
	verdict  string
	revision uint64
	objects  [raceObjects]raceObject
}

// raceState is the sequential specification, written independently of the product.
type raceState struct {
	revision uint64
	objects  [raceObjects]raceObject
	accepted [raceNumbers + 1]raceTicket
	as       [raceNumbers + 1]uint64
}

func (s raceState) decide(t raceTicket) (string, raceState) {
	for i := range raceObjects {
		if t.mask&(1<<i) != 0 && s.objects[i].number > t.number {
			return string(config.RefusalSuperseded), s
		}
	}
	switch s.accepted[t.number] {
	case t:
		return "already", s
	case raceTicket{}:
	default:
		return string(config.RefusalReused), s
	}
	s.revision++
	s.accepted[t.number], s.as[t.number] = t, s.revision
	for i := range raceObjects {
		if t.mask&(1<<i) != 0 {
			s.objects[i] = raceObject{t.number, t.variant}
		}
	}
	return "accepted", s
}

func raceStep(state, input, output any) []any {
	s, t, out := state.(raceState), input.(raceTicket), output.(raceOutput)
	if t.number == 0 {
		if out.revision == s.revision && out.objects == s.objects {
			return []any{s}
		}
		return nil
	}
	verdict, next := s.decide(t)
	switch {
	case out.verdict == "not accepted":
		return []any{s}
	case out.verdict == "unknown":
		return []any{s, next}
	case out.verdict == "accepted" && verdict == "already":
		// Another process applied the same ticket during this call.
		verdict = "accepted"
	}
	accepted := verdict == "accepted" || verdict == "already"
	if out.verdict != verdict || accepted && out.revision != next.as[t.number] {
		return nil
	}
	return []any{next}
}

func (t raceTicket) ticket() *config.Ticket {
	ticket := &config.Ticket{Number: t.number}
	for i := range raceObjects {
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

// raceClient applies tickets and reads, and records the history.
type raceClient struct {
	store *Store
	rng   *rand.Rand
	clock *atomic.Int64
	ops   []porcupine.Operation
}

func (c *raceClient) run(ctx context.Context) {
	for i := range uint64(10) {
		time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
		t := raceTicket{number: 1 + 2*i + c.rng.Uint64N(6), mask: 1 + c.rng.IntN(1<<raceObjects-1), variant: c.rng.IntN(2)}
		if c.rng.IntN(3) == 0 {
			t = raceTicket{}
		}
		op := porcupine.Operation{Input: t, Call: c.clock.Add(1)}
		limit := time.Duration(20+c.rng.IntN(800)) * time.Millisecond
		callCtx, cancel := context.WithTimeout(ctx, limit)
		out, ok := c.call(callCtx, t)
		cancel()
		op.Output, op.Return = out, c.clock.Add(1)
		if out.verdict == "unknown" {
			op.Return = math.MaxInt64 // the write may still be under way
		}
		if ok {
			c.ops = append(c.ops, op)
		}
	}
}

func (c *raceClient) call(ctx context.Context, t raceTicket) (out raceOutput, ok bool) {
	if t.number == 0 {
		return c.read(ctx)
	}
	result, err := c.store.Accept(ctx, t.ticket())
	var refusal *config.Refusal
	var storeErr *StoreError
	switch {
	case err == nil && result.AlreadyAccepted:
		return raceOutput{verdict: "already", revision: result.Revision}, true
	case err == nil:
		return raceOutput{verdict: "accepted", revision: result.Revision}, true
	case errors.As(err, &refusal):
		return raceOutput{verdict: string(refusal.Kind)}, true
	case errors.As(err, &storeErr) && storeErr.OutcomeUnknown:
		return raceOutput{verdict: "unknown"}, true
	default:
		return raceOutput{verdict: "not accepted"}, true
	}
}

func (c *raceClient) read(ctx context.Context) (out raceOutput, ok bool) {
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
	for i := range raceObjects {
		name := fmt.Sprint("c", i)
		if o, ok := current.Object(config.Ref{Kind: config.KindCaller, Name: name}); ok {
			out.objects[i] = raceObject{o.Ticket, snapshot.Callers[name].MaxStreams}
		}
	}
	return out, true
}

// breakThings starts random faults until ctx ends.
func breakThings(ctx context.Context, s *kvstore.Store, rng *rand.Rand) {
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

// TestRacingTickets guards that tickets that race over a service with outages,
// lost acknowledgements, late and repeated writes get verdicts that some order
// of the tickets explains, and that readers see only states of that order.
func TestRacingTickets(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{raceState{}} },
		Step: raceStep,
	}
	verdicts := make(map[string]int)
	for seed := range uint64(40) {
		history := race(t, seed)
		for _, op := range history {
			verdicts[op.Output.(raceOutput).verdict]++
		}
		if !porcupine.CheckOperations(model.ToModel(), history) {
			t.Fatalf("seed %d: no order of the tickets explains the verdicts: %+v", seed, history)
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

func race(t *testing.T, seed uint64) (history []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		service := kvstore.NewStore(kvstore.Options{Latency: 3 * time.Millisecond})
		defer service.Close()
		ctx, cancel := context.WithCancel(t.Context())
		var clock atomic.Int64
		var group, faults sync.WaitGroup
		faults.Go(func() { breakThings(ctx, service, rand.New(rand.NewPCG(seed, 0))) })
		clients := make([]*raceClient, 4)
		for i := range clients {
			clients[i] = &raceClient{
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
