package profile

import (
	"math"
	"time"
)

// EngineSpeed is the estimated speed of one engine: that of its service, changed by the
// deviation of the engine as far as the observations prove one. All decisions that depend
// on the speed of an engine use it.
type EngineSpeed struct {
	Speed
	// StreamSlowdown and PrefillSlowdown are how much longer the engine takes than its
	// service for an event and for a prompt. They are 1 without a proved deviation.
	StreamSlowdown, PrefillSlowdown float64
	// StreamConfidence and PrefillConfidence are the parts of the estimates that rest on
	// observations of the engine, from 0 to 1.
	StreamConfidence, PrefillConfidence float64
	// LearnedStreamSlowdown and LearnedPrefillSlowdown are the best estimates of the
	// slowdowns, whether or not they are proved.
	LearnedStreamSlowdown, LearnedPrefillSlowdown float64
}

// Engine is the deviation of one engine from the speed of its service. The zero value has
// none. Each process of an engine has its own.
type Engine struct {
	stream, prefill deviation
	// peers holds the last reports of other processes.
	peers map[string]DeviationReport
	// streamEstimate and prefillEstimate follow from the fields above; see update.
	streamEstimate, prefillEstimate estimate
}

// Speed returns the speed of the engine; of is that of its service.
func (e *Engine) Speed(of Speed) EngineSpeed {
	stream, prefill := e.streamEstimate, e.prefillEstimate
	s := EngineSpeed{
		Speed:            of,
		StreamSlowdown:   factor(stream.proved),
		PrefillSlowdown:  factor(prefill.proved),
		StreamConfidence: stream.confidence, PrefillConfidence: prefill.confidence,
		LearnedStreamSlowdown: factor(stream.learned), LearnedPrefillSlowdown: factor(prefill.learned),
	}
	s.EventInterval = scaled(of.EventInterval, s.StreamSlowdown)
	s.FirstEventDelay = scaled(of.FirstEventDelay, s.StreamSlowdown)
	s.PrefillRate = of.PrefillRate / s.PrefillSlowdown
	s.PrefillDelay = scaled(of.PrefillDelay, s.PrefillSlowdown)
	return s
}

// ObserveBusyPrefill includes the time of a prefill that waited for others. expected is the
// longest time that an engine of mean speed would have taken for all of them. How many of
// them were complete already is unknown, so times below busyPrefillRatio are ignored.
func (e *Engine) ObserveBusyPrefill(took, expected time.Duration) {
	ratio := took.Seconds() / expected.Seconds()
	if ratio > busyPrefillRatio*max(1, e.PrefillSlowdown()) {
		e.observePrefill(ratio)
	}
}

// observePrefill includes one prefill. It is short, so it counts as recent too.
func (e *Engine) observePrefill(slowdown float64) {
	e.prefill.observeRecent(slowdown)
	e.prefill.observe(slowdown)
	e.update()
}

// busyPrefillRatio is the ratio of the measured to the expected time of a prefill that waited
// for others above which the engine counts as slow. Prompts of other gateways that are not
// reported yet also lengthen the measured time.
const busyPrefillRatio = 2

// RoleSpeeds returns the speed of the engine in each role, relative to that of its service.
// What was observed in one role only stands for both, since a role change keeps the
// hardware.
func (s EngineSpeed) RoleSpeeds() (prefill, decode float64) {
	prefill, decode = 1/s.PrefillSlowdown, 1/s.StreamSlowdown
	switch {
	case s.PrefillConfidence == 0:
		return decode, decode
	case s.StreamConfidence == 0:
		return prefill, prefill
	default:
		return prefill, decode
	}
}

// scaled returns d times factor. A factor of 1 changes nothing, whatever the length of d.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// Decay passes time without observations. A deviation that has not been observed for some
// time shrinks.
func (e *Engine) Decay(elapsed time.Duration) {
	e.stream.decay(elapsed)
	e.prefill.decay(elapsed)
	e.update()
}

// ObserveStream includes the interval between events of a completed stream.
func (e *Engine) ObserveStream(interval time.Duration, of Speed) {
	e.stream.observe(interval.Seconds() / of.EventInterval.Seconds())
	e.update()
}

// ObserveProgress includes the interval between events in the last part of a running stream.
// A completed stream tells little of the present, since it may have begun long before.
func (e *Engine) ObserveProgress(interval time.Duration, of Speed) {
	e.stream.observeRecent(interval.Seconds() / of.EventInterval.Seconds())
	e.update()
}

// ObservePrefill includes the time of one prefill; see Service.ObservePrefill.
func (e *Engine) ObservePrefill(tokens int64, took time.Duration, of Speed) {
	e.observePrefill(took.Seconds() / of.PrefillTime(float64(tokens)).Seconds())
}

// WithoutStreamDeviation converts a time of a stream of the engine to the time that an engine of
// the mean speed of the service takes.
// Without this, the speed of a service follows the engines that get the most requests: an
// engine that is not observed for a while then seems as fast as the fastest one.
func (e *Engine) WithoutStreamDeviation(d time.Duration) time.Duration {
	return scaled(d, 1/e.StreamSlowdown())
}

// WithoutPrefillDeviation is WithoutStreamDeviation for the time of a prefill.
func (e *Engine) WithoutPrefillDeviation(d time.Duration) time.Duration {
	return scaled(d, 1/e.PrefillSlowdown())
}

// StreamSlowdown returns EngineSpeed.StreamSlowdown.
func (e *Engine) StreamSlowdown() float64 { return factor(e.streamEstimate.proved) }

// PrefillSlowdown returns EngineSpeed.PrefillSlowdown.
func (e *Engine) PrefillSlowdown() float64 { return factor(e.prefillEstimate.proved) }

const (
	// deviationPrior is the number of observations that the speed of the service
	// counts for in the deviation of an engine.
	deviationPrior = 3
	// maxSpeedup and maxSlowdown limit the deviation. An engine that seems much
	// faster than its peers has more likely sent a false answer.
	maxSpeedup  = 2.0
	maxSlowdown = 10.0
	// deviationLifetime is the time after which a deviation that is not observed
	// again has shrunk to 1/e. An engine that seemed slow by chance gets less work and is
	// observed less, so without this its deviation would last.
	deviationLifetime = 5 * time.Second
	// speedupLifetime is deviationLifetime of an engine that is faster than its service.
	// Such an engine gets more work, which shows a false estimate.
	speedupLifetime = time.Minute
	// deviationGrace is the time without an observation after which a deviation begins
	// to shrink. Without it, an engine that is observed once a second seems to have only
	// 0.2 to 0.4 of its deviation.
	deviationGrace = 3 * time.Second
	// priorDeviationVariance is the assumed variance of the logarithm of an observation
	// relative to the mean of its engine.
	priorDeviationVariance = 0.04
	// provedErrors is the number of standard errors that a deviation must exceed, and
	// minProvedDeviation what it must exceed besides, as a natural logarithm. The speed
	// of the service is an estimate too, and engines are rarely alike to the last tenth.
	provedErrors       = 2.0
	minProvedDeviation = 0.1
	// recentWeight is the weight of an observation in the recent speed of an engine. With
	// it, three observations of an engine that takes four times as long show that it is at
	// least half as slow again as before, and one outlier does not.
	recentWeight = 1.0 / 3
	// minRecentSamples is the number of observations of a recent speed from which on it
	// may differ from the past.
	minRecentSamples = 3
	// maxRecentChange is the natural logarithm of the change up to which the past of an
	// engine tells more about it than its last observations. It is a factor of 1.5.
	maxRecentChange = 0.405
)

// deviation is the slowdown of an engine relative to its service, in one role.
type deviation struct {
	// mean is that of the slowdown. Its samples include deviationPrior.
	mean Average
	// variance is that of the logarithm of one observation.
	variance float64
	// recent is the logarithm of the slowdown in the last observations, and recentSamples
	// their number, at most minRecentSamples.
	recent        float64
	recentSamples int
	// unobserved is the time since the last observation.
	unobserved time.Duration
}

// logSlowdown returns the best estimate of the logarithm of the slowdown: the recent one if
// the engine has become much slower or faster than in its past, else the mean.
func (d *deviation) logSlowdown() float64 {
	if d.changed() {
		return d.recent
	}
	return d.mean.LogMean
}

// begin sets what is assumed before the first observation.
func (d *deviation) begin() {
	if d.mean.Samples == 0 {
		d.mean.Samples, d.variance = deviationPrior, priorDeviationVariance
	}
}

// observe includes one observation in the mean. Numbers that are not positive have no
// effect.
func (d *deviation) observe(slowdown float64) {
	if !(slowdown > 0) {
		return
	}
	d.begin()
	before := d.mean
	slowdown = min(max(slowdown, 1/maxSpeedup), maxSlowdown)
	if !d.mean.Observe(slowdown) {
		return
	}
	step := min(max(math.Log(slowdown)-before.LogMean, -maxLogStep), maxLogStep)
	weight := max(minWeight, 1/(before.Samples+1))
	d.variance = (1 - weight) * (d.variance + weight*step*step)
	d.unobserved = 0
}

// observeRecent includes one observation of the present. Numbers that are not positive have
// no effect.
func (d *deviation) observeRecent(slowdown float64) {
	if !(slowdown > 0) {
		return
	}
	d.begin()
	if d.recentSamples == 0 {
		d.recent = d.mean.LogMean
	}
	slowdown = min(max(slowdown, 1/maxSpeedup), maxSlowdown)
	d.recent += recentWeight * min(max(math.Log(slowdown)-d.recent, -maxLogStep), maxLogStep)
	d.recentSamples = min(minRecentSamples, d.recentSamples+1)
	d.unobserved = 0
}

// changed reports whether the engine has become much slower or faster than in its past.
func (d *deviation) changed() bool {
	return d.recentSamples >= minRecentSamples && math.Abs(d.recent-d.mean.LogMean) > maxRecentChange
}

// weight returns the number of observations that the estimate rests on.
func (d *deviation) weight() float64 {
	w := max(0, d.mean.Samples-deviationPrior)
	if d.changed() {
		return max(w, minRecentSamples)
	}
	return w
}

// decay passes time without an observation. The fewer observations then count, the more
// the next one does.
func (d *deviation) decay(elapsed time.Duration) {
	before := max(0, d.unobserved-deviationGrace)
	d.unobserved += elapsed
	fading := max(0, d.unobserved-deviationGrace) - before
	lifetime := deviationLifetime
	if d.logSlowdown() < 0 {
		lifetime = speedupLifetime
	}
	remaining := math.Exp(-fading.Seconds() / lifetime.Seconds())
	d.mean.LogMean *= remaining
	d.recent *= remaining
	if extra := d.mean.Samples - deviationPrior; extra > 0 {
		d.mean.Samples = deviationPrior + extra*remaining
	}
}

// proved returns the logarithm of the slowdown as far as it is proved.
func (d *deviation) proved() float64 {
	if d.mean.Samples == 0 {
		return 0
	}
	return proved(d.logSlowdown(), d.variance/d.mean.Samples)
}

// confidence returns the part of the estimate that rests on observations.
func (d *deviation) confidence() float64 {
	w := d.weight()
	return w / (deviationPrior + w)
}
