package sidecar

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// prefillBase and prefillSlack make the deadline of a prefill: an engine may
	// be slow for a while, and its silence is found by other means.
	prefillBase  = 5 * time.Second
	prefillSlack = 10
	// busyPause and busyTries bound how long an engine may stay busy although
	// its accounted memory is free.
	busyPause = 50 * time.Millisecond
	busyTries = 20
	// holdRecheck spaces the looks at an output that is held beyond its time.
	holdRecheck = 50 * time.Millisecond
)

// prefillSession walks one prefill attempt through its steps: queued, started,
// held.
type prefillSession struct {
	*session[*wire.PrefillReply, *wire.PrefillRequest]
	s      *Sidecar
	c      *prefillClaim
	prompt string
	ending *ending
}

func (s *Sidecar) servePrefill(w http.ResponseWriter, r *http.Request) {
	ss, err := openSession[*wire.PrefillReply](s.life, w, r, func() *wire.PrefillRequest { return new(wire.PrefillRequest) })
	if err != nil {
		return
	}
	defer ss.close()
	first, err := ss.stream.Recv()
	if err != nil || first.GetPrefill() == nil {
		return
	}
	x := &prefillSession{session: ss, s: s, ending: newEnding(), prompt: first.GetPrefill().GetPrompt()}
	c, ref := s.desk.admitPrefill(first.GetPrefill())
	if ref != nil {
		x.refused(ref)
		return
	}
	x.c = c
	x.run()
}

func (x *prefillSession) run() {
	x.s.sessions.add(&x.c.claim, func() { x.wg.Go(x.sendBeat) })
	defer x.s.sessions.remove(&x.c.claim)
	defer x.conclude()
	defer x.cancel(context.Canceled)
	context.AfterFunc(x.ctx, x.release)
	x.beat(func() *wire.PrefillReply {
		return x.frame(&wire.PrefillReply{Body: &wire.PrefillReply_Beat{Beat: &wire.Beat{}}})
	})
	x.listen(func(m *wire.PrefillRequest) bool { return m.GetCancel() == nil })
	g, ref := x.c.awaitTurn(x.ctx, func() time.Duration { return x.s.desk.waitPrefill(x.c) }, x.sendQueued)
	switch {
	case ref != nil:
		x.refused(ref)
	case g != nil:
		x.s.counts.prefillGrants.Add(1)
		x.compute()
	}
}

// release frees what the engine holds and gives the memory back, once.
func (x *prefillSession) release() {
	x.ending.run(func() {
		x.c.work.end()
		x.c.work.calls.Wait()
		if !x.c.work.free(x.s.life, x.s.o.Engine) {
			x.s.o.Logger.Warn("engine did not confirm a release", "upstream", x.s.o.Upstream, "request", x.c.id)
		}
		x.s.desk.removePrefill(x.c)
		x.s.record(&x.c.claim, "prefill released", "")
	})
}

// compute runs the prefill and holds its output.
func (x *prefillSession) compute() {
	b, _ := x.s.monitor.get()
	if b == nil {
		x.refused(engineDown())
		return
	}
	if ref := x.s.desk.enter(&x.c.claim, x.c.id); ref != nil {
		x.refused(ref)
		return
	}
	x.s.record(&x.c.claim, "prefill started", "")
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Started{Started: &wire.Started{}}})
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	defer context.AfterFunc(b.ctx, func() { cancel(errEngineLost) })()
	begin := time.Now()
	r, err := x.submit(ctx, b, func() { cancel(errAnswerLost) })
	if err != nil {
		x.computeFailed(b, err)
		return
	}
	x.s.desk.prefillReady(x.c, r, time.Since(begin))
	x.s.record(&x.c.claim, "prefill ready", r.Handle)
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Ready{Ready: &wire.Ready{
		SourceUrl:    x.s.o.EngineURL,
		Handle:       r.Handle,
		KvBytes:      uint64(r.KVBytes),
		Tokens:       uint64(r.Tokens),
		CachedTokens: uint64(r.CachedTokens),
		HoldMs:       uint64(r.HoldMS),
	}}})
	x.hold(ctx, b, time.Duration(r.HoldMS)*time.Millisecond)
}

// submit calls the engine, again when it was busy. giveUp ends ctx.
func (x *prefillSession) submit(ctx context.Context, b *boot, giveUp func()) (engine.PrefillResult, error) {
	req := engine.PrefillRequest{
		RequestID: x.c.id,
		Model:     x.c.model,
		Prompt:    x.prompt,
		Timeout:   x.s.desk.prefillDeadline(x.c.tokens),
	}
	for try := 1; ; try++ {
		if !x.c.work.begin(b, x.c.id) {
			return engine.PrefillResult{}, context.Cause(x.ctx)
		}
		x.c.work.watch(giveUp)
		r, err := x.s.o.Engine.Prefill(ctx, req)
		x.c.work.watch(nil)
		if err == nil {
			x.c.work.hold(r.Handle)
		}
		x.c.work.calls.Done()
		if !engine.IsCode(err, engine.CodeBusy) || try == busyTries {
			return r, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyPause):
		}
	}
}

func (x *prefillSession) computeFailed(b *boot, err error) {
	lost := errors.Is(err, engine.ErrUnreachable) && x.s.monitor.verify(x.s.life, b)
	switch {
	case x.ctx.Err() != nil:
	case lost || b.lost():
		x.c.work.cleared()
		x.release()
		x.failed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	case engine.IsCode(err, engine.CodePromptTooLong):
		x.refused(tooLarge(err.Error()))
	case engine.IsCode(err, engine.CodeWrongRole):
		x.refused(&refusal{kind: wire.RefusalKind_REFUSAL_WRONG_ROLE, detail: err.Error()})
	case engine.IsCode(err, engine.CodeBusy):
		x.refused(&refusal{kind: wire.RefusalKind_REFUSAL_OVERLOADED, detail: err.Error(), retryAfter: time.Second})
	default:
		x.failed(wire.FailureKind_FAILURE_ENGINE, err.Error())
	}
}

// hold keeps the output until the entry releases it, the engine evicts it or
// the engine dies.
func (x *prefillSession) hold(ctx context.Context, b *boot, left time.Duration) {
	evict := time.NewTimer(left)
	defer evict.Stop()
	for {
		select {
		case <-ctx.Done():
			if x.ctx.Err() == nil && b.lost() {
				x.lostOutput("the engine restarted and lost the output; run the prefill again")
			}
			return
		case <-evict.C:
			if !x.stillHeld(ctx) {
				x.s.desk.evicted(x.c)
				x.lostOutput("nobody fetched the output in time; run the prefill again")
				return
			}
			evict.Reset(holdRecheck)
		}
	}
}

// lostOutput ends a hold whose output the engine no longer has.
func (x *prefillSession) lostOutput(detail string) {
	x.c.work.cleared()
	x.release()
	x.failed(wire.FailureKind_FAILURE_EVICTED, detail)
}

// stillHeld asks the engine whether it keeps the output beyond its time, which
// it may do while a transfer makes progress. Without an answer it counts as held.
func (x *prefillSession) stillHeld(ctx context.Context) bool {
	list, err := x.s.o.Engine.Requests(ctx)
	return err != nil || slices.ContainsFunc(list, func(r engine.RequestInfo) bool { return r.RequestID == x.c.id })
}

// conclude releases the claim. An entry that cancelled is told if the engine died
// first, so that no crash of a request goes uncounted.
func (x *prefillSession) conclude() {
	x.release()
	if x.c.work.engineLost() {
		x.failed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	}
}

func (x *prefillSession) refused(r *refusal) {
	x.s.counts.prefillRefusals.add(r.kind)
	if x.c != nil {
		x.s.record(&x.c.claim, "refused", r.detail)
	}
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Refused{Refused: r.message()}})
}

func (x *prefillSession) failed(kind wire.FailureKind, detail string) {
	x.s.record(&x.c.claim, "failed", kind.String()+": "+detail)
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Failed{Failed: &wire.Failed{Kind: kind, Detail: detail}}})
}

func (x *prefillSession) sendQueued(wait time.Duration) {
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Queued{Queued: &wire.Queued{WaitMs: millis(wait)}}})
}

func (x *prefillSession) sendBeat() {
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Beat{Beat: &wire.Beat{}}})
}

// frame adds the load hints that every frame carries.
func (x *prefillSession) frame(m *wire.PrefillReply) *wire.PrefillReply {
	m.Load = x.s.load()
	return m
}

// send writes a frame. A failed write ends the stream, which ends x.ctx.
func (x *prefillSession) send(m *wire.PrefillReply) { _ = x.stream.Send(x.frame(m)) }
