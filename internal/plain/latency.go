package plain

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencySampleCount is the number of latest samples kept per route.
	latencySampleCount = 256
	// p95RefreshInterval is the number of samples after which the percentile is
	// computed again.
	p95RefreshInterval = 32
	// minHedgeDelay prevents scheduling noise from starting second attempts.
	minHedgeDelay = 2 * time.Millisecond
)

// latencyTracker keeps the recent times to first byte per route.
type latencyTracker struct {
	mu     sync.Mutex
	routes map[string]*latencySamples
}

// latencySamples holds the latest samples of one route and their 95th percentile.
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

func (s *latencySamples) add(d time.Duration) {
	if len(s.ring) < latencySampleCount {
		s.ring = append(s.ring, d)
	} else {
		s.ring[s.next] = d
		s.next = (s.next + 1) % latencySampleCount
	}
	s.count++
	if s.count%p95RefreshInterval == 0 {
		sorted := slices.Clone(s.ring)
		slices.Sort(sorted)
		s.p95 = sorted[len(sorted)*95/100]
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
