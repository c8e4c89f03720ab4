// Package predict estimates the output length of requests for each pair of
// caller and model, from decaying histograms of earlier answers.
//
// Memory is bounded: the least recently used pair is removed first. Without a
// histogram of its own, a pair is predicted from the histogram of the model.
package predict

import "container/list"

const (
	// DefaultMaxPairs is the default limit of the pairs of caller and model
	// that are stored.
	DefaultMaxPairs = 20_000
	// DefaultQuantile is the quantile of output lengths that reservations use
	// by default. With a lower one, more streams outgrow their reservation;
	// with a higher one, more reserved memory stays unused.
	DefaultQuantile = 0.7
	// priorTokens is the prediction before any answer of a model was observed.
	priorTokens = 256
	// decayPerSample is the factor by which each new answer reduces the weight
	// of the older ones; after about 70 newer ones an answer counts half.
	decayPerSample = 0.99
	// minPairWeight is the total weight below which the histogram of a pair is
	// not used.
	minPairWeight = 4
	// bucketCount is the number of buckets of a histogram.
	bucketCount = 48
	// bucketGrowth is the ratio of the upper bounds of adjacent buckets; 48
	// buckets reach 16,000 tokens.
	bucketGrowth = 1.225
)

// bucketBounds holds the upper bound of each bucket, in tokens.
var bucketBounds = makeBucketBounds()

func makeBucketBounds() [bucketCount]float64 {
	var b [bucketCount]float64
	v := 1.0
	for i := range b {
		b[i] = v
		v = max(v+1, v*bucketGrowth)
	}
	return b
}

// histogram is a decaying histogram of output lengths.
type histogram struct {
	count [bucketCount]float32
	total float32
}

// observe adds an output length and reduces the weight of the older ones.
func (h *histogram) observe(tokens float64) {
	for i := range h.count {
		h.count[i] *= decayPerSample
	}
	h.count[bucketIndex(tokens)]++
	h.total = h.total*decayPerSample + 1
}

// bucketIndex returns the index of the bucket that contains the length.
func bucketIndex(tokens float64) int {
	for i, b := range bucketBounds {
		if tokens <= b {
			return i
		}
	}
	return bucketCount - 1
}

// quantile returns the quantile q of the observed lengths that are longer than
// produced. ok is false if no such length was observed.
func (h *histogram) quantile(q, produced float64) (tokens float64, ok bool) {
	var weightAbove float64
	firstBucket := 0
	if produced > 0 {
		firstBucket = bucketIndex(produced) + 1
	}
	for i := firstBucket; i < bucketCount; i++ {
		weightAbove += float64(h.count[i])
	}
	if weightAbove < 1e-3 {
		return 0, false
	}
	sum := 0.0
	for i := firstBucket; i < bucketCount; i++ {
		sum += float64(h.count[i])
		if sum >= q*weightAbove {
			return bucketBounds[i], true
		}
	}
	return bucketBounds[bucketCount-1], true
}

// pairKey identifies a pair of caller and model.
type pairKey struct{ caller, model string }

// pairEntry is an element of Predictor.lru.
type pairEntry struct {
	key       pairKey
	histogram histogram
}

// Predictor predicts output lengths. It is not safe for concurrent use.
type Predictor struct {
	quantile float64
	maxPairs int
	pairs    map[pairKey]*list.Element
	lru      *list.List
	models   map[string]*histogram
}

// New returns a predictor of the given quantile that stores up to maxPairs
// pairs. Values that are not valid select the defaults.
func New(quantile float64, maxPairs int) *Predictor {
	if quantile <= 0 || quantile >= 1 {
		quantile = DefaultQuantile
	}
	if maxPairs <= 0 {
		maxPairs = DefaultMaxPairs
	}
	return &Predictor{quantile: quantile, maxPairs: maxPairs, pairs: map[pairKey]*list.Element{}, lru: list.New(), models: map[string]*histogram{}}
}

// Observe records the length of a complete answer, in tokens.
func (p *Predictor) Observe(caller, model string, tokens int) {
	m, ok := p.models[model]
	if !ok {
		m = &histogram{}
		p.models[model] = m
	}
	m.observe(float64(tokens))
	p.pairHistogram(pairKey{caller, model}).observe(float64(tokens))
}

// pairHistogram returns the histogram of the pair. It adds the histogram if
// necessary and then removes the least recently used one if the limit is
// reached.
func (p *Predictor) pairHistogram(key pairKey) *histogram {
	if e, ok := p.pairs[key]; ok {
		p.lru.MoveToFront(e)
		return &e.Value.(*pairEntry).histogram
	}
	if p.lru.Len() >= p.maxPairs {
		oldest := p.lru.Back()
		delete(p.pairs, p.lru.Remove(oldest).(*pairEntry).key)
	}
	e := &pairEntry{key: key}
	p.pairs[key] = p.lru.PushFront(e)
	return &e.histogram
}

// OutputLength predicts the length of the complete answer of a request that has
// already produced some tokens and may produce at most maxTokens (0:
// unlimited). If the request has passed its original prediction, the new one is
// based on the longer answers only. If no longer answer was observed, the
// result is twice the number of produced tokens.
func (p *Predictor) OutputLength(caller, model string, produced, maxTokens int) int {
	tokens := p.predict(pairKey{caller, model}, float64(produced))
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return max(int(tokens), produced, 1)
}

// predict returns the expected output length from the histogram of the caller and
// model, of the model, or from priorTokens, whichever is the first that is
// reliable.
func (p *Predictor) predict(key pairKey, produced float64) float64 {
	if e, ok := p.pairs[key]; ok {
		h := &e.Value.(*pairEntry).histogram
		if v, ok := h.quantile(p.quantile, produced); ok && h.total >= minPairWeight {
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
