// Package wire transports model requests between entries and sidecars. Each
// attempt uses one bidirectional HTTP/2 stream of length-prefixed protobuf
// frames.
//
// Both ends send heartbeats. A Stream that receives no frame for SilenceTimeout
// fails with ErrSilent, because a TCP connection can stop passing bytes without
// either end noticing.
package wire

import (
	"bufio"
	"context"
	"io"
	"net/http"
	neturl "net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// HeartbeatInterval is the time between two heartbeats of one end.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a stream may go without receiving a frame before
	// it fails. It is four heartbeat intervals, which leaves 1 s of the 3 s within
	// which a silent connection has to be detected.
	SilenceTimeout = 2 * time.Second
	// MaxFrameBytes bounds one frame. It has room for the longest prompt.
	MaxFrameBytes = 8 << 20
)

// ErrSilent reports that the peer sent no frame for SilenceTimeout.
var ErrSilent = errors.New("peer sent no frame within the silence timeout; open a new connection")

// Stream sends frames of type S and receives frames of type R. Several
// goroutines may call Send concurrently, but only one may call Recv.
type Stream[S, R proto.Message] struct {
	cancel   context.CancelCauseFunc
	ctx      context.Context
	newFrame func() R
	read     *bufio.Reader
	closers  []io.Closer

	writeLock chan struct{} // contains an element while a frame is being written
	write     io.Writer
	flush     func() error

	watchdog *time.Timer
	lastRecv atomic.Int64
	start    time.Time
}

func newStream[S, R proto.Message](ctx context.Context, newR func() R) *Stream[S, R] {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream[S, R]{ctx: ctx, cancel: cancel, newFrame: newR, writeLock: make(chan struct{}, 1), start: time.Now()}
	s.watchdog = time.AfterFunc(SilenceTimeout, s.checkSilence)
	return s
}

// checkSilence ends the stream if no frame arrived for SilenceTimeout. Otherwise
// it sets the watchdog timer to the earliest time at which that can be the case.
func (s *Stream[S, R]) checkSilence() {
	silentFor := time.Since(s.start) - time.Duration(s.lastRecv.Load())
	if silentFor >= SilenceTimeout {
		s.cancel(ErrSilent)
		s.closeAll()
		return
	}
	if s.ctx.Err() == nil {
		s.watchdog.Reset(SilenceTimeout - silentFor)
	}
}

// Context returns a context that ends with the stream. Its cause tells why the
// stream ended.
func (s *Stream[S, R]) Context() context.Context { return s.ctx }

// Send writes one frame. It waits while other frames are being written, but not
// beyond the end of the stream.
func (s *Stream[S, R]) Send(m S) error {
	select {
	case s.writeLock <- struct{}{}:
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
	defer func() { <-s.writeLock }()
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	if _, err := protodelim.MarshalTo(s.write, m); err != nil {
		return s.fail(err)
	}
	if err := s.flush(); err != nil {
		return s.fail(err)
	}
	return nil
}

// Recv reads the next frame. It returns io.EOF if the peer closed the stream
// regularly, and otherwise the cause for which the stream ended.
func (s *Stream[S, R]) Recv() (R, error) {
	m := s.newFrame()
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(s.read, m)
	if err == nil {
		s.lastRecv.Store(int64(time.Since(s.start)))
		return m, nil
	}
	var zero R
	if s.ctx.Err() != nil {
		return zero, context.Cause(s.ctx)
	}
	if errors.Is(err, io.EOF) {
		return zero, io.EOF
	}
	return zero, s.fail(err)
}

// fail ends the stream because of err and returns the cause of its end, which is
// an earlier error if there was one.
func (s *Stream[S, R]) fail(err error) error {
	s.cancel(err)
	return context.Cause(s.ctx)
}

// Heartbeat sends the frame returned by m every HeartbeatInterval until the
// stream ends.
func (s *Stream[S, R]) Heartbeat(m func() S) {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
			if s.Send(m()) != nil {
				return
			}
		}
	}
}

// Close ends the stream and releases its resources. It waits until no frame is
// being written, because an HTTP handler must not return before that.
func (s *Stream[S, R]) Close() {
	s.watchdog.Stop()
	s.cancel(context.Canceled)
	s.closeAll()
	s.writeLock <- struct{}{}
	<-s.writeLock
}

func (s *Stream[S, R]) closeAll() {
	for _, c := range s.closers {
		_ = c.Close()
	}
}

// maxDialAttempts bounds the attempts of Dial.
const maxDialAttempts = 2

// Dial opens a stream to url with the shared peer secret. It tries a second time
// if the connection is lost before the response: an idle connection that went
// silent may be closed at that moment. The second attempt is safe because no
// frame has been sent yet.
func Dial[S, R proto.Message](ctx context.Context, hc *http.Client, url, secret string, newR func() R) (*Stream[S, R], error) {
	for attempt := 1; ; attempt++ {
		s, err := dialOnce[S](ctx, hc, url, secret, newR)
		var lost *neturl.Error
		if err == nil || attempt == maxDialAttempts || ctx.Err() != nil || !errors.As(err, &lost) {
			return s, err
		}
	}
}

func dialOnce[S, R proto.Message](ctx context.Context, hc *http.Client, url, secret string, newR func() R) (*Stream[S, R], error) {
	s := newStream[S](ctx, newR)
	pr, pw := io.Pipe()
	s.closers = append(s.closers, pr, pw)
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, pr)
	if err != nil {
		s.Close()
		return nil, errors.Wrapf(err, "build stream request to %s", url)
	}
	SetSecret(req.Header, secret)
	resp, err := hc.Do(req)
	if err != nil {
		cause := context.Cause(s.ctx)
		s.Close()
		if errors.Is(cause, ErrSilent) {
			return nil, ErrSilent
		}
		return nil, errors.Wrapf(err, "open stream to %s", url)
	}
	s.closers = append(s.closers, resp.Body)
	if resp.StatusCode != http.StatusOK {
		s.Close()
		return nil, errors.Errorf("open stream to %s: the sidecar responded with status %s; check the peer secret and the address", url, resp.Status)
	}
	s.read = bufio.NewReader(resp.Body)
	s.write = pw
	s.flush = func() error { return nil }
	s.lastRecv.Store(int64(time.Since(s.start)))
	// The HTTP/2 client checks the context only before the response and after
	// the whole request body. Closing the body resets the stream in between;
	// without it, the sidecar would learn of a cancellation only from the
	// silence that follows.
	context.AfterFunc(s.ctx, s.closeAll)
	return s, nil
}

// Accept turns an incoming request into a stream. The handler must not return
// while the stream is in use.
func Accept[S, R proto.Message](w http.ResponseWriter, r *http.Request, newR func() R) (*Stream[S, R], error) {
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if err := rc.Flush(); err != nil {
		return nil, errors.Wrap(err, "flush stream header")
	}
	s := newStream[S](r.Context(), newR)
	s.closers = append(s.closers, r.Body)
	s.read = bufio.NewReader(r.Body)
	s.write = w
	s.flush = rc.Flush
	return s, nil
}
