package plain

import (
	"slices"
	"sync"
	"time"
)

const (
	latencySampleCount = 256
	p95RefreshInterval = 32
	// minHedgeDelay prevents scheduling noise from starting second attempts.
	minHedgeDelay = 2 * time.Millisecond
)

// latencyTracker keeps the recent times to first byte per route.
type latencyTracker struct {
	mu     sync.Mutex
	routes map[string]*latencySamples
}

type latencySamples struct {
	ring  []time.Duration
	next  int
	count int
	p95   time.Duration
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{routes: make(map[string]*latencySamples)}
}

func (l *latencyTracker) observe(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	samples, ok := l.routes[route]
	if !ok {
		samples = &latencySamples{}
		l.routes[route] = samples
	}
	samples.add(d)
}

func (r *latencySamples) add(d time.Duration) {
	if len(r.ring) < latencySampleCount {
		r.ring = append(r.ring, d)
	} else {
		r.ring[r.next] = d
		r.next = (r.next + 1) % latencySampleCount
	}
	r.count++
	if r.count%p95RefreshInterval == 0 {
		sorted := slices.Clone(r.ring)
		slices.Sort(sorted)
		r.p95 = sorted[len(sorted)*95/100]
	}
}

// hedgeDelay returns the observed 95th percentile of the route. It reports false
// until enough calls have been observed.
func (l *latencyTracker) hedgeDelay(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	samples, ok := l.routes[route]
	if !ok || samples.count < p95RefreshInterval {
		return 0, false
	}
	return max(samples.p95, minHedgeDelay), true
}
