package gateway

import (
	"context"
	"time"
)

// Run places waiting requests until the context ends.
func (g *Gateway) Run(ctx context.Context) error { return g.scheduler.run(ctx) }

// OnLoadChange registers what is called, without delay, when the load of this
// gateway has changed in a way that the others should know.
func (g *Gateway) OnLoadChange(announce func()) { g.announcer = announce }

func (g *Gateway) announce() {
	if g.announcer != nil {
		g.announcer()
	}
}

// PeerState returns what the other gateways should know of this one: all of it,
// or only what changed since the last call.
func (g *Gateway) PeerState(onlyChanged bool, now time.Time) PeerState {
	onTime, late, head := g.scheduler.counts(now)
	return PeerState{
		Partial:       onlyChanged,
		WaitingOnTime: onTime,
		WaitingLate:   late,
		QueueHead:     head,
		Engines:       g.scheduler.load.state(g.Fleet.Snapshot(), onlyChanged, now),
		CrashNotices:  g.crashes.list.DueNotices(now),
	}
}

// ReceivePeerState takes what another gateway told of its load.
func (g *Gateway) ReceivePeerState(peer string, s PeerState, now time.Time) {
	g.scheduler.load.hear(peer, s, now)
	g.crashes.list.AddNotices(s.CrashNotices, now)
	for _, e := range s.Engines {
		if e.RoleChangeRemaining > 0 {
			g.restIfAwake(e, now)
		}
	}
	g.scheduler.kick()
}

// restIfAwake takes over from another gateway that an engine changes its role,
// which the store may not have told this one. What is known already stays.
func (g *Gateway) restIfAwake(e EngineLoad, now time.Time) {
	u := g.Fleet.Snapshot().Find(e.ID, e.Incarnation)
	if u != nil && u.PauseRemaining(now) == 0 {
		u.PauseRole(u.Instance().Role, now.Add(e.RoleChangeRemaining))
	}
}
