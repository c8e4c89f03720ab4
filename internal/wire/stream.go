// Package wire carries model work between entries and sidecars: protobuf frames,
// each with its length in front, on one two-way HTTP/2 stream per attempt.
//
// Both ends send heartbeats. A Stream that receives no frame for SilenceTimeout
// fails with ErrSilent, because a TCP connection can stop passing bytes without
// either end being told.
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
	// HeartbeatInterval is the time between heartbeats of each end.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a stream may stay without a frame. Four missed
	// heartbeats keep the detection of a silent connection within 3 s.
	SilenceTimeout = 2 * time.Second
	// MaxFrameBytes bounds one frame; it leaves room for the longest prompt.
	MaxFrameBytes = 8 << 20
)

// ErrSilent reports that the other end sent nothing for SilenceTimeout.
var ErrSilent = errors.New("peer sent no frame within the silence timeout; open a new connection")

// Stream sends frames of type S and receives frames of type R.
// Send may be called from several goroutines; Recv from one.
type Stream[S, R proto.Message] struct {
	cancel   context.CancelCauseFunc
	ctx      context.Context
	newFrame func() R
	read     *bufio.Reader
	closers  []io.Closer

	writeLock chan struct{} // holds a token while a frame is written
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

// checkSilence ends the stream when no frame came for SilenceTimeout and
// otherwise sleeps until that moment can come.
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

// Context ends with the stream; its cause tells why.
func (s *Stream[S, R]) Context() context.Context { return s.ctx }

// Send writes one frame. It waits for frames that are being written, but not
// beyond the stream's end.
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

// Recv reads the next frame. It returns io.EOF when the other end closed the
// stream in order, and the cause of the stream's end otherwise.
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

func (s *Stream[S, R]) fail(err error) error {
	s.cancel(err)
	return context.Cause(s.ctx)
}

// Heartbeat sends m every HeartbeatInterval until the stream ends.
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

// Close ends the stream and releases its resources. It waits for a frame that is
// being written, because a handler must not return before.
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

// maxDialAttempts bounds the tries of Dial.
const maxDialAttempts = 2

// Dial opens a stream to url with the shared peer secret. It tries once more when
// the connection is lost before a response: a kept connection that went silent may
// be closed at that very moment, and no frame has been sent yet.
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
		return nil, errors.Wrap(err, "build stream request")
	}
	SetSecret(req.Header, secret)
	resp, err := hc.Do(req)
	if err != nil {
		cause := context.Cause(s.ctx)
		s.Close()
		if errors.Is(cause, ErrSilent) {
			return nil, ErrSilent
		}
		return nil, errors.Wrap(err, "open stream")
	}
	s.closers = append(s.closers, resp.Body)
	if resp.StatusCode != http.StatusOK {
		s.Close()
		return nil, errors.Errorf("open stream: the sidecar answered %s; check the peer secret and the address", resp.Status)
	}
	s.read = bufio.NewReader(resp.Body)
	s.write = pw
	s.flush = func() error { return nil }
	s.lastRecv.Store(int64(time.Since(s.start)))
	// The HTTP/2 client looks at the context only before the response and after
	// the whole request body. Closing the body is what resets the stream in
	// between; without it the sidecar would hear of a cancel by silence only.
	context.AfterFunc(s.ctx, s.closeAll)
	return s, nil
}

// Accept turns an incoming request into a stream. The handler must not return
// before the stream is no longer in use.
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
