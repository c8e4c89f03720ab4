package gateway

import (
	"context"
	"time"
)

// Run places waiting model requests until the context ends.
func (g *Gateway) Run(ctx context.Context) error { return g.scheduler.run(ctx) }

// OnLoadChange sets a function that is called at once when the load of this gateway
// changes in a way that the other gateways should know. An urgent change should not wait for
// others to share a message.
func (g *Gateway) OnLoadChange(announce func(urgent bool)) { g.onLoadChange = announce }

// announce calls the function set by OnLoadChange.
func (g *Gateway) announce() { g.announceChange(false) }

func (g *Gateway) announceChange(urgent bool) {
	if g.onLoadChange != nil {
		g.onLoadChange(urgent)
	}
}

// PeerState returns the state to send to the other gateways. With onlyChanged it
// contains only the engines whose load has changed since the last call.
func (g *Gateway) PeerState(onlyChanged bool, now time.Time) PeerState {
	onTime, late, classes, head := g.scheduler.queueSummary(now)
	state := PeerState{
		Partial:       onlyChanged,
		WaitingOnTime: onTime,
		WaitingLate:   late,
		Waiting:       classes,
		PlainLoads:    g.plainLoads(),
		QueueHead:     head,
		Engines:       g.scheduler.load.localState(g.Fleet.Snapshot(), onlyChanged, now),
		CrashNotices:  g.crashDetector.watchlist.DueNotices(now),
		Limits:        g.limitReports(now),
		Leaving:       g.leavingReports(),
		Origins:       g.origins.report(onlyChanged, now),
		StoreContact:  g.StoreContact(now),
		Quotas:        g.quotas.report(onlyChanged),
	}
	if !onlyChanged {
		state.Services = g.serviceReports()
		state.Deviations = g.scheduler.load.ownDeviations(g.Fleet.Snapshot())
		state.Fairness = g.fairnessReport(now)
	}
	return state
}

// serviceReports returns what this gateway measured of the model services. It holds
// no lock of the load table while it takes that of the demand estimator.
func (g *Gateway) serviceReports() []ServiceReport {
	reports := g.scheduler.load.ownSpeeds()
	for i := range reports {
		reports[i].Work = g.demandEstimator.ownWork(reports[i].Service)
	}
	return reports
}

// ReceivePeerState applies the state that another gateway sent.
func (g *Gateway) ReceivePeerState(peer string, s PeerState, now time.Time) {
	s.Services = g.knownModelServices(s.Services)
	if invalid := g.scheduler.load.applyPeerState(peer, s, now); len(invalid) > 0 {
		g.Logger.Warn("speed report of a gateway ignored, because it is not a number", "peer", peer, "services", invalid)
	}
	if !s.Partial {
		if invalid := g.scheduler.load.applyDeviations(peer, g.Fleet.Snapshot(), s.Deviations); invalid > 0 {
			g.Logger.Warn("deviations of engines ignored, because they are out of range", "peer", peer, "engines", invalid)
		}
	}
	g.demandEstimator.applyReports(peer, s.Services)
	g.crashDetector.watchlist.AddNotices(s.CrashNotices, now)
	g.applyLimitReports(s.Limits)
	g.applyLeavingReports(s.Leaving)
	g.origins.apply(s.Origins)
	g.storeContacts.record(peer, s.StoreContact, now)
	g.quotas.receive(peer, s.Quotas)
	g.receiveFairness(peer, s.Fairness, now)
	for _, e := range s.Engines {
		if e.RoleChangeRemaining > 0 {
			g.applyRoleChange(e, now)
		}
	}
	g.scheduler.wakeUp()
}

// applyRoleChange pauses an engine whose role change another gateway reported, since
// this gateway may not have read it from the store. A pause that is already known is
// kept.
func (g *Gateway) applyRoleChange(e EngineLoad, now time.Time) {
	u := g.Fleet.Snapshot().Find(e.ID, e.Incarnation)
	if u != nil && u.PauseRemaining(now) == 0 {
		u.PauseRole(u.Instance().Role, now.Add(e.RoleChangeRemaining))
	}
}

// knownModelServices returns the reports on model services of the routing table. A
// peer may report any name, and each one would be stored.
func (g *Gateway) knownModelServices(reports []ServiceReport) []ServiceReport {
	table := g.Tables.Table()
	if table == nil {
		return nil
	}
	var known []ServiceReport
	for _, r := range reports {
		if s := table.Services[r.Service]; s != nil && s.Engine != nil {
			known = append(known, r)
		}
	}
	return known
}
