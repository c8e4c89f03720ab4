package sidecar

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// scheduler decides what the engine works on. It guards the aggregates of both
// roles by one lock; no call to the engine is made under it.
type scheduler struct {
	config    config.Source
	startedAt time.Time

	mu               sync.Mutex
	engineUp         bool
	leaving          bool
	roleChanging     bool // the role is about to change
	role             engine.Role
	info             engine.Info
	suspects         *Suspects
	live             map[string]*claim // by engine request id
	orphans          map[string]*orphan
	recentlyEnded    map[string]time.Duration // engine request ids whose claim ended lately
	orphansCancelled int                      // orphans cancelled

	decode  decodeScheduler
	prefill prefillScheduler
}

// orphan is memory that the engine holds for a request without a stream.
type orphan struct {
	since       time.Duration
	reservation *Reservation
}

func newScheduler(src config.Source) *scheduler {
	return &scheduler{
		config:        src,
		startedAt:     time.Now(),
		suspects:      NewSuspects(),
		live:          make(map[string]*claim),
		orphans:       make(map[string]*orphan),
		recentlyEnded: make(map[string]time.Duration),
		decode:        newDecodeScheduler(),
		prefill:       newPrefillScheduler(),
	}
}

func (s *scheduler) now() time.Duration { return time.Since(s.startedAt) }

// checkAdmission returns a refusal that holds before any queueing. It is called with
// the lock held.
func (s *scheduler) checkAdmission(c *claim, role engine.Role) *refusal {
	switch {
	case s.leaving:
		return refusalLeaving()
	case !s.engineUp:
		return refusalEngineDown()
	case s.roleChanging:
		return refusalRoleChanging()
	case s.role != role:
		return &refusal{kind: wire.RefusalKind_REFUSAL_WRONG_ROLE, detail: "the engine has the role " + string(s.role)}
	case s.live[c.id] != nil:
		return &refusal{kind: wire.RefusalKind_REFUSAL_UNSPECIFIED, detail: "this attempt has a stream already; use a new attempt number"}
	case s.suspects.Refuses(s.now(), c.fingerprint, c.suspect):
		return refusalSuspect()
	}
	return nil
}

// enqueue makes a claim wait for its turn.
func (s *scheduler) enqueue(queue *fairqueue.Queue, c *claim, source string, usage float64, deadline time.Duration) {
	c.item = &fairqueue.Item{
		Caller:   c.caller,
		Source:   source,
		Share:    c.share,
		Cost:     c.cost,
		Usage:    usage,
		Deadline: deadline,
		MaxYield: s.config.Snapshot().Policy.MaxYield,
	}
	if c.suspect {
		// An aged item that does not fit holds up the others, but what a suspect
		// waits for is another suspect and not room.
		c.item.MaxYield = 0
	}
	s.live[c.id] = c
}

// firstAttempt is the number of a request's first attempt.
const firstAttempt = 1

// checkWait refuses a queued claim whose wait would exceed the queue limit, and
// otherwise sets the time after which it is refused if the estimate was wrong.
// A request that continues was accepted before and is never refused for its wait.
func (s *scheduler) checkWait(queue *fairqueue.Queue, c *claim, waitedMs uint64, wait time.Duration) *refusal {
	if c.attempt > firstAttempt {
		return nil
	}
	limit := s.config.Snapshot().Policy.QueueLimit
	c.maxWait = max(1, limit-time.Duration(waitedMs)*time.Millisecond)
	if wait <= limit {
		return nil
	}
	queue.Remove(c.item)
	s.removeClaim(c)
	return refusalOverloaded(wait)
}

// callerShare prefers this process's configuration, unless the sender's is newer.
func (s *scheduler) callerShare(caller string, sentShare float64, revision uint64) float64 {
	snap := s.config.Snapshot()
	if known, ok := snap.Callers[caller]; ok && snap.Revision >= revision {
		return known.Share
	}
	return positiveShare(sentShare)
}

// grantDeadline returns the time of grant at which the first-token target can still
// be met, lead before the first token.
func (s *scheduler) grantDeadline(budgetMS, waitedMS uint64, leadTime time.Duration) time.Duration {
	remaining := time.Duration(budgetMS) * time.Millisecond
	if budgetMS == 0 {
		waited := time.Duration(waitedMS) * time.Millisecond
		remaining = min(0, s.config.Snapshot().Policy.TTFTTarget-waited)
	}
	return s.now() + remaining - leadTime
}

// removeClaim removes a claim. It is called with the lock held.
func (s *scheduler) removeClaim(c *claim) {
	delete(s.live, c.id)
	if id := c.work.lastRequestID(); id != "" {
		s.recentlyEnded[id] = s.now()
	}
	s.suspects.RemoveInFlight(c.id)
	s.suspects.ClearRunning(c.id)
}

// beginExecution records that the engine is about to work on a claim under an engine
// request id. It refuses when the claim's fingerprint was meanwhile seen at a crash.
func (s *scheduler) beginExecution(c *claim, id string) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.recentlyEnded, id)
	if s.suspects.Refuses(s.now(), c.fingerprint, c.suspect) {
		return refusalSuspect()
	}
	s.suspects.AddInFlight(c.id, c.fingerprint)
	return nil
}

// endExecution records that the engine no longer works on a claim under this id.
func (s *scheduler) endExecution(c *claim, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RemoveInFlight(c.id)
	s.recentlyEnded[id] = s.now()
}

// recordCrash remembers what was in flight when the engine died.
func (s *scheduler) recordCrash() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseOrphans()
	return s.suspects.RecordCrash(s.now())
}

// setEngineInfo takes over the engine's role and shape.
func (s *scheduler) setEngineInfo(info engine.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info, s.role = info, info.Role
	capacity := Capacity{Slots: info.Slots, ChunkTokens: info.ChunkTokens}
	if info.ChunkTokens > 0 {
		capacity.Chunks = info.CapacityTokens / info.ChunkTokens
	}
	s.decode.reservations.SetCapacity(capacity)
	s.prefill.allocations.SetCapacity(capacity)
	s.prefill.setReportedRate(info.PrefillTokensPerS)
}

// setEngineUp tells whether the engine takes work. Work that has not run is refused
// when it stops doing so, so that entries can turn elsewhere.
func (s *scheduler) setEngineUp(up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineUp = up
	if up {
		s.grantPendingLocked()
		return
	}
	s.refuseQueued(*refusalEngineDown())
	s.refuseUnstarted()
}

// leave refuses what waits and all new work.
func (s *scheduler) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.refuseQueued(*refusalLeaving())
}

// setRoleChanging refuses work while the engine's role is about to change, so that
// the engine becomes idle.
func (s *scheduler) setRoleChanging(changing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changing && !s.roleChanging {
		s.refuseQueued(*refusalRoleChanging())
	}
	s.roleChanging = changing
}

func (s *scheduler) refuseQueued(r refusal) {
	refuseAll(s.decode.queue, r)
	refuseAll(s.prefill.queue, r)
}

func refuseAll(queue *fairqueue.Queue, r refusal) {
	var items []*fairqueue.Item
	queue.Each(func(item *fairqueue.Item) { items = append(items, item) })
	for _, item := range items {
		queue.Remove(item)
		item.Value.(queuedClaim).base().refuse(r)
	}
}

// queuedClaim is what a queue item refers to.
type queuedClaim interface{ base() *claim }

func (c *claim) base() *claim { return c }

// grantPendingLocked grants what fits. It is called with the lock held, whenever something
// was freed and regularly, because forecasts change with time.
func (s *scheduler) grantPendingLocked() {
	s.promoteReservations()
	if !s.engineUp {
		return
	}
	s.grantDecodes()
	s.grantPrefills()
}

// grantPending is pump for the timer.
func (s *scheduler) grantPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantPendingLocked()
}
