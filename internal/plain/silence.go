package plain

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

var errSilent = errors.New("nothing arrived for the whole timeout of the route")

// silence cancels a call when nothing has arrived for a time: neither the head
// of the answer nor, after it, the next part of the body.
type silence struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func watchSilence(parent context.Context, limit time.Duration) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(parent)
	s := &silence{limit: limit, cancel: cancel}
	s.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	return ctx, s
}

func (s *silence) stop() {
	s.timer.Stop()
	s.cancel(nil)
}

// watch restarts the time at each read of the body.
func (s *silence) watch(body io.ReadCloser) io.ReadCloser {
	s.timer.Reset(s.limit)
	return &watchedBody{ReadCloser: body, silence: s}
}

type watchedBody struct {
	io.ReadCloser
	silence *silence
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.silence.timer.Reset(b.silence.limit)
	return n, err
}

func fellSilent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSilent) }
