package retry

const (
	// DefaultBurst is the number of retries that a caller or upstream may make
	// at once. It covers the streams of one engine that dies.
	DefaultBurst = 20
	// DefaultMaxKeys bounds the callers and upstreams that are remembered.
	DefaultMaxKeys = 20_000
)

// Budget limits retries to a fraction of first attempts, per caller and per
// upstream, so that retries cannot multiply an overload. It is not safe for
// concurrent use.
type Budget struct {
	ratio, burst float64
	maxKeys      int
	callers      map[string]float64
	upstreams    map[string]float64
}

// NewBudget returns a budget: ratio is the fraction of first attempts that may
// be retried. burst and maxKeys of 0 select the defaults.
func NewBudget(ratio, burst float64, maxKeys int) *Budget {
	if burst <= 0 {
		burst = DefaultBurst
	}
	if maxKeys <= 0 {
		maxKeys = DefaultMaxKeys
	}
	return &Budget{ratio: ratio, burst: burst, maxKeys: maxKeys, callers: map[string]float64{}, upstreams: map[string]float64{}}
}

// RecordAttempt records a first attempt, which earns a fraction of a retry.
func (b *Budget) RecordAttempt(caller, upstream string) {
	b.earn(b.callers, caller)
	b.earn(b.upstreams, upstream)
}

// Allow takes one retry from the caller and from the upstream that failed. It
// takes nothing when either has none left.
func (b *Budget) Allow(caller, upstream string) bool {
	c, u := b.left(b.callers, caller), b.left(b.upstreams, upstream)
	if c < 1 || u < 1 {
		return false
	}
	b.set(b.callers, caller, c-1)
	b.set(b.upstreams, upstream, u-1)
	return true
}

// Available reports whether Allow would succeed.
func (b *Budget) Available(caller, upstream string) bool {
	return b.left(b.callers, caller) >= 1 && b.left(b.upstreams, upstream) >= 1
}

// left returns the retries that a key has. When too many keys have spent
// something, further ones get none until others have recovered.
func (b *Budget) left(m map[string]float64, key string) float64 {
	if spent, ok := m[key]; ok {
		return b.burst - spent
	}
	if len(m) >= b.maxKeys {
		return 0
	}
	return b.burst
}

func (b *Budget) earn(m map[string]float64, key string) {
	if _, ok := m[key]; ok {
		b.set(m, key, b.left(m, key)+b.ratio)
	}
}

// set stores what is left; a full budget needs no entry.
func (b *Budget) set(m map[string]float64, key string, left float64) {
	if left >= b.burst {
		delete(m, key)
		return
	}
	m[key] = b.burst - left
}
