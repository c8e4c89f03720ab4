package app

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/leadership"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// rolePlanReader applies the role changes that the store announces. While an
// engine changes its role, the gateway sends it no requests.
type rolePlanReader struct {
	gateway *gateway.Gateway
	tables  *routing.Holder
	// leaderKeyFree reports whether the store has no leader key.
	leaderKeyFree atomic.Bool
	// lastRevision is the store revision of the plan that was read last, lastPlan the
	// latest plan that was applied.
	lastRevision revision.Revision
	lastPlan     roles.Plan
}

func newRolePlanReader(g *gateway.Gateway, tables *routing.Holder) *rolePlanReader {
	return &rolePlanReader{gateway: g, tables: tables}
}

// apply notes whether the leader key is free and, when the plan in the view is new,
// pauses the engines that it names for the longest time that their role change can
// take.
func (r *rolePlanReader) apply(view mirror.View, logger *log.Logger) {
	_, held := view.Entries[roles.LeaderKey]
	r.leaderKeyFree.Store(!held)
	entry, ok := view.Entries[roles.PlanKey]
	if !ok || entry.Revision == r.lastRevision {
		return
	}
	r.lastRevision = entry.Revision
	var plan roles.Plan
	if err := json.Unmarshal(entry.Value, &plan); err != nil {
		logger.Warn("role change plan cannot be decoded; ignoring it", "store_revision", entry.Revision, "err", err)
		return
	}
	// A restored store may show a plan that was carried out long ago.
	if plan.Fence > 0 && !plan.IsAfter(r.lastPlan) {
		logger.Info("role change plan ignored: it was applied before, or a later one was", "fence", plan.Fence, "number", plan.Number, "store_revision", entry.Revision)
		return
	}
	r.lastPlan = plan
	until := time.Now().Add(roles.MaxRoleChangeTime(longestRoleChange(r.tables.Table())))
	for _, engine := range plan.Engines {
		r.gateway.PauseForRoleChange(engine.ID, engine.Incarnation, until)
		logger.Info("engine paused while it changes its role", "upstream", engine.ID, "role", plan.Role, "store_revision", entry.Revision)
	}
}

// roleChangeTimes returns the time that an engine needs to change its role, for
// each service with model engines.
func roleChangeTimes(table *routing.Table) map[string]time.Duration {
	times := make(map[string]time.Duration)
	if table == nil {
		return times
	}
	for name, s := range table.Services {
		if s.Engine != nil {
			times[name] = s.Engine.RoleChangeTime
		}
	}
	return times
}

// longestRoleChange returns the longest role change time of all services.
func longestRoleChange(table *routing.Table) time.Duration {
	longest := time.Duration(0)
	for _, d := range roleChangeTimes(table) {
		longest = max(longest, d)
	}
	return longest
}

// manageRoles runs the leader election among the gateways and the role manager, which
// changes the roles of engines while this gateway is the leader.
func manageRoles(p GatewayProcess, plans *rolePlanReader, tables *routing.Holder, f *fleet.Fleet, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	elector := leadership.New(leadership.Options{
		Store:      p.Adapter.Leadership,
		Key:        roles.LeaderKey,
		Name:       p.Settings.Instance,
		Lease:      p.Settings.Leadership.Lease,
		Clock:      p.Clock,
		Generation: p.Adapter.Generations.Current,
		LikelyFree: plans.leaderKeyFree.Load,
		Logger:     p.Logger,
	})
	manager := roles.New(roles.Options{
		Name:     p.Settings.Instance,
		Lease:    p.Settings.Leadership.Lease,
		Elector:  elector,
		Clock:    p.Clock,
		Engines:  p.Adapter.RoleClient,
		Plans:    p.Adapter.Presence,
		Fleet:    f,
		Services: func() map[string]time.Duration { return roleChangeTimes(tables.Table()) },
		Demand:   g.Demand,
		Speeds:   g.RoleSpeeds,
		Logger:   p.Logger,
	})
	lc.Append(fx.StartHook(func() {
		b.run("leadership", elector.Run)
		b.run("roles", manager.Run)
	}))
}
