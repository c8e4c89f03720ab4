package gateway

import (
	"sync"
	"time"
)

// RetryLimits limit the attempts after the first of each request. They apply to all
// gateways of the deployment together, in every time window.
type RetryLimits struct {
	// Ratio is the allowed ratio of repeated attempts to requests of a service.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// FixedAllowance is the number of repeated attempts per window that are allowed
	// in addition to Ratio.
	FixedAllowance float64
}

// budgetSlots is the number of slots that make up the sliding window.
const budgetSlots = 20

// RetryBudget counts the requests and repeated attempts of each service in a sliding
// window. Each gateway may use Ratio of its own requests and an equal part of
// FixedAllowance. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	// gateways returns the number of gateways that share FixedAllowance.
	gateways func() int
	// start is the beginning of the first slot. It has a monotonic clock reading.
	start time.Time

	mu        sync.Mutex
	byService map[string]*slidingWindow
}

// slidingWindow is a ring of slots: those of the window and the current one.
type slidingWindow struct {
	slots [budgetSlots + 1]windowSlot
}

// windowSlot counts the requests and repeated attempts in one slot of time.
type windowSlot struct {
	index             int64
	requests, repeats int
}

// NewRetryBudget returns a budget without recorded requests.
func NewRetryBudget(limits RetryLimits, gateways func() int) *RetryBudget {
	return &RetryBudget{limits: limits, gateways: gateways, start: time.Now(), byService: make(map[string]*slidingWindow)}
}

// currentSlot returns the window of the service and the slot for now, which it
// clears if it last held an earlier time. The caller holds b.mu.
func (b *RetryBudget) currentSlot(service string, now time.Time) (*slidingWindow, *windowSlot) {
	w, ok := b.byService[service]
	if !ok {
		w = &slidingWindow{}
		b.byService[service] = w
	}
	// Index 0 marks an unused slot, so the first slot gets index 1.
	index := int64(max(0, now.Sub(b.start))/(b.limits.Window/budgetSlots)) + 1
	s := &w.slots[int(index%int64(len(w.slots)))]
	if s.index != index {
		*s = windowSlot{index: index}
	}
	return w, s
}

// RecordRequest counts one request to the service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, s := b.currentSlot(service, now)
	s.requests++
}

// TrySpend takes one repeated attempt from the budget and reports whether the budget
// allows it. reservedShare is the part of the budget, from 0 to 1, that must remain
// for more important attempts.
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

// budgetMargin is the part of the budget that gateways use. The rest stays unused
// because the windows of the gateways, and those over which the limit is checked, do
// not start at the same time.
const budgetMargin = 0.8
