package sidecar

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// outputTokenCost is the cost of one output token in prompt tokens. A decode
	// step, which yields one token for every stream of an engine, takes tens of
	// milliseconds; a prefill engine computes some hundreds of prompt tokens in
	// that time.
	outputTokenCost = 8
	// initialStepTime is the assumed time per output token before the first
	// measurement.
	initialStepTime   = 25 * time.Millisecond
	stepTimeSmoothing = 0.05
	// growthLeadTime is how long before a stream outgrows its chunks it takes the
	// next one. The time suffices to cancel another stream and to have the engine
	// confirm the cancel. A longer time would preempt streams in favor of others
	// that end before they need the memory.
	growthLeadTime = 100 * time.Millisecond
	minGrowthLead  = 4 // tokens; lower bound when steps are slow
)

// decodeClaim is the claim of a decode attempt.
type decodeClaim struct {
	claim
	reservation *Reservation
	prompt      int // prompt tokens, including the output that earlier attempts delivered
	predicted   int // output tokens that this attempt is expected to produce
	produced    int // output tokens that this attempt has produced
	maxOutput   int // maximum of output tokens for this attempt; 0 sets no limit
	started     bool
	ready       chan struct{} // closed when the engine may be used after a Start frame
	// preempted is done when the stream must give up its memory.
	preempted context.Context
	preempt   context.CancelFunc
}

// decodeScheduler is the part of the scheduler for an engine in the decode role.
// It is guarded by the scheduler's mutex.
type decodeScheduler struct {
	queue        *fairqueue.Queue
	reservations *Reservations
	claims       map[*Reservation]*decodeClaim
	stepTime     time.Duration
}

func newDecodeScheduler() decodeScheduler {
	return decodeScheduler{
		queue:        fairqueue.New(),
		reservations: NewReservations(Capacity{}),
		claims:       make(map[*Reservation]*decodeClaim),
		stepTime:     initialStepTime,
	}
}

// admitDecode queues a claim and grants it at once if it is first and fits. It
// refuses the claim if checkAdmission does, if the claim cannot fit into the empty
// engine, or, for a first attempt, if its estimated wait exceeds
// Policy.QueueLimit.
func (s *scheduler) admitDecode(r *wire.Reserve) (*decodeClaim, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.newDecodeClaim(r)
	if ref := s.checkAdmission(&c.claim, engine.RoleDecode); ref != nil {
		return nil, ref
	}
	maxTokens := c.prompt + max(c.predicted, int(r.GetMaxTokens()))
	if s.decode.reservations.TooLarge(maxTokens) {
		return nil, refusalTooLarge("prompt and output exceed the engine's memory; shorten the prompt or lower max_tokens")
	}
	s.enqueue(s.decode.queue, &c.claim, r.GetSource(), r.GetCallerUsage(), s.grantDeadline(r.GetTtftBudgetMs(), r.GetWaitedMs(), c.reservation.PrefillTime))
	c.item.Value = c
	s.decode.queue.Push(s.now(), c.item)
	s.grantPendingLocked()
	if len(c.granted) > 0 {
		return c, nil
	}
	if ref := s.checkWait(s.decode.queue, &c.claim, r.GetWaitedMs(), s.decodeWaitLocked(c)); ref != nil {
		return nil, ref
	}
	return c, nil
}

func (s *scheduler) newDecodeClaim(r *wire.Reserve) *decodeClaim {
	share := s.callerShare(r.GetCaller(), r.GetShare(), r.GetConfigRevision())
	c := &decodeClaim{
		claim:     newClaim(r.GetRequestId(), r.GetAttempt(), r.GetCaller(), share, r.GetFingerprint(), r.GetSuspect()),
		prompt:    int(r.GetPromptTokens()),
		predicted: max(1, int(r.GetPredictedTokens())),
		ready:     make(chan struct{}),
	}
	c.preempted, c.preempt = context.WithCancel(context.Background())
	c.cost = decodeCost(c.prompt, c.predicted)
	c.model = r.GetModel()
	c.reservation = &Reservation{
		ID:          c.id,
		Caller:      c.caller,
		Share:       c.share,
		Chunks:      s.decode.reservations.ChunksFor(c.prompt + c.predicted),
		Predicted:   c.predicted,
		PrefillTime: time.Duration(r.GetPrefillMs()) * time.Millisecond,
	}
	return c
}

// decodeCost returns the cost of a decode in prompt tokens.
func decodeCost(prompt, output int) float64 { return float64(prompt + outputTokenCost*output) }

// grantDecodes grants, in the order of the queue, the claims that fit now or are
// predicted to fit within the fraction of their prefill time that
// Policy.Anticipation allows. The caller must hold s.mu.
func (s *scheduler) grantDecodes() {
	decode := &s.decode
	anticipation := s.config.Snapshot().Policy.Anticipation
	for decode.queue.Len() > 0 {
		now := s.now()
		forecast := newCapacityForecast(decode.reservations, now, decode.stepTime)
		item := decode.queue.Pop(now, func(item *fairqueue.Item) bool {
			c := item.Value.(*decodeClaim)
			return s.suspects.MayRun(c.suspect) && forecast.fits(c.reservation, anticipation)
		})
		if item == nil {
			return
		}
		c := item.Value.(*decodeClaim)
		freeIn := forecast.timeUntilFree(c.reservation.Chunks)
		if decode.reservations.Grant(now, c.reservation) {
			freeIn = 0
		}
		decode.claims[c.reservation] = c
		s.suspects.SetRunning(c.id, c.suspect)
		c.granted <- grant{freeIn: freeIn}
	}
}

// startDecode requests the use of the engine after a Start frame. The claim's
// ready channel is closed as soon as the claim may use the engine.
func (s *scheduler) startDecode(c *decodeClaim, resume, maxTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maxTokens > 0 {
		c.maxOutput = max(1, maxTokens-resume)
		c.predicted = min(c.predicted, c.maxOutput)
	}
	if s.decode.reservations.Start(s.now(), c.reservation, c.prompt, c.predicted) {
		c.markReady()
	}
	s.grantPendingLocked()
}

// markReady lets the claim use the engine. Later calls have no effect.
func (c *decodeClaim) markReady() {
	if !c.started {
		c.started = true
		close(c.ready)
	}
}

// promoteReservations gives freed capacity to growing streams and to anticipated
// reservations.
func (s *scheduler) promoteReservations() {
	for _, res := range s.decode.reservations.Promote(s.now()) {
		s.decode.claims[res].markReady()
	}
}

// reserveTokens returns the number of tokens for which the engine must reserve
// memory on behalf of c.
func (s *scheduler) reserveTokens(c *decodeClaim) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.reservation.Chunks * s.decode.reservations.Capacity().ChunkTokens
}

// kvBytes returns the size of the KV cache to transfer. It estimates the size from
// the prompt if the Start frame does not contain it.
func (s *scheduler) kvBytes(c *decodeClaim, start *wire.Start) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := start.GetKvBytes(); n > 0 {
		return int64(n)
	}
	return int64(c.prompt) * s.info.KVBytesPerToken
}

// recordImport records how much memory the engine holds for c after an import.
func (s *scheduler) recordImport(c *decodeClaim, heldTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decode.reservations.RecordHeld(c.reservation, heldTokens)
}

// recordOutput records how many output tokens c has produced and the time that the
// last one took. It preempts a stream if c needs more memory than is free.
func (s *scheduler) recordOutput(c *decodeClaim, produced int, perToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decode := &s.decode
	if perToken > 0 {
		decode.stepTime += time.Duration(stepTimeSmoothing * float64(perToken-decode.stepTime))
	}
	c.produced = produced
	lookahead := max(minGrowthLead, int(growthLeadTime/max(time.Millisecond, decode.stepTime)))
	if c.maxOutput > 0 {
		lookahead = max(0, min(lookahead, c.maxOutput-produced))
	}
	victim := decode.reservations.Advance(s.now(), c.reservation, c.prompt+produced, lookahead)
	if victimClaim := decode.claims[victim]; victim != nil && victimClaim != nil {
		victimClaim.preempt()
	}
}

// removeDecode removes a claim and releases its reservation, after the engine has
// freed the memory. It corrects the caller's charge to the actual cost.
func (s *scheduler) removeDecode(c *decodeClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decode := &s.decode
	decode.queue.Remove(c.item)
	if _, granted := decode.claims[c.reservation]; granted {
		delete(decode.claims, c.reservation)
		decode.reservations.Release(s.now(), c.reservation)
		decode.queue.AdjustCharge(c.caller, s.actualCost(c)-c.cost)
	}
	s.removeClaim(&c.claim)
	s.grantPendingLocked()
}

// actualCost returns the cost of the prompt and of the output produced, or 0 if
// the claim never used the engine.
func (s *scheduler) actualCost(c *decodeClaim) float64 {
	if !c.started {
		return 0
	}
	return decodeCost(c.prompt, c.produced)
}

// decodeWait is decodeWaitLocked for callers that do not hold s.mu.
func (s *scheduler) decodeWait(c *decodeClaim) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decodeWaitLocked(c)
}

// decodeWaitLocked estimates how long a queued claim waits for its grant. The
// caller must hold s.mu.
func (s *scheduler) decodeWaitLocked(c *decodeClaim) time.Duration {
	freeIn := newCapacityForecast(s.decode.reservations, s.now(), s.decode.stepTime).timeUntilFree(c.reservation.Chunks)
	return max(0, freeIn) + queueWait(s.decode.queue, c.item, s.decodeCostRate())
}

// decodeCostRate estimates the cost that the engine serves per second, in prompt
// tokens, from the cost and the expected duration of the granted claims.
func (s *scheduler) decodeCostRate() float64 {
	rate := 0.0
	for _, c := range s.decode.claims {
		lifetime := time.Duration(c.predicted)*s.decode.stepTime + c.reservation.PrefillTime/2
		rate += c.cost / lifetime.Seconds()
	}
	return rate
}

// refuseUnstarted refuses the granted claims that have not used the engine.
func (s *scheduler) refuseUnstarted() {
	for _, c := range s.decode.claims {
		if !c.started {
			c.refuse(*refusalEngineDown())
		}
	}
}
