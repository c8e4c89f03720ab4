package entry

import (
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/predict"
	"github.com/fescueslip/fescueslip/internal/policy/retry"
)

const (
	// initialPrefillRate is the rate in tokens per second that is assumed until
	// the first prefill has been observed.
	initialPrefillRate = 8000
	// rateWeight is the weight of a new observation in the moving average.
	rateWeight = 0.1
	// minRateTokens excludes short prefills from the rate, because their fixed
	// cost dominates.
	minRateTokens = 256
)

// rateEstimate is a moving average of a rate in tokens per second. It is safe
// for concurrent use.
type rateEstimate struct {
	bits atomic.Uint64
}

// rate returns the estimate, or initialPrefillRate before the first observation.
func (r *rateEstimate) rate() float64 {
	if b := r.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return initialPrefillRate
}

// observe includes one prefill in the average, unless it is shorter than
// minRateTokens.
func (r *rateEstimate) observe(tokens uint64, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	for {
		old := r.bits.Load()
		next := sample
		if old != 0 {
			next = math.Float64frombits(old)*(1-rateWeight) + sample*rateWeight
		}
		if r.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// durationFor returns the time that the given number of tokens takes at the
// estimated rate.
func (r *rateEstimate) durationFor(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.rate() * float64(time.Second))
}

// lengthPredictor makes a predictor of output lengths safe for concurrent use.
type lengthPredictor struct {
	mu        sync.Mutex
	predictor *predict.Predictor
}

func newLengthPredictor() *lengthPredictor { return &lengthPredictor{predictor: predict.New(0, 0)} }

// predictTotal returns the expected number of output tokens, including those already
// delivered.
func (l *lengthPredictor) predictTotal(req *Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.predictor.OutputLength(req.Caller.Name, req.Model.Name, int(req.Delivered()), req.MaxTokens)
}

func (l *lengthPredictor) observe(req *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.predictor.Observe(req.Caller.Name, req.Model.Name, int(req.Delivered()))
}

// predictRemaining returns the expected number of output tokens beyond those
// already delivered, at least 1.
func (e *Entry) predictRemaining(req *Request) uint64 {
	total := min(e.lengths.predictTotal(req), req.MaxTokens)
	return uint64(max(1, total-int(req.Delivered())))
}

func (e *Entry) observeLength(req *Request) { e.lengths.observe(req) }

// observeFirstToken records the time to the first token for the caller and in the
// metrics.
func (e *Entry) observeFirstToken(req *Request) {
	took := time.Since(req.Accepted)
	e.counters.get(req.Caller.Name).observeFirstToken(took, time.Now().After(req.Deadline))
	e.metrics.recordFirstToken(took)
}

// prefixCache estimates which prefixes the upstreams hold in their caches. It
// knows only the prefills of this entry.
type prefixCache struct {
	mu    sync.Mutex
	index *choose.CacheIndex
}

func newPrefixCache() *prefixCache { return &prefixCache{index: choose.NewCacheIndex(0)} }

// cached returns the number of leading prompt tokens that the upstream is expected
// to have in its cache.
func (p *prefixCache) cached(upstream string, hashes []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.CachedTokens(upstream, hashes)
}

// add records that the upstream has prefilled a prompt.
func (p *prefixCache) add(upstream string, hashes []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.RecordPrefill(upstream, hashes)
}

// dropMissing removes the blocks of a prompt that the upstream turned out not to
// have cached.
func (p *prefixCache) dropMissing(upstream string, hashes []uint64, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	assumed := p.index.CachedTokens(upstream, hashes)
	if cachedTokens >= assumed {
		return
	}
	var events []choose.Event
	for _, h := range hashes[cachedTokens/choose.BlockTokens : assumed/choose.BlockTokens] {
		events = append(events, choose.Event{Kind: choose.Evicted, Prefix: h})
	}
	p.index.Apply(upstream, events, false)
}

// forget removes all that is known about the cache of the upstream.
func (p *prefixCache) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Forget(upstream)
}

// prefixHashes returns the hashes of the prompt's leading blocks. It computes
// them on the first call.
func (r *Request) prefixHashes() []uint64 {
	if r.hashes == nil {
		r.hashes = choose.PrefixHashes(strings.Fields(r.Prompt))
	}
	return r.hashes
}

// retryBudget guards the retry budget for concurrent use. A request that finds
// the budget exhausted waits longer before its next attempt instead of failing,
// because the entry has to answer every request that it accepted.
type retryBudget struct {
	mu     sync.Mutex
	ratio  float64
	budget *retry.Budget
}

// budgetFor returns the budget for a ratio of retries to requests. A new ratio
// replaces the budget. The caller holds the lock.
func (r *retryBudget) budgetFor(ratio float64) *retry.Budget {
	if r.budget == nil || r.ratio != ratio {
		r.ratio = ratio
		r.budget = retry.NewBudget(ratio, 0, 0)
	}
	return r.budget
}

func (r *retryBudget) recordAttempt(ratio float64, caller, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(ratio).RecordAttempt(caller, upstream)
}

func (r *retryBudget) allow(ratio float64, caller, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(ratio).Allow(caller, upstream)
}
