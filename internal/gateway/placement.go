package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/forecast"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

const (
	// maxPrefillWait is how long a prompt may wait at a prefill engine. Requests
	// beyond that wait in the queue, where the most urgent goes first.
	maxPrefillWait = 300 * time.Millisecond
	// selfPrefillShare is the speed at which a decode engine reads a prompt, as a
	// share of that of a prefill engine.
	selfPrefillShare = 0.5
	// farWait is what leaving the failure domain costs, as a wait.
	farWait = 12 * time.Millisecond
	// failureWait weighs the failures of a prefill engine, as a wait.
	failureWait = 600 * time.Millisecond
)

// prefillChoice is the prefill engine that is free first.
type prefillChoice struct {
	engine *fleet.Upstream
	// wait is the time until it has read the prompts that it has.
	wait time.Duration
	rate float64
}

func prefillTime(c *Call, rate float64) time.Duration {
	return time.Duration(float64(c.Model.PromptTokens) / rate * float64(time.Second))
}

// round places as many waiting requests as the engines have room for. It returns
// after which time this gateway may take a place that it left to others now; 0 if
// there is none.
func (s *scheduler) round(ctx context.Context, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return 0
	}
	choices := make(map[string]prefillChoice)
	for _, w := range s.waiting {
		name := w.call.Service.Name
		choice, ok := choices[name]
		if !ok {
			choice = s.nextPrefill(name, now)
			choices[name] = choice
		}
		w.look(now, min(choice.wait, maxPrefillWait))
	}
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return waitqueue.Compare(&a.state, &b.state) })
	crowded := s.load.othersWaiting() > 0 || s.waiting[0].state.OnTime()
	heads := s.load.heads()
	t := turns{}
	for i, looked := 0, 0; i < len(s.waiting) && looked < lookahead; {
		w := s.waiting[i]
		t.leave = waitqueue.AdmissionDelay(w.head(now), heads)
		if s.tryPlace(ctx, w, crowded, &t, now) {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			continue
		}
		i++
		looked++
	}
	s.tellHead(now)
	return t.next
}

// tellHead has the others hear of a request that has become the first of those
// that wait here, or can no longer be in time; the lock is held.
func (s *scheduler) tellHead(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	first := s.waiting[0]
	head := first.head(now)
	if first.told == nil || first.told.Late != head.Late {
		first.told = &head
		s.g.announce()
	}
}

// turns tells which places this gateway leaves to others at the moment.
type turns struct {
	// leave is how long after its last change a place is left to others.
	leave time.Duration
	// next is when the first of the places that were left may be taken; 0: none was.
	next time.Duration
}

// left reports whether an engine is left to others that go first.
func (t *turns) left(changed, now time.Time) bool {
	wait := changed.Add(t.leave).Sub(now)
	if t.leave == 0 || wait <= 0 {
		return false
	}
	if t.next == 0 || wait < t.next {
		t.next = wait
	}
	return true
}

// tryPlace places the request if an engine has room for it; the lock is held.
func (s *scheduler) tryPlace(ctx context.Context, w *waiter, crowded bool, t *turns, now time.Time) bool {
	choice := s.nextPrefill(w.call.Service.Name, now)
	if choice.wait > maxPrefillWait {
		return false
	}
	u := s.engineFor(w, crowded, choice.engine, t, now)
	if u == nil {
		return false
	}
	if choice.engine == nil {
		choice = prefillChoice{engine: u, rate: defaultPrefillRate * selfPrefillShare}
	}
	s.place(ctx, w, u, choice, now)
	return true
}

// nextPrefill returns the prefill engine that is free first; its engine is nil
// if there is none.
func (s *scheduler) nextPrefill(service string, now time.Time) prefillChoice {
	var best prefillChoice
	var bestCost time.Duration
	for _, u := range s.g.Fleet.Snapshot().Service(service) {
		if !u.Usable() || u.Instance().Role != fleet.RolePrefill {
			continue
		}
		h := u.Health(now)
		if h.Paused || h.Avoid || h.Full {
			continue
		}
		others, rate := s.load.prefill(u)
		wait := time.Duration(float64(u.PrefillTokens.Load()+others) / rate * float64(time.Second))
		cost := wait + time.Duration(h.FailureShare*float64(failureWait))
		if u.Instance().FailureDomain != s.g.FailureDomain {
			cost += farWait
		}
		if best.engine == nil || cost < bestCost {
			best, bestCost = prefillChoice{engine: u, wait: wait, rate: rate}, cost
		}
	}
	return best
}

// engineFor returns the decode engine with the most room for the request, or
// nil. Without a prefill engine it must read the prompt by itself, and none else
// at the moment.
func (s *scheduler) engineFor(w *waiter, crowded bool, prefill *fleet.Upstream, t *turns, now time.Time) *fleet.Upstream {
	limit := s.fillOf(w.call.Service).For(&w.state, crowded)
	if limit <= 0 {
		return nil
	}
	engine := w.call.Service.Engine
	jitter := gatewayJitter * float64(s.g.ListedGateways()-1)
	var best *fleet.Upstream
	var bestCost float64
	room := false
	for _, u := range s.g.Fleet.Snapshot().Service(w.call.Service.Name) {
		if !u.Usable() || u.Instance().Role != fleet.RoleDecode {
			continue
		}
		h := u.Health(now)
		if h.Avoid || h.Full || h.Paused {
			continue
		}
		if prefill == nil && s.readsPrompt(u) {
			continue
		}
		load := s.load.outlook(u, now)
		if load.runs+slotMargin >= engine.Slots {
			continue
		}
		var own forecast.Curve
		own.Add(forecast.Request{
			Prompt:       float64(w.call.Model.PromptTokens),
			MedianOutput: w.median,
			MaxOutput:    float64(w.call.Model.MaxOutputTokens),
			Age:          -w.need.Seconds(),
		}, load.tokenRate)
		peak := load.curve.PeakWith(&own) / float64(engine.MemoryTokens)
		if peak > limit {
			continue
		}
		room = true
		if w.roomSince.IsZero() {
			w.roomSince = now
		}
		if t.left(later(load.changed, w.roomSince), now) {
			continue
		}
		cost := peak + failureCost*h.FailureShare
		if u.Instance().FailureDomain != s.g.FailureDomain {
			cost += farCost
		}
		if prefill != nil && u.Instance().FailureDomain != prefill.Instance().FailureDomain {
			cost += farTransferCost
		}
		cost += jitter * rand.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if !room {
		w.roomSince = time.Time{}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *scheduler) readsPrompt(u *fleet.Upstream) bool {
	others, _ := s.load.prefill(u)
	return u.PrefillTokens.Load()+others > 0
}

const (
	// failureCost weighs the failures of an engine against its fill.
	failureCost = 2.0
	// farCost weighs events that come from another failure domain against the fill.
	farCost = 0.005
	// farTransferCost weighs KV cache that is moved to another failure domain
	// against the fill.
	farTransferCost = 0.06
	// gatewayJitter spreads the choices of gateways that see the same loads, for
	// each other gateway: the more there are, the older is what they tell.
	gatewayJitter = 0.008
)

// place asks the engine for the reservation; the lock is held.
func (s *scheduler) place(ctx context.Context, w *waiter, u *fleet.Upstream, choice prefillChoice, now time.Time) {
	w.tries++
	begins := now.Add(startTime + choice.wait + prefillTime(w.call, choice.rate))
	gr := grant{
		run: s.load.begin(u, RequestLoad{
			PromptTokens:       w.call.Model.PromptTokens,
			MedianOutputTokens: int(w.median),
			MaxOutputTokens:    w.call.Model.MaxOutputTokens,
			OutputStart:        begins,
		}),
		prefill: choice.engine,
		tokens:  int64(w.call.Model.PromptTokens),
	}
	gr.prefill.PrefillTokens.Add(gr.tokens)
	s.load.touch(gr.prefill)
	go s.ask(ctx, w, u, gr)
}

func (s *scheduler) ask(ctx context.Context, w *waiter, u *fleet.Upstream, gr grant) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	s.g.announce()
	hold, err := s.g.EngineClient.Reserve(callCtx, u, s.holdTokens(w), reserveLife)
	if err == nil {
		gr.hold = hold
		s.logPlaced(w, u, gr)
		w.granted <- gr
		return
	}
	gr.prefillDone()
	s.load.end(u, gr.run)
	now := time.Now()
	if errors.Is(err, ErrNoCapacity) {
		u.RecordFull(now, fullPause)
	} else {
		s.g.Logger.Info("reservation failed", "request", w.call.ID, "upstream", u.Instance().ID, "err", err)
		u.RecordUnreachable(now, unreachablePause)
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

// logPlaced tells where a request goes and what decided it.
func (s *scheduler) logPlaced(w *waiter, u *fleet.Upstream, gr grant) {
	now := time.Now()
	load := s.load.outlook(u, now)
	s.g.Logger.Info("request placed", "request", w.call.ID, "upstream", u.Instance().ID, "prefill_at", gr.prefill.Instance().ID,
		"waited_ms", now.Sub(w.call.Received).Milliseconds(), "slack_ms", w.state.Slack.Milliseconds(),
		"median_output_tokens", int(w.median), "engine_runs", load.runs, "engine_peak_tokens", int(load.curve.Peak()),
		"peers_heard", s.load.heardPeers(), "peers_listed", s.g.ListedGateways()-1, "fleet_revision", s.g.Fleet.Snapshot().Revision)
}
