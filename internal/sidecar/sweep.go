package sidecar

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
)

const (
	// sweepInterval and orphanTimeout are short enough to free the memory of an
	// orphaned request within 3 s.
	sweepInterval = 500 * time.Millisecond
	orphanTimeout = 2 * time.Second
	// endedRetention is how long the engine request ids of ended claims are
	// remembered. A request that the engine still lists under such an id is
	// cancelled without waiting for orphanTimeout.
	endedRetention = 10 * time.Second
)

// sweeper finds and cancels the requests that the engine holds without a live
// stream: those of an earlier run of the sidecar, and those whose call reached the
// engine after the cancel.
type sweeper struct {
	engine    engine.Client
	scheduler *scheduler
}

func newSweeper(client engine.Client, s *scheduler) *sweeper {
	return &sweeper{engine: client, scheduler: s}
}

// sweepLoop sweeps when the engine has come up and periodically. A successful sweep
// starts admission.
func (s *Sidecar) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.sweepRequests:
		case <-time.After(sweepInterval):
		}
		b, _ := s.monitor.currentBoot()
		if b == nil {
			continue
		}
		if s.sweeper.sweep(ctx, b) {
			s.scheduler.openAdmission(s.monitor)
		}
	}
}

// sweep compares the engine's list of requests with the live claims and cancels the
// orphans. It reports whether the engine returned its list.
func (s *sweeper) sweep(ctx context.Context, b *boot) bool {
	requestedAt := s.scheduler.now()
	list, err := s.engine.Requests(ctx)
	if err != nil || b.lost() {
		return false
	}
	for _, id := range s.scheduler.findOrphans(requestedAt, list) {
		if cancelRequest(ctx, b, s.engine, id) {
			s.scheduler.orphanCancelled(id)
		}
	}
	return true
}

// openAdmission starts admission if the engine is still up.
func (s *scheduler) openAdmission(m *monitor) {
	if b, _ := m.currentBoot(); b != nil && !b.lost() {
		s.mu.Lock()
		up := s.engineUp
		s.mu.Unlock()
		if !up {
			s.setEngineUp(true)
		}
	}
}

// findOrphans accounts for the requests that the engine holds without a stream and
// returns the ids of those to cancel now. now must be a time before the list was
// made.
func (s *scheduler) findOrphans(now time.Duration, list []engine.RequestInfo) (cancel []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireEnded(now)
	phases := make(map[string]engine.Phase, len(list))
	for _, r := range list {
		phases[r.RequestID] = r.Phase
		if s.ownedByLiveClaim(r.RequestID) {
			continue
		}
		o, known := s.orphans[r.RequestID]
		if !known {
			o = s.addOrphan(now, r)
		}
		if _, ended := s.recentlyEnded[r.RequestID]; ended || now-o.since >= orphanTimeout {
			cancel = append(cancel, r.RequestID)
		}
	}
	for id := range s.orphans {
		if phases[id] == "" {
			s.releaseOrphan(id)
		}
	}
	for _, c := range s.live {
		c.work.checkListed(phases[c.work.lastRequestID()])
	}
	return cancel
}

// addOrphan accounts for an orphan's memory until the engine has freed it.
func (s *scheduler) addOrphan(now time.Duration, r engine.RequestInfo) *orphan {
	o := &orphan{since: now}
	if s.role == engine.RolePrefill {
		s.prefill.allocations.AddOrphan(r.RequestID, r.HeldTokens)
	} else {
		o.reservation = s.decode.reservations.AddOrphan(r.RequestID, r.HeldTokens)
	}
	s.orphans[r.RequestID] = o
	return o
}

// ownedByLiveClaim reports whether a live claim accounts for an engine request id.
// A claim that is being released counts, because it frees its memory itself.
func (s *scheduler) ownedByLiveClaim(id string) bool {
	for _, c := range s.live {
		if c.work.mayHold(id) {
			return true
		}
	}
	return false
}

// orphanCancelled removes a cancelled orphan from the accounting.
func (s *scheduler) orphanCancelled(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphansCancelled++
	s.releaseOrphan(id)
	s.grantPendingLocked()
}

func (s *scheduler) releaseOrphan(id string) {
	if o, ok := s.orphans[id]; ok {
		delete(s.orphans, id)
		s.decode.reservations.Release(s.now(), o.reservation)
		s.prefill.allocations.Release(id)
	}
}

func (s *scheduler) releaseOrphans() {
	for id := range s.orphans {
		s.releaseOrphan(id)
	}
}

func (s *scheduler) expireEnded(now time.Duration) {
	for id, at := range s.recentlyEnded {
		if now-at > endedRetention {
			delete(s.recentlyEnded, id)
		}
	}
}
