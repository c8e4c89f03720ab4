// Package wait provides a sleep that ends early when its context is done.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
