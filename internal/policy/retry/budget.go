package retry

const (
	// DefaultBurst is the default number of retries that a caller or upstream
	// may make at once. It covers the streams of one engine that crashes.
	DefaultBurst = 20
	// DefaultMaxKeys is the default limit of the callers, and of the upstreams,
	// that a Budget stores.
	DefaultMaxKeys = 20_000
)

// Budget limits retries to a fraction of first attempts, for each caller and
// for each upstream, so that retries cannot amplify an overload. It is not safe
// for concurrent use.
type Budget struct {
	ratio, burst    float64
	maxKeys         int
	spentByCaller   map[string]float64 // only keys that have spent retries
	spentByUpstream map[string]float64
}

// NewBudget returns a budget. ratio is the fraction of first attempts that may
// be retried; burst and maxKeys select the defaults if they are 0 or less.
func NewBudget(ratio, burst float64, maxKeys int) *Budget {
	if burst <= 0 {
		burst = DefaultBurst
	}
	if maxKeys <= 0 {
		maxKeys = DefaultMaxKeys
	}
	return &Budget{ratio: ratio, burst: burst, maxKeys: maxKeys, spentByCaller: map[string]float64{}, spentByUpstream: map[string]float64{}}
}

// RecordAttempt records a first attempt, which returns a fraction of a retry to
// the caller and to the upstream.
func (b *Budget) RecordAttempt(caller, upstream string) {
	b.earn(b.spentByCaller, caller)
	b.earn(b.spentByUpstream, upstream)
}

// Allow takes one retry from the budget of the caller and one from that of the
// upstream that failed. It reports false and takes nothing if either budget has
// less than one retry.
func (b *Budget) Allow(caller, upstream string) bool {
	c, u := b.remaining(b.spentByCaller, caller), b.remaining(b.spentByUpstream, upstream)
	if c < 1 || u < 1 {
		return false
	}
	b.setRemaining(b.spentByCaller, caller, c-1)
	b.setRemaining(b.spentByUpstream, upstream, u-1)
	return true
}

// Available reports whether Allow would succeed.
func (b *Budget) Available(caller, upstream string) bool {
	return b.remaining(b.spentByCaller, caller) >= 1 && b.remaining(b.spentByUpstream, upstream) >= 1
}

// remaining returns the number of retries that a key has. When maxKeys keys
// have spent retries, all other keys get none until one of them has recovered.
func (b *Budget) remaining(spentByKey map[string]float64, key string) float64 {
	if spent, ok := spentByKey[key]; ok {
		return b.burst - spent
	}
	if len(spentByKey) >= b.maxKeys {
		return 0
	}
	return b.burst
}

// earn returns a fraction of a retry to a key that has spent some.
func (b *Budget) earn(spentByKey map[string]float64, key string) {
	if _, ok := spentByKey[key]; ok {
		b.setRemaining(spentByKey, key, b.remaining(spentByKey, key)+b.ratio)
	}
}

// setRemaining stores the remaining retries of a key. Keys with a full budget
// are not stored.
func (b *Budget) setRemaining(spentByKey map[string]float64, key string, remaining float64) {
	if remaining >= b.burst {
		delete(spentByKey, key)
		return
	}
	spentByKey[key] = b.burst - remaining
}
