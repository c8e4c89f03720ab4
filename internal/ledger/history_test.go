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

// event is one operation on a key: a call's Begin, or the settlement of its claim.
type event struct {
	key     string
	holder  int
	settles State // 0 for Begin
	answer  string
}

// reply is what Begin returned: "accepted", "refused", or the kind of the fault
// or "replay" with the answer.
type reply struct{ kind, answer string }

// keyState is the specification's state of one key: free to run, held by the
// call that was accepted, a call refused during an outage whose record may
// show for a while ("ghost"), done, or unknown.
type keyState struct {
	phase  string
	holder int
	answer string
}

// specification says what a history of one key may look like. A settlement may
// fail to be recorded, because its entry dies; a held key may read as unknown.
var specification = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			k := op.Input.(event).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{phase: "free"}} },
	Step: func(state, input, output any) []any {
		s, in := state.(keyState), input.(event)
		if in.settles != 0 {
			return stepSettle(s, in)
		}
		next := stepBegin(s, in, output.(reply))
		if s.phase == "ghost" {
			next = append(next, stepBegin(keyState{phase: "free"}, in, output.(reply))...)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func stepSettle(s keyState, in event) []any {
	if s.phase != "held" || s.holder != in.holder {
		return []any{s}
	}
	switch in.settles {
	case Done:
		return []any{s, keyState{phase: "done", answer: in.answer}}
	case NotRun:
		return []any{s, keyState{phase: "free"}}
	default:
		return []any{s, keyState{phase: "unknown"}}
	}
}

func stepBegin(s keyState, in event, out reply) []any {
	allowed := map[string][]any{
		"free accepted": {keyState{phase: "held", holder: in.holder}},
		"free refused":  {s, keyState{phase: "ghost"}},
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

// history records operations of concurrent callers.
type history struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	running map[string]int // claims of a key that may have run
}

func (h *history) add(client int, in event, begin time.Time, out reply, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: begin.UnixNano(), Output: out, Return: end,
	})
}

const forever = int64(1) << 62

// book is one caller's call: Begin, the work, and its settlement.
func (h *history) book(t *testing.T, n *node, id int, key string, fate float64) {
	begin := time.Now()
	c, a, err := n.Begin(t.Context(), call(key))
	out := reply{kind: "accepted"}
	switch {
	case a != nil:
		out = reply{kind: "replay", answer: string(a.Body)}
	case err != nil:
		out.kind = string(fault.From(err).Kind)
		if out.kind == string(fault.KindStoreUnavailable) {
			out.kind = "refused"
		}
	}
	h.add(id, event{key: key, holder: id}, begin, out, time.Now().UnixNano())
	if c == nil {
		return
	}
	time.Sleep(rand.N(200 * time.Millisecond))
	in := event{key: key, holder: id, answer: fmt.Sprint("answer ", id)}
	begin = time.Now()
	switch {
	case fate < 0.4:
		in.settles = NotRun
		c.NotRun()
	case fate < 0.6:
		in.settles = Done
		c.Done(kept(in.answer))
	case fate < 0.8:
		in.settles = Unknown
		c.Unknown()
	}
	h.mu.Lock()
	if in.settles != NotRun {
		h.running[key]++
	}
	h.mu.Unlock()
	if in.settles != 0 {
		h.add(id, in, begin, reply{}, forever)
	}
}

// disturb makes the service and the entries fail in turn.
func (f *fleet) disturb(rng *rand.Rand, until time.Time) {
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

// Guards against a key that runs twice, or a reply that no order of the calls
// explains, under lost, late and doubled writes, outages, crashes and silence.
func TestHistoryOfConcurrentBookings(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inFleet(t, 3, func(t *testing.T, f *fleet) {
				rng := rand.New(rand.NewPCG(seed, 0))
				f.kv.setFaults(0.05, 0.05, 0.05)
				h := &history{running: map[string]int{}}
				end := time.Now().Add(30 * time.Second)
				var wg sync.WaitGroup
				wg.Go(func() { f.disturb(rand.New(rand.NewPCG(seed, 1)), end) })
				for id := 0; time.Now().Before(end); id++ {
					key := fmt.Sprint("k", rng.IntN(60))
					fate := rng.Float64()
					for copies := 1 + rng.IntN(3); copies > 0; copies-- {
						id++
						n := id
						wg.Go(func() { h.book(t, f.entry(n), n, key, fate) })
					}
					time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
				}
				wg.Wait()
				for key, n := range h.running {
					if n > 1 {
						t.Errorf("%s may have run %d times", key, n)
					}
				}
				if !porcupine.CheckOperations(specification, h.ops) {
					t.Errorf("no order of the %d operations explains the replies", len(h.ops))
				}
				kinds := map[string]int{}
				for _, op := range h.ops {
					if op.Input.(event).settles == 0 {
						kinds[op.Output.(reply).kind]++
					}
				}
				t.Logf("replies: %v", kinds)
			})
		})
	}
}
