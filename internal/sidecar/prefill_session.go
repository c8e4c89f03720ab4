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
	// prefillBaseTimeout plus prefillTimeoutFactor times the expected duration is
	// the timeout of a prefill. It is generous, because an engine may be slow for
	// a while, and a silent connection is detected by other means.
	prefillBaseTimeout   = 5 * time.Second
	prefillTimeoutFactor = 10
	// busyRetryDelay and maxBusyAttempts limit how long a prefill is retried on an
	// engine that reports to be busy although its memory is accounted as free.
	busyRetryDelay  = 50 * time.Millisecond
	maxBusyAttempts = 20
	// holdCheckInterval is how often the engine is asked about an output that is
	// past its announced eviction time.
	holdCheckInterval = 50 * time.Millisecond
)

// prefillSession takes one prefill attempt through its steps: queued, started,
// held.
type prefillSession struct {
	*session[*wire.PrefillReply, *wire.PrefillRequest]
	sidecar *Sidecar
	c       *prefillClaim
	prompt  string
	cleanup *cleanupOnce
}

// servePrefill serves the stream of one prefill attempt, whose first frame must be
// a Prefill.
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
	p := &prefillSession{session: sess, sidecar: s, cleanup: newCleanupOnce(), prompt: first.GetPrefill().GetPrompt()}
	c, ref := s.scheduler.admitPrefill(first.GetPrefill())
	if ref != nil {
		p.sendRefused(ref)
		return
	}
	p.c = c
	p.run()
}

func (p *prefillSession) run() {
	p.sidecar.sessions.add(&p.c.claim, func() { p.wg.Go(p.sendHeartbeat) })
	defer p.sidecar.sessions.remove(&p.c.claim)
	defer p.finish()
	defer p.cancel(context.Canceled)
	context.AfterFunc(p.ctx, p.release)
	p.sendHeartbeats(func() *wire.PrefillReply {
		return p.withLoad(&wire.PrefillReply{Body: &wire.PrefillReply_Beat{Beat: &wire.Beat{}}})
	})
	p.receiveFrames(func(m *wire.PrefillRequest) bool { return m.GetCancel() == nil })
	g, ref := p.c.awaitTurn(p.ctx, func() time.Duration { return p.sidecar.scheduler.prefillWait(p.c) }, p.sendQueued)
	switch {
	case ref != nil:
		p.sendRefused(ref)
	case g != nil:
		p.sidecar.counters.prefillGrants.Add(1)
		p.runPrefill()
	}
}

// release frees what the engine holds and then releases the allocation, once.
func (p *prefillSession) release() {
	p.cleanup.do(func() {
		p.c.work.close()
		p.c.work.calls.Wait()
		if !p.c.work.free(p.sidecar.lifetime, p.sidecar.opts.Engine) {
			p.sidecar.opts.Logger.Warn("sidecar stopped before the engine confirmed a release", "upstream", p.sidecar.opts.Upstream, "request", p.c.id)
		}
		p.sidecar.scheduler.removePrefill(p.c)
		p.sidecar.recordEvent(&p.c.claim, "prefill released", "")
	})
}

// runPrefill computes the prefill and holds its output until the end of the stream.
func (p *prefillSession) runPrefill() {
	b, _ := p.sidecar.monitor.currentBoot()
	if b == nil {
		p.sendRefused(refusalEngineDown())
		return
	}
	if ref := p.sidecar.scheduler.beginExecution(&p.c.claim, p.c.id); ref != nil {
		p.sendRefused(ref)
		return
	}
	p.sidecar.recordEvent(&p.c.claim, "prefill started", "")
	p.send(&wire.PrefillReply{Body: &wire.PrefillReply_Started{Started: &wire.Started{}}})
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(nil)
	defer context.AfterFunc(b.ctx, func() { cancel(errEngineLost) })()
	begin := time.Now()
	r, err := p.submit(ctx, b, func() { cancel(errResponseLost) })
	if err != nil {
		p.handlePrefillError(b, err)
		return
	}
	p.sidecar.scheduler.recordPrefill(p.c, r, time.Since(begin))
	p.sidecar.recordEvent(&p.c.claim, "prefill ready", r.Handle)
	p.send(&wire.PrefillReply{Body: &wire.PrefillReply_Ready{Ready: &wire.Ready{
		SourceUrl:    p.sidecar.opts.EngineURL,
		Handle:       r.Handle,
		KvBytes:      uint64(r.KVBytes),
		Tokens:       uint64(r.PromptTokens),
		CachedTokens: uint64(r.CachedTokens),
		HoldMs:       uint64(r.HoldMS),
	}}})
	p.holdOutput(ctx, b, time.Duration(r.HoldMS)*time.Millisecond)
}

// submit calls the engine and retries while it is busy. abort must end ctx; it is
// called when the response seems lost.
func (p *prefillSession) submit(ctx context.Context, b *boot, abort func()) (engine.PrefillResult, error) {
	req := engine.PrefillRequest{
		RequestID: p.c.id,
		Model:     p.c.model,
		Prompt:    p.prompt,
		Timeout:   p.sidecar.scheduler.prefillTimeout(p.c.tokens),
	}
	for attempt := 1; ; attempt++ {
		if !p.c.work.beginCall(b, p.c.id) {
			return engine.PrefillResult{}, context.Cause(p.ctx)
		}
		p.c.work.setAbort(abort)
		r, err := p.sidecar.opts.Engine.Prefill(ctx, req)
		p.c.work.setAbort(nil)
		if err == nil {
			p.c.work.setHandle(r.Handle)
		}
		p.c.work.calls.Done()
		if !engine.IsCode(err, engine.CodeBusy) || attempt == maxBusyAttempts {
			return r, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyRetryDelay):
		}
	}
}

// handlePrefillError tells the entry why the prefill failed, unless the stream has
// ended.
func (p *prefillSession) handlePrefillError(b *boot, err error) {
	lost := errors.Is(err, engine.ErrUnreachable) && p.sidecar.monitor.verifyLost(p.sidecar.lifetime, b)
	switch {
	case p.ctx.Err() != nil:
	case lost || b.lost():
		p.reportEngineLost()
	case engine.IsCode(err, engine.CodePromptTooLong):
		p.sendRefused(refusalTooLarge(err.Error()))
	case engine.IsCode(err, engine.CodeWrongRole):
		p.sendRefused(&refusal{kind: wire.RefusalKind_REFUSAL_WRONG_ROLE, detail: err.Error()})
	case engine.IsCode(err, engine.CodeBusy):
		p.sendRefused(&refusal{kind: wire.RefusalKind_REFUSAL_OVERLOADED, detail: err.Error(), retryAfter: time.Second})
	default:
		p.sendFailed(wire.FailureKind_FAILURE_ENGINE, err.Error())
	}
}

// reportEngineLost ends the attempt after the engine died with the request or its output.
func (p *prefillSession) reportEngineLost() {
	p.c.work.markFreed()
	p.release()
	p.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
}

// holdOutput waits until the entry releases the output, the engine evicts it or the
// engine dies.
func (p *prefillSession) holdOutput(ctx context.Context, b *boot, holdTime time.Duration) {
	evict := time.NewTimer(holdTime)
	defer evict.Stop()
	for {
		select {
		case <-ctx.Done():
			if p.ctx.Err() == nil && b.lost() {
				// The request may have caused that as much as one that is computed.
				p.reportEngineLost()
			}
			return
		case <-evict.C:
			if !p.stillHeld(ctx) {
				p.sidecar.scheduler.recordEviction(p.c)
				p.reportOutputLost("nobody fetched the output in time; run the prefill again")
				return
			}
			evict.Reset(holdCheckInterval)
		}
	}
}

// reportOutputLost ends the attempt after the engine evicted the output.
func (p *prefillSession) reportOutputLost(detail string) {
	p.c.work.markFreed()
	p.release()
	p.sendFailed(wire.FailureKind_FAILURE_EVICTED, detail)
}

// stillHeld asks the engine whether it still holds the output past the eviction
// time, which it may do while a transfer makes progress. If the engine does not
// answer, the output counts as held.
func (p *prefillSession) stillHeld(ctx context.Context) bool {
	list, err := p.sidecar.opts.Engine.Requests(ctx)
	return err != nil || slices.ContainsFunc(list, func(r engine.RequestInfo) bool { return r.RequestID == p.c.id })
}

// finish releases the claim. If the engine died before it freed the memory, finish
// reports that even to an entry that cancelled, so that every crash is counted.
func (p *prefillSession) finish() {
	p.release()
	if p.c.work.engineLost() {
		p.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	}
}

func (p *prefillSession) sendRefused(r *refusal) {
	p.sidecar.counters.prefillRefusals.add(r.kind)
	if p.c != nil {
		p.sidecar.recordEvent(&p.c.claim, "refused", r.detail)
	}
	p.send(&wire.PrefillReply{Body: &wire.PrefillReply_Refused{Refused: r.message()}})
}

func (p *prefillSession) sendFailed(kind wire.FailureKind, detail string) {
	p.sidecar.recordEvent(&p.c.claim, "failed", kind.String()+": "+detail)
	p.send(&wire.PrefillReply{Body: &wire.PrefillReply_Failed{Failed: &wire.Failed{Kind: kind, Detail: detail}}})
}

func (p *prefillSession) sendQueued(wait time.Duration) {
	p.send(&wire.PrefillReply{Body: &wire.PrefillReply_Queued{Queued: &wire.Queued{WaitMs: toMillis(wait)}}})
}

func (p *prefillSession) sendHeartbeat() {
	p.send(&wire.PrefillReply{Body: &wire.PrefillReply_Beat{Beat: &wire.Beat{}}})
}

// withLoad adds the load hints, which every prefill frame carries.
func (p *prefillSession) withLoad(m *wire.PrefillReply) *wire.PrefillReply {
	m.Load = p.sidecar.load()
	return m
}

// send writes a frame. A failed write ends the stream, which ends p.ctx.
func (p *prefillSession) send(m *wire.PrefillReply) { _ = p.stream.Send(p.withLoad(m)) }
