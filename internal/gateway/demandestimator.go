package gateway

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// minDemandWeight is the minimum weight of a new request in the moving averages.
const minDemandWeight = 0.03

// demandEstimator estimates the engine time that a request of each service needs.
type demandEstimator struct {
	mu        sync.Mutex
	byService map[string]*roles.Demand
}

func newDemandEstimator() *demandEstimator {
	return &demandEstimator{byService: make(map[string]*roles.Demand)}
}

// observe updates the estimate of the service with one request.
func (d *demandEstimator) observe(service *routing.Service, prompt, median, memoryFill float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand, ok := d.byService[service.Name]
	if !ok {
		demand = &roles.Demand{}
		d.byService[service.Name] = demand
	}
	demand.Requests++
	weight := max(minDemandWeight, 1/float64(demand.Requests))
	prefill := prompt / defaultPrefillRate
	// An engine runs as many requests at once as fit into its memory. Each request
	// occupies its share of the memory while its output is generated.
	share := (prompt + median/2) / (memoryFill * float64(service.Engine.MemoryTokens))
	decode := share * median / defaultTokenRate
	demand.PrefillSeconds += (prefill - demand.PrefillSeconds) * weight
	demand.DecodeSeconds += (decode - demand.DecodeSeconds) * weight
}

// Demand returns the mean engine time of a request of the service.
func (g *Gateway) Demand(service string) roles.Demand {
	g.demandEstimator.mu.Lock()
	defer g.demandEstimator.mu.Unlock()
	if m, ok := g.demandEstimator.byService[service]; ok {
		return *m
	}
	return roles.Demand{}
}

// PauseForRoleChange sends no new work to an engine until the engine has changed its
// role or the given time has passed.
func (g *Gateway) PauseForRoleChange(engine string, incarnation int64, until time.Time) {
	if u := g.Fleet.Snapshot().Find(engine, incarnation); u != nil {
		u.PauseRole(u.Instance().Role, until)
		g.scheduler.load.markChanged(u)
	}
}
