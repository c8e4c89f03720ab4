package plain

import "sync"

const (
	// maxRetryTokens is the largest number of retries that a name can save up.
	maxRetryTokens = 10
	// initialRetryTokens permits some retries for a caller or upstream with little
	// traffic.
	initialRetryTokens = 3
)

// retryTokens holds one token bucket per name and limits retries to a fraction of
// first attempts. Without a limit, retries multiply the load on a pool that is
// already failing.
type retryTokens struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newRetryTokens() *retryTokens { return &retryTokens{tokens: make(map[string]float64)} }

// deposit adds the fraction of a retry that one first attempt allows.
func (b *retryTokens) deposit(name string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[name] = min(maxRetryTokens, b.balance(name)+fraction)
}

func (b *retryTokens) balance(name string) float64 {
	if available, ok := b.tokens[name]; ok {
		return available
	}
	return initialRetryTokens
}

// withdraw takes one retry token and reports whether one was available.
func (b *retryTokens) withdraw(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := b.balance(name)
	if available < 1 {
		return false
	}
	b.tokens[name] = available - 1
	return true
}

// refund returns a token that withdraw took.
func (b *retryTokens) refund(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[name] = min(maxRetryTokens, b.balance(name)+1)
}

// retryBudget charges each retry to the caller's bucket and to the upstream's
// bucket.
type retryBudget struct {
	callers, upstreams *retryTokens
}

func newRetryBudget() *retryBudget {
	return &retryBudget{callers: newRetryTokens(), upstreams: newRetryTokens()}
}

// deposit adds the fraction of a retry that one first attempt allows to the caller
// and to the upstream.
func (b *retryBudget) deposit(caller, upstream string, fraction float64) {
	b.callers.deposit(caller, fraction)
	b.upstreams.deposit(upstream, fraction)
}

// withdraw charges a retry to the caller and to the upstream whose failure or
// slowness causes it.
func (b *retryBudget) withdraw(caller, upstream string) bool {
	if !b.callers.withdraw(caller) {
		return false
	}
	if !b.upstreams.withdraw(upstream) {
		b.callers.refund(caller)
		return false
	}
	return true
}
