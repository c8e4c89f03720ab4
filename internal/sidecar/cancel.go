package sidecar

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
)

const (
	// initialCancelTimeout is short because memory must be free within 250 ms after
	// a Cancel, even if the first attempt uses a silent connection.
	initialCancelTimeout = 80 * time.Millisecond
	maxCancelTimeout     = 2 * time.Second
	cancelRetryDelay     = 10 * time.Millisecond
	maxCancelRetryDelay  = 500 * time.Millisecond
)

// retryUntilConfirmed repeats call until the engine confirms it, the engine's run b
// is over, in which case the engine holds nothing any more, or lifetime ends. It
// reports whether one of the first two happened. Each attempt has twice the timeout
// of the previous one, so that a slow engine has enough time to answer.
func retryUntilConfirmed(lifetime context.Context, b *boot, call func(context.Context) error) bool {
	timeout, delay := initialCancelTimeout, cancelRetryDelay
	for {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(lifetime), timeout)
		err := call(ctx)
		cancel()
		if err == nil || b.lost() {
			return true
		}
		timeout = min(2*timeout, maxCancelTimeout)
		select {
		case <-lifetime.Done():
			return false
		case <-b.ctx.Done():
			return true
		case <-time.After(delay):
		}
		delay = min(2*delay, maxCancelRetryDelay)
	}
}

// cancelRequest cancels a request in the engine and reports whether the engine
// confirmed the cancel or its run b is over.
func cancelRequest(lifetime context.Context, b *boot, client engine.Client, id string) bool {
	return retryUntilConfirmed(lifetime, b, func(ctx context.Context) error {
		_, err := client.Cancel(ctx, id)
		return err
	})
}
