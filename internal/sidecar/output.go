package sidecar

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// errOutOfOrder reports a token with an index that does not follow the last one.
var errOutOfOrder = errors.New("the engine's output skipped or repeated a token")

// output collects what the engine puts out until it is sent, so that a slow
// entry delays no reading and gets several tokens in one frame.
type output struct {
	mu     sync.Mutex
	next   int // index of the token after those taken and those in text
	text   []string
	finish string
	err    error
	ended  bool
	more   chan struct{} // cap 1
}

func newOutput(resume int) *output {
	return &output{next: resume, more: make(chan struct{}, 1)}
}

// add takes a line of the engine's output. The last line may have no token.
func (o *output) add(t engine.Token) (isToken bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	o.finish = t.FinishReason
	if t.FinishReason != "" && t.Text == "" {
		return false, nil
	}
	if t.Index != o.next {
		return false, errors.Wrapf(errOutOfOrder, "got %d, want %d", t.Index, o.next)
	}
	o.next++
	o.text = append(o.text, t.Text)
	return true, nil
}

// end records that no more lines come.
func (o *output) end(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err, o.ended = err, true
	o.signal()
}

func (o *output) signal() {
	select {
	case o.more <- struct{}{}:
	default:
	}
}

// batch is what was ready at one time.
type batch struct {
	index  int
	text   []string
	total  int
	finish string
	err    error
	ended  bool
}

func (o *output) take() batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := batch{index: o.next - len(o.text), text: o.text, total: o.next, finish: o.finish, err: o.err, ended: o.ended}
	o.text = nil
	return b
}

// decode runs the engine's decode and sends its output. It reports that the
// stream is over, which is always so.
func (x *decodeSession) decode(ctx context.Context, b *boot, id string, start *wire.Start) bool {
	if !x.c.work.begin(b, id) {
		return true
	}
	out := newOutput(int(start.GetResumeTokens()))
	go func() {
		defer x.c.work.calls.Done()
		out.end(x.read(ctx, id, start, out))
	}()
	for {
		<-out.more // the reader ends with ctx, and signals its end
		got := out.take()
		if got.ended && got.err == nil {
			x.c.work.cleared()
			x.release()
		}
		x.sendTokens(got)
		if got.ended {
			x.finish(b, id, got)
			return true
		}
	}
}

func (x *decodeSession) sendTokens(b batch) {
	if len(b.text) == 0 {
		return
	}
	// Without load hints: they would make up three quarters of the frame, and
	// the heartbeat of the stream brings them twice a second.
	_ = x.stream.Send(&wire.DecodeReply{Body: &wire.DecodeReply_Tokens{Tokens: &wire.Tokens{
		Attempt: x.c.attempt,
		Index:   uint64(b.index),
		Text:    b.text,
	}}})
}

// finish sends the last frame.
func (x *decodeSession) finish(b *boot, id string, got batch) {
	if got.err == nil {
		x.s.record(&x.c.claim, "decode done", got.finish)
		x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Done{Done: &wire.Done{
			Attempt:      x.c.attempt,
			TotalTokens:  uint64(got.total),
			FinishReason: got.finish,
		}}})
		return
	}
	if x.ended(b, id, got.err) {
		return
	}
	if engine.IsCode(got.err, engine.CodeNoMemory) {
		x.failed(wire.FailureKind_FAILURE_PREEMPTED, got.err.Error())
		return
	}
	// The entry is told before the engine has confirmed the cancel, because the
	// engine may be the one that does not answer.
	x.failed(wire.FailureKind_FAILURE_ENGINE, got.err.Error())
}

// read collects the engine's lines until the last one.
func (x *decodeSession) read(ctx context.Context, id string, start *wire.Start, out *output) error {
	lines, err := x.s.o.Engine.Decode(ctx, engine.DecodeRequest{
		RequestID:    id,
		Model:        x.c.model,
		Prompt:       start.GetPrompt(),
		ResumeTokens: int(start.GetResumeTokens()),
		MaxTokens:    int(start.GetMaxTokens()),
		Sampling:     json.RawMessage(start.GetSampling()),
	})
	if err != nil {
		return err
	}
	defer func() { _ = lines.Close() }()
	produced, last := 0, time.Time{}
	for {
		t, err := lines.Next()
		if err != nil {
			return err
		}
		isToken, err := out.add(t)
		if err != nil {
			return err
		}
		if t.FinishReason != "" {
			return nil
		}
		if isToken {
			produced++
			now := time.Now()
			x.s.desk.advance(x.c, produced, sinceLast(now, last))
			last = now
		}
	}
}

// sinceLast is 0 for the first token, which has no predecessor.
func sinceLast(now, last time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}
