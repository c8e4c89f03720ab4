package bench

import (
	"slices"
	"time"
)

const (
	// fairnessWindowSeconds is the length of the windows in which two backlogged
	// callers are compared.
	fairnessWindowSeconds = 10
	// minFairnessWindows is the number of common windows that a comparison needs.
	// With fewer windows, the sizes of single requests dominate the ratio.
	minFairnessWindows = 10
)

// metrics collects the measurements of a run. The series per caller have one
// element per second of arrivals.
type metrics struct {
	profile         profile
	requests        []*request
	computedTokens  int
	leakedTokens    int
	duplicateRuns   int
	lookups         []time.Duration
	seconds         int
	servedCost      [][]float64 // by caller and second: token cost served
	idle            [][]bool    // by caller and second: at some moment no request waited
	refused         [][]bool    // by caller and second: a request was refused
	waitingRequests []int
	idleSince       []time.Duration
	now             func() time.Duration
}

func newMetrics(p profile, load *workload, duration time.Duration) *metrics {
	m := &metrics{profile: p, requests: load.requests, seconds: int(duration / time.Second)}
	n := len(load.callers)
	m.waitingRequests = make([]int, n)
	m.idleSince = make([]time.Duration, n)
	for range n {
		m.servedCost = append(m.servedCost, make([]float64, m.seconds))
		m.idle = append(m.idle, make([]bool, m.seconds))
		m.refused = append(m.refused, make([]bool, m.seconds))
	}
	return m
}

func (m *metrics) addService(r *request, cost float64, now time.Duration) {
	if s := int(now / time.Second); s < m.seconds {
		m.servedCost[r.caller.index][s] += cost
	}
}

func (m *metrics) recordPrefill(r *request, computed int, now time.Duration) {
	m.computedTokens += computed
	m.addService(r, float64(r.promptTokens), now)
}

func (m *metrics) recordToken(r *request, now time.Duration) {
	if r.deliveredTokens == 1 {
		r.firstTokenAt = now + m.profile.oneWayDelay
	}
	r.lastTokenAt = now + m.profile.oneWayDelay
	m.addService(r, outputTokenCost, now)
}

// recordDecodeStart counts a duplicate if the request has another decode stream or
// its output is already complete.
func (m *metrics) recordDecodeStart(r *request) {
	r.decodeStreams++
	if r.decodeStreams > 1 || r.deliveredTokens >= r.outputTokens {
		m.duplicateRuns++
	}
}

// setWaiting records whether the request waits for service. When a request of a caller
// without waiting requests starts to wait, it marks the seconds of the idle period that
// ends. An idle period that lasts until the end of the run is not marked.
func (m *metrics) setWaiting(r *request, waiting bool) {
	if r.waiting == waiting {
		return
	}
	r.waiting = waiting
	c, now := r.caller.index, m.now()
	if waiting {
		if m.waitingRequests[c] == 0 {
			m.markIdle(c, m.idleSince[c], now)
		}
		m.waitingRequests[c]++
		return
	}
	m.waitingRequests[c]--
	if m.waitingRequests[c] == 0 {
		m.idleSince[c] = now
	}
}

func (m *metrics) markIdle(caller int, from, to time.Duration) {
	for s := int(from / time.Second); s <= int(to/time.Second) && s < m.seconds; s++ {
		m.idle[caller][s] = true
	}
}

func (m *metrics) recordRefusal(r *request, now time.Duration) {
	if s := int(now / time.Second); s < m.seconds {
		m.refused[r.caller.index][s] = true
	}
}

func (m *metrics) recordLookup(d time.Duration) { m.lookups = append(m.lookups, d) }

// metTargets reports whether the request finished within both latency targets.
func (m *metrics) metTargets(r *request) bool {
	if r.outcome != finished || r.firstTokenAt-r.arrival > m.profile.settings.ttftTarget {
		return false
	}
	return m.tpot(r) <= m.profile.settings.tpotTarget
}

func (m *metrics) tpot(r *request) time.Duration {
	if r.outputTokens < 2 {
		return 0
	}
	return (r.lastTokenAt - r.firstTokenAt) / time.Duration(r.outputTokens-1)
}

func (m *metrics) result() Result {
	var res Result
	var ttfts, tpots []time.Duration
	counted, good, useful := 0, 0, 0
	for _, r := range m.requests {
		res.Offered++
		if r.cancelAfter == 0 || r.outcome != cancelled {
			counted++
		}
		if r.deliveredTokens > 0 {
			useful += r.usefulPrefillTokens
			if r.outcome != cancelled {
				ttfts = append(ttfts, r.firstTokenAt-r.arrival)
			}
		}
		switch r.outcome {
		case finished:
			res.Finished++
			tpots = append(tpots, m.tpot(r))
		case refusedNotExecuted:
			res.RefusedNotExecuted++
		}
		if m.metTargets(r) {
			good++
		}
	}
	res.GoodputRatio = ratio(float64(good), float64(counted))
	res.WastedPrefillRatio = ratio(float64(m.computedTokens-useful), float64(m.computedTokens))
	res.TTFTP50ms = milliseconds(quantile(ttfts, 0.5))
	res.TTFTP95ms = milliseconds(quantile(ttfts, 0.95))
	res.TPOTP95ms = milliseconds(quantile(tpots, 0.95))
	res.LookupP95ms = milliseconds(quantile(m.lookups, 0.95))
	res.FairnessMaxOverMin = m.fairness()
	res.LeakedTokens = m.leakedTokens
	res.DuplicateRuns = m.duplicateRuns
	return res
}

// callerTTFT returns the 95th percentile of a caller's time to first token.
func (m *metrics) callerTTFT(caller int) time.Duration {
	var list []time.Duration
	for _, r := range m.requests {
		if r.caller.index == caller && r.deliveredTokens > 0 && r.outcome != cancelled {
			list = append(list, r.firstTokenAt-r.arrival)
		}
	}
	return quantile(list, 0.95)
}

// fairness returns the greatest ratio of service per share between two callers,
// over the windows in which both were backlogged. A caller is backlogged in a
// window if in each second a request was waiting all the time or one was refused.
func (m *metrics) fairness() float64 {
	worst := 1.0
	for a := range m.servedCost {
		for b := range a {
			serviceA, serviceB, windows := m.commonWindows(a, b)
			if windows < minFairnessWindows || serviceA == 0 || serviceB == 0 {
				continue
			}
			worst = max(worst, serviceA/serviceB, serviceB/serviceA)
		}
	}
	return worst
}

// commonWindows returns the service per share of two callers in the windows in
// which both were backlogged, and the number of these windows.
func (m *metrics) commonWindows(a, b int) (serviceA, serviceB float64, windows int) {
	for s := 0; s+fairnessWindowSeconds <= m.seconds; s += fairnessWindowSeconds {
		if !m.backlogged(a, s) || !m.backlogged(b, s) {
			continue
		}
		windows++
		for i := s; i < s+fairnessWindowSeconds; i++ {
			serviceA += m.servedCost[a][i]
			serviceB += m.servedCost[b][i]
		}
	}
	return serviceA / m.callerShare(a), serviceB / m.callerShare(b), windows
}

func (m *metrics) callerShare(caller int) float64 {
	for _, r := range m.requests {
		if r.caller.index == caller {
			return r.caller.share
		}
	}
	return 1
}

func (m *metrics) backlogged(caller, from int) bool {
	for s := from; s < from+fairnessWindowSeconds; s++ {
		if m.idle[caller][s] && !m.refused[caller][s] {
			return false
		}
	}
	return true
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
