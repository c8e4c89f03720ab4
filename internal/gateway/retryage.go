package gateway

import (
	"sync"
	"time"
)

// retryAges estimates how long clients have been trying to get a request answered. A
// client that retries after a refusal sends a shorter timeout than with its first
// attempt.
type retryAges struct {
	mu sync.Mutex
	// longestTimeout is the longest client timeout seen, by route.
	longestTimeout map[string]time.Duration
}

const (
	// retryTimeoutShare is the share of the longest timeout below which a request
	// counts as a retry. Above it, the client may simply have chosen a different
	// timeout.
	retryTimeoutShare = 0.8
	// firstTimeoutShare is the typical timeout of a first attempt, as a share of the
	// longest.
	firstTimeoutShare = 0.92
)

func newRetryAges() *retryAges { return &retryAges{longestTimeout: make(map[string]time.Duration)} }

// estimate returns the estimated age of a request, or 0 for a first attempt.
func (a *retryAges) estimate(route string, timeout time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	longestTimeout := max(a.longestTimeout[route], timeout)
	a.longestTimeout[route] = longestTimeout
	return retryAge(longestTimeout, timeout)
}

// peek returns what estimate would, and does not remember the timeout.
func (a *retryAges) peek(route string, timeout time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return retryAge(max(a.longestTimeout[route], timeout), timeout)
}

// retryAge estimates the age of a request from its timeout and the longest one of its route.
// Nothing is known of a request without a timeout, so it counts as a first attempt.
func retryAge(longestTimeout, timeout time.Duration) time.Duration {
	if timeout <= 0 || float64(timeout) >= retryTimeoutShare*float64(longestTimeout) {
		return 0
	}
	return time.Duration(firstTimeoutShare*float64(longestTimeout)) - timeout
}
