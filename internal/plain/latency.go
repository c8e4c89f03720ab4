package plain

import (
	"slices"
	"sync"
	"time"
)

const (
	latencyWindow  = 256
	latencyRefresh = 32
	// minHedgeDelay keeps scheduling noise from starting second tries.
	minHedgeDelay = 2 * time.Millisecond
)

// latencies keeps the recent times to first byte of each route.
type latencies struct {
	mu     sync.Mutex
	routes map[string]*latencyRing
}

type latencyRing struct {
	recent []time.Duration
	next   int
	seen   int
	p95    time.Duration
}

func newLatencies() *latencies { return &latencies{routes: make(map[string]*latencyRing)} }

func (l *latencies) observe(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ring, ok := l.routes[route]
	if !ok {
		ring = &latencyRing{}
		l.routes[route] = ring
	}
	ring.add(d)
}

func (r *latencyRing) add(d time.Duration) {
	if len(r.recent) < latencyWindow {
		r.recent = append(r.recent, d)
	} else {
		r.recent[r.next] = d
		r.next = (r.next + 1) % latencyWindow
	}
	r.seen++
	if r.seen%latencyRefresh == 0 {
		sorted := slices.Clone(r.recent)
		slices.Sort(sorted)
		r.p95 = sorted[len(sorted)*95/100]
	}
}

// hedgeDelay returns the observed p95 of the route, once enough calls were seen.
func (l *latencies) hedgeDelay(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ring, ok := l.routes[route]
	if !ok || ring.seen < latencyRefresh {
		return 0, false
	}
	return max(ring.p95, minHedgeDelay), true
}
