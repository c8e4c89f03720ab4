package plain

import (
	"sync"

	"github.com/fescueslip/fescueslip/internal/config"
)

// admissionThresholdFactor limits a caller of average share to this multiple of
// the free slots. At 4, a caller that floods the service alone leaves a fifth of
// the slots free, so that calls of others are admitted at once.
const admissionThresholdFactor = 4

// concurrencyLimiter limits the concurrent calls to a service. A caller's limit
// shrinks with the number of free slots (a dynamic threshold) and grows with its
// share, so that callers that flood the service together divide it by their
// shares.
type concurrencyLimiter struct {
	config config.Source

	mu       sync.Mutex
	limit    int
	inFlight int
	byCaller map[string]int
}

func newConcurrencyLimiter(limit int, source config.Source) *concurrencyLimiter {
	return &concurrencyLimiter{limit: limit, config: source, byCaller: make(map[string]int)}
}

// acquire takes a slot for a caller and reports whether one was available.
func (l *concurrencyLimiter) acquire(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := l.limit - l.inFlight
	if free <= 0 || float64(l.byCaller[caller]) >= admissionThresholdFactor*float64(free)*l.relativeShare(caller) {
		return false
	}
	l.inFlight++
	l.byCaller[caller]++
	return true
}

// relativeShare is the caller's share divided by the mean share of the callers
// that hold a slot, itself included.
func (l *concurrencyLimiter) relativeShare(caller string) float64 {
	if l.config == nil {
		return 1
	}
	callers := l.config.Snapshot().Callers
	sum, count := shareOf(callers, caller), 1
	own := sum
	for name := range l.byCaller {
		if name != caller {
			sum += shareOf(callers, name)
			count++
		}
	}
	return own * float64(count) / sum
}

// shareOf returns the configured share of a caller, or 1 if none is configured.
func shareOf(callers map[string]*config.Caller, name string) float64 {
	if c, ok := callers[name]; ok && c.Share > 0 {
		return c.Share
	}
	return 1
}

// release gives back the slot that acquire took for the caller.
func (l *concurrencyLimiter) release(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.byCaller[caller]--
	if l.byCaller[caller] == 0 {
		delete(l.byCaller, caller)
	}
}
