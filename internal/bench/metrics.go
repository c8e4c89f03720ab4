package bench

import (
	"slices"
	"time"
)

const (
	// fairWindow is the window in which backlogged callers are compared.
	fairWindow = 10
	// minWindows is the number of common windows that a comparison needs; in
	// fewer ones, the size of single requests decides the ratio.
	minWindows = 10
)

// metrics collects what a run shows. Seconds index the series.
type metrics struct {
	p          profile
	requests   []*request
	computed   int
	leaked     int
	duplicates int
	lookups    []time.Duration
	seconds    int
	served     [][]float64 // caller, second: cost tokens
	idle       [][]bool    // caller, second: no request waited at some moment
	turnedAway [][]bool
	waiting    []int
	idleSince  []time.Duration
	now        func() time.Duration
}

func newMetrics(p profile, load *workload, duration time.Duration) *metrics {
	m := &metrics{p: p, requests: load.requests, seconds: int(duration / time.Second)}
	n := len(load.callers)
	m.waiting = make([]int, n)
	m.idleSince = make([]time.Duration, n)
	for range n {
		m.served = append(m.served, make([]float64, m.seconds))
		m.idle = append(m.idle, make([]bool, m.seconds))
		m.turnedAway = append(m.turnedAway, make([]bool, m.seconds))
	}
	return m
}

func (m *metrics) serve(r *request, cost float64, now time.Duration) {
	if s := int(now / time.Second); s < m.seconds {
		m.served[r.caller.index][s] += cost
	}
}

func (m *metrics) prefilled(r *request, computed int, now time.Duration) {
	m.computed += computed
	m.serve(r, float64(r.prompt), now)
}

func (m *metrics) token(r *request, now time.Duration) {
	if r.delivered == 1 {
		r.firstAt = now + m.p.oneWay
	}
	r.lastAt = now + m.p.oneWay
	m.serve(r, outputWeight, now)
}

// decoding notes a second stream of the same request at the same time, or one
// after its end.
func (m *metrics) decoding(r *request) {
	r.decoding++
	if r.decoding > 1 || r.delivered >= r.output {
		m.duplicates++
	}
}

// wait tracks whether the caller has requests that wait for service.
func (m *metrics) wait(r *request, waits bool) {
	if r.waits == waits {
		return
	}
	r.waits = waits
	c, now := r.caller.index, m.now()
	if waits {
		if m.waiting[c] == 0 {
			m.markIdle(c, m.idleSince[c], now)
		}
		m.waiting[c]++
		return
	}
	m.waiting[c]--
	if m.waiting[c] == 0 {
		m.idleSince[c] = now
	}
}

func (m *metrics) markIdle(caller int, from, to time.Duration) {
	for s := int(from / time.Second); s <= int(to/time.Second) && s < m.seconds; s++ {
		m.idle[caller][s] = true
	}
}

func (m *metrics) refusal(r *request, now time.Duration) {
	if s := int(now / time.Second); s < m.seconds {
		m.turnedAway[r.caller.index][s] = true
	}
}

func (m *metrics) lookup(d time.Duration) { m.lookups = append(m.lookups, d) }

// good reports whether the request met both targets.
func (m *metrics) good(r *request) bool {
	if r.outcome != finished || r.firstAt-r.arrival > m.p.settings.ttft {
		return false
	}
	return m.tpot(r) <= m.p.settings.tpot
}

func (m *metrics) tpot(r *request) time.Duration {
	if r.output < 2 {
		return 0
	}
	return (r.lastAt - r.firstAt) / time.Duration(r.output-1)
}

func (m *metrics) result() Result {
	var res Result
	var first, per []time.Duration
	counted, good, useful := 0, 0, 0
	for _, r := range m.requests {
		res.Offered++
		if r.cancelIn == 0 || r.outcome != cancelled {
			counted++
		}
		if r.delivered > 0 {
			useful += r.useful
			if r.outcome != cancelled {
				first = append(first, r.firstAt-r.arrival)
			}
		}
		switch r.outcome {
		case finished:
			res.Finished++
			per = append(per, m.tpot(r))
		case refusedNotRun:
			res.RefusedNotExecuted++
		}
		if m.good(r) {
			good++
		}
	}
	res.GoodputRatio = ratio(float64(good), float64(counted))
	res.WastedPrefillRatio = ratio(float64(m.computed-useful), float64(m.computed))
	res.TTFTP50ms = ms(quantile(first, 0.5))
	res.TTFTP95ms = ms(quantile(first, 0.95))
	res.TPOTP95ms = ms(quantile(per, 0.95))
	res.LookupP95ms = ms(quantile(m.lookups, 0.95))
	res.FairnessMaxOverMin = m.fairness()
	res.LeakedTokens = m.leaked
	res.DuplicateRuns = m.duplicates
	return res
}

// callerTTFT returns the p95 of a caller's first-token times.
func (m *metrics) callerTTFT(caller int) time.Duration {
	var list []time.Duration
	for _, r := range m.requests {
		if r.caller.index == caller && r.delivered > 0 && r.outcome != cancelled {
			list = append(list, r.firstAt-r.arrival)
		}
	}
	return quantile(list, 0.95)
}

// fairness returns the greatest ratio of service per share between two callers,
// over the windows in which both were backlogged: in each second, a request
// waited all the time or one was refused.
func (m *metrics) fairness() float64 {
	worst := 1.0
	for a := range m.served {
		for b := range a {
			sa, sb, windows := m.common(a, b)
			if windows < minWindows || sa == 0 || sb == 0 {
				continue
			}
			worst = max(worst, sa/sb, sb/sa)
		}
	}
	return worst
}

func (m *metrics) common(a, b int) (sa, sb float64, windows int) {
	for s := 0; s+fairWindow <= m.seconds; s += fairWindow {
		if !m.backlogged(a, s) || !m.backlogged(b, s) {
			continue
		}
		windows++
		for i := s; i < s+fairWindow; i++ {
			sa += m.served[a][i]
			sb += m.served[b][i]
		}
	}
	return sa / m.share(a), sb / m.share(b), windows
}

func (m *metrics) share(caller int) float64 {
	for _, r := range m.requests {
		if r.caller.index == caller {
			return r.caller.share
		}
	}
	return 1
}

func (m *metrics) backlogged(caller, from int) bool {
	for s := from; s < from+fairWindow; s++ {
		if m.idle[caller][s] && !m.turnedAway[caller][s] {
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

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
