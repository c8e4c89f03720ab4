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
	// prefillBaseTimeout and prefillSlack make the deadline of a prefill: an engine may
	// be slow for a while, and its silence is found by other means.
	prefillBaseTimeout   = 5 * time.Second
	prefillTimeoutFactor = 10
	// busyRetryDelay and busyTries bound how long an engine may stay busy although
	// its accounted memory is free.
	busyRetryDelay  = 50 * time.Millisecond
	maxBusyAttempts = 20
	// holdCheckInterval spaces the looks at an output that is held beyond its time.
	holdCheckInterval = 50 * time.Millisecond
)

// prefillSession walks one prefill attempt through its steps: queued, started,
// held.
type prefillSession struct {
	*session[*wire.PrefillReply, *wire.PrefillRequest]
	sidecar *Sidecar
	c       *prefillClaim
	prompt  string
	cleanup *cleanupOnce
}

func (s *Sidecar) servePrefill(w http.ResponseWriter, r *http.Request) {
	sess, err := openSession[*wire.PrefillReply](s.lifetime, w, r, func() *wire.PrefillRequest { return new(wire.PrefillRequest) })
	if err != nil {
		return
	}
	defer sess.close()
	first, err := sess.stream.Recv()
	if err != nil || first.GetPrefill() == nil {
		return
	}
	x := &prefillSession{session: sess, sidecar: s, cleanup: newCleanupOnce(), prompt: first.GetPrefill().GetPrompt()}
	c, ref := s.scheduler.admitPrefill(first.GetPrefill())
	if ref != nil {
		x.sendRefused(ref)
		return
	}
	x.c = c
	x.run()
}

func (x *prefillSession) run() {
	x.sidecar.sessions.add(&x.c.claim, func() { x.wg.Go(x.sendHeartbeat) })
	defer x.sidecar.sessions.remove(&x.c.claim)
	defer x.finish()
	defer x.cancel(context.Canceled)
	context.AfterFunc(x.ctx, x.release)
	x.sendHeartbeats(func() *wire.PrefillReply {
		return x.withLoad(&wire.PrefillReply{Body: &wire.PrefillReply_Beat{Beat: &wire.Beat{}}})
	})
	x.receiveFrames(func(m *wire.PrefillRequest) bool { return m.GetCancel() == nil })
	g, ref := x.c.awaitTurn(x.ctx, func() time.Duration { return x.sidecar.scheduler.prefillWait(x.c) }, x.sendQueued)
	switch {
	case ref != nil:
		x.sendRefused(ref)
	case g != nil:
		x.sidecar.counters.prefillGrants.Add(1)
		x.runPrefill()
	}
}

// release frees what the engine holds and gives the memory back, once.
func (x *prefillSession) release() {
	x.cleanup.do(func() {
		x.c.work.close()
		x.c.work.calls.Wait()
		if !x.c.work.free(x.sidecar.lifetime, x.sidecar.opts.Engine) {
			x.sidecar.opts.Logger.Warn("engine did not confirm a release", "upstream", x.sidecar.opts.Upstream, "request", x.c.id)
		}
		x.sidecar.scheduler.removePrefill(x.c)
		x.sidecar.recordEvent(&x.c.claim, "prefill released", "")
	})
}

// runPrefill runs the prefill and holds its output.
func (x *prefillSession) runPrefill() {
	b, _ := x.sidecar.monitor.currentBoot()
	if b == nil {
		x.sendRefused(refusalEngineDown())
		return
	}
	if ref := x.sidecar.scheduler.beginExecution(&x.c.claim, x.c.id); ref != nil {
		x.sendRefused(ref)
		return
	}
	x.sidecar.recordEvent(&x.c.claim, "prefill started", "")
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Started{Started: &wire.Started{}}})
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	defer context.AfterFunc(b.ctx, func() { cancel(errEngineLost) })()
	begin := time.Now()
	r, err := x.submit(ctx, b, func() { cancel(errResponseLost) })
	if err != nil {
		x.handlePrefillError(b, err)
		return
	}
	x.sidecar.scheduler.recordPrefill(x.c, r, time.Since(begin))
	x.sidecar.recordEvent(&x.c.claim, "prefill ready", r.Handle)
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Ready{Ready: &wire.Ready{
		SourceUrl:    x.sidecar.opts.EngineURL,
		Handle:       r.Handle,
		KvBytes:      uint64(r.KVBytes),
		Tokens:       uint64(r.Tokens),
		CachedTokens: uint64(r.CachedTokens),
		HoldMs:       uint64(r.HoldMS),
	}}})
	x.holdOutput(ctx, b, time.Duration(r.HoldMS)*time.Millisecond)
}

// submit calls the engine, again when it was busy. giveUp ends ctx.
func (x *prefillSession) submit(ctx context.Context, b *boot, abort func()) (engine.PrefillResult, error) {
	req := engine.PrefillRequest{
		RequestID: x.c.id,
		Model:     x.c.model,
		Prompt:    x.prompt,
		Timeout:   x.sidecar.scheduler.prefillTimeout(x.c.tokens),
	}
	for attempt := 1; ; attempt++ {
		if !x.c.work.beginCall(b, x.c.id) {
			return engine.PrefillResult{}, context.Cause(x.ctx)
		}
		x.c.work.setAbort(abort)
		r, err := x.sidecar.opts.Engine.Prefill(ctx, req)
		x.c.work.setAbort(nil)
		if err == nil {
			x.c.work.setHandle(r.Handle)
		}
		x.c.work.calls.Done()
		if !engine.IsCode(err, engine.CodeBusy) || attempt == maxBusyAttempts {
			return r, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyRetryDelay):
		}
	}
}

func (x *prefillSession) handlePrefillError(b *boot, err error) {
	lost := errors.Is(err, engine.ErrUnreachable) && x.sidecar.monitor.verifyLost(x.sidecar.lifetime, b)
	switch {
	case x.ctx.Err() != nil:
	case lost || b.lost():
		x.c.work.markFreed()
		x.release()
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	case engine.IsCode(err, engine.CodePromptTooLong):
		x.sendRefused(refusalTooLarge(err.Error()))
	case engine.IsCode(err, engine.CodeWrongRole):
		x.sendRefused(&refusal{kind: wire.RefusalKind_REFUSAL_WRONG_ROLE, detail: err.Error()})
	case engine.IsCode(err, engine.CodeBusy):
		x.sendRefused(&refusal{kind: wire.RefusalKind_REFUSAL_OVERLOADED, detail: err.Error(), retryAfter: time.Second})
	default:
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE, err.Error())
	}
}

// holdOutput keeps the output until the entry releases it, the engine evicts it or
// the engine dies.
func (x *prefillSession) holdOutput(ctx context.Context, b *boot, holdTime time.Duration) {
	evict := time.NewTimer(holdTime)
	defer evict.Stop()
	for {
		select {
		case <-ctx.Done():
			if x.ctx.Err() == nil && b.lost() {
				x.outputLost("the engine restarted and lost the output; run the prefill again")
			}
			return
		case <-evict.C:
			if !x.stillHeld(ctx) {
				x.sidecar.scheduler.recordEviction(x.c)
				x.outputLost("nobody fetched the output in time; run the prefill again")
				return
			}
			evict.Reset(holdCheckInterval)
		}
	}
}

// outputLost ends a hold whose output the engine no longer has.
func (x *prefillSession) outputLost(detail string) {
	x.c.work.markFreed()
	x.release()
	x.sendFailed(wire.FailureKind_FAILURE_EVICTED, detail)
}

// stillHeld asks the engine whether it keeps the output beyond its time, which
// it may do while a transfer makes progress. Without an answer it counts as held.
func (x *prefillSession) stillHeld(ctx context.Context) bool {
	list, err := x.sidecar.opts.Engine.Requests(ctx)
	return err != nil || slices.ContainsFunc(list, func(r engine.RequestInfo) bool { return r.RequestID == x.c.id })
}

// finish releases the claim. An entry that cancelled is told if the engine died
// first, so that no crash of a request goes uncounted.
func (x *prefillSession) finish() {
	x.release()
	if x.c.work.engineLost() {
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	}
}

func (x *prefillSession) sendRefused(r *refusal) {
	x.sidecar.counters.prefillRefusals.add(r.kind)
	if x.c != nil {
		x.sidecar.recordEvent(&x.c.claim, "refused", r.detail)
	}
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Refused{Refused: r.message()}})
}

func (x *prefillSession) sendFailed(kind wire.FailureKind, detail string) {
	x.sidecar.recordEvent(&x.c.claim, "failed", kind.String()+": "+detail)
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Failed{Failed: &wire.Failed{Kind: kind, Detail: detail}}})
}

func (x *prefillSession) sendQueued(wait time.Duration) {
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Queued{Queued: &wire.Queued{WaitMs: toMillis(wait)}}})
}

func (x *prefillSession) sendHeartbeat() {
	x.send(&wire.PrefillReply{Body: &wire.PrefillReply_Beat{Beat: &wire.Beat{}}})
}

// withLoad adds the load hints that every frame carries.
func (x *prefillSession) withLoad(m *wire.PrefillReply) *wire.PrefillReply {
	m.Load = x.sidecar.load()
	return m
}

// send writes a frame. A failed write ends the stream, which ends x.ctx.
func (x *prefillSession) send(m *wire.PrefillReply) { _ = x.stream.Send(x.withLoad(m)) }
