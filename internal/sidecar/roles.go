package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
)

// roleCheckInterval is how often the engine's role is compared with the role of its pool.
const roleCheckInterval = time.Second

// roleLoop keeps the engine's role equal to the role of its pool and the last
// issued order in force.
func (s *Sidecar) roleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(roleCheckInterval):
		}
		if err := s.reconcileRole(ctx); err != nil && ctx.Err() == nil {
			s.opts.Logger.Warn("cannot bring the role or the last order into effect", "upstream", s.opts.Upstream, "err", err)
		}
	}
}

// reconcileRole orders a change of the role once the engine is idle. Until then it
// has new work refused, but only if the key-value service answers, because no
// order can be issued without it.
func (s *Sidecar) reconcileRole(ctx context.Context) error {
	b, _ := s.monitor.currentBoot()
	role, revision, ok := s.configuredRole()
	if b == nil || !ok {
		return nil
	}
	if b.info.Role == role {
		s.scheduler.setRoleChanging(false)
		return s.orders.Recheck(ctx)
	}
	if err := s.orders.CheckAvailable(ctx); err != nil {
		s.scheduler.setRoleChanging(false)
		return err
	}
	s.scheduler.setRoleChanging(true)
	if s.scheduler.busy() {
		return nil
	}
	id := fmt.Sprintf("%s-role-%s-%d", s.opts.Upstream, role, revision)
	if err := s.orders.Issue(ctx, engine.Order{ID: id, Kind: engine.OrderSetRole, Role: role}); err != nil {
		return err
	}
	s.monitor.probe(ctx)
	return nil
}

// configuredRole returns the role of the upstream's pool and the revision of the
// configuration that sets it.
func (s *Sidecar) configuredRole() (engine.Role, uint64, bool) {
	snap := s.opts.Config.Snapshot()
	upstream, ok := snap.Upstreams[s.opts.Upstream]
	if !ok {
		return "", 0, false
	}
	pool, ok := snap.Pools[upstream.Pool]
	if !ok {
		return "", 0, false
	}
	switch pool.Role {
	case config.RolePrefill:
		return engine.RolePrefill, snap.Revision, true
	case config.RoleDecode:
		return engine.RoleDecode, snap.Revision, true
	}
	return "", 0, false
}

// busy reports whether any claim is live.
func (s *scheduler) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live) > 0
}
