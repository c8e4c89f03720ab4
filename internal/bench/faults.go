package bench

import (
	"math/rand/v2"
	"time"
)

// Rates of the faults. They are far above those of real installations, so that a
// run of a few minutes shows their effect. FaultMixed uses half of each rate.
const (
	meanCrashInterval   = 20 * time.Second
	crashDowntime       = 4 * time.Second
	stallFraction       = 0.03
	faultCancelFraction = 0.15
)

// faultInjector schedules server crashes and selects the transfers that stall.
type faultInjector struct {
	sim              *simulation
	rnd              *rand.Rand
	stallProbability float64
}

func newFaultInjector(sim *simulation) *faultInjector {
	f := &faultInjector{sim: sim, rnd: rand.New(rand.NewPCG(sim.cfg.Seed, 4))}
	factor := faultRateFactor(sim.cfg.Fault, FaultStall)
	f.stallProbability = stallFraction * factor
	if factor := faultRateFactor(sim.cfg.Fault, FaultCrash); factor > 0 {
		f.scheduleCrashes(time.Duration(float64(meanCrashInterval) / factor))
	}
	return f
}

// faultRateFactor returns the factor that the configured fault applies to the rate
// of a kind of fault.
func faultRateFactor(configured, kind string) float64 {
	switch configured {
	case kind:
		return 1
	case FaultMixed:
		return 0.5
	default:
		return 0
	}
}

func (f *faultInjector) scheduleCrashes(meanInterval time.Duration) {
	for t := exponential(f.rnd, meanInterval); t < f.sim.cfg.Duration; t += crashDowntime + exponential(f.rnd, meanInterval) {
		n := f.rnd.IntN(len(f.sim.prefills) + len(f.sim.decodes))
		if n < len(f.sim.prefills) {
			s := f.sim.prefills[n]
			f.sim.at(t, s.crash)
			f.sim.at(t+crashDowntime, s.restart)
			continue
		}
		s := f.sim.decodes[n-len(f.sim.prefills)]
		f.sim.at(t, s.crash)
		f.sim.at(t+crashDowntime, s.restart)
	}
}

// drawStall decides at random whether a starting transfer stalls.
func (f *faultInjector) drawStall() bool {
	return f.stallProbability > 0 && f.rnd.Float64() < f.stallProbability
}
