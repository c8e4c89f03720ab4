package retry

import (
	"slices"
	"time"
)

const (
	hedgeWindow     = 256
	hedgeMinSamples = 32
	hedgeQuantile   = 0.95
	// hedgeUpdateInterval is the number of samples after which the quantile is
	// computed again.
	hedgeUpdateInterval = 16
)

// LatencyWindow holds the recent latencies of a route and determines after
// which delay a second attempt is worth sending. The zero value is ready to
// use. It is not safe for concurrent use.
type LatencyWindow struct {
	samples [hedgeWindow]time.Duration
	count   int
	p95     time.Duration
}

// Observe records the latency of one call.
func (l *LatencyWindow) Observe(d time.Duration) {
	l.samples[l.count%hedgeWindow] = d
	l.count++
	if l.count == hedgeMinSamples || l.count > hedgeMinSamples && l.count%hedgeUpdateInterval == 0 {
		l.updateQuantile()
	}
}

func (l *LatencyWindow) updateQuantile() {
	recent := slices.Clone(l.samples[:min(l.count, hedgeWindow)])
	slices.Sort(recent)
	l.p95 = recent[int(hedgeQuantile*float64(len(recent)-1))]
}

// HedgeDelay returns the 95th percentile of recent latencies. ok is false until
// hedgeMinSamples calls were observed.
func (l *LatencyWindow) HedgeDelay() (delay time.Duration, ok bool) {
	return l.p95, l.count >= hedgeMinSamples
}
