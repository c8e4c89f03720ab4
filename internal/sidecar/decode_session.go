package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// freeTimeout is how long a stream waits for the engine to confirm that a failed
// import was freed, before it gives up on the engine.
const freeTimeout = 500 * time.Millisecond

// decodeSession walks one decode attempt through its steps: queued, granted,
// started, imported, decoding.
type decodeSession struct {
	*session[*wire.DecodeReply, *wire.DecodeRequest]
	sidecar     *Sidecar
	c           *decodeClaim
	startFrames chan *wire.Start
	cleanup     *cleanupOnce
}

func (s *Sidecar) serveDecode(w http.ResponseWriter, r *http.Request) {
	sess, err := openSession[*wire.DecodeReply](s.lifetime, w, r, func() *wire.DecodeRequest { return new(wire.DecodeRequest) })
	if err != nil {
		return
	}
	defer sess.close()
	first, err := sess.stream.Recv()
	if err != nil || first.GetReserve() == nil {
		return
	}
	x := &decodeSession{session: sess, sidecar: s, cleanup: newCleanupOnce(), startFrames: make(chan *wire.Start, 1)}
	c, ref := s.scheduler.admitDecode(first.GetReserve())
	if ref != nil {
		x.sendRefused(ref)
		return
	}
	x.c = c
	x.run()
}

// run frees the engine as soon as the stream ends, even while a frame to a slow
// entry is being written.
func (x *decodeSession) run() {
	x.sidecar.sessions.add(&x.c.claim, func() { x.wg.Go(x.sendHeartbeat) })
	defer x.sidecar.sessions.remove(&x.c.claim)
	defer x.finish()
	defer x.cancel(context.Canceled)
	context.AfterFunc(x.ctx, x.release)
	x.sendHeartbeats(func() *wire.DecodeReply {
		return x.withLoad(&wire.DecodeReply{Body: &wire.DecodeReply_Beat{Beat: &wire.Beat{}}})
	})
	x.receiveFrames(x.onFrame)
	if !x.awaitGrant() {
		return
	}
	for x.ctx.Err() == nil {
		start, ok := x.awaitStart()
		if !ok || x.serveStart(start) {
			return
		}
	}
}

func (x *decodeSession) onFrame(m *wire.DecodeRequest) bool {
	switch b := m.GetBody().(type) {
	case *wire.DecodeRequest_Cancel:
		x.sidecar.recordEvent(&x.c.claim, "cancel", b.Cancel.GetReason())
		return false
	case *wire.DecodeRequest_Start:
		select {
		case x.startFrames <- b.Start:
		default: // a Start is pending already
		}
	}
	return true
}

// release frees what the engine holds and gives the reservation back, once. The
// calls to the engine have ended or end with the stream.
func (x *decodeSession) release() {
	x.cleanup.do(func() {
		x.c.work.close()
		x.c.work.calls.Wait()
		if !x.c.work.free(x.sidecar.lifetime, x.sidecar.opts.Engine) {
			x.sidecar.opts.Logger.Warn("engine did not confirm a cancel", "upstream", x.sidecar.opts.Upstream, "request", x.c.id)
		}
		x.sidecar.scheduler.removeDecode(x.c)
		x.c.preempt()
		x.sidecar.recordEvent(&x.c.claim, "decode released", "")
	})
}

func (x *decodeSession) awaitGrant() bool {
	g, ref := x.c.awaitTurn(x.ctx, func() time.Duration { return x.sidecar.scheduler.decodeWait(x.c) }, x.sendQueued)
	if ref != nil {
		x.sendRefused(ref)
		return false
	}
	if g == nil {
		return false
	}
	x.sidecar.counters.decodeGrants.Add(1)
	x.sidecar.recordEvent(&x.c.claim, "decode granted", g.freeIn.String())
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Granted{Granted: &wire.Granted{FreeInMs: toMillis(g.freeIn)}}})
	return true
}

func (x *decodeSession) awaitStart() (*wire.Start, bool) {
	select {
	case <-x.ctx.Done():
		return nil, false
	case ref := <-x.c.refused:
		x.sendRefused(&ref)
		return nil, false
	case <-x.c.preempted.Done():
		x.release()
		x.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, "the memory was needed by a stream of a caller below its share")
		return nil, false
	case start := <-x.startFrames:
		return start, true
	}
}

// serveStart imports and decodes. It reports whether the stream is over; after a
// failed import the reservation is kept for another Start.
func (x *decodeSession) serveStart(start *wire.Start) (over bool) {
	x.sidecar.scheduler.startDecode(x.c, int(start.GetResumeTokens()), int(start.GetMaxTokens()))
	select {
	case <-x.ctx.Done():
		return true
	case ref := <-x.c.refused:
		x.sendRefused(&ref)
		return true
	case <-x.c.ready:
	}
	b, _ := x.sidecar.monitor.currentBoot()
	if b == nil {
		x.sendRefused(refusalEngineDown())
		return true
	}
	id := x.c.work.nextRequestID(x.c.id)
	ctx, stop := x.callContext(b)
	defer stop()
	if err := x.importKV(ctx, b, id, start); err != nil {
		return x.handleImportError(b, id, err)
	}
	return x.decode(ctx, b, id, start)
}

// callContext ends with the stream, with the engine's life and when the stream
// is paused.
func (x *decodeSession) callContext(b *boot) (context.Context, func()) {
	ctx, cancel := context.WithCancel(x.ctx)
	stopBoot := context.AfterFunc(b.ctx, cancel)
	stopPause := context.AfterFunc(x.c.preempted, cancel)
	return ctx, func() {
		stopBoot()
		stopPause()
		cancel()
	}
}

var errRefusalSent = errors.New("refused before the engine was used")

func (x *decodeSession) importKV(ctx context.Context, b *boot, id string, start *wire.Start) error {
	transfers := x.sidecar.transfers
	if err := transfers.Acquire(ctx); err != nil {
		return x.checkEngineLost(b, err)
	}
	if ref := x.sidecar.scheduler.beginExecution(&x.c.claim, id); ref != nil {
		transfers.Release(false)
		x.sendRefused(ref)
		return errRefusalSent
	}
	if !x.c.work.beginCall(b, id) {
		transfers.Release(false)
		return context.Cause(ctx)
	}
	x.sidecar.recordEvent(&x.c.claim, "import", start.GetSourceUrl())
	r, err := x.sidecar.opts.Engine.Import(ctx, engine.ImportRequest{
		RequestID:     id,
		SourceURL:     start.GetSourceUrl(),
		Handle:        start.GetHandle(),
		ReserveTokens: x.sidecar.scheduler.reserveTokens(x.c),
		Timeout:       transfers.Deadline(x.sidecar.scheduler.kvBytes(x.c, start)),
	})
	x.c.work.calls.Done()
	transfers.Release(errors.Is(err, engine.ErrSilent))
	x.sidecar.counters.imports.add(err, x.ctx.Err() != nil || x.c.preempted.Err() != nil)
	if err != nil {
		return err
	}
	x.sidecar.scheduler.recordImport(x.c, r.HeldTokens)
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Imported{Imported: &wire.Imported{HeldTokens: uint64(r.HeldTokens)}}})
	return nil
}

// checkEngineLost turns an engine that died before it had anything of this request into
// a refusal: the request was not in flight, so it is no suspect.
func (x *decodeSession) checkEngineLost(b *boot, err error) error {
	if x.ctx.Err() == nil && b.lost() {
		x.sendRefused(refusalEngineDown())
		return errRefusalSent
	}
	return err
}

// handleImportError frees this end and tells the entry what to do about it.
func (x *decodeSession) handleImportError(b *boot, id string, err error) (over bool) {
	if errors.Is(err, errRefusalSent) {
		return true
	}
	if x.handleEnd(b, id, err) {
		return true
	}
	freeCtx, cancel := context.WithTimeout(x.sidecar.lifetime, freeTimeout)
	defer cancel()
	freed := x.c.work.free(freeCtx, x.sidecar.opts.Engine)
	switch {
	case !freed:
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE, "the engine does not answer: "+err.Error())
		return true
	case engine.IsCode(err, engine.CodeNoMemory):
		x.release()
		x.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, err.Error())
		return true
	case engine.IsCode(err, engine.CodeEvicted):
		x.sendFailed(wire.FailureKind_FAILURE_EVICTED, err.Error())
	case engine.IsCode(err, engine.CodeTransferFailed), !engine.IsAPI(err):
		x.sendFailed(wire.FailureKind_FAILURE_TRANSFER, err.Error())
	default:
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE, err.Error())
		return true
	}
	x.sidecar.scheduler.endExecution(&x.c.claim, id)
	return false
}

// handleEnd handles the ends that both steps share: the stream itself ended, the
// stream was paused, or the engine died.
func (x *decodeSession) handleEnd(b *boot, id string, err error) bool {
	switch {
	case x.ctx.Err() != nil:
		return true
	case mayIndicateCrash(err) && x.sidecar.monitor.verifyLost(x.sidecar.lifetime, b), b.lost():
		x.c.work.markFreed()
		x.release()
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
		return true
	case x.c.preempted.Err() != nil:
		x.sidecar.scheduler.endExecution(&x.c.claim, id)
		x.release()
		x.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, "the memory was needed by a stream of a caller below its share")
		return true
	}
	return false
}

// mayIndicateCrash reports whether the engine may have died: the connection broke, or
// the engine has forgotten the import.
func mayIndicateCrash(err error) bool {
	return errors.Is(err, engine.ErrUnreachable) || engine.IsCode(err, engine.CodeNotImported)
}

// finish releases the claim. An entry that cancelled is told if the engine died
// first, so that no crash of a request goes uncounted.
func (x *decodeSession) finish() {
	x.release()
	if x.c.work.engineLost() {
		x.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	}
}

func (x *decodeSession) sendRefused(r *refusal) {
	x.sidecar.counters.decodeRefusals.add(r.kind)
	if x.c != nil {
		x.sidecar.recordEvent(&x.c.claim, "refused", r.detail)
	}
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Refused{Refused: r.message()}})
}

func (x *decodeSession) sendFailed(kind wire.FailureKind, detail string) {
	x.sidecar.recordEvent(&x.c.claim, "failed", kind.String()+": "+detail)
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Failed{Failed: &wire.Failed{Kind: kind, Detail: detail}}})
}

func (x *decodeSession) sendQueued(wait time.Duration) {
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Queued{Queued: &wire.Queued{WaitMs: toMillis(wait)}}})
}

func (x *decodeSession) sendHeartbeat() {
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Beat{Beat: &wire.Beat{}}})
}

// withLoad adds the load hints that every frame but those of tokens carries.
func (x *decodeSession) withLoad(m *wire.DecodeReply) *wire.DecodeReply {
	m.Load = x.sidecar.load()
	return m
}

// send writes a frame. A failed write ends the stream, which ends x.ctx.
func (x *decodeSession) send(m *wire.DecodeReply) { _ = x.stream.Send(x.withLoad(m)) }

func toMillis(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }
