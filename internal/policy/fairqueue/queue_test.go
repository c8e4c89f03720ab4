package fairqueue

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against lost, doubled or overtaken-for-ever items and wrong sums.
func TestQueueStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		now := time.Duration(0)
		waiting := map[*Item]bool{}
		var order []*Item
		pick := func(t *rapid.T) *Item {
			if len(waiting) == 0 {
				t.Skip("empty")
			}
			for {
				it := order[rapid.IntRange(0, len(order)-1).Draw(t, "i")]
				if waiting[it] {
					return it
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item{
					Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					Share:    rapid.Float64Range(-1, 4).Draw(t, "share"),
					Cost:     float64(rapid.IntRange(1, 5000).Draw(t, "cost")),
					Usage:    float64(rapid.IntRange(0, 5000).Draw(t, "usage")),
					Deadline: now + time.Duration(rapid.IntRange(-5, 5).Draw(t, "deadline"))*time.Second,
					MaxYield: 10 * time.Second,
				}
				q.Push(now, it)
				q.Push(now, it)
				waiting[it] = true
				order = append(order, it)
			},
			"pop": func(t *rapid.T) {
				it := q.Pop(now, nil)
				if (it == nil) != (len(waiting) == 0) {
					t.Fatalf("pop returned %v with %d waiting", it, len(waiting))
				}
				if it != nil && !waiting[it] {
					t.Fatal("popped an item that was not waiting")
				}
				delete(waiting, it)
			},
			"remove": func(t *rapid.T) {
				it := pick(t)
				if !q.Remove(it) || q.Remove(it) {
					t.Fatal("remove must succeed exactly once")
				}
				delete(waiting, it)
			},
			"charge": func(t *rapid.T) { q.AdjustCharge("a", float64(rapid.IntRange(-500, 500).Draw(t, "delta"))) },
			"tick":   func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second },
			"": func(t *rapid.T) {
				sum := 0.0
				for it := range waiting {
					sum += it.Cost
				}
				if q.Len() != len(waiting) || math.Abs(q.Cost()-sum) > 1e-6 {
					t.Fatalf("len %d cost %v, want %d and %v", q.Len(), q.Cost(), len(waiting), sum)
				}
			},
		})
	})
}

// Guards against service out of proportion to the shares, whatever the sizes.
func TestBackloggedCallersGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		shares := map[string]float64{"a": 1, "b": 2, "c": 5}
		served := map[string]float64{}
		const biggest = 1000
		push := func(name string) {
			deadline := time.Duration(rapid.IntRange(-1, 1).Draw(t, "deadline")) * time.Hour
			cost := float64(rapid.IntRange(1, biggest).Draw(t, "cost"))
			q.Push(0, &Item{Caller: name, Share: shares[name], Cost: cost, Deadline: deadline, MaxYield: 2 * time.Hour})
		}
		for range 3 {
			push("a")
			push("b")
			push("c")
		}
		for range 300 {
			it := q.Pop(0, nil)
			served[it.Caller] += it.Cost
			push(it.Caller)
		}
		// Two items and the slack of the callers bound the difference.
		bound := 3*biggest + q.slack()
		for x, sx := range shares {
			for y, sy := range shares {
				if d := served[x]/sx - served[y]/sy; d > bound {
					t.Fatalf("%s is ahead of %s by %v, bound %v", x, y, d, bound)
				}
			}
		}
	})
}

func TestOrder(t *testing.T) {
	item := func(name string, deadline time.Duration) *Item {
		return &Item{Caller: name, Share: 1, Cost: 100, Deadline: deadline, MaxYield: 10 * time.Second}
	}
	cases := []struct {
		name  string
		guard string
		push  []*Item
		now   time.Duration
		want  []int
	}{
		{"late yields", "late requests that make on-time ones late too", []*Item{item("a", 1*time.Second), item("b", 5*time.Second)}, 2 * time.Second, []int{1, 0}},
		{"aged goes first", "late requests that wait for ever", []*Item{item("b", 30*time.Second), item("a", 1*time.Second)}, 12 * time.Second, []int{1, 0}},
		{"earlier deadline first", "a long prompt that misses its earlier deadline", []*Item{item("a", 9*time.Second), item("a", 5*time.Second)}, 0, []int{1, 0}},
		{"share before age", "a flood whose aged requests starve others", []*Item{
			item("a", 0), item("a", 0), item("a", 0), item("a", 0), item("b", time.Hour), item("b", time.Hour),
		}, time.Minute, []int{0, 1, 4, 2, 5, 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New()
			q.Slack = 1 // the expected orders are those of this slack
			for _, it := range c.push {
				q.Push(0, it)
			}
			for i, w := range c.want {
				if got := q.Pop(c.now, nil); got != c.push[w] {
					t.Fatalf("pop %d returned %+v, want item %d; guards against %s", i, got, w, c.guard)
				}
			}
		})
	}
}

// Guards against a large request that small ones overtake for ever.
func TestAgedItemWaitsForRoom(t *testing.T) {
	q := New()
	big := &Item{Caller: "a", Cost: 9000, Deadline: time.Second, MaxYield: 10 * time.Second}
	small := &Item{Caller: "b", Cost: 10, Deadline: time.Minute, MaxYield: 10 * time.Second}
	q.Push(0, big)
	q.Push(0, small)
	onlySmall := func(it *Item) bool { return it == small }
	if it := q.Pop(11*time.Second, onlySmall); it != nil {
		t.Fatalf("popped %+v while an aged item waits for room", it)
	}
	if it := q.Pop(21*time.Second, onlySmall); it != small {
		t.Fatalf("popped %v, want the small item once the aged one held the others back for its time", it)
	}
}

// Guards against a caller that gets its share at each of several upstreams
// although it is served elsewhere already.
func TestServiceElsewhereCounts(t *testing.T) {
	q := New()
	var usage Usage
	served := map[string]int{}
	for i := range 200 {
		now := time.Duration(i) * 100 * time.Millisecond
		usage.Add(now, 100)
		q.Push(now, &Item{Caller: "a", Source: "e", Share: 1, Cost: 100, Usage: usage.At(now), Deadline: time.Hour})
		q.Push(now, &Item{Caller: "b", Source: "e", Share: 1, Cost: 100, Deadline: time.Hour})
		served[q.Pop(now, nil).Caller]++
	}
	if served["b"] < 190 {
		t.Fatalf("served %v, want nearly all for b, because a has as much elsewhere", served)
	}
}

// Guards against memory that grows with every caller ever seen.
func TestIdleCallersAreForgotten(t *testing.T) {
	q := New()
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		q.Push(now, &Item{Caller: string(rune('A' + i)), Cost: 1})
		q.Pop(now, nil)
	}
	if n := len(q.callers); n > 70 {
		t.Fatalf("%d callers remembered, want at most those of the last minute", n)
	}
}
