package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/enginechoice"
	"github.com/fescueslip/fescueslip/internal/policy/forecast"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
	"github.com/fescueslip/fescueslip/internal/routing"
)

const (
	// maxPrefillWaitShare is the part of the latency target for which a prompt may
	// wait at a prefill engine. Further requests wait in the gateway's queue, which is
	// ordered by urgency.
	maxPrefillWaitShare = 1.0 / 5
	// defaultMaxPrefillWait applies to routes without a latency target.
	defaultMaxPrefillWait = 180 * time.Millisecond
	// crossDomainWait is the cost of a prefill engine in another failure domain,
	// expressed as waiting time.
	crossDomainWait = 12 * time.Millisecond
	// failureWaitPenalty is the cost of a prefill engine whose requests all failed,
	// expressed as waiting time. It is scaled by the share of failures.
	failureWaitPenalty = 600 * time.Millisecond
)

// prefillChoice is the selected prefill engine.
type prefillChoice struct {
	engine *fleet.Upstream
	// pin restricts the decode engine to the software version of the prefill engine.
	pin versionPin
	// wait is the time until the engine has processed the prompts that it already
	// has.
	wait time.Duration
	// prompt is the time from the end of the wait to the result.
	prompt time.Duration
}

// maxPrefillWait returns how long a prompt of the route may wait at a prefill engine.
func maxPrefillWait(r *routing.Route) time.Duration {
	if r.LatencyTarget <= 0 {
		return defaultMaxPrefillWait
	}
	return time.Duration(maxPrefillWaitShare * float64(r.LatencyTarget))
}

// placeWaiting places as many waiting requests as the engines have capacity for. It
// returns the time after which this gateway may use capacity that it leaves to other
// gateways now, or 0 if it leaves none.
func (s *scheduler) placeWaiting(ctx context.Context, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return 0
	}
	s.refuseLeaving(now)
	s.orderWaiting(now)
	s.refuseInfeasible(now)
	contended := s.contended()
	heads := s.load.peerQueueHeads()
	urgent := s.urgentAtPeers(now)
	turn := turnDelay{}
	for i, examined := 0, 0; i < len(s.waiting) && examined < lookahead; {
		w := s.waiting[i]
		if urgent.mustWait(w) {
			i++
			continue
		}
		turn.delay = waitqueue.AdmissionDelay(w.head(now), heads)
		if s.tryPlace(ctx, w, contended, &turn, now) {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			s.recordServed(w, now)
			continue
		}
		urgent.addUnplaced(w, now)
		i++
		examined++
	}
	s.announceHead(now)
	return turn.earliest
}

// orderWaiting sorts the waiting requests in the order of service. The caller holds s.mu.
func (s *scheduler) orderWaiting(now time.Time) {
	s.rankWaiting(now)
	choices := make(map[string]prefillChoice)
	for _, w := range s.waiting {
		name := w.call.Service.Name
		choice, ok := choices[name]
		if !ok {
			choice = s.selectPrefillEngine(name, w.call.Model.PromptTokens, versionPin{}, now)
			choices[name] = choice
		}
		w.updateQueueState(now, min(choice.wait, maxPrefillWait(w.call.Route)))
	}
	s.markOvertaking(now)
	s.promoteStarved(now)
	slices.SortStableFunc(s.waiting, func(a, b *waitingRequest) int { return waitqueue.Compare(&a.queueState, &b.queueState) })
}

// contended reports whether a request that can meet its target waits here or at another
// gateway. The caller holds s.mu.
func (s *scheduler) contended() bool {
	return s.load.peersWaitingOnTime() > 0 || slices.ContainsFunc(s.waiting, func(w *waitingRequest) bool { return w.queueState.OnTime() })
}

// announceHead notifies the other gateways if the first waiting request has changed
// or can no longer meet its latency target. The caller holds s.mu.
func (s *scheduler) announceHead(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	first := s.waiting[0]
	head := first.head(now)
	if first.announcedHead == nil || first.announcedHead.Late != head.Late {
		first.announcedHead = &head
		s.gateway.announce()
	}
}

// turnDelay tracks the engines that this gateway leaves to other gateways because
// their waiting requests are more urgent.
type turnDelay struct {
	// delay is how long free capacity of an engine is left to other gateways.
	delay time.Duration
	// earliest is the time until the first engine that was left to others may be
	// used, or 0 if none was.
	earliest time.Duration
}

// mustYield reports whether capacity that became free at the given time is still
// left to other gateways.
func (t *turnDelay) mustYield(freeSince, now time.Time) bool {
	wait := freeSince.Add(t.delay).Sub(now)
	if t.delay == 0 || wait <= 0 {
		return false
	}
	if t.earliest == 0 || wait < t.earliest {
		t.earliest = wait
	}
	return true
}

// tryPlace places the request if an engine has capacity for it. The caller holds
// s.mu.
func (s *scheduler) tryPlace(ctx context.Context, w *waitingRequest, contended bool, turn *turnDelay, now time.Time) bool {
	u, choice := s.selectEngines(w, contended, turn, now)
	if u == nil {
		return false
	}
	s.startReservation(ctx, w, u, choice, now)
	return true
}

// selectEngines returns the decode engine and the prefill engine for the request. The
// decode engine is nil if none has capacity for it. The caller holds s.mu.
func (s *scheduler) selectEngines(w *waitingRequest, contended bool, turn *turnDelay, now time.Time) (*fleet.Upstream, prefillChoice) {
	for _, c := range s.prefillChoices(w, now) {
		if c.wait > maxPrefillWait(w.call.Route) {
			continue
		}
		if u := s.selectDecodeEngine(w, contended, c, turn, now); u != nil {
			return u, s.completeChoice(w, u, c, now)
		}
	}
	return nil, prefillChoice{}
}

// completeChoice returns the choice with the engine that processes the prompt if the
// decode engine u is selected.
func (s *scheduler) completeChoice(w *waitingRequest, u *fleet.Upstream, choice prefillChoice, now time.Time) prefillChoice {
	if w.promptReady {
		choice.engine = u
	} else if choice.engine == nil {
		choice = prefillChoice{engine: u, prompt: s.decodeEnginePrompt(w, u, now)}
	}
	return choice
}

// selectPrefillEngine returns the prefill engine that is expected to complete the prompt
// first. The engine is nil if none is available.
func (s *scheduler) selectPrefillEngine(service string, promptTokens int, pin versionPin, now time.Time) prefillChoice {
	var engines []*fleet.Upstream
	var candidates []enginechoice.Prefill
	for _, u := range s.gateway.Fleet.Snapshot().Service(service) {
		if !u.Usable() || u.Instance().Role != fleet.RolePrefill || !pin.allows(u.Instance()) {
			s.trace.notEligible(u, fleet.RolePrefill)
			continue
		}
		h := u.Health(now)
		if h.Paused || h.Avoid || h.Full || !s.limitAllows(u, now) {
			s.trace.notAvailable(u, h)
			continue
		}
		state := s.load.prefillState(u, now)
		candidate := enginechoice.Prefill{
			Backlog: float64(u.PrefillTokens.Load() + state.peerTokens),
			Rate:    state.speed.PrefillRate,
			Prompt:  state.speed.PrefillTime(float64(promptTokens)),
			Penalty: time.Duration(h.FailureShare * float64(failureWaitPenalty)),
		}
		if u.Instance().FailureDomain != s.gateway.FailureDomain {
			candidate.Penalty += crossDomainWait
		}
		s.trace.prefill(u, candidate)
		engines, candidates = append(engines, u), append(candidates, candidate)
	}
	best := enginechoice.FirstPrefill(candidates)
	if best < 0 {
		return prefillChoice{pin: pin}
	}
	return prefillChoice{engine: engines[best], pin: pin, wait: candidates[best].Wait(), prompt: candidates[best].Prompt}
}

// selectDecodeEngine returns the decode engine for the request, or nil if none has enough
// room. If the choice has no prefill engine, the decode engine must also process the prompt,
// so engines that already process one are skipped.
func (s *scheduler) selectDecodeEngine(w *waitingRequest, contended bool, choice prefillChoice, turn *turnDelay, now time.Time) *fleet.Upstream {
	prefill := choice.engine
	limit := s.fillLimits(w.call.Service).For(&w.queueState, contended)
	s.trace.fill(limit)
	if limit <= 0 {
		return nil
	}
	engine := w.call.Service.Engine
	jitter := gatewayJitter * float64(s.gateway.ListedGateways()-1)
	var engines []*fleet.Upstream
	var candidates []enginechoice.Decode
	hasCapacity := false
	for _, u := range s.gateway.Fleet.Snapshot().Service(w.call.Service.Name) {
		if !u.Usable() || u.Instance().Role != fleet.RoleDecode || !choice.pin.allows(u.Instance()) {
			s.trace.notEligible(u, fleet.RoleDecode)
			continue
		}
		h := u.Health(now)
		if h.Avoid || h.Full || h.Paused || !s.limitAllows(u, now) {
			s.trace.notAvailable(u, h)
			continue
		}
		if prefill == nil && s.hasPrefillBacklog(u, now) {
			s.trace.exclude(u, "no prefill engine is available, and it already processes prompts")
			continue
		}
		load := s.load.forecastFor(u, w.call.Service, now)
		s.trace.decode(u, &load)
		candidate := enginechoice.Decode{
			FirstEvent: s.promptTime(w, u, choice, now) + load.speed.firstEvent + clientLatency,
			Output:     time.Duration(w.outputLeft / load.speed.tokenRate * float64(time.Second)),
			Penalty:    s.decodePenalty(u, prefill, h),
		}
		if s.trace == nil {
			candidate.Penalty += jitter * rand.Float64()
		}
		if load.requestCount+unusedSlots < engine.Slots {
			candidate.Load = s.peakWith(w, &load) / float64(engine.MemoryTokens)
			s.trace.peak(u, candidate.Load)
			if candidate.Load <= limit {
				hasCapacity = true
				if w.capacitySince.IsZero() {
					w.capacitySince = now
				}
				candidate.Fits = !turn.mustYield(later(load.changedAt, w.capacitySince), now)
			}
			s.trace.fits(u, candidate, limit)
		} else {
			s.trace.exclude(u, "no free slot")
		}
		engines, candidates = append(engines, u), append(candidates, candidate)
	}
	if !hasCapacity {
		w.capacitySince = time.Time{}
	}
	left := w.call.Deadline.Sub(now)
	s.trace.costs(engines, candidates, left, jitter)
	if best := enginechoice.BestDecode(candidates, left); best >= 0 {
		return engines[best]
	}
	return nil
}

// decodePenalty returns the cost of the failures and the distance of a decode engine, as a part
// of its memory. prefill is nil if the decode engine processes the prompt.
func (s *scheduler) decodePenalty(u, prefill *fleet.Upstream, h fleet.Health) float64 {
	penalty := failureCost * h.FailureShare
	if u.Instance().FailureDomain != s.gateway.FailureDomain {
		penalty += crossDomainCost
	}
	if prefill != nil && u.Instance().FailureDomain != prefill.Instance().FailureDomain {
		penalty += crossDomainTransferCost
	}
	return penalty
}

// peakWith returns the highest memory use of a decode engine with the request, in tokens.
func (s *scheduler) peakWith(w *waitingRequest, load *engineForecast) float64 {
	var own forecast.Curve
	own.Add(forecast.Request{
		Prompt:       float64(w.call.Model.PromptTokens),
		MedianOutput: w.medianOutput,
		MaxOutput:    float64(w.call.Model.MaxOutputTokens),
		Age:          -w.minDelay.Seconds(),
	}, load.speed.tokenRate, load.speed.curveStep)
	return load.curve.PeakWith(&own)
}

// promptTime returns the time until the prompt of the request is processed if the decode
// engine u takes it.
func (s *scheduler) promptTime(w *waitingRequest, u *fleet.Upstream, choice prefillChoice, now time.Time) time.Duration {
	switch {
	case w.promptReady:
		return 0
	case choice.engine != nil:
		return choice.wait + choice.prompt
	default:
		return s.decodeEnginePrompt(w, u, now)
	}
}

// decodeEnginePrompt returns the time that a decode engine takes for the prompt.
func (s *scheduler) decodeEnginePrompt(w *waitingRequest, u *fleet.Upstream, now time.Time) time.Duration {
	prompt := s.load.prefillState(u, now).speed.PrefillTime(float64(w.call.Model.PromptTokens))
	return time.Duration(float64(prompt) / enginechoice.DecodePrefillShare)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasPrefillBacklog reports whether prompts sent by this gateway or, as far as
// known, by others wait for a prefill at the engine or are being processed by it.
func (s *scheduler) hasPrefillBacklog(u *fleet.Upstream, now time.Time) bool {
	return u.PrefillTokens.Load()+s.load.prefillState(u, now).peerTokens > 0
}

const (
	// failureCost weighs the share of failures of an engine against its memory use.
	failureCost = 2.0
	// crossDomainCost weighs relaying events from another failure domain against
	// memory use.
	crossDomainCost = 0.005
	// crossDomainTransferCost weighs moving a KV cache to another failure domain
	// against memory use.
	crossDomainTransferCost = 0.06
	// gatewayJitter is the amount of randomness per other gateway. It spreads the
	// choices of gateways that see the same load. The amount grows with the number
	// of gateways, because their reports become older.
	gatewayJitter = 0.008
)

// startReservation records the request in the load table and starts the reservation
// in the background. The caller holds s.mu.
func (s *scheduler) startReservation(ctx context.Context, w *waitingRequest, u *fleet.Upstream, choice prefillChoice, now time.Time) {
	w.attempts++
	s.takeLimits(u, choice.engine, now)
	firstEvent := s.load.speedOfEngine(u, w.call.Service.Name).FirstEventDelay
	prefill := choice.wait + choice.prompt
	placed := placement{
		request: s.load.add(u, RequestLoad{
			PromptTokens:       w.call.Model.PromptTokens,
			MedianOutputTokens: int(w.medianOutput),
			MaxOutputTokens:    w.call.Model.MaxOutputTokens,
			OutputStart:        now.Add(prefill + firstEvent),
		}),
		prefillEngine: choice.engine,
		promptTokens:  int64(w.call.Model.PromptTokens),
		prefillWait:   choice.wait,
		promptTime:    choice.prompt,
	}
	placed.prefillEngine.PrefillTokens.Add(placed.promptTokens)
	placed.prefillEngine.PrefillTokensSent.Add(placed.promptTokens)
	s.load.markChanged(placed.prefillEngine)
	go s.requestReservation(ctx, w, u, placed, reservationLease(w.call.Service, prefill))
}

// reservationLease returns the lease of a reservation for a request whose prompt
// will be processed after the given time.
func reservationLease(service *routing.Service, prefill time.Duration) time.Duration {
	lease := reservationMargin + 2*prefill
	if longest := service.Engine.MaxReservationLease; longest > 0 {
		lease = min(lease, longest)
	}
	return lease
}

// requestReservation requests a reservation at the engine and passes the placement
// to the waiting request. If the reservation fails, the request is put back into
// the queue, unless it was withdrawn or ctx has ended.
func (s *scheduler) requestReservation(ctx context.Context, w *waitingRequest, u *fleet.Upstream, placed placement, lease time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	s.gateway.announce()
	reservation, err := s.gateway.EngineClient.Reserve(callCtx, u, s.reservationTokens(w), lease)
	if err == nil {
		placed.reservation = reservation
		s.logPlacement(w, u, placed)
		w.placed <- placed
		return
	}
	placed.finishPrefill()
	s.load.remove(u, placed.request)
	now := time.Now()
	if errors.Is(err, ErrNoCapacity) {
		u.RecordFull(now, fullPause)
	} else {
		s.gateway.Logger.Info("reservation failed", "request", w.call.ID, "upstream", u.Instance().ID, "err", err)
		u.RecordUnreachable(now, unreachablePause)
	}
	s.mu.Lock()
	requeue := !w.withdrawn && ctx.Err() == nil
	if requeue {
		s.waiting = append(s.waiting, w)
	}
	s.mu.Unlock()
	if !requeue {
		w.placed <- placement{err: err}
		return
	}
	s.wakeUp()
}

// logPlacement logs the selected engines and the load that the selection was based
// on.
func (s *scheduler) logPlacement(w *waitingRequest, u *fleet.Upstream, placed placement) {
	now := time.Now()
	load := s.load.forecastFor(u, w.call.Service, now)
	decodeSpeed := s.load.speedOfEngine(u, w.call.Service.Name)
	prefillSpeed := s.load.speedOfEngine(placed.prefillEngine, w.call.Service.Name)
	s.gateway.Logger.Info("request placed", "request", w.call.ID, "priority", w.call.Priority, "upstream", u.Instance().ID, "prefill_at", placed.prefillEngine.Instance().ID,
		"waited_ms", now.Sub(w.call.Received).Milliseconds(), "slack_ms", w.queueState.Slack.Milliseconds(),
		"median_output_tokens", int(w.medianOutput), "engine_runs", load.requestCount, "engine_peak_tokens", int(load.curve.Peak()), "engine_tokens_per_s", int(load.speed.tokenRate),
		"stream_slowdown", round(decodeSpeed.StreamSlowdown), "prefill_slowdown", round(prefillSpeed.PrefillSlowdown),
		"prefill_wait_ms", placed.prefillWait.Milliseconds(), "prompt_ms", placed.promptTime.Milliseconds(), "left_ms", w.call.Remaining(now).Milliseconds(),
		"peers_heard", s.load.activePeers(), "peers_listed", s.gateway.ListedGateways()-1, "fleet_revision", s.gateway.Fleet.Snapshot().Revision)
}
