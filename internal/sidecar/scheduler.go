package sidecar

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// scheduler decides which requests the engine works on. One mutex guards the
// aggregates of both roles; the mutex is never held during a call to the engine.
type scheduler struct {
	config    config.Source
	startedAt time.Time // origin of all times of the aggregates

	mu               sync.Mutex
	engineUp         bool
	leaving          bool
	roleChanging     bool // an order to change the role is about to be issued
	role             engine.Role
	info             engine.Info
	suspects         *Suspects
	live             map[string]*claim // by claim id
	orphans          map[string]*orphan
	recentlyEnded    map[string]time.Duration // time of the end, by engine request id
	orphansCancelled int

	decode  decodeScheduler
	prefill prefillScheduler
}

// orphan is a request that holds engine memory although no stream belongs to it.
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

// checkAdmission returns a refusal if the claim must not even be queued, and
// nil otherwise. The caller must hold s.mu.
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

// enqueue creates the claim's queue item and registers the claim as live. The
// caller sets the item's value and pushes it.
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
		// An item past its MaxYield that does not fit blocks the other items
		// for a while. A suspect must not, because it waits for another suspect
		// to end and not for free capacity.
		c.item.MaxYield = 0
	}
	s.live[c.id] = c
}

// firstAttempt is the number that entries give to a request's first attempt.
const firstAttempt = 1

// checkWait removes and refuses a queued claim whose estimated wait exceeds
// Policy.QueueLimit. Otherwise it sets the time after which the claim is refused if
// the estimate was too low. A later attempt belongs to a request that was
// already accepted, so it is never refused because of its wait.
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

// callerShare returns the caller's share from the configuration of this process.
// It uses the share that the entry sent if the caller is unknown here or if the
// entry has a newer configuration.
func (s *scheduler) callerShare(caller string, sentShare float64, revision uint64) float64 {
	snap := s.config.Snapshot()
	if known, ok := snap.Callers[caller]; ok && snap.Revision >= revision {
		return known.Share
	}
	return positiveShare(sentShare)
}

// grantDeadline returns the latest time for a grant that still meets the
// first-token target, if the first token takes leadTime after the grant.
func (s *scheduler) grantDeadline(budgetMS, waitedMS uint64, leadTime time.Duration) time.Duration {
	remaining := time.Duration(budgetMS) * time.Millisecond
	if budgetMS == 0 {
		waited := time.Duration(waitedMS) * time.Millisecond
		remaining = min(0, s.config.Snapshot().Policy.TTFTTarget-waited)
	}
	return s.now() + remaining - leadTime
}

// removeClaim removes a claim from the live ones and from the suspects. It
// remembers the claim's engine request id, so that a sweep cancels at once what
// the engine still lists under it. The caller must hold s.mu.
func (s *scheduler) removeClaim(c *claim) {
	delete(s.live, c.id)
	if id := c.work.lastRequestID(); id != "" {
		s.recentlyEnded[id] = s.now()
	}
	s.suspects.RemoveInFlight(c.id)
	s.suspects.ClearRunning(c.id)
}

// beginExecution records that the engine is about to work on a claim under the
// given engine request id. It returns a refusal if the claim's fingerprint was in
// flight at a crash since the claim was admitted.
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

// endExecution records that the engine no longer works on a claim under the given
// engine request id.
func (s *scheduler) endExecution(c *claim, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RemoveInFlight(c.id)
	s.recentlyEnded[id] = s.now()
}

// recordCrash drops the orphans, which died with the engine, and records the
// requests that were in flight. It returns their number.
func (s *scheduler) recordCrash() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseOrphans()
	return s.suspects.RecordCrash(s.now())
}

// setEngineInfo stores the role, the capacity and the prefill rate that the engine
// reports.
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

// setEngineUp sets whether the engine accepts work. When the engine goes down, all
// claims that have not started are refused, so that entries can choose another
// upstream.
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

// leave refuses all queued claims and, from now on, all new ones.
func (s *scheduler) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.refuseQueued(*refusalLeaving())
}

// setRoleChanging sets whether the engine's role is about to change. While it is,
// all claims without a grant are refused, so that the engine becomes idle.
func (s *scheduler) setRoleChanging(changing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changing && !s.roleChanging {
		s.refuseQueued(*refusalRoleChanging())
	}
	s.roleChanging = changing
}

// refuseQueued removes and refuses all queued claims. The caller must hold s.mu.
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

// queuedClaim is the type of the value of every queue item.
type queuedClaim interface{ base() *claim }

func (c *claim) base() *claim { return c }

// grantPendingLocked grants the queued claims that fit. It is called whenever
// capacity was freed, and periodically because forecasts change with time. The
// caller must hold s.mu.
func (s *scheduler) grantPendingLocked() {
	s.promoteReservations()
	if !s.engineUp {
		return
	}
	s.grantDecodes()
	s.grantPrefills()
}

// grantPending is grantPendingLocked for callers that do not hold s.mu.
func (s *scheduler) grantPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantPendingLocked()
}
