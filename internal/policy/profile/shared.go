package profile

import (
	"math"
	"time"
)

// DeviationReport is what a process tells its peers about the deviation of an engine. An
// average without samples tells nothing.
type DeviationReport struct {
	Stream, Prefill Average
}

const (
	// reportFreshness is the age of the last observation up to which a deviation is
	// reported.
	reportFreshness = time.Second
	// ownLifetime is the time without an observation after which the weight of a
	// deviation beside those that peers report has shrunk to 1/e.
	ownLifetime = 2 * time.Second
)

// Report returns the proved deviations that were observed lately, and whether there are
// any.
func (e *Engine) Report() (DeviationReport, bool) {
	r := DeviationReport{Stream: e.stream.report(), Prefill: e.prefill.report()}
	return r, r != DeviationReport{}
}

func (d *deviation) report() Average {
	if d.unobserved > reportFreshness || d.proved() == 0 {
		return Average{}
	}
	return Average{LogMean: d.logSlowdown(), Samples: d.weight()}
}

// SetPeer replaces the report of a peer; the zero report removes it. It reports false, and
// removes the report, if it is not valid.
func (e *Engine) SetPeer(name string, r DeviationReport) bool {
	valid := validDeviation(r.Stream) && validDeviation(r.Prefill)
	if !valid {
		r = DeviationReport{}
	}
	if r == e.peers[name] {
		return valid
	}
	if r == (DeviationReport{}) {
		delete(e.peers, name)
	} else {
		if e.peers == nil {
			e.peers = make(map[string]DeviationReport)
		}
		e.peers[name] = r
	}
	e.update()
	return valid
}

// validDeviation reports whether an average received from another process can be used.
func validDeviation(a Average) bool {
	return a.valid() && a.LogMean >= -math.Log(maxSpeedup) && a.LogMean <= math.Log(maxSlowdown)
}

// estimate is the best estimate of a deviation from all processes.
type estimate struct {
	// learned is the logarithm of the slowdown, and proved the part that counts.
	learned, proved float64
	confidence      float64
}

// update computes the estimates anew. They change far less often than they are used.
func (e *Engine) update() {
	e.streamEstimate = e.stream.with(e.peers, func(r DeviationReport) Average { return r.Stream })
	e.prefillEstimate = e.prefill.with(e.peers, func(r DeviationReport) Average { return r.Prefill })
}

// with returns the mean of the own observations and the reports of peers, weighted by the
// observations.
func (d *deviation) with(peers map[string]DeviationReport, of func(DeviationReport) Average) estimate {
	sum, weight := 0.0, 0.0
	for _, r := range peers {
		a := of(r)
		sum += a.LogMean * a.Samples
		weight += a.Samples
	}
	if weight == 0 {
		return estimate{learned: d.logSlowdown(), proved: d.proved(), confidence: d.confidence()}
	}
	own := d.weight() * math.Exp(-d.unobserved.Seconds()/ownLifetime.Seconds())
	sum += own * d.logSlowdown()
	weight += own
	samples := deviationPrior + weight
	learned := sum / weight
	return estimate{learned: learned, proved: proved(learned, priorDeviationVariance/samples), confidence: weight / samples}
}

// proved returns the logarithm of a slowdown if it exceeds the uncertainty of a mean of the
// given variance, else 0. Just above the uncertainty it rises from 0 without a jump.
func proved(slowdown, variance float64) float64 {
	uncertainty := minProvedDeviation + provedErrors*math.Sqrt(variance)
	size := min(math.Abs(slowdown), 2*max(0, math.Abs(slowdown)-uncertainty))
	return math.Copysign(size, slowdown)
}

// factor returns the slowdown for its logarithm. No deviation is exactly 1.
func factor(log float64) float64 {
	if log == 0 {
		return 1
	}
	return math.Exp(log)
}
