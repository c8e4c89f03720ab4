// Package roles keeps the number of prefill and decode engines in proportion to
// the work: one gateway at a time orders engines to change their role.
package roles

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/leadership"
	"github.com/fescueslip/fescueslip/internal/policy/rebalance"
)

// Order tells an engine to change its role.
type Order struct {
	Target *fleet.Instance
	Role   fleet.Role
	Holder string
	Fence  uint64
	// Expected is the number of orders that the engine must have accepted before;
	// an order that is carried out late then meets another number and does nothing.
	ExpectedOrders uint64
}

// Answer is what an engine said to an order.
type Answer int

// The answers to orders.
const (
	// Accepted orders are being carried out, or hold already.
	Accepted Answer = iota
	// Refused orders will not be carried out.
	Refused
)

// EngineStatus is what an engine says of itself.
type EngineStatus struct {
	Role           fleet.Role
	Busy           bool
	AcceptedOrders uint64
}

// EngineClient are the calls that the manager makes.
type EngineClient interface {
	Status(ctx context.Context, to *fleet.Instance) (EngineStatus, error)
	Order(ctx context.Context, o Order) (Answer, error)
}

// PlanStore keep the orders under way where all gateways see them.
type PlanStore interface {
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// Plan names the engines of orders under way. Gateways send no new work to them
// until they have the role or the plan is past its time.
type Plan struct {
	Engines []PlannedEngine `json:"engines"`
	Role    string          `json:"role"`
}

// PlannedEngine is one engine of a plan.
type PlannedEngine struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// PlanKey is the key of the plan in the store.
const PlanKey = "fescueslip/roles/plan"

// LeaderKey is the key of the right to give orders.
const LeaderKey = "fescueslip/roles/leader"

// Demand is the work of the requests of one service, as far as seen.
type Demand struct {
	// Requests is the number that the estimate rests on.
	Requests int
	// PrefillSeconds and DecodeSeconds are the engine time of a mean request.
	PrefillSeconds, DecodeSeconds float64
}

const (
	// interval is how often the proportion is looked at.
	interval = 500 * time.Millisecond
	// leastRequests is the number of requests below which the mix is unknown.
	leastRequests = 6
	// orderTimeout bounds one call to an engine.
	orderTimeout = 800 * time.Millisecond
	// switchSlack is how much longer than announced a change of role may take:
	// the engine first ends its running requests.
	switchSlack = 10 * time.Second
	// unansweredPause is how long nothing is ordered after an order without an
	// answer; it may be carried out that much later.
	unansweredPause = 13 * time.Second
)

const (
	// hold is how long the reason for a change must persist, and betweenChanges
	// the least time between two: an engine does no work for some seconds.
	hold           = 2500 * time.Millisecond
	betweenChanges = 9 * time.Second
	// leastGain is the relative gain that makes a change worth its cost. In a large
	// pool one engine changes less than that, so its share counts there.
	leastGain   = 0.05
	gainOfShare = 0.5
	// batchShare bounds the engines that change at once, as a share of all.
	batchShare = 1.0 / 6
)

func balanceOptions(engines int) rebalance.Options {
	gain := min(leastGain, gainOfShare/float64(max(1, engines)))
	return rebalance.Options{PressureThreshold: 0, MinGain: gain, HoldTime: hold, MinInterval: betweenChanges}
}

// batch returns how many engines to order: those that are missing to the best
// proportion, but never so many that the service suffers.
func batch(d Demand, prefill, decode int) int {
	all := float64(prefill + decode)
	best := all * d.PrefillSeconds / (d.PrefillSeconds + d.DecodeSeconds)
	missing := int(math.Abs(best - float64(prefill)))
	return max(1, min(missing, int(all*batchShare)))
}

// Options configure a manager.
type Options struct {
	Name    string
	Lease   time.Duration
	Elector *leadership.Elector
	// Clock is the clock of the elector.
	Clock   leadership.Clock
	Engines EngineClient
	Plans   PlanStore
	Fleet   *fleet.Fleet
	// Services returns the services with model engines, and how long a change of
	// role takes there.
	Services func() map[string]time.Duration
	Demand   func(service string) Demand
	Logger   *log.Logger
}

// Manager gives orders while this process holds the right to.
type Manager struct {
	o         Options
	balancers map[string]*rebalance.Balancer
	// quietUntil is when the next order may be given, by service.
	quietUntil map[string]time.Duration
}

// New returns a manager.
func New(o Options) *Manager {
	if o.Clock == nil {
		o.Clock = leadership.Uptime
	}
	return &Manager{o: o, balancers: make(map[string]*rebalance.Balancer), quietUntil: make(map[string]time.Duration)}
}

// Run gives orders until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			m.round(ctx)
		}
	}
}

func (m *Manager) round(ctx context.Context) {
	term, ok := m.o.Elector.Term()
	now := m.o.Clock()
	// The holder before may have given an order just before its lease ended.
	if !ok || now-term.Since < m.o.Lease {
		return
	}
	for service, switchTime := range m.o.Services() {
		if err := m.balance(ctx, term, service, switchTime, now); err != nil {
			m.o.Logger.Warn("engine not ordered", "service", service, "fence", term.Fence, "err", err)
		}
	}
}

func (m *Manager) balance(ctx context.Context, term leadership.Term, service string, switchTime, now time.Duration) error {
	if now < m.quietUntil[service] {
		return nil
	}
	d := m.o.Demand(service)
	if d.Requests < leastRequests {
		return nil
	}
	prefill, decode := m.pools(service)
	b, ok := m.balancers[service]
	if !ok {
		b = rebalance.New(balanceOptions(len(prefill) + len(decode)))
		m.balancers[service] = b
	}
	move, ok := b.NextMove(now,
		rebalance.Pool{Servers: len(prefill), MinServers: 1, Pressure: pressure(d.PrefillSeconds, len(prefill))},
		rebalance.Pool{Servers: len(decode), MinServers: 1, Pressure: pressure(d.DecodeSeconds, len(decode))})
	if !ok {
		return nil
	}
	from, role := prefill, fleet.RoleDecode
	if move.From == rebalance.Decode {
		from, role = decode, fleet.RolePrefill
	}
	m.quietUntil[service] = now + switchTime + switchSlack/2
	chosen := leastLoaded(from, min(batch(d, len(prefill), len(decode)), len(from)-1))
	if err := m.publish(ctx, chosen, role, MaxRoleChangeTime(switchTime)); err != nil {
		return errors.Wrap(err, "publish the plan")
	}
	if err := m.o.Elector.Confirm(ctx, term); err != nil {
		return err
	}
	for _, u := range chosen {
		if err := m.order(ctx, term, service, u, role, now); err != nil {
			return err
		}
	}
	return nil
}

// noServers stands for the pressure on a role without any engine.
const noServers = 1e6

func pressure(work float64, servers int) float64 {
	if servers == 0 {
		return noServers
	}
	return work / float64(servers)
}

func (m *Manager) pools(service string) (prefill, decode []*fleet.Upstream) {
	for _, u := range m.o.Fleet.Snapshot().Service(service) {
		if !u.Usable() {
			continue
		}
		switch u.Instance().Role {
		case fleet.RolePrefill:
			prefill = append(prefill, u)
		case fleet.RoleDecode:
			decode = append(decode, u)
		}
	}
	return prefill, decode
}

// leastLoaded returns the n upstreams with the least work of this gateway.
func leastLoaded(list []*fleet.Upstream, n int) []*fleet.Upstream {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b *fleet.Upstream) int {
		return cmp.Compare(a.InFlight.Load()+a.PrefillTokens.Load(), b.InFlight.Load()+b.PrefillTokens.Load())
	})
	return sorted[:n]
}

func (m *Manager) order(ctx context.Context, term leadership.Term, service string, u *fleet.Upstream, role fleet.Role, now time.Duration) error {
	to := u.Instance()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := m.o.Engines.Status(callCtx, to)
	if err != nil {
		return errors.Wrap(err, "read the engine's state")
	}
	if report.Busy || report.Role == role {
		return errors.Errorf("engine %s is busy or has the role already", to.ID)
	}
	if current, ok := m.o.Elector.Term(); !ok || current != term {
		return errors.New("the right ended before the order")
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	defer cancelOrder()
	answer, err := m.o.Engines.Order(orderCtx, Order{Target: to, Role: role, Holder: m.o.Name, Fence: term.Fence, ExpectedOrders: report.AcceptedOrders})
	m.o.Logger.Info("engine ordered to change its role", "service", service, "upstream", to.ID, "role", role.String(),
		"fence", term.Fence, "expected_orders", report.AcceptedOrders, "accepted", err == nil && answer == Accepted, "err", err)
	if err != nil {
		m.quietUntil[service] = now + unansweredPause
	}
	return err
}

// publish writes the plan under a lease: it vanishes when its time is over.
func (m *Manager) publish(ctx context.Context, engines []*fleet.Upstream, role fleet.Role, life time.Duration) error {
	plan := Plan{Role: role.String()}
	for _, u := range engines {
		plan.Engines = append(plan.Engines, PlannedEngine{ID: u.Instance().ID, Incarnation: u.Instance().Incarnation})
	}
	value, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lease, err := m.o.Plans.Grant(ctx, life)
	if err != nil {
		return err
	}
	return m.o.Plans.Put(ctx, PlanKey, value, lease)
}

// MaxRoleChangeTime returns how long a plan keeps new work from its engine at most.
func MaxRoleChangeTime(switchTime time.Duration) time.Duration { return switchTime + switchSlack }
