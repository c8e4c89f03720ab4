package plain

import (
	"sync"

	"github.com/fescueslip/fescueslip/internal/config"
)

// thresholdFactor is how many times the free places a caller of average share
// may hold. At 4, a caller that floods the service alone leaves a fifth of the
// places free, so that others are admitted at once.
const thresholdFactor = 4

// places admits calls to a service. Each caller's limit shrinks with the free
// places (a dynamic threshold) and grows with its share, so that callers who
// flood the service together divide it by their shares.
type places struct {
	config config.Source

	mu       sync.Mutex
	limit    int
	running  int
	byCaller map[string]int
}

func newPlaces(limit int, source config.Source) *places {
	return &places{limit: limit, config: source, byCaller: make(map[string]int)}
}

// take reserves a place for a caller.
func (p *places) take(caller string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.limit - p.running
	if free <= 0 || float64(p.byCaller[caller]) >= thresholdFactor*float64(free)*p.weight(caller) {
		return false
	}
	p.running++
	p.byCaller[caller]++
	return true
}

// weight is the caller's share relative to the mean of those with a place.
func (p *places) weight(caller string) float64 {
	if p.config == nil {
		return 1
	}
	callers := p.config.Snapshot().Callers
	sum, count := shareOf(callers, caller), 1
	own := sum
	for name := range p.byCaller {
		if name != caller {
			sum += shareOf(callers, name)
			count++
		}
	}
	return own * float64(count) / sum
}

func shareOf(callers map[string]*config.Caller, name string) float64 {
	if c, ok := callers[name]; ok && c.Share > 0 {
		return c.Share
	}
	return 1
}

func (p *places) release(caller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.byCaller[caller]--
	if p.byCaller[caller] == 0 {
		delete(p.byCaller, caller)
	}
}
