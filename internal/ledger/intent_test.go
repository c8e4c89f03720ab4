package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against any order of commits, settlements and time by which two
// attempts of one key may both have run within the retention, a settlement of
// an attempt that is not in force, or an answer that changes.
func TestIntentStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHead()
		type run struct {
			at      Clock
			settled State
			answer  string
		}
		runs := map[KeyHash]map[Attempt]*run{}
		key := func(t *rapid.T) KeyHash { return HashKey("c", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")) }
		attempt := func(t *rapid.T) Attempt { return Attempt{byte(rapid.IntRange(1, 4).Draw(t, "attempt"))} }
		live := func(k KeyHash) (n int, last *run) {
			for _, r := range runs[k] {
				if r.settled != NotRun && h.clock.since(r.at) < Retention {
					n++
					last = r
				}
			}
			return n, last
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				k, a := key(t), attempt(t)
				before, holder := live(k)
				res, _ := h.apply(operation{intent: Intent{Key: k, Attempt: a, MaxRunTime: time.Minute}}, nil)
				known := runs[k][a]
				switch {
				case res.verdict == Accepted && known != nil && known == holder:
				case res.verdict == Accepted && before > 0:
					t.Fatalf("accepted while another attempt may have run")
				case res.verdict == Accepted:
					if runs[k] == nil {
						runs[k] = map[Attempt]*run{}
					}
					runs[k][a] = &run{at: h.clock}
				case res.verdict == AlreadyDone && (holder == nil || holder.settled != Done || holder.answer != string(res.intent.Answer.Body)):
					t.Fatalf("replayed %q, holder %+v", res.intent.Answer.Body, holder)
				case res.verdict == Stale && (known == nil || known.settled != NotRun):
					t.Fatalf("stale, but the attempt was not given up")
				case before == 0 && res.verdict != Stale:
					t.Fatalf("%v for a key that is free", res.verdict)
				}
			},
			"settle": func(t *rapid.T) {
				k, a := key(t), attempt(t)
				s := rapid.SampledFrom([]State{Done, Unknown, NotRun}).Draw(t, "state")
				answer := fmt.Sprint("answer ", a, h.clock)
				known := runs[k][a]
				before, _ := live(k)
				i := Intent{Key: k, Attempt: a, State: s, Answer: Answer{Body: []byte(answer), BodyKept: true}}
				res, _ := h.apply(operation{settles: true, intent: i}, nil)
				if res.verdict != Accepted {
					return
				}
				if known == nil || h.clock.since(known.at) >= Retention {
					if s != NotRun || before > 0 {
						t.Fatalf("settled an attempt that does not hold the key")
					}
					known = &run{at: h.clock}
					if runs[k] == nil {
						runs[k] = map[Attempt]*run{}
					}
					runs[k][a] = known
				} else if known.settled != 0 && known.settled != NotRun {
					t.Fatalf("settled twice")
				}
				known.settled, known.answer = s, answer
			},
			"time": func(t *rapid.T) {
				h.clock += Clock(rapid.SampledFrom([]int{1, 1000, 61_000, 7 * 3600_000, 25 * 3600_000}).Draw(t, "ms"))
			},
			"expire":  func(*rapid.T) { h.expire() },
			"restart": func(t *rapid.T) { h = reload(t, h) },
		})
	})
}

// Guards against a refused call that is recorded as running, when its commit
// arrives after another refused call of the same key was given up.
func TestGivenUpAttemptIsNotCommittedLater(t *testing.T) {
	h := newHead()
	first := Intent{Key: HashKey("c", "k"), Attempt: Attempt{1}, State: NotRun}
	second := first
	second.Attempt = Attempt{2}
	for _, i := range []Intent{first, second} {
		if res, changed := h.apply(operation{settles: true, intent: i}, nil); res.verdict != Accepted || !changed {
			t.Fatalf("giving up attempt %v: %v, changed %v", i.Attempt, res.verdict, changed)
		}
	}
	if res, _ := h.apply(operation{intent: second}, nil); res.verdict != Stale {
		t.Fatalf("late commit: %v", res.verdict)
	}
}

// Guards against a key that is dropped from the head although it changed
// after its segment was written.
func TestSegmentOfChangedHeadIsAbandoned(t *testing.T) {
	h := newHead()
	for n := 0; h.bytes <= softHeadBytes; n++ {
		h.put(Intent{Key: HashKey("c", fmt.Sprint(n)), Attempt: Attempt{1}, State: NotRun})
	}
	sp := h.planSpill()
	again := Intent{Key: HashKey("c", "0"), Attempt: Attempt{2}}
	changed, missing := h.clone(), h.clone()
	changed.apply(operation{intent: again}, nil)
	missing.remove(again.Key)
	if sp == nil || changed.complete(sp) || missing.complete(sp) || !h.complete(sp) {
		t.Fatal("wrong decision on a written segment")
	}
	if len(changed.intents) < len(sp.intents) || len(h.segments) != 1 || len(h.intents) != 0 {
		t.Fatal("intents were dropped or kept wrongly")
	}
}

func reload(t *rapid.T, h *head) *head {
	next, err := decodeHead(h.encode())
	if err != nil || next.bytes != h.bytes || len(next.intents) != len(h.intents) {
		t.Fatalf("head does not survive its encoding: %v", err)
	}
	return next
}

// Guards against a value in the service, or an operation of a peer, that makes
// a process panic or allocate without bound.
func FuzzDecode(f *testing.F) {
	h := newHead()
	h.put(Intent{Key: HashKey("c", "k"), State: Done, Answer: kept("x")})
	h.segments = []segmentRef{{id: segmentID{1}, newest: 5}}
	f.Add(h.encode())
	f.Add(operation{intent: Intent{State: Committed}}.encode())
	f.Add([]byte{headVersion, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := decodeHead(b); err == nil && len(b) > 0 {
			again, err := decodeHead(got.encode())
			if err != nil || len(again.intents) != len(got.intents) {
				t.Fatalf("decoded head does not survive its encoding: %v", err)
			}
		}
		if o, err := decodeOperation(b); err == nil {
			if again, err := decodeOperation(o.encode()); err != nil || !bytes.Equal(again.encode(), o.encode()) {
				t.Fatal("operation changed in its encoding")
			}
		}
		_, _ = decodeOutcome(b)
		_, _ = decodeSegment(b)
	})
}
