package sidecar

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// errCancelledByEntry reports that the entry cancelled the request.
var errCancelledByEntry = errors.New("the entry cancelled the request")

// errSidecarStopped reports that the sidecar stops.
var errSidecarStopped = errors.New("the sidecar stops")

// session is one stream with its heartbeats. Its ctx ends when the entry cancels the
// request, closes the stream or goes silent, and when the sidecar stops.
type session[S, R proto.Message] struct {
	stream         *wire.Stream[S, R]
	ctx            context.Context
	cancel         context.CancelCauseFunc
	detachLifetime func() bool // ends the dependency of ctx on the sidecar's lifetime
	wg             sync.WaitGroup
}

// openSession accepts a stream. The session ends at the latest with lifetime, which
// is that of the sidecar.
func openSession[S, R proto.Message](lifetime context.Context, w http.ResponseWriter, r *http.Request, newR func() R) (*session[S, R], error) {
	stream, err := wire.Accept[S](w, r, newR)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	s := &session[S, R]{stream: stream, ctx: ctx, cancel: cancel}
	s.detachLifetime = context.AfterFunc(lifetime, func() { cancel(errSidecarStopped) })
	return s, nil
}

// receiveFrames passes frames to handle until handle returns false, which cancels the
// request. Frames are read in a separate goroutine, so that a Cancel takes effect at
// once, whatever the session waits for.
func (s *session[S, R]) receiveFrames(handle func(R) bool) {
	s.wg.Go(func() {
		for {
			m, err := s.stream.Recv()
			if err != nil {
				s.cancel(err)
				return
			}
			if !handle(m) {
				s.cancel(errCancelledByEntry)
				return
			}
		}
	})
}

// sendHeartbeats sends heartbeats made by m until the stream ends.
func (s *session[S, R]) sendHeartbeats(m func() S) {
	s.wg.Go(func() { s.stream.Heartbeat(m) })
}

// close ends the stream and waits for its goroutines.
func (s *session[S, R]) close() {
	s.detachLifetime()
	s.cancel(context.Canceled)
	s.stream.Close()
	s.wg.Wait()
}
