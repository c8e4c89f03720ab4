package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// freeBound is how long a stream waits for the engine to confirm that a failed
// import was freed, before it gives up on the engine.
const freeBound = 500 * time.Millisecond

// decodeSession walks one decode attempt through its steps: queued, granted,
// started, imported, decoding.
type decodeSession struct {
	*session[*wire.DecodeReply, *wire.DecodeRequest]
	s      *Sidecar
	c      *decodeClaim
	starts chan *wire.Start
	ending *ending
}

func (s *Sidecar) serveDecode(w http.ResponseWriter, r *http.Request) {
	ss, err := openSession[*wire.DecodeReply](s.life, w, r, func() *wire.DecodeRequest { return new(wire.DecodeRequest) })
	if err != nil {
		return
	}
	defer ss.close()
	first, err := ss.stream.Recv()
	if err != nil || first.GetReserve() == nil {
		return
	}
	x := &decodeSession{session: ss, s: s, ending: newEnding(), starts: make(chan *wire.Start, 1)}
	c, ref := s.desk.admitDecode(first.GetReserve())
	if ref != nil {
		x.refused(ref)
		return
	}
	x.c = c
	x.run()
}

// run frees the engine as soon as the stream ends, even while a frame to a slow
// entry is being written.
func (x *decodeSession) run() {
	x.s.sessions.add(&x.c.claim, func() { x.wg.Go(x.sendBeat) })
	defer x.s.sessions.remove(&x.c.claim)
	defer x.conclude()
	defer x.cancel(context.Canceled)
	context.AfterFunc(x.ctx, x.release)
	x.beat(func() *wire.DecodeReply {
		return x.frame(&wire.DecodeReply{Body: &wire.DecodeReply_Beat{Beat: &wire.Beat{}}})
	})
	x.listen(x.onFrame)
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
		x.s.record(&x.c.claim, "cancel", b.Cancel.GetReason())
		return false
	case *wire.DecodeRequest_Start:
		select {
		case x.starts <- b.Start:
		default: // a Start is pending already
		}
	}
	return true
}

// release frees what the engine holds and gives the reservation back, once. The
// calls to the engine have ended or end with the stream.
func (x *decodeSession) release() {
	x.ending.run(func() {
		x.c.work.end()
		x.c.work.calls.Wait()
		if !x.c.work.free(x.s.life, x.s.o.Engine) {
			x.s.o.Logger.Warn("engine did not confirm a cancel", "upstream", x.s.o.Upstream, "request", x.c.id)
		}
		x.s.desk.removeDecode(x.c)
		x.c.pause()
		x.s.record(&x.c.claim, "decode released", "")
	})
}

func (x *decodeSession) awaitGrant() bool {
	g, ref := x.c.awaitTurn(x.ctx, func() time.Duration { return x.s.desk.waitDecode(x.c) }, x.sendQueued)
	if ref != nil {
		x.refused(ref)
		return false
	}
	if g == nil {
		return false
	}
	x.s.counts.decodeGrants.Add(1)
	x.s.record(&x.c.claim, "decode granted", g.freeIn.String())
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Granted{Granted: &wire.Granted{FreeInMs: millis(g.freeIn)}}})
	return true
}

func (x *decodeSession) awaitStart() (*wire.Start, bool) {
	select {
	case <-x.ctx.Done():
		return nil, false
	case ref := <-x.c.refused:
		x.refused(&ref)
		return nil, false
	case <-x.c.paused.Done():
		x.release()
		x.failed(wire.FailureKind_FAILURE_PREEMPTED, "the memory was needed by a stream of a caller below its share")
		return nil, false
	case start := <-x.starts:
		return start, true
	}
}

// serveStart imports and decodes. It reports whether the stream is over; after a
// failed import the reservation is kept for another Start.
func (x *decodeSession) serveStart(start *wire.Start) (over bool) {
	x.s.desk.start(x.c, int(start.GetResumeTokens()), int(start.GetMaxTokens()))
	select {
	case <-x.ctx.Done():
		return true
	case ref := <-x.c.refused:
		x.refused(&ref)
		return true
	case <-x.c.ready:
	}
	b, _ := x.s.monitor.get()
	if b == nil {
		x.refused(engineDown())
		return true
	}
	id := x.c.work.nextID(x.c.id)
	ctx, stop := x.callContext(b)
	defer stop()
	if err := x.importKV(ctx, b, id, start); err != nil {
		return x.importFailed(b, id, err)
	}
	return x.decode(ctx, b, id, start)
}

// callContext ends with the stream, with the engine's life and when the stream
// is paused.
func (x *decodeSession) callContext(b *boot) (context.Context, func()) {
	ctx, cancel := context.WithCancel(x.ctx)
	stopBoot := context.AfterFunc(b.ctx, cancel)
	stopPause := context.AfterFunc(x.c.paused, cancel)
	return ctx, func() {
		stopBoot()
		stopPause()
		cancel()
	}
}

var errRefusedLate = errors.New("refused before the engine was used")

func (x *decodeSession) importKV(ctx context.Context, b *boot, id string, start *wire.Start) error {
	t := x.s.transfers
	if err := t.Acquire(ctx); err != nil {
		return x.notBegun(b, err)
	}
	if ref := x.s.desk.enter(&x.c.claim, id); ref != nil {
		t.Release(false)
		x.refused(ref)
		return errRefusedLate
	}
	if !x.c.work.begin(b, id) {
		t.Release(false)
		return context.Cause(ctx)
	}
	x.s.record(&x.c.claim, "import", start.GetSourceUrl())
	r, err := x.s.o.Engine.Import(ctx, engine.ImportRequest{
		RequestID:     id,
		SourceURL:     start.GetSourceUrl(),
		Handle:        start.GetHandle(),
		ReserveTokens: x.s.desk.reserveTokens(x.c),
		Timeout:       t.Deadline(x.s.desk.kvBytes(x.c, start)),
	})
	x.c.work.calls.Done()
	t.Release(errors.Is(err, engine.ErrSilent))
	x.s.counts.imports.add(err, x.ctx.Err() != nil || x.c.paused.Err() != nil)
	if err != nil {
		return err
	}
	x.s.desk.settle(x.c, r.HeldTokens)
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Imported{Imported: &wire.Imported{HeldTokens: uint64(r.HeldTokens)}}})
	return nil
}

// notBegun turns an engine that died before it had anything of this request into
// a refusal: the request was not in flight, so it is no suspect.
func (x *decodeSession) notBegun(b *boot, err error) error {
	if x.ctx.Err() == nil && b.lost() {
		x.refused(engineDown())
		return errRefusedLate
	}
	return err
}

// importFailed frees this end and tells the entry what to do about it.
func (x *decodeSession) importFailed(b *boot, id string, err error) (over bool) {
	if errors.Is(err, errRefusedLate) {
		return true
	}
	if x.ended(b, id, err) {
		return true
	}
	bound, cancel := context.WithTimeout(x.s.life, freeBound)
	defer cancel()
	freed := x.c.work.free(bound, x.s.o.Engine)
	switch {
	case !freed:
		x.failed(wire.FailureKind_FAILURE_ENGINE, "the engine does not answer: "+err.Error())
		return true
	case engine.IsCode(err, engine.CodeNoMemory):
		x.release()
		x.failed(wire.FailureKind_FAILURE_PREEMPTED, err.Error())
		return true
	case engine.IsCode(err, engine.CodeEvicted):
		x.failed(wire.FailureKind_FAILURE_EVICTED, err.Error())
	case engine.IsCode(err, engine.CodeTransferFailed), !engine.IsAPI(err):
		x.failed(wire.FailureKind_FAILURE_TRANSFER, err.Error())
	default:
		x.failed(wire.FailureKind_FAILURE_ENGINE, err.Error())
		return true
	}
	x.s.desk.exit(&x.c.claim, id)
	return false
}

// ended handles the ends that both steps share: the stream itself ended, the
// stream was paused, or the engine died.
func (x *decodeSession) ended(b *boot, id string, err error) bool {
	switch {
	case x.ctx.Err() != nil:
		return true
	case hintsCrash(err) && x.s.monitor.verify(x.s.life, b), b.lost():
		x.c.work.cleared()
		x.release()
		x.failed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
		return true
	case x.c.paused.Err() != nil:
		x.s.desk.exit(&x.c.claim, id)
		x.release()
		x.failed(wire.FailureKind_FAILURE_PREEMPTED, "the memory was needed by a stream of a caller below its share")
		return true
	}
	return false
}

// hintsCrash reports whether the engine may have died: the connection broke, or
// the engine has forgotten the import.
func hintsCrash(err error) bool {
	return errors.Is(err, engine.ErrUnreachable) || engine.IsCode(err, engine.CodeNotImported)
}

// conclude releases the claim. An entry that cancelled is told if the engine died
// first, so that no crash of a request goes uncounted.
func (x *decodeSession) conclude() {
	x.release()
	if x.c.work.engineLost() {
		x.failed(wire.FailureKind_FAILURE_ENGINE_LOST, errEngineLost.Error())
	}
}

func (x *decodeSession) refused(r *refusal) {
	x.s.counts.decodeRefusals.add(r.kind)
	if x.c != nil {
		x.s.record(&x.c.claim, "refused", r.detail)
	}
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Refused{Refused: r.message()}})
}

func (x *decodeSession) failed(kind wire.FailureKind, detail string) {
	x.s.record(&x.c.claim, "failed", kind.String()+": "+detail)
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Failed{Failed: &wire.Failed{Kind: kind, Detail: detail}}})
}

func (x *decodeSession) sendQueued(wait time.Duration) {
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Queued{Queued: &wire.Queued{WaitMs: millis(wait)}}})
}

func (x *decodeSession) sendBeat() {
	x.send(&wire.DecodeReply{Body: &wire.DecodeReply_Beat{Beat: &wire.Beat{}}})
}

// frame adds the load hints that every frame but those of tokens carries.
func (x *decodeSession) frame(m *wire.DecodeReply) *wire.DecodeReply {
	m.Load = x.s.load()
	return m
}

// send writes a frame. A failed write ends the stream, which ends x.ctx.
func (x *decodeSession) send(m *wire.DecodeReply) { _ = x.stream.Send(x.frame(m)) }

func millis(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }
