// Package predict estimates the output length of requests per caller and model
// from decaying histograms of earlier answers.
//
// Memory is bounded: the least recently used pair of caller and model is
// forgotten first and is then predicted from the model's own histogram.
package predict

import "container/list"

const (
	// DefaultMaxPairs bounds the pairs of caller and model that are remembered.
	DefaultMaxPairs = 20_000
	// DefaultQuantile is the quantile that reservations use. A lower one makes
	// more streams outgrow their reservation, a higher one leaves memory unused.
	DefaultQuantile = 0.7
	// priorTokens is the prediction before anything was observed.
	priorTokens = 256
	// decayPerSample makes old answers count half after about 70 newer ones.
	decayPerSample = 0.99
	// minWeight is the observed weight below which a pair's own histogram is not used.
	minWeight = 4
	buckets   = 48
	// growth is the ratio of adjacent bucket bounds; 48 buckets reach 16,000 tokens.
	growth = 1.225
)

// bounds holds the upper bound of each bucket in tokens.
var bounds = makeBounds()

func makeBounds() [buckets]float64 {
	var b [buckets]float64
	v := 1.0
	for i := range b {
		b[i] = v
		v = max(v+1, v*growth)
	}
	return b
}

type histogram struct {
	count [buckets]float32
	total float32
}

func (h *histogram) observe(tokens float64) {
	for i := range h.count {
		h.count[i] *= decayPerSample
	}
	h.count[bucket(tokens)]++
	h.total = h.total*decayPerSample + 1
}

func bucket(tokens float64) int {
	for i, b := range bounds {
		if tokens <= b {
			return i
		}
	}
	return buckets - 1
}

// quantile returns the quantile of the lengths above produced tokens. ok is
// false when no such length was observed.
func (h *histogram) quantile(q, produced float64) (tokens float64, ok bool) {
	var above float64
	first := 0
	if produced > 0 {
		first = bucket(produced) + 1
	}
	for i := first; i < buckets; i++ {
		above += float64(h.count[i])
	}
	if above < 1e-3 {
		return 0, false
	}
	sum := 0.0
	for i := first; i < buckets; i++ {
		sum += float64(h.count[i])
		if sum >= q*above {
			return bounds[i], true
		}
	}
	return bounds[buckets-1], true
}

type pair struct{ caller, model string }

type entry struct {
	key pair
	h   histogram
}

// Predictor predicts output lengths. It is not safe for concurrent use.
type Predictor struct {
	quantile float64
	maxPairs int
	pairs    map[pair]*list.Element
	recent   *list.List
	models   map[string]*histogram
}

// New returns a predictor; zero values select the defaults.
func New(quantile float64, maxPairs int) *Predictor {
	if quantile <= 0 || quantile >= 1 {
		quantile = DefaultQuantile
	}
	if maxPairs <= 0 {
		maxPairs = DefaultMaxPairs
	}
	return &Predictor{quantile: quantile, maxPairs: maxPairs, pairs: map[pair]*list.Element{}, recent: list.New(), models: map[string]*histogram{}}
}

// Observe records the length of a complete answer.
func (p *Predictor) Observe(caller, model string, tokens int) {
	m, ok := p.models[model]
	if !ok {
		m = &histogram{}
		p.models[model] = m
	}
	m.observe(float64(tokens))
	p.pair(pair{caller, model}).observe(float64(tokens))
}

func (p *Predictor) pair(key pair) *histogram {
	if e, ok := p.pairs[key]; ok {
		p.recent.MoveToFront(e)
		return &e.Value.(*entry).h
	}
	if p.recent.Len() >= p.maxPairs {
		oldest := p.recent.Back()
		delete(p.pairs, p.recent.Remove(oldest).(*entry).key)
	}
	e := &entry{key: key}
	p.pairs[key] = p.recent.PushFront(e)
	return &e.h
}

// OutputLength predicts the length of the complete answer of a request that has
// produced this many tokens and may produce at most maxTokens (0: unlimited).
// A request that has passed its prediction is predicted anew from the longer
// answers; when none was observed, its length doubles.
func (p *Predictor) OutputLength(caller, model string, produced, maxTokens int) int {
	tokens := p.total(pair{caller, model}, float64(produced))
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return max(int(tokens), produced, 1)
}

func (p *Predictor) total(key pair, produced float64) float64 {
	if e, ok := p.pairs[key]; ok {
		h := &e.Value.(*entry).h
		if v, ok := h.quantile(p.quantile, produced); ok && h.total >= minWeight {
			return v
		}
	}
	if h, ok := p.models[key.model]; ok {
		if v, ok := h.quantile(p.quantile, produced); ok {
			return v
		}
	}
	if produced < priorTokens {
		return priorTokens
	}
	return 2 * produced
}
