package gateway

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/roles"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// demandDecay is the least weight of one request in the mean work.
const demandDecay = 0.03

// demands learns the engine time that the requests of each service need.
type demands struct {
	mu        sync.Mutex
	byService map[string]*roles.Demand
}

func newDemands() *demands { return &demands{byService: make(map[string]*roles.Demand)} }

// observe takes one request into account.
func (d *demands) observe(service *routing.Service, prompt, median, fill float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.byService[service.Name]
	if !ok {
		m = &roles.Demand{}
		d.byService[service.Name] = m
	}
	m.Requests++
	weight := max(demandDecay, 1/float64(m.Requests))
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
	g.demands.mu.Lock()
	defer g.demands.mu.Unlock()
	if m, ok := g.demands.byService[service]; ok {
		return *m
	}
	return roles.Demand{}
}

// PauseForRoleChange keeps new work from an engine until it has changed its role, or the time
// is over.
func (g *Gateway) PauseForRoleChange(engine string, incarnation int64, until time.Time) {
	if u := g.Fleet.Snapshot().Find(engine, incarnation); u != nil {
		u.PauseRole(u.Instance().Role, until)
		g.scheduler.load.touch(u)
	}
}
