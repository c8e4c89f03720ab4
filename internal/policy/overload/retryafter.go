package overload

import "time"

const (
	// maxReturnShare is the part of its remaining time after which a refused client is
	// told to return at the latest, so that it can still be served.
	maxReturnShare = 0.95 / 3
	// returnSpread is the earliest return as a part of the latest one. The spread keeps
	// clients that are refused together from returning together.
	returnSpread = 0.63
	// waitAllowance is by how much the latest return exceeds the forecast wait, so that
	// even the earliest return does not come before its end.
	waitAllowance = 1 / returnSpread
	// MinRetryAfter is the least time after which a return is useful.
	MinRetryAfter = 200 * time.Millisecond
	// Unknown is the wait of a request whose forecast has proved wrong.
	Unknown time.Duration = -1
)

// RetryAfter returns the time after which a refused client should return: when the present
// queue is done, which takes the time wait, or after about a third of the remaining time if
// that is shorter. draw is a uniform random number in [0, 1).
func RetryAfter(wait, remaining time.Duration, draw float64) time.Duration {
	latest := maxReturnShare * float64(remaining)
	if wait != Unknown {
		latest = min(latest, waitAllowance*float64(wait))
	}
	latest = max(latest, float64(MinRetryAfter)/returnSpread)
	return time.Duration(latest * (returnSpread + (1-returnSpread)*draw))
}
