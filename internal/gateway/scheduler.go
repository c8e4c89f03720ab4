package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
	"github.com/fescueslip/fescueslip/internal/routing"
)

const (
	// reserveLife is the lease of a reservation: the wait for a prefill and the
	// prefill itself.
	reserveLife = 1500 * time.Millisecond
	// reserveTimeout bounds one call that asks for a reservation.
	reserveTimeout = 250 * time.Millisecond
	// reserveMargin is what is reserved beyond the prompt, in tokens.
	reserveMargin = 512
	// schedulerTick is how often waiting requests are looked at when nothing happens.
	schedulerTick = 5 * time.Millisecond
	// lookahead is how many waiting requests are tried for the room that is free;
	// a small one may pass a large one that fits nowhere.
	lookahead = 8
	// slotMargin is the number of slots of an engine that stay unused, since the
	// gateways' counts lag.
	slotMargin = 1
	// firstEventTime is the time from the end of the prefill to the first event.
	firstEventTime = 25 * time.Millisecond
	// clientTransit is the time that the answer needs to the client.
	clientTransit = 10 * time.Millisecond
	// defaultPrefillRate is assumed before prefills were measured, in tokens/s.
	defaultPrefillRate = 45_000
	// startTime is how long a placed request needs until its output begins,
	// beside the prefill.
	startTime = 30 * time.Millisecond
)

// waiter is a model request that waits for a reservation.
type waiter struct {
	call   *Call
	median float64
	// target is when the first event must reach the client to be in time.
	target time.Time
	// until is when the request is refused.
	until    time.Time
	returned bool
	tries    int
	// need is the time from the placement to the first event at the client while
	// no prefill engine has work.
	need    time.Duration
	granted chan grant
	// withdrawn tells that the request no longer waits for a place in the queue.
	withdrawn bool
	// roomSince is since when an engine has had room for it; zero: none has.
	roomSince time.Time
	// told is what the others were told of it as the first that waits here; nil:
	// nothing yet.
	told *waitqueue.Head
	// state is kept for the sorting of one round.
	state waitqueue.Request
}

// grant is a reservation and the note of it in the load table.
type grant struct {
	hold Reservation
	run  *localRun
	// prefill is the engine that reads the prompt; it is that of the reservation
	// when no prefill engine is free soon. Its count of prompt tokens includes
	// this request until prefillDone is called.
	prefill *fleet.Upstream
	tokens  int64
	err     error
}

// prefillDone takes the prompt out of the count of the engine that read it.
func (gr *grant) prefillDone() {
	gr.prefill.PrefillTokens.Add(-gr.tokens)
	gr.tokens = 0
}

// scheduler gives the memory of decode engines to waiting requests.
type scheduler struct {
	g    *Gateway
	load *loadTable
	wake chan struct{}

	mu      sync.Mutex
	waiting []*waiter
	// meanTokens is the memory that a request needs in the mean, by service.
	meanTokens map[string]float64
}

func newScheduler(g *Gateway) *scheduler {
	return &scheduler{g: g, load: newLoadTable(), wake: make(chan struct{}, 1), meanTokens: make(map[string]float64)}
}

// kick has the waiting requests looked at soon.
func (s *scheduler) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run places waiting requests until the context ends.
func (s *scheduler) run(ctx context.Context) error {
	tick := time.NewTicker(schedulerTick)
	defer tick.Stop()
	housekeeping := time.NewTicker(peerSilence / 3)
	defer housekeeping.Stop()
	turn := time.NewTimer(schedulerTick)
	defer turn.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-tick.C:
		case <-turn.C:
		case now := <-housekeeping.C:
			s.forget(now)
			s.g.sweepCrashes(now)
			s.g.Pool.CloseExpired(now)
		}
		if next := s.round(ctx, time.Now()); next > 0 {
			turn.Reset(next)
		}
	}
}

func (s *scheduler) forget(now time.Time) {
	known := make(map[engineKey]bool)
	for _, u := range s.g.Fleet.Snapshot().All() {
		known[keyOf(u)] = true
	}
	s.load.forget(now, func(k engineKey) bool { return known[k] })
}

// counts returns how many requests wait that can and cannot be in time, and the
// first of them.
func (s *scheduler) counts(now time.Time) (onTime, late int, head *waitqueue.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *waiter
	for _, w := range s.waiting {
		w.look(now, 0)
		if now.Before(w.target.Add(-w.need)) {
			onTime++
		} else {
			late++
		}
		if first == nil || waitqueue.Compare(&w.state, &first.state) < 0 {
			first = w
		}
	}
	if first != nil {
		h := first.head(now)
		head = &h
	}
	return onTime, late, head
}

// head returns what the others are told of the request.
func (w *waiter) head(now time.Time) waitqueue.Head {
	return waitqueue.NewHead(w.call.Service.Name, &w.state, now)
}

// look brings the state that orders the request up to date. ahead is the wait
// for a prefill engine.
func (w *waiter) look(now time.Time, ahead time.Duration) {
	w.state = waitqueue.Request{
		Slack:             w.target.Sub(now) - w.need - ahead,
		TimeToAbandonment: w.until.Sub(now),
		Priority:          w.call.Route.Priority,
		Tokens:            float64(w.call.Model.PromptTokens) + w.median,
		PreviouslyRefused: w.returned,
	}
}

// reserve waits for a slot and memory at a decode engine.
func (s *scheduler) reserve(ctx context.Context, m *modelRun) (grant, error) {
	now := time.Now()
	w := s.newWaiter(m.call)
	if !now.Before(w.until) {
		return grant{}, s.refusal(w.call)
	}
	s.mu.Lock()
	s.noteSize(w)
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	s.kick()
	timer := time.NewTimer(w.until.Sub(now))
	defer timer.Stop()
	select {
	case gr := <-w.granted:
		m.res.steps.tries += w.tries
		return gr, gr.err
	case <-timer.C:
		return s.withdraw(w, s.refusal(w.call), false)
	case <-ctx.Done():
		return s.withdraw(w, context.Cause(ctx), true)
	}
}

// noteSize takes a request into the mean sizes and the demand; the lock is held.
func (s *scheduler) noteSize(w *waiter) {
	service := w.call.Service
	size := float64(w.call.Model.PromptTokens) + w.median
	mean, known := s.meanTokens[service.Name]
	if !known {
		mean = size
	}
	s.meanTokens[service.Name] = mean + (size-mean)*sizeDecay
	s.g.demands.observe(service, float64(w.call.Model.PromptTokens), w.median, s.fillOf(service).OnTime)
}

// sizeDecay is the weight of one request in the mean size.
const sizeDecay = 0.05

// fillOf returns how far the engines of a service may be filled; the lock is held.
func (s *scheduler) fillOf(service *routing.Service) waitqueue.FillLimits {
	return waitqueue.NewFillLimits(s.meanTokens[service.Name], float64(service.Engine.MemoryTokens))
}

// withdraw takes a request out of the queue. A reservation that is being asked
// for at that moment is used, unless the request has ended.
func (s *scheduler) withdraw(w *waiter, err error, ended bool) (grant, error) {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	w.withdrawn = true
	s.mu.Unlock()
	if i >= 0 {
		return grant{}, err
	}
	gr := <-w.granted
	if gr.err != nil {
		return grant{}, err
	}
	if !ended {
		return gr, nil
	}
	s.giveBack(gr, w.call.ID)
	return grant{}, err
}

// refusal tells the client to come back when the burst that fills the engines
// has probably passed.
func (s *scheduler) refusal(c *Call) error {
	return refuseOverloaded(returnTime(c.Remaining(time.Now())), "no engine has a free slot and memory")
}

const (
	// returnShare is the part of its time that a client waits at most before it
	// comes back; leastReturn and mostReturn spread the returns within that.
	returnShare             = 1.0 / 3
	leastReturn, mostReturn = 0.6, 0.95
	// shortestReturn is the least time after which a return makes sense.
	shortestReturn = 200 * time.Millisecond
)

func returnTime(left time.Duration) time.Duration {
	share := returnShare * (leastReturn + (mostReturn-leastReturn)*rand.Float64())
	return max(shortestReturn, time.Duration(share*float64(left)))
}

func (s *scheduler) giveBack(gr grant, request string) {
	s.g.releaseHold(gr.hold, request)
	gr.prefillDone()
	s.ended(gr)
}

func (s *scheduler) newWaiter(c *Call) *waiter {
	w := &waiter{
		call:     c,
		median:   s.load.median(c.Route.Name, c.Model),
		granted:  make(chan grant, 1),
		returned: c.RetryAge > 0,
	}
	w.need = firstEventTime + clientTransit + prefillTime(c, defaultPrefillRate)
	w.target = c.Received.Add(c.Route.LatencyTarget - c.RetryAge)
	// Output that is cut off by the deadline is worth nothing.
	output := time.Duration(w.median / defaultTokenRate * float64(time.Second))
	w.until = c.Deadline.Add(-w.need - output)
	if silence := c.Route.ClientEventTimeout; silence > 0 {
		if t := c.Received.Add(silence - w.need - silenceMargin); t.Before(w.until) {
			w.until = t
		}
	}
	// A route without a target has no late requests.
	if c.Route.LatencyTarget <= 0 {
		w.target = w.until
	}
	return w
}

// silenceMargin is how much before its client gives up a request is refused, so
// that the refusal arrives.
const silenceMargin = 150 * time.Millisecond

// holdTokens is the memory to reserve. The forecast covers the growth of the
// output. While a gateway is on the list but not heard, what it placed is missing
// in the forecast; then a part of the expected output must be free, too.
func (s *scheduler) holdTokens(w *waiter) int {
	tokens := w.call.Model.PromptTokens + reserveMargin
	if s.load.heardPeers()+1 < s.g.ListedGateways() {
		tokens += int(w.median * growthShare)
	}
	return tokens
}

// growthShare is the part of the expected output that is reserved where the
// forecast does not see all requests.
const growthShare = 0.5

// ended takes a request that has left its engine out of the load.
func (s *scheduler) ended(gr grant) {
	s.load.end(gr.hold.Engine, gr.run)
	s.g.announce()
	s.kick()
}
