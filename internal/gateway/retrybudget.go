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

// budgetSlots is the resolution of the sliding window.
const budgetSlots = 20

// RetryBudget counts the requests and repeated sends of each service in a sliding
// window. Each gateway keeps to its part: the share of its own requests, and
// the slack divided by the number of gateways. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	// gateways returns how many gateways share the slack.
	gateways func() int
	// start is the beginning of the first slot, on the monotonic clock.
	start time.Time

	mu        sync.Mutex
	byService map[string]*slidingWindow
}

type slidingWindow struct {
	slots [budgetSlots + 1]windowSlot
}

type windowSlot struct {
	index             int64
	requests, repeats int
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(limits RetryLimits, gateways func() int) *RetryBudget {
	return &RetryBudget{limits: limits, gateways: gateways, start: time.Now(), byService: make(map[string]*slidingWindow)}
}

func (b *RetryBudget) currentSlot(service string, now time.Time) (*slidingWindow, *windowSlot) {
	w, ok := b.byService[service]
	if !ok {
		w = &slidingWindow{}
		b.byService[service] = w
	}
	// Slot 0 is the empty one.
	index := int64(max(0, now.Sub(b.start))/(b.limits.Window/budgetSlots)) + 1
	s := &w.slots[int(index%int64(len(w.slots)))]
	if s.index != index {
		*s = windowSlot{index: index}
	}
	return w, s
}

// RecordRequest counts one request for the service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, s := b.currentSlot(service, now)
	s.requests++
}

// TrySpend takes one repeated send if the budget allows it. reserve is the part of
// the budget, 0 to 1, that must stay for more important repeats.
func (b *RetryBudget) TrySpend(service string, now time.Time, reservedShare float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, s := b.currentSlot(service, now)
	requests, repeats := 0, 0
	for i := range w.slots {
		if s.index-w.slots[i].index <= budgetSlots {
			requests += w.slots[i].requests
			repeats += w.slots[i].repeats
		}
	}
	allowed := (b.limits.Ratio*float64(requests) + b.limits.FixedAllowance/float64(max(1, b.gateways()))) * (1 - reservedShare) * budgetMargin
	if float64(repeats+1) > allowed {
		return false
	}
	s.repeats++
	return true
}

// budgetMargin keeps a part of the budget unused, since the gateways' windows
// and those of the check do not begin at the same moments.
const budgetMargin = 0.8
