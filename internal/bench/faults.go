package bench

import (
	"math/rand/v2"
	"time"
)

// Frequencies of the faults. They are far above those of real installations, so that
// a run of a few minutes shows their effect. FaultMixed halves the frequencies, which
// doubles meanCrashInterval; it does not change crashDowntime.
const (
	// meanCrashInterval is the mean time from the start of the run or the last
	// restart until the next crash of a random prefill or decode server.
	meanCrashInterval = 20 * time.Second
	crashDowntime     = 4 * time.Second
	// stallFraction is the fraction of the KV cache transfers that stall.
	stallFraction = 0.03
	// faultCancelFraction is the fraction of the requests that the fault cancels, in
	// addition to cancelFraction.
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

// faultRateFactor returns the factor by which the configured fault multiplies the
// frequency of a kind of fault: 1, 0.5 for FaultMixed, or 0.
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

// scheduleCrashes schedules the crashes of the whole run. At most one server is down at
// a time.
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
