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
	// initialPrefillRate applies until a prefill was observed, in tokens per second.
	initialPrefillRate = 8000
	// rateWeight is the weight of a new observation in the moving average.
	rateWeight = 0.1
	// minRateTokens keeps short prefills, whose fixed cost dominates, out of the rate.
	minRateTokens = 256
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
	if tokens < minRateTokens || took <= 0 {
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

// lengths predicts output lengths; it guards the predictor for concurrent use.
type lengths struct {
	mu        sync.Mutex
	predictor *predict.Predictor
}

func newLengths() *lengths { return &lengths{predictor: predict.New(0, 0)} }

func (l *lengths) total(req *Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.predictor.OutputLength(req.Caller.Name, req.Model.Name, int(req.Delivered()), req.MaxTokens)
}

func (l *lengths) observe(req *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.predictor.Observe(req.Caller.Name, req.Model.Name, int(req.Delivered()))
}

// predict returns the output tokens that are expected beyond the delivered ones.
func (e *Entry) predict(req *Request) uint64 {
	total := min(e.lengths.total(req), req.MaxTokens)
	return uint64(max(1, total-int(req.Delivered())))
}

func (e *Entry) observeLength(req *Request) { e.lengths.observe(req) }

func (e *Entry) observeFirstToken(req *Request) {
	took := time.Since(req.Accepted)
	e.accounts.of(req.Caller.Name).firstToken(took, time.Now().After(req.Deadline))
	e.metrics.firstTokenAfter(took)
}

// prefixCache is what the entry believes the upstreams' prefix caches to hold,
// from its own prefills.
type prefixCache struct {
	mu    sync.Mutex
	index *choose.CacheIndex
}

func newPrefixCache() *prefixCache { return &prefixCache{index: choose.NewCacheIndex(0)} }

func (p *prefixCache) cached(upstream string, hashes []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.CachedTokens(upstream, hashes)
}

func (p *prefixCache) prefilled(upstream string, hashes []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.RecordPrefill(upstream, hashes)
}

// correct drops what the upstream turned out not to hold of a prompt.
func (p *prefixCache) correct(upstream string, hashes []uint64, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	believed := p.index.CachedTokens(upstream, hashes)
	if cachedTokens >= believed {
		return
	}
	var events []choose.Event
	for _, h := range hashes[cachedTokens/choose.BlockTokens : believed/choose.BlockTokens] {
		events = append(events, choose.Event{Kind: choose.Evicted, Prefix: h})
	}
	p.index.Apply(upstream, events, false)
}

func (p *prefixCache) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Forget(upstream)
}

// prefixHashes returns the hashes of the prompt's leading blocks.
func (r *Request) prefixHashes() []uint64 {
	if r.hashes == nil {
		r.hashes = choose.PrefixHashes(strings.Fields(r.Prompt))
	}
	return r.hashes
}

// retries holds the retry budget; a request without budget waits longer before
// its next attempt instead of failing, because an accepted request is owed its
// answer.
type retries struct {
	mu     sync.Mutex
	ratio  float64
	budget *retry.Budget
}

func (r *retries) of(ratio float64) *retry.Budget {
	if r.budget == nil || r.ratio != ratio {
		r.ratio = ratio
		r.budget = retry.NewBudget(ratio, 0, 0)
	}
	return r.budget
}

func (r *retries) first(ratio float64, caller, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(ratio).RecordAttempt(caller, upstream)
}

func (r *retries) allow(ratio float64, caller, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(ratio).Allow(caller, upstream)
}
