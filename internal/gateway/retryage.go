package gateway

import (
	"sync"
	"time"
)

// retryAges estimates how long clients have asked already. A client that comes back
// after a refusal says that it waits for less time than at first.
type retryAges struct {
	mu sync.Mutex
	// longest is the longest patience seen, by route.
	longestTimeout map[string]time.Duration
}

const (
	// retryTimeoutShare is the share of the longest patience under which a client
	// has come back; above it, the difference may be the client's own choice.
	retryTimeoutShare = 0.8
	// firstTimeoutShare is the patience of a usual first attempt, as a share of the longest.
	firstTimeoutShare = 0.92
)

func newRetryAges() *retryAges { return &retryAges{longestTimeout: make(map[string]time.Duration)} }

// estimate returns the estimated age of a request; 0 for a first attempt.
func (a *retryAges) estimate(route string, timeout time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	longestTimeout := max(a.longestTimeout[route], timeout)
	a.longestTimeout[route] = longestTimeout
	if float64(timeout) >= retryTimeoutShare*float64(longestTimeout) {
		return 0
	}
	return time.Duration(firstTimeoutShare*float64(longestTimeout)) - timeout
}
