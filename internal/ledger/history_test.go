package ledger

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fescueslip/fescueslip/internal/fault"
)

// modelInput is one operation on a key: a call's Begin, or the settlement of its
// claim.
type modelInput struct {
	key     string
	holder  int
	settles State // 0 for Begin
	answer  string
}

// modelOutput is the result of Begin: "accepted", "refused", "replay" with the
// answer, or the kind of the fault.
type modelOutput struct{ kind, answer string }

// modelState is the state of one key in the model: free to run, held by the call
// that was accepted, done, unknown, or "ghost". A ghost is a call that was
// rejected during an outage and whose record may be visible for a while.
type modelState struct {
	phase  string
	holder int
	answer string
}

// model describes the valid histories of one key. A settlement may fail to be
// recorded, because its entry dies, and a held key may read as unknown.
var model = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			k := op.Input.(modelInput).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{modelState{phase: "free"}} },
	Step: func(state, input, output any) []any {
		s, in := state.(modelState), input.(modelInput)
		if in.settles != 0 {
			return stepSettle(s, in)
		}
		next := stepBegin(s, in, output.(modelOutput))
		if s.phase == "ghost" {
			next = append(next, stepBegin(modelState{phase: "free"}, in, output.(modelOutput))...)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func stepSettle(s modelState, in modelInput) []any {
	if s.phase != "held" || s.holder != in.holder {
		return []any{s}
	}
	switch in.settles {
	case Done:
		return []any{s, modelState{phase: "done", answer: in.answer}}
	case NotRun:
		return []any{s, modelState{phase: "free"}}
	default:
		return []any{s, modelState{phase: "unknown"}}
	}
}

func stepBegin(s modelState, in modelInput, out modelOutput) []any {
	allowed := map[string][]any{
		"free accepted": {modelState{phase: "held", holder: in.holder}},
		"free refused":  {s, modelState{phase: "ghost"}},
		"done replay":   {s},
		"unknown " + string(fault.KindOutcomeUnknown): {s},
		"held " + string(fault.KindOutcomeUnknown):    {s},
		"held " + string(fault.KindKeyRunning):        {s},
		"ghost " + string(fault.KindKeyRunning):       {s},
		"ghost " + string(fault.KindOutcomeUnknown):   {s},
	}
	if out.kind == "replay" && out.answer != s.answer {
		return nil
	}
	if out.kind == "refused" && s.phase != "free" {
		return []any{s}
	}
	return allowed[s.phase+" "+out.kind]
}

// history records the operations of concurrent callers.
type history struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	running map[string]int // number of claims per key that may have run
}

func (h *history) add(client int, in modelInput, begin time.Time, out modelOutput, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: begin.UnixNano(), Output: out, Return: end,
	})
}

const neverReturned = int64(1) << 62

// runCall performs one call: Begin, the work, and the settlement of its claim.
func (h *history) runCall(t *testing.T, n *node, id int, key string, outcomeDraw float64) {
	begin := time.Now()
	c, a, err := n.Begin(t.Context(), call(key))
	out := modelOutput{kind: "accepted"}
	switch {
	case a != nil:
		out = modelOutput{kind: "replay", answer: string(a.Body)}
	case err != nil:
		out.kind = string(fault.From(err).Kind)
		if out.kind == string(fault.KindStoreUnavailable) {
			out.kind = "refused"
		}
	}
	h.add(id, modelInput{key: key, holder: id}, begin, out, time.Now().UnixNano())
	if c == nil {
		return
	}
	time.Sleep(rand.N(200 * time.Millisecond))
	in := modelInput{key: key, holder: id, answer: fmt.Sprint("answer ", id)}
	begin = time.Now()
	switch {
	case outcomeDraw < 0.4:
		in.settles = NotRun
		c.NotRun()
	case outcomeDraw < 0.6:
		in.settles = Done
		c.Done(storedAnswer(in.answer))
	case outcomeDraw < 0.8:
		in.settles = Unknown
		c.Unknown()
	}
	h.mu.Lock()
	if in.settles != NotRun {
		h.running[key]++
	}
	h.mu.Unlock()
	if in.settles != 0 {
		h.add(id, in, begin, modelOutput{}, neverReturned)
	}
}

// injectFaults makes the key-value service and the entries fail one after another.
func (f *fleet) injectFaults(rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		name := fmt.Sprintf("entry-%d", rng.IntN(3))
		switch rng.IntN(4) {
		case 0:
			f.kv.setDown(true)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			f.kv.setDown(false)
		case 1:
			f.entry(int(name[len(name)-1] - '0')).crash()
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			f.start(name)
		case 2:
			f.net.Blackhole(name+":1", true)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			f.net.Restore(name + ":1")
		}
	}
}

// Guards against a key that runs twice, and against results that no sequential
// order of the calls explains, under lost, late and duplicated writes, outages,
// crashes and dropped traffic.
func TestHistoryOfConcurrentBookings(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithFleet(t, 3, func(t *testing.T, f *fleet) {
				rng := rand.New(rand.NewPCG(seed, 0))
				f.kv.setFaults(0.05, 0.05, 0.05)
				h := &history{running: map[string]int{}}
				end := time.Now().Add(30 * time.Second)
				var wg sync.WaitGroup
				wg.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 1)), end) })
				for id := 0; time.Now().Before(end); id++ {
					key := fmt.Sprint("k", rng.IntN(60))
					outcomeDraw := rng.Float64()
					for copies := 1 + rng.IntN(3); copies > 0; copies-- {
						id++
						n := id
						wg.Go(func() { h.runCall(t, f.entry(n), n, key, outcomeDraw) })
					}
					time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
				}
				wg.Wait()
				for key, n := range h.running {
					if n > 1 {
						t.Errorf("%s may have run %d times", key, n)
					}
				}
				if !porcupine.CheckOperations(model, h.ops) {
					t.Errorf("no order of the %d operations explains the results", len(h.ops))
				}
				kinds := map[string]int{}
				for _, op := range h.ops {
					if op.Input.(modelInput).settles == 0 {
						kinds[op.Output.(modelOutput).kind]++
					}
				}
				t.Logf("results: %v", kinds)
			})
		})
	}
}
