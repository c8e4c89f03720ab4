package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/policy/predict"
	"github.com/fescueslip/fescueslip/internal/policy/retry"
)

const (
	// sameDomainDelay is the one-way network delay within a failure domain.
	sameDomainDelay = 100 * time.Microsecond
	// baselineQueueLimit limits the length of the baselines' prefill queues.
	baselineQueueLimit = 64
	retryBudgetRatio   = 0.2
	// drainTime is how long a run continues after the last arrival.
	drainTime = 60 * time.Second
)

// simulation is one run: its virtual time, entries, servers and measurements.
type simulation struct {
	eventLoop
	cfg            Config
	profile        profile
	usesFescueslip bool // the policy is PolicyFescueslip, not a baseline
	anticipation   float64
	entries        []*entry
	prefills       []*prefillServer
	decodes        []*decodeServer
	prefillNames   []string
	decodeNames    []string
	services       []*service
	faults         *faultInjector
	metrics        *metrics
	tracer         func(now time.Duration, event string, r *request)
}

func newSimulation(p profile, cfg Config, load *workload) *simulation {
	sim := &simulation{cfg: cfg, profile: p, usesFescueslip: cfg.Policy == PolicyFescueslip, anticipation: p.settings.anticipation}
	sim.metrics = newMetrics(p, load, cfg.Duration)
	sim.metrics.now = func() time.Duration { return sim.now }
	sim.addServers()
	for i := range p.entries {
		sim.entries = append(sim.entries, sim.newEntry(i))
	}
	sim.faults = newFaultInjector(sim)
	sim.scheduleArrivals(load)
	return sim
}

func (sim *simulation) addServers() {
	for i := range sim.profile.prefills {
		s := &prefillServer{
			sim: sim, name: fmt.Sprintf("prefill-%d", i), domain: sim.profile.failureDomain(i), up: true,
			queue: fairqueue.New(), cache: newBlockCache(sim.profile.engine.CacheBlocks), held: map[*prefillJob]struct{}{},
		}
		sim.prefills = append(sim.prefills, s)
		sim.prefillNames = append(sim.prefillNames, s.name)
	}
	for i := range sim.profile.decodes {
		s := &decodeServer{sim: sim, name: fmt.Sprintf("decode-%d", i), domain: sim.profile.failureDomain(i + sim.profile.prefills), up: true, queue: fairqueue.New()}
		s.predictor = predict.New(sim.profile.settings.predictionQuantile, 0)
		sim.decodes = append(sim.decodes, s)
		sim.decodeNames = append(sim.decodeNames, s.name)
	}
	for i := range sim.profile.services {
		sim.services = append(sim.services, newService(sim, i))
	}
}

func (sim *simulation) newEntry(i int) *entry {
	e := &entry{
		sim: sim, name: fmt.Sprintf("entry-%d", i), domain: sim.profile.failureDomain(i),
		rnd: rand.New(rand.NewPCG(sim.cfg.Seed, uint64(1000+i))), views: map[string]*serverView{},
		predictor: predict.New(sim.profile.settings.predictionQuantile, 0), cache: choose.NewCacheIndex(sim.profile.engine.CacheBlocks),
		budget: retry.NewBudget(retryBudgetRatio, 0, 0), usage: map[string]map[string]*fairqueue.Usage{},
	}
	for _, s := range sim.prefills {
		e.views[s.name] = &serverView{hint: s.hint()}
	}
	for _, s := range sim.decodes {
		e.views[s.name] = &serverView{hint: s.hint()}
	}
	return e
}

// scheduleArrivals sends each request and lookup to a random entry, as the load
// balancer of the platform does.
func (sim *simulation) scheduleArrivals(load *workload) {
	rnd := rand.New(rand.NewPCG(sim.cfg.Seed, 3))
	for _, r := range load.requests {
		e := sim.entries[rnd.IntN(len(sim.entries))]
		sim.at(r.arrival, func() { e.arrive(r) })
	}
	for _, t := range load.lookups {
		e := sim.entries[rnd.IntN(len(sim.entries))]
		sim.at(t, func() { e.lookup() })
	}
}

// delay returns the one-way network delay between two failure domains.
func (sim *simulation) delay(from, to string) time.Duration {
	if from == to {
		return sameDomainDelay
	}
	return sim.profile.oneWayDelay
}

// send delivers a message from an entry to a server.
func (sim *simulation) send(from, to string, f func()) { sim.after(sim.delay(from, to), f) }

// reply delivers a message from a server to an entry, together with a load hint.
func (sim *simulation) reply(from string, e *entry, server string, h loadHint, f func()) {
	sim.after(sim.delay(from, e.domain), func() {
		e.applyHint(server, h)
		f()
	})
}

// announceRestart notifies all entries of a restarted server, as the membership does.
func (sim *simulation) announceRestart(from, server string, h loadHint) {
	for _, e := range sim.entries {
		sim.reply(from, e, server, h, func() { e.cache.Forget(server) })
	}
}

func (sim *simulation) traceEvent(event string, r *request) {
	if sim.tracer != nil {
		sim.tracer(sim.now, event, r)
	}
}

// simulate runs all events and records the memory that is still held at the end.
func (sim *simulation) simulate() {
	sim.run(sim.cfg.Duration + drainTime)
	for _, s := range sim.decodes {
		sim.metrics.leakedTokens += s.usedChunks * sim.profile.engine.ChunkTokens
	}
}
