// Package forecast predicts the memory that the running requests of a model
// engine will need.
//
// It is for loads that are limited by memory. An engine that admits requests by
// the memory that is free now runs out of memory when their outputs grow, and
// preempts streams. An engine that admits requests by their longest possible
// output leaves a third of its memory unused. The forecast instead sums the
// memory that each request needs at each of several future points, weighted by
// the probability that the request is still running then.
package forecast

import "math"

// CurvePoints is the number of points of a Curve.
const CurvePoints = 18

const (
	// horizonOutputs is the time that a Curve covers, as a multiple of the time that
	// a typical output takes. The requests that run now have ended by then.
	horizonOutputs = 1.35
	// minStepSeconds avoids curves that cover less than the delay of the messages
	// that they are made of, in seconds.
	minStepSeconds = 0.02
)

// StepSeconds returns the time between two points of the curves of an engine whose
// typical output takes the given time, both in seconds. Only curves of equal steps
// can be added.
func StepSeconds(outputSeconds float64) float64 {
	return max(minStepSeconds, outputSeconds*horizonOutputs/CurvePoints)
}

// Request describes a request that runs on an engine or is about to start
// there.
type Request struct {
	// Prompt is the length of the prompt, in tokens.
	Prompt float64
	// MedianOutput is the predicted median of the output length, in tokens.
	MedianOutput float64
	// MaxOutput is the limit of the output length, in tokens; 0 means no limit.
	MaxOutput float64
	// Age is the time since the output began, in seconds. It is negative before
	// that.
	Age float64
}

// Curve is the expected memory at each point, in tokens. The first point is
// now.
type Curve [CurvePoints]float64

// Peak returns the largest value of the curve.
func (c *Curve) Peak() float64 {
	peak := c[0]
	for _, v := range c[1:] {
		peak = max(peak, v)
	}
	return peak
}

// PeakWith returns the largest value of the sum of two curves.
func (c *Curve) PeakWith(other *Curve) float64 {
	peak := 0.0
	for i := range c {
		peak = max(peak, c[i]+other[i])
	}
	return peak
}

// Add adds the expected memory of one request that generates rate tokens per
// second. step is the time between two points of the curve, in seconds.
func (c *Curve) Add(r Request, rate, step float64) {
	generated := max(0, r.Age) * rate
	survivalNow := survival(generated, r)
	for i := range c {
		offset := float64(i) * step
		output := max(0, r.Age+offset) * rate
		if r.MaxOutput > 0 && output > r.MaxOutput {
			break
		}
		probability := 1.0
		if i > 0 {
			probability = survival(output, r) / survivalNow
		}
		c[i] += probability * (r.Prompt + output)
	}
}

// logLengthStdDev is the standard deviation of the natural logarithm of output
// lengths around the logarithm of the predicted median. Output lengths are
// assumed to be log-normally distributed.
const logLengthStdDev = 0.4

// minSurvival is the least survival probability. It avoids a division by zero
// for requests whose output is far longer than predicted.
const minSurvival = 1e-9

// survival returns the probability that the output of a request exceeds the given
// length.
func survival(output float64, r Request) float64 {
	if output <= 0 || r.MedianOutput <= 0 {
		return 1
	}
	z := (math.Log(output) - math.Log(r.MedianOutput)) / logLengthStdDev
	return max(minSurvival, 0.5*math.Erfc(z/math.Sqrt2))
}

// OutputLengths learns the output lengths of one route from completed requests.
// It is not safe for concurrent use.
type OutputLengths struct {
	logMean  float64 // moving mean of the logarithm of output lengths
	observed int
}

const (
	// priorMedianShare is the median output length assumed before any
	// observation, as a fraction of the longest allowed output.
	priorMedianShare = 0.45
	// priorWeight is the number of observations that the prior counts for.
	priorWeight = 8
	// minObservationWeight is the least weight of a new observation; it keeps
	// the estimate adapting to changes.
	minObservationWeight = 0.02
	// hintWeight is the weight of the length hint of the client in the
	// prediction; the rest is the median of the route. Both have about the same
	// relative error.
	hintWeight = 0.5
)

// Observe records the output length of a request that ran to completion.
// longest is the longest output that was allowed.
func (l *OutputLengths) Observe(output, longest float64) {
	if output <= 0 {
		return
	}
	l.initialize(longest)
	l.observed++
	weight := max(minObservationWeight, 1/float64(l.observed+priorWeight))
	l.logMean += (math.Log(output) - l.logMean) * weight
}

// initialize sets the estimate to the prior before the first observation.
func (l *OutputLengths) initialize(longest float64) {
	if l.observed == 0 && l.logMean == 0 {
		l.logMean = math.Log(max(1, longest*priorMedianShare))
	}
}

// PredictMedian predicts the median output length of a request. hint is the
// estimate of the client, or 0 if it gave none; longest is the longest output
// that is allowed, or 0 if unlimited.
func (l *OutputLengths) PredictMedian(hint, longest float64) float64 {
	l.initialize(longest)
	logMedian := l.logMean
	if hint > 0 {
		logMedian += (math.Log(hint) - logMedian) * hintWeight
	}
	median := math.Exp(logMedian)
	if longest > 0 {
		median = min(median, longest)
	}
	return median
}
