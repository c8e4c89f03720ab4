// Package wait holds the one way in which the project's loops pause.
package wait

import (
	"context"
	"time"
)

// For pauses for d. It reports false when ctx ended before.
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
