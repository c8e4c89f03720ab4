package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
	"github.com/fescueslip/fescueslip/internal/routing"
)

const (
	// reservationMargin is the part of a reservation's lease that remains after the
	// wait for a prefill engine and twice the expected prefill.
	reservationMargin = time.Second
	// reserveTimeout limits one reservation call to an engine.
	reserveTimeout = 250 * time.Millisecond
	// reservedOutputShare is the part of the expected output that is reserved in
	// addition to the prompt: what the output grows by until the forecast counts it.
	reservedOutputShare = 0.125
	// schedulerInterval is the longest time between two rounds in which waiting
	// requests are placed. wakeUp starts a round earlier.
	schedulerInterval = 5 * time.Millisecond
	// lookahead is the number of waiting requests that are tried in each round. A
	// small request may overtake a large one that fits nowhere.
	lookahead = 8
	// unusedSlots is the number of slots of an engine that stay unused, because the
	// gateways learn of each other's requests with a delay.
	unusedSlots = 1
	// clientLatency is the assumed time that a response takes to reach the client.
	clientLatency = 10 * time.Millisecond
)

// waitingRequest is a model request that waits for a reservation.
type waitingRequest struct {
	call         *Call
	medianOutput float64
	// outputLeft is the part of it that the client does not have yet.
	outputLeft float64
	// firstEventDeadline is the time at which the first event must reach the client
	// to meet the latency target.
	firstEventDeadline time.Time
	// refuseAt is the time at which the request is refused. leaving is set if that is
	// because the service of this instance ends.
	refuseAt time.Time
	leaving  bool
	// outputTime is the expected time from the first event to the last.
	outputTime time.Duration
	// pin restricts the engines of the request to one software version.
	pin versionPin
	// promptReady means that the prompt has been processed already.
	promptReady bool
	// isRetry means that the client presumably sent the request before; see
	// Call.RetryAge.
	isRetry bool
	// attempts is the number of reservations that were requested.
	attempts int
	// minDelay is the time from placement to the first event at the client if a
	// prefill engine is idle.
	minDelay time.Duration
	placed   chan placement
	// withdrawn means that the request must not be put back into the queue.
	withdrawn bool
	// capacitySince is the time since which some engine has had capacity for the
	// request, or zero if none has.
	capacitySince time.Time
	// announcedHead is what was sent to the other gateways when the request was the
	// first in this gateway's queue, or nil if nothing was sent.
	announcedHead *waitqueue.Head
	// queueState is the sort key, computed once per round.
	queueState waitqueue.Request
	// joined is the time at which the request joined the queue.
	joined time.Time
	// rank is what decides on the place of the request in the queue besides its times.
	rank rank
	// verdict is the last decision about the request. It is valid if judged is set.
	verdict overload.Verdict
	judged  bool
	// counted means that the request counts as served.
	counted bool
}

// placement is a reservation together with its entry in the load table.
type placement struct {
	reservation Reservation
	request     *localRequest
	// prefillEngine processes the prompt. It is the engine of the reservation if no
	// prefill engine is available soon. Its PrefillTokens include this request until
	// finishPrefill is called.
	prefillEngine *fleet.Upstream
	promptTokens  int64
	// prefillWait and promptTime are the expected times until the prompt is begun, and from
	// then until it is processed.
	prefillWait, promptTime time.Duration
	err                     error
}

// finishPrefill subtracts the prompt from the pending tokens of the prefill engine.
func (p *placement) finishPrefill() {
	p.prefillEngine.PrefillTokens.Add(-p.promptTokens)
	p.promptTokens = 0
}

// scheduler assigns memory of decode engines to waiting requests.
type scheduler struct {
	gateway *Gateway
	load    *loadTable
	wake    chan struct{}

	mu      sync.Mutex
	waiting []*waitingRequest
	// sizes holds the mean size of the requests, by service.
	sizes map[string]requestSize
	// overload decides who must wait or is refused when the engines are full.
	overload *overloadState
	// loggedSpeeds holds the speeds that were logged last, by service. Only run uses
	// it.
	loggedSpeeds map[string]ServiceSpeed
	// loggedEngines holds what was logged last of each engine. Only run uses it.
	loggedEngines map[engineKey]profile.EngineSpeed
	// trace records why engines are selected. It is nil unless the scheduler is a copy
	// that explains a placement.
	trace *placementTrace
}

// requestSize is the memory that a request needs at its end, and the part of it that
// its output takes, both in tokens.
type requestSize struct {
	tokens, output float64
}

func newScheduler(g *Gateway) *scheduler {
	return &scheduler{gateway: g, load: newLoadTable(), wake: make(chan struct{}, 1), sizes: make(map[string]requestSize),
		overload: newOverloadState(time.Now()), loggedSpeeds: make(map[string]ServiceSpeed)}
}

// waitingCount returns the number of waiting requests.
func (s *scheduler) waitingCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.waiting))
}

// wakeUp starts the next round without waiting for schedulerInterval.
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
			s.gateway.origins.prune(s.gateway.Fleet.Snapshot(), now)
			s.reportSpeeds()
			s.gateway.settleCrashes(now)
			s.gateway.Pool.CloseExpired(now)
		}
		if next := s.placeWaiting(ctx, time.Now()); next > 0 {
			turn.Reset(next)
		}
	}
}

// pruneLoad removes the load of gateways that are no longer heard and of engines
// that are no longer listed.
func (s *scheduler) pruneLoad(now time.Time) {
	known := make(map[engineKey]bool)
	for _, u := range s.gateway.Fleet.Snapshot().All() {
		known[engineKeyOf(u)] = true
	}
	s.load.prune(now, func(k engineKey) bool { return known[k] })
}

// queueSummary returns the number of waiting requests that can and that cannot meet
// their latency target, their numbers by service and priority, and the first request of
// the queue.
func (s *scheduler) queueSummary(now time.Time) (onTime, late int, classes []WaitingClass, head *waitqueue.Head) {
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
		classes = w.countIn(classes, now)
		if first == nil || waitqueue.Compare(&w.queueState, &first.queueState) < 0 {
			first = w
		}
	}
	if first != nil {
		h := first.head(now)
		head = &h
	}
	return onTime, late, classes, head
}

// head returns the description of the request that is sent to other gateways.
func (w *waitingRequest) head(now time.Time) waitqueue.Head {
	return waitqueue.NewHead(w.call.Service.Name, &w.queueState, now)
}

// updateQueueState computes the sort key of the request. ahead is the wait for a
// prefill engine.
func (w *waitingRequest) updateQueueState(now time.Time, ahead time.Duration) {
	w.queueState = waitqueue.Request{
		Slack:             w.firstEventDeadline.Sub(now) - w.minDelay - ahead,
		TimeToAbandonment: w.refuseAt.Sub(now),
		Priority:          w.call.Priority,
		Tokens:            float64(w.call.Model.PromptTokens) + w.medianOutput,
		PreviouslyRefused: w.isRetry,
	}
	w.applyRank()
}

// reserve waits until the scheduler has reserved a slot and memory at a decode
// engine.
func (s *scheduler) reserve(ctx context.Context, m *modelExchange) (placement, error) {
	now := time.Now()
	w := s.newWaitingRequest(m.call, m.hasUnused(now), m.placementPin(now))
	m.call.outputTime = w.outputTime
	w.joined = now
	w.rank.begun = w.promptReady || m.relay != nil || w.call.ResumeAfter != ""
	if !now.Before(w.refuseAt) {
		return placement{}, s.deadlineError(w)
	}
	refuseAt := w.refuseAt // once the request waits, a planned stop may move it up
	s.mu.Lock()
	s.recordSize(w)
	s.overload.observe(w.call, now)
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	s.wakeUp()
	timer := time.NewTimer(refuseAt.Sub(now))
	defer timer.Stop()
	select {
	case placed := <-w.placed:
		m.outcome.model.reserveAttempts += w.attempts
		return placed, placed.err
	case <-timer.C:
		return s.withdrawAtDeadline(w)
	case <-ctx.Done():
		return s.withdraw(w, context.Cause(ctx), true)
	}
}

// recordSize updates the mean request size and the demand estimate. The caller holds
// s.mu.
func (s *scheduler) recordSize(w *waitingRequest) {
	s.observeSize(w)
	s.gateway.demandEstimator.observe(w.call.Service.Name, float64(w.call.Model.PromptTokens), w.medianOutput)
}

// observeSize updates the mean request size. The caller holds s.mu.
func (s *scheduler) observeSize(w *waitingRequest) {
	service := w.call.Service
	size := requestSize{tokens: float64(w.call.Model.PromptTokens) + w.medianOutput, output: w.medianOutput}
	mean, known := s.sizes[service.Name]
	if !known {
		mean = size
	}
	mean.tokens += (size.tokens - mean.tokens) * sizeSmoothing
	mean.output += (size.output - mean.output) * sizeSmoothing
	s.sizes[service.Name] = mean
}

// usableMemory returns the memory of an engine of the service that requests may
// fill, in tokens.
func (s *scheduler) usableMemory(service *routing.Service) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fillLimits(service).OnTime * float64(service.Engine.MemoryTokens)
}

// sizeSmoothing is the weight of one request in the moving average of request sizes.
const sizeSmoothing = 0.05

// fillLimits returns the limits on the memory use of a service's engines. The caller
// holds s.mu.
func (s *scheduler) fillLimits(service *routing.Service) waitqueue.FillLimits {
	size := s.sizes[service.Name]
	return waitqueue.NewFillLimits(size.tokens, size.output, float64(service.Engine.MemoryTokens))
}

// withdraw removes a request from the queue. A reservation that is already in
// progress is still used unless the request has ended. If the request was refused in the
// meantime, the placement holds the refusal.
func (s *scheduler) withdraw(w *waitingRequest, err error, requestEnded bool) (placement, error) {
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
		return placed, err
	}
	if !requestEnded {
		return placed, nil
	}
	s.releasePlacement(placed, w.call.ID)
	return placement{}, err
}

// releasePlacement releases the reservation of a placement that is not used and
// removes its load.
func (s *scheduler) releasePlacement(placed placement, request string) {
	s.gateway.releaseReservation(placed.reservation, request)
	placed.finishPrefill()
	s.removeRequest(placed)
}

// newWaitingRequest returns the call as a waiting request, with the times by which it must
// be placed or refused. It is refused only if no engine can serve it in time, so the times
// are those of the fastest engines.
func (s *scheduler) newWaitingRequest(c *Call, promptReady bool, pin versionPin) *waitingRequest {
	w := &waitingRequest{
		call:         c,
		medianOutput: s.load.medianOutput(c.Route.Name, c.Model),
		placed:       make(chan placement, 1),
		isRetry:      c.RetryAge > 0,
		promptReady:  promptReady,
		pin:          pin,
	}
	speed := s.enginePool(c.Service.Name, pin).Fastest()
	w.minDelay = minFirstEventTime(c, speed)
	if promptReady {
		w.minDelay = speed.FirstEventDelay + clientLatency
	}
	w.firstEventDeadline = c.Received.Add(c.Route.LatencyTarget - c.RetryAge)
	// Output that the deadline cuts off has no value, so the request must be placed
	// early enough to finish.
	w.outputLeft = outputLeft(c, w.medianOutput)
	w.outputTime = outputTime(w.outputLeft, c.Service, speed)
	w.refuseAt = c.Deadline.Add(-w.minDelay - w.outputTime)
	if silenceLimit := c.Route.ClientEventTimeout; silenceLimit > 0 {
		if t := c.Received.Add(silenceLimit - w.minDelay - silenceMargin); t.Before(w.refuseAt) {
			w.refuseAt = t
		}
	}
	// Without a latency target, no request counts as late.
	if c.Route.LatencyTarget <= 0 {
		w.firstEventDeadline = w.refuseAt
	}
	w.limitByShutdown(s.gateway.Shutdown)
	return w
}

// outputLeft returns the part of an output, in tokens, that the client of a stream that is
// taken up, or goes on at another engine, does not have yet. Events are numbered from 1. A
// stream whose last event has another ID may have all of its output to come.
func outputLeft(c *Call, output float64) float64 {
	events, err := strconv.ParseUint(c.ResumeAfter, 10, 32)
	if err != nil {
		return output
	}
	return max(0, output-float64(events)*float64(c.Service.Engine.TokensPerEvent))
}

// silenceMargin is how long before the client gives up a request is refused, so that
// the refusal reaches the client.
const silenceMargin = 150 * time.Millisecond

// reservationTokens returns the memory to reserve. The forecast normally accounts
// for the growth of the output. If a listed gateway has not been heard from, the
// forecast lacks the requests that it placed. In that case a part of the expected
// output is reserved too.
func (s *scheduler) reservationTokens(w *waitingRequest) int {
	tokens := w.call.Model.PromptTokens + int(w.medianOutput*reservedOutputShare)
	if s.load.activePeers()+1 < s.gateway.ListedGateways() {
		tokens += int(w.medianOutput * unseenOutputShare)
	}
	return tokens
}

// unseenOutputShare is the part of the expected output that is reserved if the
// forecast does not include the requests of all gateways.
const unseenOutputShare = 0.5

// removeRequest removes a request that has left its engine from the load table.
func (s *scheduler) removeRequest(placed placement) {
	s.load.remove(placed.reservation.Engine, placed.request)
	s.gateway.announce()
	s.wakeUp()
}
