// Package forecast predicts the memory that the running requests of a model
// engine will need.
//
// It answers the load in which memory binds: an engine that admits by what is
// free now runs full once the requests have grown, and preempts streams; one
// that admits by the longest possible output leaves a third of its memory
// unused. The forecast adds up what each request needs at each moment, weighed
// by the chance that it still runs then.
package forecast

import "math"

const (
	// CurvePoints is the number of moments that a curve looks at.
	CurvePoints = 18
	// StepSeconds is the time between two points, in seconds.
	StepSeconds = 0.25
)

// Request is one request on an engine.
type Request struct {
	// Prompt is the length of the prompt, in tokens.
	Prompt float64
	// MedianOutput is the output length that is as likely exceeded as not, in tokens.
	MedianOutput float64
	// MaxOutput bounds the output, in tokens; 0: no bound.
	MaxOutput float64
	// Age is the time since the output began, in seconds; negative before that.
	Age float64
}

// Curve is the memory needed at each point, in tokens.
type Curve [CurvePoints]float64

// Peak returns the largest value.
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

// Add adds the curve of one run that generates rate tokens a second.
func (c *Curve) Add(r Request, rate float64) {
	made := max(0, r.Age) * rate
	alive := survival(made, r)
	for i := range c {
		t := float64(i) * StepSeconds
		output := max(0, r.Age+t) * rate
		if r.MaxOutput > 0 && output > r.MaxOutput {
			break
		}
		p := 1.0
		if i > 0 {
			p = survival(output, r) / alive
		}
		c[i] += p * (r.Prompt + output)
	}
}

// spread is the standard deviation of the logarithm of output lengths around
// the predicted median.
const spread = 0.4

// minAlive keeps the chance that a run still goes on from vanishing when it has
// outlived every expectation.
const minAlive = 1e-9

// survival is the chance that the output of a run exceeds the given length.
func survival(output float64, r Request) float64 {
	if output <= 0 || r.MedianOutput <= 0 {
		return 1
	}
	z := (math.Log(output) - math.Log(r.MedianOutput)) / spread
	return max(minAlive, 0.5*math.Erfc(z/math.Sqrt2))
}

// OutputLengths learns the output lengths of one route from the requests that ended.
// It is not safe for concurrent use.
type OutputLengths struct {
	logMean float64
	seen    int
}

const (
	// priorShare is the assumed median output as a share of the longest.
	priorShare = 0.45
	// priorWeight is how many requests the assumption counts for.
	priorWeight = 8
	// lengthDecay is the least weight of one new request.
	lengthDecay = 0.02
	// hintWeight is the part that a client's estimate has in the prediction; the
	// rest is the route's own median. Both err by about the same factor.
	hintWeight = 0.5
)

// Observe records the output of a request that ran to its end.
func (l *OutputLengths) Observe(output, longest float64) {
	if output <= 0 {
		return
	}
	l.start(longest)
	l.seen++
	weight := max(lengthDecay, 1/float64(l.seen+priorWeight))
	l.logMean += (math.Log(output) - l.logMean) * weight
}

func (l *OutputLengths) start(longest float64) {
	if l.seen == 0 && l.logMean == 0 {
		l.logMean = math.Log(max(1, longest*priorShare))
	}
}

// PredictMedian predicts the median output of a request; hint is the client's
// estimate, 0 if it gave none.
func (l *OutputLengths) PredictMedian(hint, longest float64) float64 {
	l.start(longest)
	log := l.logMean
	if hint > 0 {
		log += (math.Log(hint) - log) * hintWeight
	}
	median := math.Exp(log)
	if longest > 0 {
		median = min(median, longest)
	}
	return median
}
