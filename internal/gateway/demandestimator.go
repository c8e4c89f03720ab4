package gateway

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// minDemandWeight is the least weight of one request in the mean work.
const minDemandWeight = 0.03

// demandEstimator learns the engine time that the requests of each service need.
type demandEstimator struct {
	mu        sync.Mutex
	byService map[string]*roles.Demand
}

func newDemandEstimator() *demandEstimator {
	return &demandEstimator{byService: make(map[string]*roles.Demand)}
}

// observe takes one request into account.
func (d *demandEstimator) observe(service *routing.Service, prompt, median, fill float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.byService[service.Name]
	if !ok {
		m = &roles.Demand{}
		d.byService[service.Name] = m
	}
	m.Requests++
	weight := max(minDemandWeight, 1/float64(m.Requests))
	prefill := prompt / defaultPrefillRate
	// An engine holds as many requests as fit into its memory; each occupies its
	// part for the time that its output takes.
	share := (prompt + median/2) / (fill * float64(service.Engine.MemoryTokens))
	decode := share * median / defaultTokenRate
	m.PrefillSeconds += (prefill - m.PrefillSeconds) * weight
	m.DecodeSeconds += (decode - m.DecodeSeconds) * weight
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

// PauseForRoleChange keeps new work from an engine until it has changed its role, or the time
// is over.
func (g *Gateway) PauseForRoleChange(engine string, incarnation int64, until time.Time) {
	if u := g.Fleet.Snapshot().Find(engine, incarnation); u != nil {
		u.Rest(u.Facts().Role, until)
		g.scheduler.load.markChanged(u)
	}
}
