package overload

import (
	"math"
	"time"
)

const (
	// mixTimeConstant is the time after which an observed request counts for 1/e.
	mixTimeConstant = 10 * time.Second
	// maxUniformShare is the share of the most frequent priority from which on requests
	// count as equally urgent. A few requests of another priority, such as probes, do not
	// pay for the wait of all others.
	maxUniformShare = 0.95
)

// Mix follows the priorities of the requests of a service. Its zero value is empty; it is not
// safe for concurrent use.
type Mix struct {
	at     time.Duration
	counts map[int]float64
	total  float64
}

// Observe records a request at a time since some fixed moment.
func (m *Mix) Observe(now time.Duration, priority int) {
	if m.counts == nil {
		m.counts = make(map[int]float64)
	}
	decay := math.Exp(-max(0, now-m.at).Seconds() / mixTimeConstant.Seconds())
	m.at, m.total = max(m.at, now), m.total*decay+1
	for p := range m.counts {
		m.counts[p] *= decay
	}
	m.counts[priority]++
}

// Mixed reports whether the requests differ in priority.
func (m *Mix) Mixed() bool {
	most := 0.0
	for _, n := range m.counts {
		most = max(most, n)
	}
	return most < maxUniformShare*m.total
}
