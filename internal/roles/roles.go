// Package roles keeps the numbers of prefill and decode engines in proportion
// to the work. One gateway at a time, elected by package leadership, orders
// engines to change their role.
package roles

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
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
	// Role is the role that the engine must take.
	Role fleet.Role
	// Holder is the name of the process that gives the order.
	Holder string
	// Fence is the fencing token of that process.
	Fence uint64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before this one. An order that arrives late finds a different number and
	// has no effect.
	ExpectedOrders uint64
}

// Answer is the response of an engine to an order.
type Answer int

// The responses to orders.
const (
	// Accepted means that the engine is carrying out the order, or already has
	// the role.
	Accepted Answer = iota
	// Refused means that the engine will not carry out the order.
	Refused
)

// EngineStatus is the state that an engine reports.
type EngineStatus struct {
	Role fleet.Role
	// Busy reports that the engine is carrying out an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the engine started.
	AcceptedOrders uint64
	// Leaving reports that the engine says that it is leaving.
	Leaving bool
}

// EngineClient calls engines.
type EngineClient interface {
	// Status returns the current state of an engine.
	Status(ctx context.Context, target *fleet.Instance) (EngineStatus, error)
	// Order sends an order to its target.
	Order(ctx context.Context, o Order) (Answer, error)
}

// PlanStore stores the plan where all gateways can read it.
type PlanStore interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Put writes the key under the lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// Plan lists the engines that are being ordered to change their role. Gateways
// send no new work to them until they have the role or the plan expires.
type Plan struct {
	Engines []PlannedEngine `json:"engines"`
	Role    string          `json:"role"`
	// Fence is the fencing token of the leader, and Number counts its plans. They are 0 in
	// plans of an earlier release.
	Fence  uint64 `json:"fence,omitempty"`
	Number uint64 `json:"number,omitempty"`
}

// IsAfter reports whether p was made after o. Plans of an earlier release do not tell.
func (p Plan) IsAfter(o Plan) bool {
	return cmp.Or(cmp.Compare(p.Fence, o.Fence), cmp.Compare(p.Number, o.Number)) > 0
}

// PlannedEngine identifies one engine of a plan.
type PlannedEngine struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// PlanKey is the key of the plan in the store.
const PlanKey = "fescueslip/roles/plan"

// LeaderKey is the key for which gateways compete; its holder may give orders.
const LeaderKey = "fescueslip/roles/leader"

// Demand is the observed work of the requests of one service.
type Demand struct {
	// Requests is the number of requests that the estimate is based on.
	Requests int
	// PrefillSeconds and DecodeSeconds are the engine times of an average
	// request.
	PrefillSeconds, DecodeSeconds float64
}

const (
	// balanceInterval is how often the manager checks whether the numbers of
	// prefill and decode engines fit the work.
	balanceInterval = 500 * time.Millisecond
	// minRequests is the number of requests below which the demand is not
	// reliable enough to act on.
	minRequests = 6
	// callTimeout limits one call to an engine or to the store.
	callTimeout = 800 * time.Millisecond
	// roleChangeMargin is the time by which a role change may exceed the
	// service's RoleChangeTime, because the engine first completes its running
	// requests.
	roleChangeMargin = 10 * time.Second
	// unansweredOrderPause is how long no further order is given after an order
	// without an answer, because the engine may carry it out up to that much
	// later.
	unansweredOrderPause = 13 * time.Second
)

const (
	// moveHoldTime is how long the reason for a role change must persist, and
	// minMoveInterval is the least time between two changes. Both limit the
	// changes, because an engine does no work for some seconds during each.
	moveHoldTime    = 2500 * time.Millisecond
	minMoveInterval = 9 * time.Second
	// minGain is the least relative gain that justifies a role change. In a
	// large pool, one engine gains less than that; there the least gain is
	// gainOfOneEngine divided by the number of engines.
	minGain         = 0.05
	gainOfOneEngine = 0.5
	// maxBatchShare limits the engines that change at once, as a fraction of
	// all engines.
	maxBatchShare = 1.0 / 4
)

// balanceOptions returns the options of the balancer for a service with this
// number of engines.
func balanceOptions(engines int) rebalance.Options {
	gain := min(minGain, gainOfOneEngine/float64(max(1, engines)))
	return rebalance.Options{PressureThreshold: 0, MinGain: gain, HoldTime: moveHoldTime, MinInterval: minMoveInterval}
}

// batchSize returns how many engines to order: as many as are missing for the
// ideal proportion, but at most maxBatchShare of all, so that the service keeps
// enough working engines, and at least 1.
func batchSize(d Demand, prefill, decode int) int {
	total := float64(prefill + decode)
	idealPrefill := total * d.PrefillSeconds / (d.PrefillSeconds + d.DecodeSeconds)
	deficit := int(math.Abs(idealPrefill - float64(prefill)))
	return max(1, min(deficit, int(total*maxBatchShare)))
}

// Options configure a Manager.
type Options struct {
	// Name identifies this process in its orders.
	Name string
	// Lease is Options.Lease of the elector.
	Lease   time.Duration
	Elector *leadership.Elector
	// Clock is the clock of the elector; nil means leadership.Uptime.
	Clock   leadership.Clock
	Engines EngineClient
	Plans   PlanStore
	Fleet   *fleet.Fleet
	// Services returns the services with model engines and the time that a role
	// change takes in each.
	Services func() map[string]time.Duration
	Demand   func(service string) Demand
	// Speeds returns the speed of an engine in each role, relative to the mean engine of
	// its service; nil means that all engines have the mean speed.
	Speeds func(u *fleet.Upstream) (prefill, decode float64)
	Logger *log.Logger
}

// Manager orders role changes while this process is the leader.
type Manager struct {
	opts      Options
	balancers map[string]*rebalance.Balancer // by service
	// nextOrderAt is the earliest time of the next order, by service.
	nextOrderAt map[string]time.Duration
	// speeds holds the mean speeds of the engines in both roles.
	speeds map[*fleet.Upstream]*engineSpeed
	// plans counts the plans that this process has published.
	plans uint64
}

// New returns a manager.
func New(opts Options) *Manager {
	if opts.Clock == nil {
		opts.Clock = leadership.Uptime
	}
	return &Manager{opts: opts, balancers: make(map[string]*rebalance.Balancer), nextOrderAt: make(map[string]time.Duration),
		speeds: make(map[*fleet.Upstream]*engineSpeed)}
}

// Run checks periodically, until the context ends, whether the numbers of prefill
// and decode engines of each service fit its work.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(balanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			m.balanceAll(ctx)
		}
	}
}

// balanceAll orders role changes for all services if this process is the
// leader.
func (m *Manager) balanceAll(ctx context.Context) {
	term, ok := m.opts.Elector.Term()
	now := m.opts.Clock()
	// The previous leader may have given an order just before its lease ended, so
	// a new leader waits for one lease time first.
	if !ok || now-term.Since < m.opts.Lease {
		return
	}
	for service, roleChangeTime := range m.opts.Services() {
		if err := m.balanceService(ctx, term, service, roleChangeTime, now); err != nil {
			m.opts.Logger.Warn("cannot order a role change", "service", service, "fence", term.Fence, "err", err)
		}
	}
}

// balanceService decides whether engines of one service are to change their role now, and
// orders it.
func (m *Manager) balanceService(ctx context.Context, term leadership.Term, service string, roleChangeTime, now time.Duration) error {
	m.observeSpeeds(service, now)
	if now < m.nextOrderAt[service] {
		return nil
	}
	d := m.opts.Demand(service)
	if d.Requests < minRequests {
		return nil
	}
	prefill, decode := m.pools(service)
	b, ok := m.balancers[service]
	if !ok {
		b = rebalance.New(balanceOptions(len(prefill) + len(decode)))
		m.balancers[service] = b
	}
	p, q := m.newPool(prefill, rebalance.Prefill, d.PrefillSeconds), m.newPool(decode, rebalance.Decode, d.DecodeSeconds)
	p.setNext(q)
	q.setNext(p)
	move, ok := b.NextMove(now, p.Pool, q.Pool)
	if !ok {
		return nil
	}
	from, to, role := p, q, fleet.RoleDecode
	if move.From == rebalance.Decode {
		from, to, role = q, p, fleet.RolePrefill
	}
	m.nextOrderAt[service] = now + roleChangeTime + roleChangeMargin/2
	// The batch is counted in engines of mean speed, as the demand is.
	n := batchSize(d, int(math.Round(p.Capacity)), int(math.Round(q.Capacity)))
	chosen := from.leaving(to, min(n, len(from.engines)-1))
	m.opts.Logger.Info("role change decided", "service", service, "role", role.String(), "prefill_engines", len(prefill), "decode_engines", len(decode),
		"prefill_capacity", p.Capacity, "decode_capacity", q.Capacity, "next_prefill_speed", from.Next.PrefillSpeed, "next_decode_speed", from.Next.DecodeSpeed,
		"requests", d.Requests, "prefill_ms", int(d.PrefillSeconds*1000), "decode_ms", int(d.DecodeSeconds*1000))
	return m.orderRoleChanges(ctx, term, service, chosen, role, roleChangeTime, now)
}

// orderRoleChanges orders the engines to change their role. It publishes the plan before the
// orders, so that gateways stop sending work to the engines.
func (m *Manager) orderRoleChanges(ctx context.Context, term leadership.Term, service string, engines []*fleet.Upstream, role fleet.Role, roleChangeTime, now time.Duration) error {
	if err := m.publishPlan(ctx, term, engines, role, MaxRoleChangeTime(roleChangeTime)); err != nil {
		return errors.Wrapf(err, "publish the role change plan of service %s", service)
	}
	if err := m.opts.Elector.Confirm(ctx, term); err != nil {
		return err
	}
	for _, u := range engines {
		if err := m.orderRoleChange(ctx, term, service, u, role, now); err != nil {
			return err
		}
	}
	return nil
}

// emptyPoolPressure is the pressure on a role that no engine has; it exceeds
// any other pressure.
const emptyPoolPressure = 1e6

// pressure returns the work per server of mean speed.
func pressure(work, servers float64) float64 {
	if servers == 0 {
		return emptyPoolPressure
	}
	return work / servers
}

// engineSpeed is the mean speed of an engine in each role.
type engineSpeed struct {
	prefill, decode rebalance.SpeedMean
}

// observeSpeeds includes the present speeds of the service's engines in their means.
func (m *Manager) observeSpeeds(service string, now time.Duration) {
	if m.opts.Speeds == nil {
		return
	}
	for u := range m.speeds {
		if u.Removed() {
			delete(m.speeds, u)
		}
	}
	for _, u := range m.opts.Fleet.Snapshot().Service(service) {
		speed, ok := m.speeds[u]
		if !ok {
			speed = new(engineSpeed)
			m.speeds[u] = speed
		}
		prefill, decode := m.opts.Speeds(u)
		speed.prefill.Observe(prefill, now)
		speed.decode.Observe(decode, now)
	}
}

// enginePool holds the engines of one role.
type enginePool struct {
	rebalance.Pool
	role    rebalance.Role
	engines []*fleet.Upstream
	servers []rebalance.Server // of the engines
}

// newPool returns the engines as the pool of the role, with the work that it has to do.
func (m *Manager) newPool(engines []*fleet.Upstream, role rebalance.Role, work float64) *enginePool {
	p := &enginePool{role: role, engines: engines}
	for _, u := range engines {
		s := rebalance.Server{PrefillSpeed: 1, DecodeSpeed: 1, Load: u.InFlight.Load() + u.PrefillTokens.Load()}
		if speed := m.speeds[u]; speed != nil {
			s.PrefillSpeed, s.DecodeSpeed = speed.prefill.Speed(), speed.decode.Speed()
		}
		p.servers = append(p.servers, s)
	}
	capacity := rebalance.Capacity(p.servers, role)
	p.Pool = rebalance.Pool{Servers: len(engines), MinServers: 1, Pressure: pressure(work, capacity), Capacity: capacity}
	return p
}

// order returns the indexes of the engines, the best ones to move to the other pool first.
func (p *enginePool) order(to *enginePool) []int {
	return rebalance.Order(p.servers, rebalance.Move{From: p.role, To: to.role}, p.Pool, to.Pool)
}

// setNext sets the engine that leaves the pool first.
func (p *enginePool) setNext(to *enginePool) {
	if order := p.order(to); len(order) > 0 {
		p.Next = p.servers[order[0]]
	}
}

// leaving returns the n engines that are to move to the other pool.
func (p *enginePool) leaving(to *enginePool, n int) []*fleet.Upstream {
	var chosen []*fleet.Upstream
	for _, i := range p.order(to)[:n] {
		chosen = append(chosen, p.engines[i])
	}
	return chosen
}

// pools returns the usable upstreams of a service by role.
func (m *Manager) pools(service string) (prefill, decode []*fleet.Upstream) {
	for _, u := range m.opts.Fleet.Snapshot().Service(service) {
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

// orderRoleChange orders one engine to change its role. It first reads the
// number of orders that the engine has accepted, which the order must match.
func (m *Manager) orderRoleChange(ctx context.Context, term leadership.Term, service string, u *fleet.Upstream, role fleet.Role, now time.Duration) error {
	target := u.Instance()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := m.opts.Engines.Status(callCtx, target)
	if err != nil {
		return errors.Wrapf(err, "read the status of engine %s", target.ID)
	}
	if status.Leaving {
		u.RecordLeaving()
		return errors.Errorf("engine %s is leaving", target.ID)
	}
	if status.Busy || status.Role == role {
		return errors.Errorf("engine %s is busy or already has role %s", target.ID, role)
	}
	if current, ok := m.opts.Elector.Term(); !ok || current != term {
		return errors.Errorf("leadership ended before engine %s was ordered", target.ID)
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, callTimeout)
	defer cancelOrder()
	answer, err := m.opts.Engines.Order(orderCtx, Order{Target: target, Role: role, Holder: m.opts.Name, Fence: term.Fence, ExpectedOrders: status.AcceptedOrders})
	m.opts.Logger.Info("engine ordered to change its role", "service", service, "upstream", target.ID, "role", role.String(),
		"fence", term.Fence, "expected_orders", status.AcceptedOrders, "accepted", err == nil && answer == Accepted, "err", err)
	if err != nil {
		m.nextOrderAt[service] = now + unansweredOrderPause
	}
	return err
}

// publishPlan writes the plan under a lease, so that it is removed after ttl.
func (m *Manager) publishPlan(ctx context.Context, term leadership.Term, engines []*fleet.Upstream, role fleet.Role, ttl time.Duration) error {
	m.plans++
	plan := Plan{Role: role.String(), Fence: term.Fence, Number: m.plans}
	for _, u := range engines {
		plan.Engines = append(plan.Engines, PlannedEngine{ID: u.Instance().ID, Incarnation: u.Instance().Incarnation})
	}
	value, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := m.opts.Plans.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	return m.opts.Plans.Put(ctx, PlanKey, value, lease)
}

// MaxRoleChangeTime returns the longest time for which a plan keeps new work
// from its engines.
func MaxRoleChangeTime(roleChangeTime time.Duration) time.Duration {
	return roleChangeTime + roleChangeMargin
}
