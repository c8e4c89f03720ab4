package retry

import (
	"slices"
	"time"
)

const (
	hedgeWindow     = 256
	hedgeMinSamples = 32
	hedgeQuantile   = 0.95
	// hedgeRefresh is the number of samples after which the quantile is
	// computed again.
	hedgeRefresh = 16
)

// LatencyWindow tracks the recent latencies of a route and tells after which delay
// a second try is worth it. The zero value is ready. It is not safe for
// concurrent use.
type LatencyWindow struct {
	ring  [hedgeWindow]time.Duration
	count int
	p95   time.Duration
}

// Observe records the latency of a call.
func (l *LatencyWindow) Observe(d time.Duration) {
	l.ring[l.count%hedgeWindow] = d
	l.count++
	if l.count == hedgeMinSamples || l.count > hedgeMinSamples && l.count%hedgeRefresh == 0 {
		l.refresh()
	}
}

func (l *LatencyWindow) refresh() {
	recent := slices.Clone(l.ring[:min(l.count, hedgeWindow)])
	slices.Sort(recent)
	l.p95 = recent[int(hedgeQuantile*float64(len(recent)-1))]
}

// HedgeDelay returns the p95 of recent calls; ok is false before enough calls
// were observed.
func (l *LatencyWindow) HedgeDelay() (delay time.Duration, ok bool) {
	return l.p95, l.count >= hedgeMinSamples
}
