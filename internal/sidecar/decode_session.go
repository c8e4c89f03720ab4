package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// freeTimeout is how long a stream waits for the engine to confirm that the memory
// of a failed import is free. After that the attempt fails.
const freeTimeout = 500 * time.Millisecond

// decodeSession takes one decode attempt through its steps: queued, granted,
// started, imported, decoding.
type decodeSession struct {
	*session[*wire.DecodeReply, *wire.DecodeRequest]
	sidecar     *Sidecar
	c           *decodeClaim
	startFrames chan *wire.Start
	cleanup     *cleanupOnce
}

// serveDecode serves the stream of one decode attempt, whose first frame must be a
// Reserve.
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
	d := &decodeSession{session: sess, sidecar: s, cleanup: newCleanupOnce(), startFrames: make(chan *wire.Start, 1)}
	c, ref := s.scheduler.admitDecode(first.GetReserve())
	if ref != nil {
		d.sendRefused(ref)
		return
	}
	d.c = c
	d.run()
}

// run executes the attempt until the stream ends. It frees the engine's memory as
// soon as the stream's context ends, even while a write to a slow entry blocks.
func (d *decodeSession) run() {
	d.sidecar.sessions.add(&d.c.claim, func() { d.wg.Go(d.sendHeartbeat) })
	defer d.sidecar.sessions.remove(&d.c.claim)
	defer d.finish()
	defer d.cancel(context.Canceled)
	context.AfterFunc(d.ctx, d.release)
	d.sendHeartbeats(func() *wire.DecodeReply {
		return d.withLoad(&wire.DecodeReply{Body: &wire.DecodeReply_Beat{Beat: &wire.Beat{}}})
	})
	d.receiveFrames(d.onFrame)
	if !d.awaitGrant() {
		return
	}
	for d.ctx.Err() == nil {
		start, ok := d.awaitStart()
		if !ok || d.serveStart(start) {
			return
		}
	}
}

// onFrame handles a frame after the first one. It returns false if the frame
// cancels the attempt.
func (d *decodeSession) onFrame(m *wire.DecodeRequest) bool {
	switch b := m.GetBody().(type) {
	case *wire.DecodeRequest_Cancel:
		d.sidecar.recordEvent(&d.c.claim, "cancel", b.Cancel.GetReason())
		return false
	case *wire.DecodeRequest_Start:
		select {
		case d.startFrames <- b.Start:
		default: // a Start frame is pending already
		}
	}
	return true
}

// release frees what the engine holds and then releases the reservation, once. It
// waits for the running calls to the engine, which end with the stream.
func (d *decodeSession) release() {
	d.cleanup.do(func() {
		d.c.work.close()
		d.c.work.calls.Wait()
		if !d.c.work.free(d.sidecar.lifetime, d.sidecar.opts.Engine) {
			d.sidecar.opts.Logger.Warn("sidecar stopped before the engine confirmed a cancel", "upstream", d.sidecar.opts.Upstream, "request", d.c.id)
		}
		d.sidecar.scheduler.removeDecode(d.c)
		d.c.preempt()
		d.sidecar.recordEvent(&d.c.claim, "decode released", "")
	})
}

// awaitGrant waits until the claim is granted and tells the entry. It returns false
// if the claim is refused or the stream ends first.
func (d *decodeSession) awaitGrant() bool {
	g, ref := d.c.awaitTurn(d.ctx, func() time.Duration { return d.sidecar.scheduler.decodeWait(d.c) }, d.sendQueued)
	if ref != nil {
		d.sendRefused(ref)
		return false
	}
	if g == nil {
		return false
	}
	d.sidecar.counters.decodeGrants.Add(1)
	d.sidecar.recordEvent(&d.c.claim, "decode granted", g.freeIn.String())
	d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Granted{Granted: &wire.Granted{FreeInMs: toMillis(g.freeIn)}}})
	return true
}

// awaitStart waits for a Start frame. It returns false if the claim is refused or
// preempted, or if the stream ends first.
func (d *decodeSession) awaitStart() (*wire.Start, bool) {
	select {
	case <-d.ctx.Done():
		return nil, false
	case ref := <-d.c.refused:
		d.sendRefused(&ref)
		return nil, false
	case <-d.c.preempted.Done():
		d.release()
		d.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, "the memory was needed by a stream of a caller below its share")
		return nil, false
	case start := <-d.startFrames:
		return start, true
	}
}

// serveStart imports the KV cache and decodes. It reports whether the stream is
// over. After an import that can be repeated it returns false and keeps the
// reservation for another Start frame.
func (d *decodeSession) serveStart(start *wire.Start) (over bool) {
	d.sidecar.scheduler.startDecode(d.c, int(start.GetResumeTokens()), int(start.GetMaxTokens()))
	select {
	case <-d.ctx.Done():
		return true
	case ref := <-d.c.refused:
		d.sendRefused(&ref)
		return true
	case <-d.c.ready:
	}
	b, _ := d.sidecar.monitor.currentBoot()
	if b == nil {
		d.sendRefused(refusalEngineDown())
		return true
	}
	id := d.c.work.nextRequestID(d.c.id)
	ctx, stop := d.callContext(b)
	defer stop()
	if err := d.importKV(ctx, b, id, start); err != nil {
		return d.handleImportError(b, id, err)
	}
	return d.runDecode(ctx, b, id, start)
}

// callContext returns a context for calls to the engine. It ends with the stream,
// with the engine's run b and when the stream is preempted.
func (d *decodeSession) callContext(b *boot) (context.Context, func()) {
	ctx, cancel := context.WithCancel(d.ctx)
	stopBoot := context.AfterFunc(b.ctx, cancel)
	stopPause := context.AfterFunc(d.c.preempted, cancel)
	return ctx, func() {
		stopBoot()
		stopPause()
		cancel()
	}
}

// errRefusalSent reports that the entry has received a refusal already.
var errRefusalSent = errors.New("a refusal was sent before the engine was used")

func (d *decodeSession) importKV(ctx context.Context, b *boot, id string, start *wire.Start) error {
	transfers := d.sidecar.transfers
	if err := transfers.Acquire(ctx); err != nil {
		return d.refuseIfEngineLost(b, err)
	}
	if ref := d.sidecar.scheduler.beginExecution(&d.c.claim, id); ref != nil {
		transfers.Release(false)
		d.sendRefused(ref)
		return errRefusalSent
	}
	if !d.c.work.beginCall(b, id) {
		transfers.Release(false)
		return context.Cause(ctx)
	}
	d.sidecar.recordEvent(&d.c.claim, "import", start.GetSourceUrl())
	r, err := d.sidecar.opts.Engine.Import(ctx, engine.ImportRequest{
		RequestID:     id,
		SourceURL:     start.GetSourceUrl(),
		Handle:        start.GetHandle(),
		ReserveTokens: d.sidecar.scheduler.reserveTokens(d.c),
		Timeout:       transfers.Deadline(d.sidecar.scheduler.kvBytes(d.c, start)),
	})
	d.c.work.calls.Done()
	transfers.Release(errors.Is(err, engine.ErrTimeout))
	d.sidecar.counters.imports.add(err, d.ctx.Err() != nil || d.c.preempted.Err() != nil)
	if err != nil {
		return err
	}
	d.sidecar.scheduler.recordImport(d.c, r.HeldTokens)
	d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Imported{Imported: &wire.Imported{HeldTokens: uint64(r.HeldTokens)}}})
	return nil
}

// refuseIfEngineLost refuses the attempt if the engine died before anything of the
// request was submitted. A refusal, unlike a failure, does not make the request a
// suspect, because it was not in flight. Otherwise it returns err.
func (d *decodeSession) refuseIfEngineLost(b *boot, err error) error {
	if d.ctx.Err() == nil && b.lost() {
		d.sendRefused(refusalEngineDown())
		return errRefusalSent
	}
	return err
}

// handleImportError frees the memory of a failed import and reports the failure to
// the entry. It returns false if the import can be repeated on this stream.
func (d *decodeSession) handleImportError(b *boot, id string, err error) (over bool) {
	if errors.Is(err, errRefusalSent) {
		return true
	}
	if d.handleTermination(b, id, err) {
		return true
	}
	freeCtx, cancel := context.WithTimeout(d.sidecar.lifetime, freeTimeout)
	defer cancel()
	freed := d.c.work.free(freeCtx, d.sidecar.opts.Engine)
	switch {
	case !freed:
		d.sendFailed(wire.FailureKind_FAILURE_ENGINE, "the engine does not answer: "+err.Error())
		return true
	case engine.IsCode(err, engine.CodeNoMemory):
		d.release()
		d.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, err.Error())
		return true
	case engine.IsCode(err, engine.CodeEvicted):
		d.sendFailed(wire.FailureKind_FAILURE_EVICTED, err.Error())
	case engine.IsCode(err, engine.CodeTransferFailed), !engine.IsAPIError(err):
		d.sendFailed(wire.FailureKind_FAILURE_TRANSFER, err.Error())
	default:
		d.sendFailed(wire.FailureKind_FAILURE_ENGINE, err.Error())
		return true
	}
	d.sidecar.scheduler.endExecution(&d.c.claim, id)
	return false
}

// handleTermination handles the errors that import and decode have in common: the
// stream ended, the engine died, or the stream was preempted. It reports whether
// err was one of them.
func (d *decodeSession) handleTermination(b *boot, id string, err error) bool {
	switch {
	case d.ctx.Err() != nil:
		return true
	case mayIndicateCrash(err) && d.sidecar.monitor.verifyLost(d.sidecar.lifetime, b), b.lost():
		d.c.work.markFreed()
		d.release()
		d.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
		return true
	case d.c.preempted.Err() != nil:
		d.sidecar.scheduler.endExecution(&d.c.claim, id)
		d.release()
		d.sendFailed(wire.FailureKind_FAILURE_PREEMPTED, "the memory was needed by a stream of a caller below its share")
		return true
	}
	return false
}

// mayIndicateCrash reports whether the engine may have died: the connection broke,
// or the engine does not know the import, which a restart would explain.
func mayIndicateCrash(err error) bool {
	return errors.Is(err, engine.ErrUnreachable) || engine.IsCode(err, engine.CodeNotImported)
}

// finish releases the claim. If the engine died before it freed the memory, finish
// reports that even to an entry that cancelled, so that every crash is counted.
func (d *decodeSession) finish() {
	d.release()
	if d.c.work.engineLost() {
		d.sendFailed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	}
}

func (d *decodeSession) sendRefused(r *refusal) {
	d.sidecar.counters.decodeRefusals.add(r.kind)
	if d.c != nil {
		d.sidecar.recordEvent(&d.c.claim, "refused", r.detail)
	}
	d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Refused{Refused: r.message()}})
}

func (d *decodeSession) sendFailed(kind wire.FailureKind, detail string) {
	d.sidecar.recordEvent(&d.c.claim, "failed", kind.String()+": "+detail)
	d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Failed{Failed: &wire.Failed{Kind: kind, Detail: detail}}})
}

func (d *decodeSession) sendQueued(wait time.Duration) {
	d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Queued{Queued: &wire.Queued{WaitMs: toMillis(wait)}}})
}

func (d *decodeSession) sendHeartbeat() {
	d.send(&wire.DecodeReply{Body: &wire.DecodeReply_Beat{Beat: &wire.Beat{}}})
}

// withLoad adds the load hints to a frame. All frames except those with tokens carry
// them.
func (d *decodeSession) withLoad(m *wire.DecodeReply) *wire.DecodeReply {
	m.Load = d.sidecar.load()
	return m
}

// send writes a frame. A failed write ends the stream, which ends d.ctx.
func (d *decodeSession) send(m *wire.DecodeReply) { _ = d.stream.Send(d.withLoad(m)) }

func toMillis(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }
