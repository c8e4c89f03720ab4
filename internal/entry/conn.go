package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// target is an upstream together with the member record of its sidecar.
type target struct {
	upstream string
	member   membership.Member
}

// sidecarConn is one stream of a request to a sidecar. A goroutine opens the
// stream and pushes its events to the request's event queue. Events that arrive
// after close are stale and must be ignored.
type sidecarConn[S, R proto.Message] struct {
	target target
	cancel context.CancelFunc
	closed bool
	opened chan *wire.Stream[S, R]
	stream *wire.Stream[S, R]
}

type (
	decodeConn  = sidecarConn[*wire.DecodeRequest, *wire.DecodeReply]
	prefillConn = sidecarConn[*wire.PrefillRequest, *wire.PrefillReply]
)

// streamConfig holds the parameters with which openConn starts a stream.
type streamConfig[S, R proto.Message] struct {
	client       *http.Client
	secret       string
	path         string
	firstFrame   S
	newHeartbeat func() S
	newReply     func() R
	// onReply receives each frame and, as the last call, the error that ended
	// the stream.
	onReply func(R, error)
	// reportState tells the membership view whether the sidecar answers.
	reportState func(membership.State)
}

// openConn starts the stream to t in a new goroutine.
func openConn[S, R proto.Message](ctx context.Context, t target, call streamConfig[S, R], c *sidecarConn[S, R]) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.target = t
	c.opened = make(chan *wire.Stream[S, R], 1)
	go c.run(ctx, call)
}

// run opens the stream, sends the first frame and the heartbeats, and passes the
// received frames to onReply until the stream ends.
func (c *sidecarConn[S, R]) run(ctx context.Context, call streamConfig[S, R]) {
	var zero R
	url := "http://" + c.target.member.PeerAddress + call.path
	s, err := wire.Dial[S](ctx, call.client, url, call.secret, call.newReply)
	if err != nil {
		c.reportEnd(ctx, call, err)
		call.onReply(zero, err)
		return
	}
	defer s.Close()
	if err := s.Send(call.firstFrame); err != nil {
		c.reportEnd(ctx, call, err)
		call.onReply(zero, err)
		return
	}
	c.opened <- s
	go s.Heartbeat(call.newHeartbeat)
	for first := true; ; first = false {
		m, err := s.Recv()
		if err != nil {
			c.reportEnd(ctx, call, err)
		} else if first {
			call.reportState(membership.Serving)
		}
		call.onReply(m, err)
		if err != nil {
			return
		}
	}
}

// reportEnd marks the sidecar as suspect, unless the sidecar closed the stream
// normally or the request cancelled it.
func (c *sidecarConn[S, R]) reportEnd(ctx context.Context, call streamConfig[S, R], err error) {
	if ctx.Err() == nil && !errors.Is(err, io.EOF) {
		call.reportState(membership.Suspect)
	}
}

// stateReporter returns the function with which a stream reports the state of
// its sidecar.
func (e *Entry) stateReporter(t target) func(membership.State) {
	return func(s membership.State) { e.members.ReportState(t.member.Name, t.member.Incarnation, s) }
}

// recordLoad stores a load hint. If the hint says that the sidecar is leaving,
// the membership view is updated at once, because the platform's instance list
// lags behind.
func (e *Entry) recordLoad(t target, l *wire.Load) {
	e.hints.record(l)
	if l != nil && l.Leaving {
		e.members.ReportState(t.member.Name, l.Incarnation, membership.Leaving)
	}
}

// send writes a frame. It may only be called after a frame was received, because
// only then is the stream known to be open.
func (c *sidecarConn[S, R]) send(m S) error {
	if c.stream == nil {
		c.stream = <-c.opened
	}
	return c.stream.Send(m)
}

// close tells the sidecar that the request no longer needs the stream and ends
// it. If the cancel frame is lost, the end of the stream has the same effect at
// the sidecar.
func (c *sidecarConn[S, R]) close(cancelFrame S) {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	select {
	case s := <-c.opened:
		c.stream = s
	default:
	}
	if c.stream != nil {
		_ = c.stream.Send(cancelFrame)
	}
	c.cancel()
}

// trySend writes a frame if the stream is open and reports whether it did. It
// leaves the stream open, so that the sidecar can still answer.
func (c *sidecarConn[S, R]) trySend(m S) bool {
	if c == nil || c.closed {
		return false
	}
	select {
	case s := <-c.opened:
		c.stream = s
	default:
	}
	return c.stream != nil && c.stream.Send(m) == nil
}

func cancelDecode(reason string) *wire.DecodeRequest {
	return &wire.DecodeRequest{Body: &wire.DecodeRequest_Cancel{Cancel: &wire.Cancel{Reason: reason}}}
}

func cancelPrefill(reason string) *wire.PrefillRequest {
	return &wire.PrefillRequest{Body: &wire.PrefillRequest_Cancel{Cancel: &wire.Cancel{Reason: reason}}}
}

func renewDecode() *wire.DecodeRequest {
	return &wire.DecodeRequest{Body: &wire.DecodeRequest_Renew{Renew: &wire.Renew{}}}
}

func renewPrefill() *wire.PrefillRequest {
	return &wire.PrefillRequest{Body: &wire.PrefillRequest_Renew{Renew: &wire.Renew{}}}
}
