package entry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// initialPrefillRate applies until a prefill was observed, in tokens per second.
	initialPrefillRate = 8000
	// rateWeight is the weight of a new observation in the moving average.
	rateWeight = 0.1
)

// rateEstimate is a moving average of a rate in tokens per second.
type rateEstimate struct {
	bits atomic.Uint64
}

func (r *rateEstimate) rate() float64 {
	if b := r.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return initialPrefillRate
}

func (r *rateEstimate) observe(tokens uint64, took time.Duration) {
	if tokens == 0 || took <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	for {
		old := r.bits.Load()
		next := seen
		if old != 0 {
			next = math.Float64frombits(old)*(1-rateWeight) + seen*rateWeight
		}
		if r.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

func (r *rateEstimate) estimate(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.rate() * float64(time.Second))
}

func (e *Entry) predict(req *Request) uint64 {
	remaining := uint64(req.MaxTokens) - min(uint64(req.MaxTokens), req.Delivered())
	return remaining
}

func (e *Entry) observeLength(*Request) {}

func (e *Entry) observeFirstToken(req *Request) {
	took := time.Since(req.Accepted)
	e.accounts.of(req.Caller.Name).firstToken(took, time.Now().After(req.Deadline))
	e.metrics.firstTokenAfter(took)
}
