package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	serviceWorkers = 4
	// serviceTimeUnit is the constant part of the service time and the mean of its
	// random part.
	serviceTimeUnit = 3 * time.Millisecond
	// slowCallExtra is the time that a fraction slowCallFraction of the calls takes in
	// addition.
	slowCallExtra    = 30 * time.Millisecond
	slowCallFraction = 0.02
)

// service is an upstream without a model and with a fixed number of workers.
type service struct {
	sim    *simulation
	name   string
	domain string
	rnd    *rand.Rand
	busy   int
	queue  []func()
}

func newService(sim *simulation, i int) *service {
	return &service{sim: sim, name: fmt.Sprintf("service-%d", i), domain: sim.profile.failureDomain(i), rnd: rand.New(rand.NewPCG(sim.cfg.Seed, uint64(2000+i)))}
}

func (s *service) call(done func()) {
	if s.busy >= serviceWorkers {
		s.queue = append(s.queue, done)
		return
	}
	s.serve(done)
}

func (s *service) serve(done func()) {
	s.busy++
	d := serviceTimeUnit + exponential(s.rnd, serviceTimeUnit)
	if s.rnd.Float64() < slowCallFraction {
		d += slowCallExtra
	}
	s.sim.after(d, func() {
		done()
		s.busy--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.serve(next)
		}
	})
}

// lookup sends a repeatable call to a random service. Policy fescueslip hedges it
// after the delay that the latencies of earlier calls give.
func (e *entry) lookup() {
	start := e.sim.now
	first := e.rnd.IntN(len(e.sim.services))
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		d := e.sim.now - start
		e.latencies.Observe(d)
		e.sim.metrics.recordLookup(d)
	}
	callService := func(s *service) {
		e.sim.send(e.domain, s.domain, func() {
			s.call(func() { e.sim.after(e.sim.delay(s.domain, e.domain), answer) })
		})
	}
	callService(e.sim.services[first])
	if delay, ok := e.latencies.HedgeDelay(); ok && e.sim.usesFescueslip && len(e.sim.services) > 1 {
		second := (first + 1 + e.rnd.IntN(len(e.sim.services)-1)) % len(e.sim.services)
		e.sim.after(delay, func() {
			if !answered {
				callService(e.sim.services[second])
			}
		})
	}
}
