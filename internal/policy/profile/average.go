package profile

import "math"

const (
	// minWeight is the least weight of a new observation; it keeps an average
	// following engines that change their speed.
	minWeight = 0.05
	// maxLogStep limits how far one observation lies from the average, as a natural
	// logarithm; farther ones count as that far. A request that was preempted, or one
	// that an unknown backlog delayed, then moves the average little.
	maxLogStep = 0.7
	// maxSamples limits the confidence in an average. It is the number of
	// observations after which minWeight applies.
	maxSamples = 1 / minWeight
)

// Average is a moving geometric mean of positive numbers. The zero value has no
// observations.
type Average struct {
	// LogMean is the natural logarithm of the mean.
	LogMean float64
	// Samples is the number of observations that the mean rests on, at most
	// maxSamples.
	Samples float64
}

// Observe includes one number. It reports false, and changes nothing, if the number
// is not positive and finite.
func (a *Average) Observe(v float64) bool {
	if !(v > 0) || math.IsInf(v, 1) {
		return false
	}
	step := math.Log(v) - a.LogMean
	weight := 1.0
	if a.Samples > 0 {
		step = min(max(step, -maxLogStep), maxLogStep)
		weight = max(minWeight, 1/(a.Samples+1))
	}
	a.LogMean += step * weight
	a.Samples = min(maxSamples, a.Samples+1)
	return true
}

// valid reports whether an average received from another process can be used.
func (a Average) valid() bool {
	return !math.IsNaN(a.LogMean) && !math.IsInf(a.LogMean, 0) && a.Samples >= 0 && a.Samples <= maxSamples
}

// pool returns the mean of several averages, weighted by their observations. It
// returns fallback if there are no observations.
func pool(averages []Average, fallback float64) float64 {
	sum, weight := 0.0, 0.0
	for _, a := range averages {
		sum += a.LogMean * a.Samples
		weight += a.Samples
	}
	if weight == 0 {
		return fallback
	}
	return math.Exp(sum / weight)
}
