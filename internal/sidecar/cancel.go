package sidecar

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
)

const (
	// firstCancelTimeout is short because memory must be free within 250 ms of a
	// Cancel, also when the first try meets a silent connection.
	firstCancelTimeout = 80 * time.Millisecond
	maxCancelTimeout   = 2 * time.Second
	cancelPause        = 10 * time.Millisecond
	maxCancelPause     = 500 * time.Millisecond
)

// confirm repeats call until the engine confirms it, the engine's life b is
// over (nothing is held any more) or life ends. Each try may take twice as long
// as the one before, so that a slow engine is heard as well.
func confirm(life context.Context, b *boot, call func(context.Context) error) bool {
	timeout, pause := firstCancelTimeout, cancelPause
	for {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(life), timeout)
		err := call(ctx)
		cancel()
		if err == nil || b.lost() {
			return true
		}
		timeout = min(2*timeout, maxCancelTimeout)
		select {
		case <-life.Done():
			return false
		case <-b.ctx.Done():
			return true
		case <-time.After(pause):
		}
		pause = min(2*pause, maxCancelPause)
	}
}

// cancelRequest ends a request in the engine and confirms it.
func cancelRequest(life context.Context, b *boot, c engine.Client, id string) bool {
	return confirm(life, b, func(ctx context.Context) error {
		_, err := c.Cancel(ctx, id)
		return err
	})
}
