package gateway

import (
	"sync"
	"time"
)

// ages estimates how long clients have asked already. A client that comes back
// after a refusal says that it waits for less time than at first.
type ages struct {
	mu sync.Mutex
	// longest is the longest patience seen, by route.
	longest map[string]time.Duration
}

const (
	// returnedShare is the share of the longest patience under which a client
	// has come back; above it, the difference may be the client's own choice.
	returnedShare = 0.8
	// usualShare is the patience of a usual first attempt, as a share of the longest.
	usualShare = 0.92
)

func newAges() *ages { return &ages{longest: make(map[string]time.Duration)} }

// observe returns the estimated age of a request; 0 for a first attempt.
func (a *ages) observe(route string, patience time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	longest := max(a.longest[route], patience)
	a.longest[route] = longest
	if float64(patience) >= returnedShare*float64(longest) {
		return 0
	}
	return time.Duration(usualShare*float64(longest)) - patience
}
