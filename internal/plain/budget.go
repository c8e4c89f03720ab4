package plain

import "sync"

const (
	// budgetBurst is the most retries that can be saved up.
	budgetBurst = 10
	// budgetStart lets a caller or upstream with little traffic be retried at all.
	budgetStart = 3
)

// budgets bounds retries to a fraction of first tries, separately per name.
// Without a bound, retries multiply the load on a pool that is failing already.
type budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudgets() *budgets { return &budgets{tokens: make(map[string]float64)} }

// earn adds the fraction of a retry that one first try permits.
func (b *budgets) earn(name string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[name] = min(budgetBurst, b.balance(name)+fraction)
}

func (b *budgets) balance(name string) float64 {
	if have, ok := b.tokens[name]; ok {
		return have
	}
	return budgetStart
}

// spend takes one retry if the balance allows it.
func (b *budgets) spend(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.balance(name)
	if have < 1 {
		return false
	}
	b.tokens[name] = have - 1
	return true
}

func (b *budgets) refund(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[name] = min(budgetBurst, b.balance(name)+1)
}

// retryBudget is charged for each retry at the caller's and the upstream's account.
type retryBudget struct {
	callers, upstreams *budgets
}

func newRetryBudget() *retryBudget {
	return &retryBudget{callers: newBudgets(), upstreams: newBudgets()}
}

func (b *retryBudget) earn(caller, upstream string, fraction float64) {
	b.callers.earn(caller, fraction)
	b.upstreams.earn(upstream, fraction)
}

// spend charges a retry that the failure or slowness of an upstream causes.
func (b *retryBudget) spend(caller, upstream string) bool {
	if !b.callers.spend(caller) {
		return false
	}
	if !b.upstreams.spend(upstream) {
		b.callers.refund(caller)
		return false
	}
	return true
}
