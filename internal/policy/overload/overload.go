// Package overload decides which requests wait, are refused, or are displaced when a
// service gets more requests than it can serve.
//
// The policy:
//
//  1. Order: requests that can meet their target before late ones, then by priority,
//     then by slack and size (package waitqueue). A late request precedes less urgent
//     ones on time if it would be lost otherwise (Overtaking), and its class was not
//     served much more often than theirs.
//  2. A request is refused early only if the forecast shows that it can't be answered
//     by its deadline: what surely precedes it takes longer than the time that it has
//     left, by a margin. Until then it waits, since it may still be answered in time.
//  3. An arrival thus displaces the requests behind it whose wait it makes too long. For
//     one that was refused before, and would be lost, the margin is larger.
//  4. Requests whose prompt is processed or whose output has begun are never refused
//     early.
//  5. Accounts that had more than their share of work go later by a bounded time
//     (Accounts). A class that gets almost nothing keeps a small share (Classes).
//  6. Refused clients are told to return when the present queue is done, but while they
//     still have time to be served, at different moments (RetryAfter).
//
// Nothing here reads a clock or draws random numbers; both are arguments.
package overload

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

// Work is what requests need of the upstreams.
type Work struct {
	// PromptTokens is the number of prompt tokens to process.
	PromptTokens float64
	// MemorySeconds is the memory that outputs hold, in tokens, times the time for
	// which they hold it, in seconds.
	MemorySeconds float64
	// SlotSeconds is the time for which a slot is occupied, in seconds.
	SlotSeconds float64
}

// Plus returns the sum of w and n times o.
func (w Work) Plus(o Work, n float64) Work {
	return Work{
		PromptTokens:  w.PromptTokens + n*o.PromptTokens,
		MemorySeconds: w.MemorySeconds + n*o.MemorySeconds,
		SlotSeconds:   w.SlotSeconds + n*o.SlotSeconds,
	}
}

// Capacity is what the upstreams of a service can do. It is unrelated to lending.Capacity,
// which is a limit that is set. A value of 0 means that the resource does not limit the
// service, or that its capacity is unknown.
type Capacity struct {
	// PromptRate is the number of prompt tokens that all upstreams process per second.
	PromptRate float64
	// Memory is the memory of all upstreams, in tokens.
	Memory float64
	// Slots is the number of requests that all upstreams run at once.
	Slots float64
	// LargestPrompt is the largest number of prompt tokens that any upstream can hold.
	LargestPrompt float64
}

// Drain returns the least time in which the upstreams complete the work.
func (c Capacity) Drain(w Work) time.Duration {
	s := max(quotient(w.PromptTokens, c.PromptRate), quotient(w.MemorySeconds, c.Memory), quotient(w.SlotSeconds, c.Slots))
	return time.Duration(min(s, maxDrainSeconds) * float64(time.Second))
}

// maxDrainSeconds keeps the result of Drain within the range of a duration.
const maxDrainSeconds = 1e6

// quotient returns work/rate, or 0 if the rate does not limit the work.
func quotient(work, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return work / rate
}

// Request is a waiting request of this gateway.
type Request struct {
	waitqueue.Request
	// Work is what the request still needs.
	Work Work
	// Begun means that a part of the work is done and would be wasted.
	Begun bool
	// Arriving means that the request has not been judged before.
	Arriving bool
	// OvertakeWindow is the time before the client gives up that a late request needs. If the
	// work that precedes it leaves it less, it may overtake less urgent ones; see Overtaking.
	OvertakeWindow time.Duration
}

// Waiting counts the requests of one priority that wait at other gateways.
type Waiting struct {
	Priority     int
	OnTime, Late int
}

// Input is the queue of one service.
type Input struct {
	Requests []Request
	// Others counts what waits at other gateways. Priorities may occur repeatedly.
	Others   []Waiting
	Capacity Capacity
}

// Action is what happens to a request.
type Action int

// Actions.
const (
	// Admit: nothing precedes the request.
	Admit Action = iota
	// Wait: the request stays in the queue.
	Wait
	// Refuse: the request has just arrived and is refused.
	Refuse
	// Displace: the request was waiting and is refused because of others.
	Displace
)

// String returns the name of the action in logs and metrics.
func (a Action) String() string {
	return [...]string{"admit", "wait", "refuse", "displace"}[a]
}

// Refused reports whether the action is a refusal.
func (a Action) Refused() bool { return a == Refuse || a == Displace }

// Verdict is the decision about one request of the queue, and the forecast behind it.
type Verdict struct {
	Action Action
	// Place is the number of requests that surely precede the request, here and at
	// other gateways.
	Place int
	// Wait is the least time that the work of these requests takes.
	Wait time.Duration
	// QueueTime is the least time that the work of the whole queue takes, here and at
	// other gateways.
	QueueTime time.Duration
	// TooLarge means that no upstream can hold the prompt.
	TooLarge bool
}

const (
	// certainty is by how much the forecast wait must exceed the time that is left. The
	// forecast lacks the requests that leave the queue by themselves, and the mean work of
	// those at other gateways is estimated.
	certainty = 1.5
	// returnedCertainty applies to requests that were refused before, which another
	// refusal would lose.
	returnedCertainty = 2.5
)

// Judge decides for each request of the queue whether it is refused or stays in the queue,
// and returns the verdicts in the order of the input. It changes nothing; the caller removes
// the refused requests. It forecasts in the order of service, so that a refused request does
// not delay those behind it.
func Judge(in Input) []Verdict {
	j := newJudgement(in)
	for _, i := range j.order {
		j.judge(i)
	}
	queueTime := j.queueTime()
	for i := range j.verdicts {
		j.verdicts[i].QueueTime = queueTime
	}
	return j.verdicts
}

// queueTime returns the least time that all requests take that are not refused.
func (j *judgement) queueTime() time.Duration {
	work := Work{}
	for _, b := range j.buckets {
		work = work.Plus(b.work, 1)
	}
	for _, o := range j.in.Others {
		work = work.Plus(j.meanWork, float64(o.OnTime+o.Late))
	}
	return j.in.Capacity.Drain(work)
}

// bucket holds the requests that are alike in lateness and priority.
type bucket struct {
	// first means that the requests can meet their target or overtake those that can.
	first    bool
	priority int
	// size is the number of requests.
	size int
	// kept is the number of requests judged so far that are not refused, and work is
	// their sum.
	kept int
	work Work
}

// judgement is the state of one call of Judge.
type judgement struct {
	in       Input
	order    []int
	buckets  []*bucket
	meanWork Work
	verdicts []Verdict
}

func newJudgement(in Input) *judgement {
	j := &judgement{in: in, meanWork: meanWorkOf(in.Requests), verdicts: make([]Verdict, len(in.Requests)), order: make([]int, len(in.Requests))}
	for i := range in.Requests {
		j.order[i] = i
		j.bucketOf(&in.Requests[i]).size++
	}
	slices.SortStableFunc(j.order, func(a, b int) int {
		return waitqueue.Compare(&in.Requests[a].Request, &in.Requests[b].Request)
	})
	return j
}

func (j *judgement) bucketOf(r *Request) *bucket {
	first := r.OnTime() || r.Overtakes
	for _, b := range j.buckets {
		if b.first == first && b.priority == r.Priority {
			return b
		}
	}
	b := &bucket{first: first, priority: r.Priority}
	j.buckets = append(j.buckets, b)
	return b
}

// judge decides on the request with index i after all that precede it.
func (j *judgement) judge(i int) {
	r, b := &j.in.Requests[i], j.bucketOf(&j.in.Requests[i])
	if largest := j.in.Capacity.LargestPrompt; largest > 0 && r.Work.PromptTokens > largest && !r.Begun {
		j.refuse(i, Verdict{TooLarge: true})
		return
	}
	place, work := j.ahead(b)
	v := Verdict{Action: Wait, Place: place, Wait: j.in.Capacity.Drain(work)}
	if place == 0 {
		v.Action = Admit
	}
	if infeasible(r, v.Wait) {
		j.refuse(i, v)
		return
	}
	j.verdicts[i] = v
	b.kept++
	b.work = b.work.Plus(r.Work, 1)
}

// infeasible reports whether a request with this forecast can't be answered in time.
func infeasible(r *Request, wait time.Duration) bool {
	margin := certainty
	if r.PreviouslyRefused {
		margin = returnedCertainty
	}
	return !r.Begun && wait > 0 && float64(wait) > margin*float64(r.TimeToAbandonment)
}

// refuse refuses the request with index i; v holds the forecast.
func (j *judgement) refuse(i int, v Verdict) {
	v.Action = Displace
	if j.in.Requests[i].Arriving {
		v.Action = Refuse
	}
	j.verdicts[i] = v
}

// ahead returns the number and the work of the requests that surely precede the next
// one of the bucket. A late request does not wait for less urgent ones, since it
// overtakes them before its client gives up. Those of the same bucket at other gateways
// are assumed to be spread in the order as those of this gateway.
func (j *judgement) ahead(b *bucket) (int, Work) {
	count, work := 0, Work{}
	for _, o := range j.buckets {
		if o.priority < b.priority && (o.first || !b.first) || o.priority == b.priority && (o.first || o.first == b.first) {
			count += o.kept
			work = work.Plus(o.work, 1)
		}
	}
	rank := float64(b.kept) / float64(b.size)
	elsewhere := 0.0
	for _, o := range j.in.Others {
		switch {
		case o.Priority < b.priority && b.first:
			elsewhere += float64(o.OnTime)
		case o.Priority < b.priority:
			elsewhere += float64(o.OnTime + o.Late)
		case o.Priority == b.priority && b.first:
			elsewhere += rank * float64(o.OnTime)
		case o.Priority == b.priority:
			elsewhere += float64(o.OnTime) + rank*float64(o.Late)
		}
	}
	return count + int(elsewhere), work.Plus(j.meanWork, elsewhere)
}
