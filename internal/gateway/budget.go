package gateway

import (
	"sync"
	"time"
)

// RetryLimits bound the sends beyond the first of each request. They hold for
// all gateways of the deployment together, in every window of time.
type RetryLimits struct {
	// Ratio is the allowed share of repeated sends in the requests of a service.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Slack is the number of repeated sends that is allowed beside the share.
	FixedAllowance float64
}

// budgetBuckets is the resolution of the sliding window.
const budgetBuckets = 20

// Budget counts the requests and repeated sends of each service in a sliding
// window. Each gateway keeps to its part: the share of its own requests, and
// the slack divided by the number of gateways. It is safe for concurrent use.
type Budget struct {
	limits RetryLimits
	// gateways returns how many gateways share the slack.
	gateways func() int
	// start is the beginning of the first slot, on the monotonic clock.
	start time.Time

	mu        sync.Mutex
	byService map[string]*window
}

type window struct {
	slots [budgetBuckets + 1]windowSlot
}

type windowSlot struct {
	number            int64
	requests, repeats int
}

// NewBudget returns an empty budget.
func NewBudget(limits RetryLimits, gateways func() int) *Budget {
	return &Budget{limits: limits, gateways: gateways, start: time.Now(), byService: make(map[string]*window)}
}

func (b *Budget) slot(service string, now time.Time) (*window, *windowSlot) {
	w, ok := b.byService[service]
	if !ok {
		w = &window{}
		b.byService[service] = w
	}
	// Slot 0 is the empty one.
	number := int64(max(0, now.Sub(b.start))/(b.limits.Window/budgetBuckets)) + 1
	s := &w.slots[int(number%int64(len(w.slots)))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return w, s
}

// Request counts one request for the service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, s := b.slot(service, now)
	s.requests++
}

// Spend takes one repeated send if the budget allows it. reserve is the part of
// the budget, 0 to 1, that must stay for more important repeats.
func (b *Budget) Spend(service string, now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, s := b.slot(service, now)
	requests, repeats := 0, 0
	for i := range w.slots {
		if s.number-w.slots[i].number <= budgetBuckets {
			requests += w.slots[i].requests
			repeats += w.slots[i].repeats
		}
	}
	allowed := (b.limits.Ratio*float64(requests) + b.limits.FixedAllowance/float64(max(1, b.gateways()))) * (1 - reserve) * budgetMargin
	if float64(repeats+1) > allowed {
		return false
	}
	s.repeats++
	return true
}

// budgetMargin keeps a part of the budget unused, since the gateways' windows
// and those of the check do not begin at the same moments.
const budgetMargin = 0.8
