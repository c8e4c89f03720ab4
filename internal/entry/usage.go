package entry

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// outputWeight is the cost of one output token in prompt tokens. Sidecars use
// the same weight, so that usage and queue costs are comparable.
const outputWeight = 8

// usageSweepInterval is the time between two removals of callers whose usage has
// decayed.
const usageSweepInterval = 30 * time.Second

// negligibleUsage is the usage, in cost tokens, below which a caller is removed
// from the table.
const negligibleUsage = 1.0

// usageTable tracks the recent usage of each caller at this entry, by upstream.
// Each sidecar is told the caller's usage at the other upstreams, so that
// service is fair across all upstreams and not only within each.
type usageTable struct {
	start time.Time

	mu        sync.Mutex
	byName    map[usageKey]*callerUsage
	lastSweep time.Duration
}

// usageKey distinguishes the pools, because a caller may use much prefill and
// little decode.
type usageKey struct{ caller, pool string }

// callerUsage is the usage of one pool by one caller, in total and by upstream.
type callerUsage struct {
	total      fairqueue.Usage
	byUpstream map[string]*fairqueue.Usage
}

func newUsageTable() *usageTable {
	return &usageTable{start: time.Now(), byName: make(map[usageKey]*callerUsage)}
}

// add charges the caller for cost served by an upstream of a pool. The cost may
// be negative to correct an earlier charge.
func (t *usageTable) add(caller, pool, upstream string, cost float64) {
	now := time.Since(t.start)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeDecayed(now)
	key := usageKey{caller: caller, pool: pool}
	c, ok := t.byName[key]
	if !ok {
		c = &callerUsage{byUpstream: make(map[string]*fairqueue.Usage)}
		t.byName[key] = c
	}
	u, ok := c.byUpstream[upstream]
	if !ok {
		u = new(fairqueue.Usage)
		c.byUpstream[upstream] = u
	}
	c.total.Add(now, cost)
	u.Add(now, cost)
}

// elsewhere returns the caller's usage of the pool at all other upstreams.
func (t *usageTable) elsewhere(caller, pool, upstream string) float64 {
	now := time.Since(t.start)
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byName[usageKey{caller: caller, pool: pool}]
	if !ok {
		return 0
	}
	other := c.total.At(now)
	if u, ok := c.byUpstream[upstream]; ok {
		other -= u.At(now)
	}
	return max(0, other)
}

// removeDecayed removes the callers with negligible usage, at most once per
// usageSweepInterval. The caller holds the lock.
func (t *usageTable) removeDecayed(now time.Duration) {
	if now-t.lastSweep < usageSweepInterval {
		return
	}
	t.lastSweep = now
	for key, c := range t.byName {
		if c.total.At(now) < negligibleUsage {
			delete(t.byName, key)
		}
	}
}
