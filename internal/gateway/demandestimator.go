package gateway

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/roles"
)

// minWorkWeight is the least weight of a new request in the moving averages.
const minWorkWeight = 0.03

// maxWorkRequests is the number of requests from which on a new one has the weight
// minWorkWeight.
const maxWorkRequests = 1 / minWorkWeight

// Work is the mean size of the requests of one service.
type Work struct {
	// Requests is the number of requests that the means rest on.
	Requests int
	// PromptTokens is the mean length of the prompts.
	PromptTokens float64
	// MemoryOutputProduct is the mean of the memory that a request holds on average
	// times the length of its output, both in tokens. Divided by the memory and the
	// token rate of an engine, it is the engine time of a request.
	MemoryOutputProduct float64
}

// observe includes one request.
func (w *Work) observe(prompt, output float64) {
	w.Requests++
	weight := max(minWorkWeight, 1/float64(w.Requests))
	w.PromptTokens += (prompt - w.PromptTokens) * weight
	w.MemoryOutputProduct += ((prompt+output/2)*output - w.MemoryOutputProduct) * weight
}

// valid reports whether the work reported by a peer can be used.
func (w Work) valid() bool {
	return w.Requests > 0 && w.PromptTokens >= 0 && w.MemoryOutputProduct >= 0 &&
		w.PromptTokens < maxReportedTokens && w.MemoryOutputProduct < maxReportedTokens*maxReportedTokens
}

// maxReportedTokens is the largest token count that is accepted from a peer.
const maxReportedTokens = 1e9

// demandEstimator estimates the size of the requests of each service, from the
// requests of this gateway and the reports of its peers.
type demandEstimator struct {
	mu  sync.Mutex
	own map[string]*Work
	// peers holds the last report of each peer by service and peer.
	peers map[string]map[string]Work
}

func newDemandEstimator() *demandEstimator {
	return &demandEstimator{own: make(map[string]*Work), peers: make(map[string]map[string]Work)}
}

// observe includes one request of this gateway.
func (d *demandEstimator) observe(service string, prompt, output float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.own[service]
	if !ok {
		w = &Work{}
		d.own[service] = w
	}
	w.observe(prompt, output)
}

// ownWork returns the work of this gateway's requests, for its peers.
func (d *demandEstimator) ownWork(service string) Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.own[service]; ok {
		return *w
	}
	return Work{}
}

// applyReports replaces the work that a peer reported.
func (d *demandEstimator) applyReports(peer string, reports []ServiceReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reports {
		if !r.Work.valid() {
			continue
		}
		if d.peers[r.Service] == nil {
			d.peers[r.Service] = make(map[string]Work)
		}
		d.peers[r.Service][peer] = r.Work
	}
}

// pooled returns the mean over the requests of all gateways.
func (d *demandEstimator) pooled(service string) Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Work, 0, len(d.peers[service])+1)
	if w, ok := d.own[service]; ok {
		all = append(all, *w)
	}
	for _, w := range d.peers[service] {
		all = append(all, w)
	}
	var sum Work
	weights := 0.0
	for _, w := range all {
		weight := min(maxWorkRequests, float64(w.Requests))
		sum.Requests += w.Requests
		sum.PromptTokens += w.PromptTokens * weight
		sum.MemoryOutputProduct += w.MemoryOutputProduct * weight
		weights += weight
	}
	if weights > 0 {
		sum.PromptTokens /= weights
		sum.MemoryOutputProduct /= weights
	}
	return sum
}

// Demand returns the mean engine time of a request of the service.
func (g *Gateway) Demand(name string) roles.Demand {
	table := g.Tables.Table()
	if table == nil {
		return roles.Demand{}
	}
	service := table.Services[name]
	if service == nil || service.Engine == nil {
		return roles.Demand{}
	}
	work := g.demandEstimator.pooled(name)
	speed := g.scheduler.load.speedOf(name)
	return roles.Demand{
		Requests:       work.Requests,
		PrefillSeconds: work.PromptTokens / speed.PrefillRate,
		// An engine runs as many requests at once as fit into its memory.
		DecodeSeconds: work.MemoryOutputProduct / (g.scheduler.usableMemory(service) * speed.TokenRate(service.Engine.TokensPerEvent)),
	}
}

// RoleSpeeds returns the speed of an engine in each role, relative to the mean of its
// service. What was observed in one role only stands for both.
func (g *Gateway) RoleSpeeds(u *fleet.Upstream) (prefill, decode float64) {
	return g.scheduler.load.speedOfEngine(u, u.Instance().Service).RoleSpeeds()
}

// PauseForRoleChange sends no new work to an engine until the engine has changed its
// role or the given time has passed.
func (g *Gateway) PauseForRoleChange(engine string, incarnation int64, until time.Time) {
	if u := g.Fleet.Snapshot().Find(engine, incarnation); u != nil {
		u.PauseRole(u.Instance().Role, until)
		g.scheduler.load.markChanged(u)
	}
}
