package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/forecast"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
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
	schedulerTick = 15 * time.Millisecond
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
	// target is when the first event must leave to be in time.
	target time.Time
	// until is when the request is refused.
	until    time.Time
	returned bool
	tries    int
	granted  chan grant
	// withdrawn tells that the request no longer waits for a place in the queue.
	withdrawn bool
	// state is kept for the sorting of one round.
	state waitqueue.Request
}

// grant is a reservation and the note of it in the load table.
type grant struct {
	hold Reservation
	run  *localRun
	err  error
}

// scheduler gives the memory of decode engines to waiting requests.
type scheduler struct {
	g    *Gateway
	load *loadTable
	fill waitqueue.Fill
	wake chan struct{}

	mu      sync.Mutex
	waiting []*waiter
}

func newScheduler(g *Gateway) *scheduler {
	return &scheduler{g: g, load: newLoadTable(), fill: waitqueue.DefaultFill(), wake: make(chan struct{}, 1)}
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-tick.C:
		case now := <-housekeeping.C:
			s.forget(now)
		}
		s.round(ctx, time.Now())
	}
}

func (s *scheduler) forget(now time.Time) {
	known := make(map[engineKey]bool)
	for _, u := range s.g.Fleet.Snapshot().All() {
		known[keyOf(u)] = true
	}
	s.load.forget(now, func(k engineKey) bool { return known[k] })
}

// counts returns how many requests wait that can and cannot be in time.
func (s *scheduler) counts(now time.Time) (onTime, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiting {
		if now.Before(w.target) {
			onTime++
		} else {
			late++
		}
	}
	return onTime, late
}

// reserve waits for a slot and memory at a decode engine.
func (s *scheduler) reserve(ctx context.Context, m *modelRun) (grant, error) {
	now := time.Now()
	w := s.newWaiter(m.call)
	if !now.Before(w.until) {
		return grant{}, s.refusal(w.call)
	}
	s.mu.Lock()
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
	return refuseOverloaded(returnTime(c.Left(time.Now())), "no engine has a free slot and memory")
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
	s.ended(gr)
}

func (s *scheduler) newWaiter(c *Call) *waiter {
	w := &waiter{
		call:     c,
		median:   s.load.median(c.Route.Name, c.Model),
		granted:  make(chan grant, 1),
		returned: c.Age > 0,
	}
	need := firstEventTime + clientTransit + s.prefillTime(c)
	w.target = c.Received.Add(c.Route.LatencyTarget - c.Age - need)
	w.until = c.Deadline
	if silence := c.Route.SilenceLimit; silence > 0 {
		if t := c.Received.Add(silence - need - silenceMargin); t.Before(w.until) {
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

func (s *scheduler) prefillTime(c *Call) time.Duration {
	return time.Duration(float64(c.Model.PromptTokens) / defaultPrefillRate * float64(time.Second))
}

// round places as many waiting requests as the engines have room for.
func (s *scheduler) round(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return
	}
	for _, w := range s.waiting {
		w.state = waitqueue.Request{
			Slack:    w.target.Sub(now),
			Patience: w.until.Sub(now),
			Priority: w.call.Route.Priority,
			Tokens:   float64(w.call.Model.PromptTokens) + w.median,
			Returned: w.returned,
		}
	}
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return waitqueue.Compare(&a.state, &b.state) })
	othersOnTime, _ := s.load.othersWaiting()
	crowded := othersOnTime > 0 || s.waiting[0].state.OnTime()
	for i, looked := 0, 0; i < len(s.waiting) && looked < lookahead; {
		w := s.waiting[i]
		if u := s.engineFor(w, crowded, now); u != nil {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			s.place(ctx, w, u, now)
			continue
		}
		i++
		looked++
	}
}

// engineFor returns the engine with the most room for the request, or nil.
func (s *scheduler) engineFor(w *waiter, crowded bool, now time.Time) *fleet.Upstream {
	limit := s.fill.Limit(&w.state, crowded)
	if limit <= 0 {
		return nil
	}
	engine := w.call.Service.Engine
	var best *fleet.Upstream
	var bestCost float64
	for _, u := range s.g.Fleet.Snapshot().Service(w.call.Service.Name) {
		if !u.Usable() || u.Facts().Role != fleet.RoleDecode {
			continue
		}
		h := u.Health(now)
		if h.Avoid || h.Full {
			continue
		}
		curve, runs, rate := s.load.outlook(u, now)
		if runs+slotMargin >= engine.Slots {
			continue
		}
		var own forecast.Curve
		own.Add(forecast.Run{
			Prompt:       float64(w.call.Model.PromptTokens),
			MedianOutput: w.median,
			MaxOutput:    float64(w.call.Model.MaxOutputTokens),
			Age:          -s.prefillTime(w.call).Seconds(),
		}, rate)
		peak := curve.PeakWith(&own) / float64(engine.MemoryTokens)
		if peak > limit {
			continue
		}
		cost := peak + failureCost*h.FailureShare
		if u.Facts().FailureDomain != s.g.FailureDomain {
			cost += farCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

const (
	// failureCost weighs the failures of an engine against its fill.
	failureCost = 2.0
	// farCost weighs another failure domain, to which events and KV cache cost
	// more, against the fill.
	farCost = 0.02
)

// place asks the engine for the reservation; the lock is held.
func (s *scheduler) place(ctx context.Context, w *waiter, u *fleet.Upstream, now time.Time) {
	w.tries++
	run := s.load.begin(u, RunState{
		Prompt:       w.call.Model.PromptTokens,
		MedianOutput: int(w.median),
		MaxOutput:    w.call.Model.MaxOutputTokens,
		Began:        now.Add(startTime + s.prefillTime(w.call)),
	})
	go s.ask(ctx, w, u, run)
}

func (s *scheduler) ask(ctx context.Context, w *waiter, u *fleet.Upstream, run *localRun) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	hold, err := s.g.Engines.Reserve(callCtx, u, s.holdTokens(w), reserveLife)
	if err == nil {
		w.granted <- grant{hold: hold, run: run}
		s.g.announce()
		return
	}
	s.load.end(u, run)
	now := time.Now()
	if errors.Is(err, ErrNoRoom) {
		u.Full(now, fullPause)
	} else {
		s.g.Logger.Info("reservation failed", "request", w.call.ID, "upstream", u.Facts().ID, "err", err)
		u.Unreachable(now, unreachablePause)
	}
	s.mu.Lock()
	again := !w.withdrawn && ctx.Err() == nil
	if again {
		s.waiting = append(s.waiting, w)
	}
	s.mu.Unlock()
	if !again {
		w.granted <- grant{err: err}
		return
	}
	s.kick()
}

// holdTokens is the memory to reserve. The forecast covers the growth of the
// output. Where another gateway is on the list but not heard, its requests may
// grow unseen, so more than the prompt must be free.
func (s *scheduler) holdTokens(w *waiter) int {
	tokens := w.call.Model.PromptTokens + reserveMargin
	if s.load.heardPeers()+1 < s.g.Gateways() {
		tokens += int(w.median * unheardShare)
	}
	return tokens
}

// unheardShare is the part of the expected output that is reserved while a
// gateway is not heard.
const unheardShare = 0.5

// ended takes a request that has left its engine out of the load.
func (s *scheduler) ended(gr grant) {
	s.load.end(gr.hold.Engine, gr.run)
	s.g.announce()
	s.kick()
}
