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

// errTokenOutOfOrder reports a token whose index does not follow the previous one.
var errTokenOutOfOrder = errors.New("the engine's output skipped or repeated a token")

// outputBuffer collects the engine's output until it is sent, so that a slow entry
// does not delay reading from the engine and receives several tokens per frame.
type outputBuffer struct {
	mu        sync.Mutex
	nextIndex int // index of the next token to add
	text      []string
	finish    string
	err       error
	closed    bool
	ready     chan struct{} // capacity 1; signals new output or the end
}

func newOutputBuffer(resume int) *outputBuffer {
	return &outputBuffer{nextIndex: resume, ready: make(chan struct{}, 1)}
}

// add appends one line of the engine's output and reports whether it contains a
// token. The last line, which has the finish reason, may contain none.
func (o *outputBuffer) add(t engine.Token) (isToken bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.notify()
	o.finish = t.FinishReason
	if t.FinishReason != "" && t.Text == "" {
		return false, nil
	}
	if t.Index != o.nextIndex {
		return false, errors.Wrapf(errTokenOutOfOrder, "got %d, want %d", t.Index, o.nextIndex)
	}
	o.nextIndex++
	o.text = append(o.text, t.Text)
	return true, nil
}

// close records the end of the output, with the error that caused it or nil.
func (o *outputBuffer) close(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err, o.closed = err, true
	o.notify()
}

func (o *outputBuffer) notify() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// outputBatch is what drain takes from an outputBuffer: the tokens added since the
// last drain, with the state of the output at that moment.
type outputBatch struct {
	index  int // index of the first token in text
	text   []string
	total  int // index after the last token; it includes resumed tokens
	finish string
	err    error
	closed bool
}

// drain removes and returns the tokens in the buffer.
func (o *outputBuffer) drain() outputBatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := outputBatch{index: o.nextIndex - len(o.text), text: o.text, total: o.nextIndex, finish: o.finish, err: o.err, closed: o.closed}
	o.text = nil
	return b
}

// runDecode runs the decode on the engine and sends its output. It always returns
// true, because the stream is over afterwards.
func (d *decodeSession) runDecode(ctx context.Context, b *boot, id string, start *wire.Start) bool {
	if !d.c.work.beginCall(b, id) {
		return true
	}
	output := newOutputBuffer(int(start.GetResumeTokens()))
	go func() {
		defer d.c.work.calls.Done()
		output.close(d.readOutput(ctx, id, start, output))
	}()
	for {
		<-output.ready // the reader ends with ctx and then signals its end
		batch := output.drain()
		if batch.closed && batch.err == nil {
			d.c.work.markFreed()
			d.release()
		}
		d.sendTokens(batch)
		if batch.closed {
			d.sendResult(b, id, batch)
			return true
		}
	}
}

func (d *decodeSession) sendTokens(b outputBatch) {
	if len(b.text) == 0 {
		return
	}
	// The frame has no load hints: they would make up three quarters of it, and
	// the stream's heartbeats carry them twice a second.
	_ = d.stream.Send(&wire.DecodeReply{Body: &wire.DecodeReply_Tokens{Tokens: &wire.Tokens{
		Attempt: d.c.attempt,
		Index:   uint64(b.index),
		Text:    b.text,
	}}})
}

// sendResult sends the last frame.
func (d *decodeSession) sendResult(b *boot, id string, batch outputBatch) {
	if batch.err == nil {
		d.sidecar.recordEvent(&d.c.claim, "decode done", batch.finish)
		d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Done{Done: &wire.Done{
			Attempt:      d.c.attempt,
			TotalTokens:  uint64(batch.total),
			FinishReason: batch.finish,
		}}})
		return
	}
	if d.handleTermination(b, id, batch.err) {
		return
	}
	if engine.IsCode(batch.err, engine.CodeNoMemory) {
		d.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, batch.err.Error())
		return
	}
	// The failure is sent before the engine confirms the cancel, because the cause
	// may be that the engine does not answer.
	d.sendFailed(wire.FailureKind_FAILURE_ENGINE, batch.err.Error())
}

// readOutput reads the engine's output into the buffer until the last line.
func (d *decodeSession) readOutput(ctx context.Context, id string, start *wire.Start, output *outputBuffer) error {
	lines, err := d.sidecar.opts.Engine.Decode(ctx, engine.DecodeRequest{
		RequestID:    id,
		Model:        d.c.model,
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
		isToken, err := output.add(t)
		if err != nil {
			return err
		}
		if t.FinishReason != "" {
			return nil
		}
		if isToken {
			produced++
			now := time.Now()
			d.sidecar.scheduler.recordOutput(d.c, produced, tokenInterval(now, last))
			last = now
		}
	}
}

// tokenInterval returns the time between two tokens, or 0 for the first token.
func tokenInterval(now, last time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}
