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

// target is an upstream with the sidecar that serves it.
type target struct {
	upstream string
	member   membership.Member
}

// sidecarConn is one stream of a request to a sidecar. It is opened in the
// background; its events go to the request's inbox. After close its events are
// stale and must be ignored.
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

// streamCall describes the stream that open starts.
type streamCall[S, R proto.Message] struct {
	client *http.Client
	secret string
	path   string
	first  S
	renew  func() S
	newR   func() R
	// deliver gets each frame, and last the error that ended the stream.
	deliver func(R, error)
	// report tells the members' view whether the sidecar answers.
	report func(membership.State)
}

func openConn[S, R proto.Message](ctx context.Context, t target, call streamCall[S, R], c *sidecarConn[S, R]) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.target = t
	c.opened = make(chan *wire.Stream[S, R], 1)
	go c.serve(ctx, call)
}

func (c *sidecarConn[S, R]) serve(ctx context.Context, call streamCall[S, R]) {
	var none R
	url := "http://" + c.target.member.PeerAddress + call.path
	s, err := wire.Dial[S](ctx, call.client, url, call.secret, call.newR)
	if err != nil {
		c.reportEnd(ctx, call, err)
		call.deliver(none, err)
		return
	}
	defer s.Close()
	if err := s.Send(call.first); err != nil {
		c.reportEnd(ctx, call, err)
		call.deliver(none, err)
		return
	}
	c.opened <- s
	go s.Heartbeat(call.renew)
	for first := true; ; first = false {
		m, err := s.Recv()
		if err != nil {
			c.reportEnd(ctx, call, err)
		} else if first {
			call.report(membership.Serving)
		}
		call.deliver(m, err)
		if err != nil {
			return
		}
	}
}

// reportEnd marks the sidecar as suspect when the stream ended neither in order
// nor because the request no longer needs it.
func (c *sidecarConn[S, R]) reportEnd(ctx context.Context, call streamCall[S, R], err error) {
	if ctx.Err() == nil && !errors.Is(err, io.EOF) {
		call.report(membership.Suspect)
	}
}

// reporter returns the function by which a stream reports on its sidecar.
func (e *Entry) reporter(t target) func(membership.State) {
	return func(s membership.State) { e.members.ReportState(t.member.Name, t.member.Incarnation, s) }
}

// noteLoad takes a load hint. A hint that the sidecar leaves takes effect at
// once, since the platform's list lags.
func (e *Entry) noteLoad(t target, l *wire.Load) {
	e.hints.note(l)
	if l != nil && l.Leaving {
		e.members.ReportState(t.member.Name, l.Incarnation, membership.Leaving)
	}
}

// send writes a frame. It must only be called after a frame was received, since
// the stream is open from then on.
func (c *sidecarConn[S, R]) send(m S) error {
	if c.stream == nil {
		c.stream = <-c.opened
	}
	return c.stream.Send(m)
}

// close tells the sidecar that the request no longer needs it. The end of the
// stream has the same effect as the frame, should the frame be lost.
func (c *sidecarConn[S, R]) close(goodbye S) {
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
		_ = c.stream.Send(goodbye)
	}
	c.cancel()
}

// say writes a frame if the stream is open and reports whether it was. The
// stream stays open, so that the sidecar can still answer.
func (c *sidecarConn[S, R]) say(m S) bool {
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
