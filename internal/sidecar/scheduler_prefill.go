package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// prefillConcurrency is the number of prefills submitted at once. A prefill
	// uses the whole engine: a second one would wait in the engine's own queue,
	// which ignores shares, and its measured time would double. With one at a
	// time, the engine idles less than a millisecond between two prefills.
	prefillConcurrency = 1
	// initialPrefillRate, in tokens/s, applies until the engine reports its rate.
	initialPrefillRate   = 5000
	prefillRateSmoothing = 0.1
)

// prefillClaim is the claim of a prefill attempt.
type prefillClaim struct {
	claim
	tokens  int
	started bool
}

// prefillScheduler is the part of the scheduler for an engine in the prefill role.
// It is guarded by the scheduler's mutex.
type prefillScheduler struct {
	queue        *fairqueue.Queue
	allocations  *PrefillAllocations
	rate         float64 // tokens/s, moving average of measurements
	reportedRate float64 // tokens/s, last value that the engine reported
}

func newPrefillScheduler() prefillScheduler {
	return prefillScheduler{
		queue:       fairqueue.New(),
		allocations: NewPrefillAllocations(Capacity{}, prefillConcurrency),
		rate:        initialPrefillRate,
	}
}

func (p *prefillScheduler) setReportedRate(rate float64) {
	if rate > 0 && rate != p.reportedRate {
		p.reportedRate, p.rate = rate, rate
	}
}

// admitPrefill queues a claim and grants it at once if it is first and fits. It
// refuses the claim if checkAdmission does, if the prompt cannot fit into the empty
// engine or exceeds its MaxPromptTokens, or, for a first attempt, if its estimated
// wait exceeds Policy.QueueLimit.
func (s *scheduler) admitPrefill(r *wire.Prefill) (*prefillClaim, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.callerShare(r.GetCaller(), r.GetShare(), r.GetConfigRevision())
	c := &prefillClaim{
		claim:  newClaim(r.GetRequestId(), r.GetAttempt(), r.GetCaller(), share, r.GetFingerprint(), r.GetSuspect()),
		tokens: int(r.GetPromptTokens()),
	}
	c.cost = float64(max(1, c.tokens))
	c.model = r.GetModel()
	if ref := s.checkAdmission(&c.claim, engine.RolePrefill); ref != nil {
		return nil, ref
	}
	if s.prefill.allocations.TooLarge(c.tokens) || s.info.MaxPromptTokens > 0 && c.tokens > s.info.MaxPromptTokens {
		return nil, refusalTooLarge("the prompt exceeds what the engine can hold; shorten it")
	}
	s.enqueue(s.prefill.queue, &c.claim, r.GetSource(), r.GetCallerUsage(), s.grantDeadline(r.GetTtftBudgetMs(), r.GetWaitedMs(), s.prefillTime(c.tokens)))
	c.item.Value = c
	s.prefill.queue.Push(s.now(), c.item)
	s.grantPendingLocked()
	if c.started {
		return c, nil
	}
	if ref := s.checkWait(s.prefill.queue, &c.claim, r.GetWaitedMs(), s.prefillWaitLocked(c)); ref != nil {
		return nil, ref
	}
	return c, nil
}

// grantPrefills grants the queued prefills that fit, in the order of the queue.
// The caller must hold s.mu.
func (s *scheduler) grantPrefills() {
	p := &s.prefill
	for {
		item := p.queue.Pop(s.now(), func(item *fairqueue.Item) bool {
			c := item.Value.(*prefillClaim)
			return s.suspects.MayRun(c.suspect) && p.allocations.Fits(c.tokens)
		})
		if item == nil {
			return
		}
		c := item.Value.(*prefillClaim)
		p.allocations.Begin(c.id, c.tokens)
		s.suspects.SetRunning(c.id, c.suspect)
		c.started = true
		c.granted <- grant{}
	}
}

// recordPrefill records that a prefill finished and until when the engine holds
// its output. From now on a crash is not attributed to the request.
func (s *scheduler) recordPrefill(c *prefillClaim, r engine.PrefillResult, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.prefill
	p.allocations.MarkHeld(s.now(), c.id, r.Handle, r.PromptTokens, time.Duration(r.HoldMS)*time.Millisecond)
	p.updateRate(r.PromptTokens-r.CachedTokens, elapsed)
	s.suspects.RemoveInFlight(c.id)
	s.suspects.ClearRunning(c.id)
	s.grantPendingLocked()
}

// updateRate adds a measurement to the moving average of the prefill rate.
// Tokens from the prefix cache do not count as computed.
func (p *prefillScheduler) updateRate(computed int, elapsed time.Duration) {
	if computed > 0 && elapsed > 0 {
		p.rate += prefillRateSmoothing * (float64(computed)/elapsed.Seconds() - p.rate)
	}
}

// recordEviction records that the engine evicted an output before its release.
func (s *scheduler) recordEviction(c *prefillClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill.allocations.Evict(c.id)
	s.grantPendingLocked()
}

// removePrefill removes a claim and releases its allocation, after the engine has
// freed the memory.
func (s *scheduler) removePrefill(c *prefillClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill.queue.Remove(c.item)
	s.prefill.allocations.Release(c.id)
	s.removeClaim(&c.claim)
	s.grantPendingLocked()
}

func (s *scheduler) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefill.rate * float64(time.Second))
}

// prefillTimeout returns the timeout of the engine call for a prefill.
func (s *scheduler) prefillTimeout(tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return prefillBaseTimeout + prefillTimeoutFactor*s.prefillTime(tokens)
}

// prefillWait is prefillWaitLocked for callers that do not hold s.mu.
func (s *scheduler) prefillWait(c *prefillClaim) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillWaitLocked(c)
}

// prefillWaitLocked estimates how long a queued claim waits for its grant. It
// assumes that the running prefill is half done. The caller must hold s.mu.
func (s *scheduler) prefillWaitLocked(c *prefillClaim) time.Duration {
	running := s.prefillTime(s.prefill.allocations.runningTokens())
	return running/2 + queueWait(s.prefill.queue, c.item, s.prefill.rate)
}
