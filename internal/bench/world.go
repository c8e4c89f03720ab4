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
	// sameDomain is the one-way delay within a failure domain.
	sameDomain = 100 * time.Microsecond
	// baselineQueue bounds the baselines' prefill queues.
	baselineQueue = 64
	retryRatio    = 0.2
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 60 * time.Second
)

// world is one run: servers, entries, time and measurements.
type world struct {
	sim
	cfg          Config
	p            profile
	fair         bool // policy fescueslip
	anticipation float64
	entries      []*entry
	prefills     []*prefillServer
	decodes      []*decodeServer
	prefillNames []string
	decodeNames  []string
	services     []*service
	faults       *faults
	m            *metrics
	tracer       func(now time.Duration, what string, r *request)
}

func newWorld(p profile, cfg Config, load *workload) *world {
	w := &world{cfg: cfg, p: p, fair: cfg.Policy == PolicyFescueslip, anticipation: p.settings.anticipation}
	w.m = newMetrics(p, load, cfg.Duration)
	w.m.now = func() time.Duration { return w.now }
	w.addServers()
	for i := range p.entries {
		w.entries = append(w.entries, w.newEntry(i))
	}
	w.faults = newFaults(w)
	w.schedule(load)
	return w
}

func (w *world) addServers() {
	for i := range w.p.prefills {
		s := &prefillServer{
			w: w, name: fmt.Sprintf("prefill-%d", i), domain: w.p.domain(i), up: true,
			queue: fairqueue.New(), cache: newBlockCache(w.p.engine.CacheBlocks), held: map[*prefillJob]struct{}{},
		}
		w.prefills = append(w.prefills, s)
		w.prefillNames = append(w.prefillNames, s.name)
	}
	for i := range w.p.decodes {
		s := &decodeServer{w: w, name: fmt.Sprintf("decode-%d", i), domain: w.p.domain(i + w.p.prefills), up: true, queue: fairqueue.New()}
		s.predictor = predict.New(w.p.settings.quantile, 0)
		w.decodes = append(w.decodes, s)
		w.decodeNames = append(w.decodeNames, s.name)
	}
	for i := range w.p.services {
		w.services = append(w.services, newService(w, i))
	}
}

func (w *world) newEntry(i int) *entry {
	e := &entry{
		w: w, name: fmt.Sprintf("entry-%d", i), domain: w.p.domain(i),
		rnd: rand.New(rand.NewPCG(w.cfg.Seed, uint64(1000+i))), known: map[string]*known{},
		predictor: predict.New(w.p.settings.quantile, 0), cache: choose.NewCacheIndex(w.p.engine.CacheBlocks),
		budget: retry.NewBudget(retryRatio, 0, 0), usage: map[string]map[string]*fairqueue.Usage{},
	}
	for _, s := range w.prefills {
		e.known[s.name] = &known{hint: s.hint()}
	}
	for _, s := range w.decodes {
		e.known[s.name] = &known{hint: s.hint()}
	}
	return e
}

// schedule sends each arrival to a random entry, as the platform's balancer does.
func (w *world) schedule(load *workload) {
	rnd := rand.New(rand.NewPCG(w.cfg.Seed, 3))
	for _, r := range load.requests {
		e := w.entries[rnd.IntN(len(w.entries))]
		w.at(r.arrival, func() { e.arrive(r) })
	}
	for _, t := range load.lookups {
		e := w.entries[rnd.IntN(len(w.entries))]
		w.at(t, func() { e.lookup() })
	}
}

func (w *world) delay(from, to string) time.Duration {
	if from == to {
		return sameDomain
	}
	return w.p.oneWay
}

// send delivers a message from an entry to a server.
func (w *world) send(from, to string, f func()) { w.after(w.delay(from, to), f) }

// reply delivers a message from a server to an entry, with a load hint.
func (w *world) reply(from string, e *entry, server string, h hint, f func()) {
	w.after(w.delay(from, e.domain), func() {
		e.learn(server, h)
		f()
	})
}

// announce tells all entries of a restarted server, as the membership does.
func (w *world) announce(from, server string, h hint) {
	for _, e := range w.entries {
		w.reply(from, e, server, h, func() { e.cache.Forget(server) })
	}
}

func (w *world) trace(what string, r *request) {
	if w.tracer != nil {
		w.tracer(w.now, what, r)
	}
}

// simulate runs the world to its end.
func (w *world) simulate() {
	w.run(w.cfg.Duration + drainTime)
	for _, s := range w.decodes {
		w.m.leaked += s.chunks * w.p.engine.ChunkTokens
	}
}
