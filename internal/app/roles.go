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
	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// rolesPrefix holds the right to order engines and the plan in progress.
const rolesPrefix = "fescueslip/roles/"

// rolePlans is what the store says of changes of engines' roles.
type rolePlans struct {
	gateway *gateway.Gateway
	tables  *routing.Holder
	free    atomic.Bool
	// revision is that of the plan that was read last.
	revision uint64
}

func newRolePlans(g *gateway.Gateway, tables *routing.Holder) *rolePlans {
	return &rolePlans{gateway: g, tables: tables}
}

func (r *rolePlans) apply(v mirror.View, logger *log.Logger) {
	_, taken := v.Entries[roles.LeaderKey]
	r.free.Store(!taken)
	e, ok := v.Entries[roles.PlanKey]
	if !ok || e.Revision == r.revision {
		return
	}
	r.revision = e.Revision
	var plan roles.Plan
	if err := json.Unmarshal(e.Value, &plan); err != nil {
		logger.Warn("plan of a role change ignored", "store_revision", e.Revision, "err", err)
		return
	}
	until := time.Now().Add(roles.MaxRoleChangeTime(longestSwitch(r.tables.Table())))
	for _, engine := range plan.Engines {
		r.gateway.PauseForRoleChange(engine.ID, engine.Incarnation, until)
		logger.Info("engine changes its role", "upstream", engine.ID, "role", plan.Role, "store_revision", e.Revision)
	}
}

// switchTimes returns the services with model engines and the time of a change
// of role.
func switchTimes(t *routing.Table) map[string]time.Duration {
	out := make(map[string]time.Duration)
	if t == nil {
		return out
	}
	for name, s := range t.Services {
		if s.Engine != nil {
			out[name] = s.Engine.RoleChangeTime
		}
	}
	return out
}

// longestSwitch returns the longest time of a change of role.
func longestSwitch(t *routing.Table) time.Duration {
	longest := time.Duration(0)
	for _, d := range switchTimes(t) {
		longest = max(longest, d)
	}
	return longest
}

// manageRoles has this gateway compete for the right to order engines.
func manageRoles(p GatewayProcess, plans *rolePlans, tables *routing.Holder, f *fleet.Fleet, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	elector := leadership.New(leadership.Options{
		Store:      p.Adapter.Leadership,
		Key:        roles.LeaderKey,
		Name:       p.Settings.Instance,
		Lease:      p.Settings.Leadership.Lease,
		Clock:      p.Clock,
		LikelyFree: plans.free.Load,
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
		Services: func() map[string]time.Duration { return switchTimes(tables.Table()) },
		Demand:   g.Demand,
		Logger:   p.Logger,
	})
	lc.Append(fx.StartHook(func() {
		b.run("leadership", elector.Run)
		b.run("roles", manager.Run)
	}))
}
