package bench

import (
	"math/rand/v2"
	"time"
)

// Rates of the faults; they are far above those of real installations so that a
// run of minutes shows their effect. Mixed faults have half of each.
const (
	crashEvery      = 20 * time.Second
	crashDown       = 4 * time.Second
	stallFraction   = 0.03
	cancelledByFrac = 0.15
)

// faults injects failures.
type faults struct {
	w     *world
	rnd   *rand.Rand
	stall float64
}

func newFaults(w *world) *faults {
	f := &faults{w: w, rnd: rand.New(rand.NewPCG(w.cfg.Seed, 4))}
	part := faultPart(w.cfg.Fault, FaultStall)
	f.stall = stallFraction * part
	if part := faultPart(w.cfg.Fault, FaultCrash); part > 0 {
		f.scheduleCrashes(time.Duration(float64(crashEvery) / part))
	}
	return f
}

// faultPart returns the part of a fault's rate that the configured kind asks for.
func faultPart(configured, kind string) float64 {
	switch configured {
	case kind:
		return 1
	case FaultMixed:
		return 0.5
	default:
		return 0
	}
}

func (f *faults) scheduleCrashes(every time.Duration) {
	for t := exponential(f.rnd, every); t < f.w.cfg.Duration; t += crashDown + exponential(f.rnd, every) {
		n := f.rnd.IntN(len(f.w.prefills) + len(f.w.decodes))
		if n < len(f.w.prefills) {
			s := f.w.prefills[n]
			f.w.at(t, s.crash)
			f.w.at(t+crashDown, s.restart)
			continue
		}
		s := f.w.decodes[n-len(f.w.prefills)]
		f.w.at(t, s.crash)
		f.w.at(t+crashDown, s.restart)
	}
}

// stalls reports whether the transfer that starts now will stall.
func (f *faults) stalls() bool { return f.stall > 0 && f.rnd.Float64() < f.stall }
