package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
)

// roleInterval is how often the engine's role is compared with its pool's.
const roleInterval = time.Second

// orderLoop keeps the engine's role equal to its pool's role and keeps the last
// order in force.
func (s *Sidecar) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(roleInterval):
		}
		if err := s.keepRole(ctx); err != nil && ctx.Err() == nil {
			s.o.Logger.Warn("order not in effect", "upstream", s.o.Upstream, "err", err)
		}
	}
}

// keepRole changes the role once the engine is idle. Work is refused meanwhile,
// but only when an order can be issued at all.
func (s *Sidecar) keepRole(ctx context.Context) error {
	b, _ := s.monitor.get()
	want, revision, ok := s.wantedRole()
	if b == nil || !ok {
		return nil
	}
	if b.info.Role == want {
		s.desk.setChanging(false)
		return s.orders.Recheck(ctx)
	}
	if err := s.orders.Available(ctx); err != nil {
		s.desk.setChanging(false)
		return err
	}
	s.desk.setChanging(true)
	if s.desk.busy() {
		return nil
	}
	id := fmt.Sprintf("%s-role-%s-%d", s.o.Upstream, want, revision)
	if err := s.orders.Issue(ctx, engine.Order{ID: id, Kind: engine.OrderSetRole, Role: want}); err != nil {
		return err
	}
	s.monitor.probe(ctx)
	return nil
}

// wantedRole is the role of the upstream's pool.
func (s *Sidecar) wantedRole() (engine.Role, uint64, bool) {
	snap := s.o.Config.Snapshot()
	u, ok := snap.Upstreams[s.o.Upstream]
	if !ok {
		return "", 0, false
	}
	p, ok := snap.Pools[u.Pool]
	if !ok {
		return "", 0, false
	}
	switch p.Role {
	case config.RolePrefill:
		return engine.RolePrefill, snap.Revision, true
	case config.RoleDecode:
		return engine.RoleDecode, snap.Revision, true
	}
	return "", 0, false
}

// busy reports whether any request is left.
func (d *desk) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.live) > 0
}
