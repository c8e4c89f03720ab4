package plain

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

var errIdleTimeout = errors.New("the service sent nothing within the route's timeout")

// idleTimer cancels a call when nothing arrives within the limit: neither the
// response headers nor, after them, the next part of the body.
type idleTimer struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withIdleTimeout returns a context that the returned timer cancels with
// errIdleTimeout.
func withIdleTimeout(parent context.Context, limit time.Duration) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &idleTimer{limit: limit, cancel: cancel}
	t.timer = time.AfterFunc(limit, func() { cancel(errIdleTimeout) })
	return ctx, t
}

func (t *idleTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// wrapBody restarts the timer now and at each read of the body.
func (t *idleTimer) wrapBody(body io.ReadCloser) io.ReadCloser {
	t.timer.Reset(t.limit)
	return &idleTimerBody{ReadCloser: body, idle: t}
}

// idleTimerBody restarts the timer after each read.
type idleTimerBody struct {
	io.ReadCloser
	idle *idleTimer
}

// Read implements io.Reader.
func (b *idleTimerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.idle.timer.Reset(b.idle.limit)
	return n, err
}

func isIdleTimeout(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errIdleTimeout) }
