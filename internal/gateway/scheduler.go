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
	// reservationLease is the lease of a reservation: the wait for a prefill and the
	// prefill itself.
	reservationLease = 1500 * time.Millisecond
	// reserveTimeout bounds one call that asks for a reservation.
	reserveTimeout = 250 * time.Millisecond
	// reserveExtraTokens is what is reserved beyond the prompt, in tokens.
	reserveExtraTokens = 512
	// schedulerInterval is how often waiting requests are looked at when nothing happens.
	schedulerInterval = 5 * time.Millisecond
	// lookahead is how many waiting requests are tried for the room that is free;
	// a small one may pass a large one that fits nowhere.
	lookahead = 8
	// unusedSlots is the number of slots of an engine that stay unused, since the
	// gateways' counts lag.
	unusedSlots = 1
	// firstEventDelay is the time from the end of the prefill to the first event.
	firstEventDelay = 25 * time.Millisecond
	// clientLatency is the time that the answer needs to the client.
	clientLatency = 10 * time.Millisecond
	// defaultPrefillRate is assumed before prefills were measured, in tokens/s.
	defaultPrefillRate = 45_000
	// outputStartDelay is how long a placed request needs until its output begins,
	// beside the prefill.
	outputStartDelay = 30 * time.Millisecond
)

// waitingRequest is a model request that waits for a reservation.
type waitingRequest struct {
	call         *Call
	medianOutput float64
	// target is when the first event must reach the client to be in time.
	firstEventDeadline time.Time
	// until is when the request is refused.
	refuseAt time.Time
	isRetry  bool
	attempts int
	// need is the time from the placement to the first event at the client while
	// no prefill engine has work.
	minDelay time.Duration
	placed   chan placement
	// withdrawn tells that the request no longer waits for a place in the queue.
	withdrawn bool
	// roomSince is since when an engine has had room for it; zero: none has.
	capacitySince time.Time
	// told is what the others were told of it as the first that waits here; nil:
	// nothing yet.
	announcedHead *waitqueue.Head
	// state is kept for the sorting of one round.
	queueState waitqueue.Request
}

// placement is a reservation and the note of it in the load table.
type placement struct {
	reservation Reservation
	request     *localRequest
	// prefill is the engine that reads the prompt; it is that of the reservation
	// when no prefill engine is free soon. Its count of prompt tokens includes
	// this request until prefillDone is called.
	prefillEngine *fleet.Upstream
	promptTokens  int64
	err           error
}

// finishPrefill takes the prompt out of the count of the engine that read it.
func (gr *placement) finishPrefill() {
	gr.prefillEngine.PrefillTokens.Add(-gr.promptTokens)
	gr.promptTokens = 0
}

// scheduler gives the memory of decode engines to waiting requests.
type scheduler struct {
	gateway *Gateway
	load    *loadTable
	wake    chan struct{}

	mu      sync.Mutex
	waiting []*waitingRequest
	// meanTokens is the memory that a request needs in the mean, by service.
	meanTokens map[string]float64
}

func newScheduler(g *Gateway) *scheduler {
	return &scheduler{gateway: g, load: newLoadTable(), wake: make(chan struct{}, 1), meanTokens: make(map[string]float64)}
}

// wakeUp has the waiting requests looked at soon.
func (s *scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run places waiting requests until the context ends.
func (s *scheduler) run(ctx context.Context) error {
	tick := time.NewTicker(schedulerInterval)
	defer tick.Stop()
	housekeeping := time.NewTicker(peerTimeout / 3)
	defer housekeeping.Stop()
	turn := time.NewTimer(schedulerInterval)
	defer turn.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-tick.C:
		case <-turn.C:
		case now := <-housekeeping.C:
			s.pruneLoad(now)
			s.gateway.settleCrashes(now)
			s.gateway.Pool.CloseExpired(now)
		}
		if next := s.placeWaiting(ctx, time.Now()); next > 0 {
			turn.Reset(next)
		}
	}
}

func (s *scheduler) pruneLoad(now time.Time) {
	known := make(map[engineKey]bool)
	for _, u := range s.gateway.Fleet.Snapshot().All() {
		known[engineKeyOf(u)] = true
	}
	s.load.prune(now, func(k engineKey) bool { return known[k] })
}

// queueSummary returns how many requests wait that can and cannot be in time, and the
// first of them.
func (s *scheduler) queueSummary(now time.Time) (onTime, late int, head *waitqueue.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *waitingRequest
	for _, w := range s.waiting {
		w.updateQueueState(now, 0)
		if now.Before(w.firstEventDeadline.Add(-w.minDelay)) {
			onTime++
		} else {
			late++
		}
		if first == nil || waitqueue.Compare(&w.queueState, &first.queueState) < 0 {
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
func (w *waitingRequest) head(now time.Time) waitqueue.Head {
	return waitqueue.HeadOf(w.call.Service.Name, &w.queueState, now)
}

// updateQueueState brings the state that orders the request up to date. ahead is the wait
// for a prefill engine.
func (w *waitingRequest) updateQueueState(now time.Time, ahead time.Duration) {
	w.queueState = waitqueue.Request{
		Slack:    w.firstEventDeadline.Sub(now) - w.minDelay - ahead,
		Patience: w.refuseAt.Sub(now),
		Priority: w.call.Route.Priority,
		Tokens:   float64(w.call.Model.PromptTokens) + w.medianOutput,
		Returned: w.isRetry,
	}
}

// reserve waits for a slot and memory at a decode engine.
func (s *scheduler) reserve(ctx context.Context, m *modelExchange) (placement, error) {
	now := time.Now()
	w := s.newWaitingRequest(m.call)
	if !now.Before(w.refuseAt) {
		return placement{}, s.overloadError(w.call)
	}
	s.mu.Lock()
	s.recordSize(w)
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	s.wakeUp()
	timer := time.NewTimer(w.refuseAt.Sub(now))
	defer timer.Stop()
	select {
	case placed := <-w.placed:
		m.res.model.reserveAttempts += w.attempts
		return placed, placed.err
	case <-timer.C:
		return s.withdraw(w, s.overloadError(w.call), false)
	case <-ctx.Done():
		return s.withdraw(w, context.Cause(ctx), true)
	}
}

// recordSize takes a request into the mean sizes and the demand; the lock is held.
func (s *scheduler) recordSize(w *waitingRequest) {
	service := w.call.Service
	size := float64(w.call.Model.PromptTokens) + w.medianOutput
	mean, known := s.meanTokens[service.Name]
	if !known {
		mean = size
	}
	s.meanTokens[service.Name] = mean + (size-mean)*sizeSmoothing
	s.gateway.demandEstimator.observe(service, float64(w.call.Model.PromptTokens), w.medianOutput, s.fillLimits(service).OnTime)
}

// sizeSmoothing is the weight of one request in the mean size.
const sizeSmoothing = 0.05

// fillLimits returns how far the engines of a service may be filled; the lock is held.
func (s *scheduler) fillLimits(service *routing.Service) waitqueue.Fill {
	return waitqueue.FillFor(s.meanTokens[service.Name], float64(service.Engine.MemoryTokens))
}

// withdraw takes a request out of the queue. A reservation that is being asked
// for at that moment is used, unless the request has ended.
func (s *scheduler) withdraw(w *waitingRequest, err error, ended bool) (placement, error) {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	w.withdrawn = true
	s.mu.Unlock()
	if i >= 0 {
		return placement{}, err
	}
	placed := <-w.placed
	if placed.err != nil {
		return placement{}, err
	}
	if !ended {
		return placed, nil
	}
	s.releasePlacement(placed, w.call.ID)
	return placement{}, err
}

// overloadError tells the client to come back when the burst that fills the engines
// has probably passed.
func (s *scheduler) overloadError(c *Call) error {
	return overloadedError(retryDelay(c.Remaining(time.Now())), "no engine has a free slot and memory")
}

const (
	// retryDelayShare is the part of its time that a client waits at most before it
	// comes back; leastReturn and mostReturn spread the returns within that.
	retryDelayShare                = 1.0 / 3
	minRetrySpread, maxRetrySpread = 0.6, 0.95
	// minRetryDelay is the least time after which a return makes sense.
	minRetryDelay = 200 * time.Millisecond
)

func retryDelay(left time.Duration) time.Duration {
	share := retryDelayShare * (minRetrySpread + (maxRetrySpread-minRetrySpread)*rand.Float64())
	return max(minRetryDelay, time.Duration(share*float64(left)))
}

func (s *scheduler) releasePlacement(placed placement, request string) {
	s.gateway.releaseReservation(placed.reservation, request)
	placed.finishPrefill()
	s.removeRequest(placed)
}

func (s *scheduler) newWaitingRequest(c *Call) *waitingRequest {
	w := &waitingRequest{
		call:         c,
		medianOutput: s.load.medianOutput(c.Route.Name, c.Model),
		placed:       make(chan placement, 1),
		isRetry:      c.RetryAge > 0,
	}
	w.minDelay = firstEventDelay + clientLatency + prefillTime(c, defaultPrefillRate)
	w.firstEventDeadline = c.Received.Add(c.Route.LatencyTarget - c.RetryAge)
	// Output that is cut off by the deadline is worth nothing.
	output := time.Duration(w.medianOutput / defaultTokenRate * float64(time.Second))
	w.refuseAt = c.Deadline.Add(-w.minDelay - output)
	if silence := c.Route.SilenceLimit; silence > 0 {
		if t := c.Received.Add(silence - w.minDelay - silenceMargin); t.Before(w.refuseAt) {
			w.refuseAt = t
		}
	}
	// A route without a target has no late requests.
	if c.Route.LatencyTarget <= 0 {
		w.firstEventDeadline = w.refuseAt
	}
	return w
}

// silenceMargin is how much before its client gives up a request is refused, so
// that the refusal arrives.
const silenceMargin = 150 * time.Millisecond

// reservationTokens is the memory to reserve. The forecast covers the growth of the
// output. While a gateway is on the list but not heard, what it placed is missing
// in the forecast; then a part of the expected output must be free, too.
func (s *scheduler) reservationTokens(w *waitingRequest) int {
	tokens := w.call.Model.PromptTokens + reserveExtraTokens
	if s.load.activePeers()+1 < s.gateway.ListedGateways() {
		tokens += int(w.medianOutput * unseenOutputShare)
	}
	return tokens
}

// unseenOutputShare is the part of the expected output that is reserved where the
// forecast does not see all requests.
const unseenOutputShare = 0.5

// removeRequest takes a request that has left its engine out of the load.
func (s *scheduler) removeRequest(placed placement) {
	s.load.remove(placed.reservation.Engine, placed.request)
	s.gateway.announce()
	s.wakeUp()
}
