package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	serviceWorkers  = 4
	serviceFast     = 3 * time.Millisecond
	serviceSlow     = 30 * time.Millisecond
	serviceSlowPart = 0.02
)

// service is a plain service with a fixed number of workers.
type service struct {
	w      *world
	name   string
	domain string
	rnd    *rand.Rand
	busy   int
	queue  []func()
}

func newService(w *world, i int) *service {
	return &service{w: w, name: fmt.Sprintf("service-%d", i), domain: w.p.domain(i), rnd: rand.New(rand.NewPCG(w.cfg.Seed, uint64(2000+i)))}
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
	d := serviceFast + exponential(s.rnd, serviceFast)
	if s.rnd.Float64() < serviceSlowPart {
		d += serviceSlow
	}
	s.w.after(d, func() {
		done()
		s.busy--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.serve(next)
		}
	})
}

// lookup sends a repeatable call and hedges it after the p95 of earlier ones.
func (e *entry) lookup() {
	start := e.w.now
	first := e.rnd.IntN(len(e.w.services))
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		d := e.w.now - start
		e.latencies.Observe(d)
		e.w.m.lookup(d)
	}
	try := func(s *service) {
		e.w.send(e.domain, s.domain, func() {
			s.call(func() { e.w.after(e.w.delay(s.domain, e.domain), answer) })
		})
	}
	try(e.w.services[first])
	if delay, ok := e.latencies.HedgeDelay(); ok && e.w.fair && len(e.w.services) > 1 {
		second := (first + 1 + e.rnd.IntN(len(e.w.services)-1)) % len(e.w.services)
		e.w.after(delay, func() {
			if !answered {
				try(e.w.services[second])
			}
		})
	}
}
