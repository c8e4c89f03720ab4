package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

const (
	// engineMaxIdle limits how long a reused connection may have been idle before it
	// carries a model request.
	engineMaxIdle = 700 * time.Millisecond
	// maxPrefillResponse limits the size of a prefill response, in bytes.
	maxPrefillResponse = 4 << 10
	// releaseTimeout limits a call that frees a reservation or a prefill result.
	releaseTimeout = time.Second
)

// serveModel answers a model request. It reserves a slot and memory at a decode
// engine, has a prefill engine process the prompt, and relays the stream of the
// decode engine.
func (g *Gateway) serveModel(ctx context.Context, w http.ResponseWriter, c *Call) outcome {
	g.retryBudget.RecordRequest(c.Service.Name, c.Received)
	pin, refusal := g.pinVersion(c, time.Now())
	if refusal != nil {
		return outcome{err: refusal}
	}
	m := &modelExchange{gateway: g, call: c, w: w, pin: pin}
	m.serve(ctx)
	return m.outcome
}

// modelExchange carries one model request through reservation, prefill and decode.
type modelExchange struct {
	gateway *Gateway
	call    *Call
	w       http.ResponseWriter
	outcome outcome
	// relay is set once the response of an engine has begun.
	relay *streamRelay
	// pin restricts the call to the software version that began its stream.
	pin versionPin
	// unused is the result of a prefill that no decode engine has imported yet, because
	// the one that was to do so must get no requests any more. It may be nil.
	unused *prefillResult
	// prefills is the number of prefill requests, and charged that of attempts which the
	// retry budget has paid for.
	prefills, charged int
}

// serve repeats attempts until a response is complete or no further attempt is
// allowed. After a response has begun, another attempt only resumes it.
func (m *modelExchange) serve(ctx context.Context) {
	defer func() { m.releasePrefill(m.unused) }()
	replacements := 0
	for {
		retry, err := m.attempt(ctx)
		if err == nil {
			return
		}
		if errors.Is(err, errNotAdmitted) && ctx.Err() == nil && replacements < maxReplacements {
			replacements++
			m.gateway.Logger.Info("request placed anew", "request", m.call.ID, "prompt_kept", m.unused != nil, "cause", err.Error())
			continue
		}
		if m.relay != nil {
			if m.tryResume(ctx, err) {
				continue
			}
			m.outcome.abortCause = err
			return
		}
		var refusal *fault.Error
		if errors.As(err, &refusal) {
			m.outcome.err = refusal
			return
		}
		m.gateway.Logger.Info("attempt failed", "request", m.call.ID, "upstream", m.outcome.upstream, "prefill_at", m.outcome.model.prefillUpstream,
			"may_have_run", !retry, "cause", err.Error())
		if !retry || ctx.Err() != nil || !m.gateway.retryBudget.TrySpend(m.call.Service.Name, time.Now(), retryReserve) {
			m.outcome.err = m.finalError(ctx, err, !retry)
			return
		}
		m.charged++
	}
}

// tryResume reports whether a broken stream can continue at another engine after the
// last relayed event, and prepares the call for it.
func (m *modelExchange) tryResume(ctx context.Context, err error) bool {
	var refusal *fault.Error
	final := ctx.Err() != nil || errors.Is(err, errClientDisconnected) || errors.As(err, &refusal)
	if final || !m.relay.hasEvents || !m.call.Route.Resumable || m.outcome.attempts >= m.call.Route.MaxAttempts {
		return false
	}
	if m.relay.events == 0 && m.call.ResumeAfter == "" {
		m.pin = versionPin{} // the client has no event yet
	}
	if !m.gateway.canGoOn(m.call.Service.Name, m.pin) || !m.gateway.allowRetry(m.call, 0) {
		return false
	}
	if id := m.relay.lastID; id != "" {
		m.call.ResumeAfter = id
	}
	m.charged++
	m.outcome.model.resumes++
	m.gateway.Logger.Info("stream resumed at another engine", "request", m.call.ID, "broken_at", m.outcome.upstream,
		"after_event", m.call.ResumeAfter, "cause", err.Error())
	return true
}

// finalError returns the error for the client if no engine's response has begun.
func (m *modelExchange) finalError(ctx context.Context, err error, mayHaveRun bool) *fault.Error {
	if !mayHaveRun {
		return overloadedError(m.gateway.modelRetryAfter(), "no engine took the request").WithCause(err)
	}
	if errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		return timeoutError(err, fault.Unknown)
	}
	return upstreamFailedError(err)
}

// modelRetryAfter returns a random delay, which spreads the retries of refused
// clients.
func (g *Gateway) modelRetryAfter() time.Duration {
	const minMillis, spreadMillis = 300, 900
	return time.Duration(minMillis+rand.IntN(spreadMillis)) * time.Millisecond
}

// maxReplacements limits how often a request is placed anew because an engine left, or
// asked for a pause, before the request was sent to it.
const maxReplacements = 3

// attempt performs all steps once. retry is true if the request has certainly not
// run.
func (m *modelExchange) attempt(ctx context.Context) (retry bool, err error) {
	began := time.Now()
	placed, err := m.gateway.scheduler.reserve(ctx, m)
	m.outcome.model.reserveTime += time.Since(began)
	if err != nil {
		return true, err
	}
	defer func() { m.gateway.scheduler.removeRequest(placed) }()
	m.outcome.model.medianOutput = placed.request.load.MedianOutputTokens
	if refusal := m.gateway.checkSuspended(m.call); refusal != nil {
		m.cancelPlacement(&placed, nil)
		return true, refusal
	}
	source, err := m.prefill(ctx, &placed)
	if err != nil {
		m.gateway.releaseReservation(placed.reservation, m.call.ID)
		return true, err
	}
	if refusal := m.gateway.checkSuspended(m.call); refusal != nil {
		m.cancelPlacement(&placed, source)
		return true, refusal
	}
	return m.decode(ctx, &placed, source)
}

// cancelPlacement frees what was reserved and processed for a call that will not run.
// source may be nil.
func (m *modelExchange) cancelPlacement(placed *placement, source *prefillResult) {
	m.gateway.releaseReservation(placed.reservation, m.call.ID)
	m.releasePrefill(source)
	placed.finishPrefill()
}

// releaseReservation frees an unused reservation in the background.
func (g *Gateway) releaseReservation(reservation Reservation, request string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := g.EngineClient.Release(ctx, reservation); err != nil {
			g.Logger.Info("reservation not released; it expires with its lease", "request", request,
				"upstream", reservation.Engine.Instance().ID, "err", err)
		}
	}()
}

// decode sends the request to the engine that holds the reservation and relays its
// stream.
func (m *modelExchange) decode(ctx context.Context, placed *placement, p *prefillResult) (retry bool, err error) {
	reservation := placed.reservation
	u := reservation.Engine
	u.InFlight.Add(1)
	defer u.InFlight.Add(-1)
	began := time.Now()
	m.outcome.attempts++
	instance := u.Instance()
	m.outcome.upstream = instance.ID
	send := Attempt{Purpose: Execute, To: instance, Timeout: m.gateway.timeout(m.call, began), Reservation: reservation.ID, ResumeAfter: m.call.ResumeAfter}
	if p != nil {
		send.Source = &KVSource{Address: p.engine.Instance().Address, Handle: p.handle}
	} else {
		defer placed.finishPrefill()
	}
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	r := m.gateway.send(runCtx, m.call, u, send, engineMaxIdle)
	r.duration = time.Since(began)
	if r.err != nil {
		m.gateway.recordHealth(ctx, m.call, u, r)
		if errors.Is(r.err, errNotAdmitted) {
			m.outcome.attempts--
			m.unused = p
		} else {
			m.releasePrefill(p)
		}
		if !r.mayHaveRun {
			m.gateway.releaseReservation(reservation, m.call.ID)
		}
		return !r.mayHaveRun, errors.Wrapf(r.err, "decode request to engine %s", instance.ID)
	}
	if r.class != Answered {
		m.gateway.releaseReservation(reservation, m.call.ID)
		m.releasePrefill(p)
		// Either engine can be the cause: the decode engine does not decode at the
		// moment, or the prefill engine no longer has the result.
		u.RecordRefusal(time.Now(), false)
		if p != nil {
			p.engine.RecordRefusal(time.Now(), false)
		}
		m.gateway.Logger.Info("decode refused", append([]any{"request", m.call.ID}, r.logFields()...)...)
		return true, errors.Errorf("engine %s refused to decode with status %d", instance.ID, r.resp.Status)
	}
	defer func() { _ = r.resp.Body.Close() }()
	if m.relay == nil {
		m.outcome.status = r.resp.Status
		m.relay = m.gateway.newStreamRelay(ctx, m.w)
		m.gateway.writeHead(m.w, r.resp)
		m.w.WriteHeader(r.resp.Status)
	} else if err := checkContinuation(r.resp); err != nil {
		u.RecordError()
		return false, errors.Wrapf(err, "engine %s", instance.ID)
	}
	m.pin = versionPin{version: instance.SoftwareVersion, set: true}
	m.gateway.recordOrigin(m.call, instance)
	m.relay.beginRun(r.resp)
	m.relay.cancelRun = cancelRun
	m.outcome.recordResponse(r.resp)
	m.gateway.scheduler.load.setOutputStart(u, placed.request, time.Now())
	if p == nil {
		m.relay.onFirstEvent = placed.finishPrefill
	}
	m.relay.progress.report = func(events int, took time.Duration) {
		m.gateway.scheduler.load.recordProgress(u, m.call.Service.Name, events, took)
	}
	m.relay.onSound = func() { m.gateway.recordSound(m.call) }
	if err = m.relay.copy(r.resp.Body); err == nil {
		err = m.gateway.confirmEnd(ctx, m.call, instance, r.resp.Framing)
	}
	m.gateway.recordStreamEnd(ctx, m.call, instance, m.relay, err)
	m.outcome.firstByte, m.outcome.model.events = m.relay.firstWrite, m.relay.events
	m.outcome.recordSlowness(m.relay)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		if ctx.Err() == nil && !errors.Is(err, errClientDisconnected) && !m.relay.unreadTooLong() {
			u.RecordError()
		}
		return false, err
	}
	u.RecordSuccess(m.relay.firstEventDelay(began))
	if p != nil {
		p.engine.RecordSuccess(m.outcome.model.prefillTime)
	}
	m.recordSpeed(u, p, began, r.resp.Status)
	return false, nil
}

// recordSpeed updates the estimated speed of the engine from a completed stream. A
// resumed stream tells nothing, because its first events came from another engine.
func (m *modelExchange) recordSpeed(u *fleet.Upstream, p *prefillResult, began time.Time, status int) {
	if status != http.StatusOK || m.outcome.model.resumes > 0 || m.relay.firstWrite.IsZero() {
		return
	}
	load := m.gateway.scheduler.load
	load.recordCompletion(u, m.call, m.relay.events, m.relay.lastWrite.Sub(m.relay.firstWrite))
	if p != nil {
		load.recordFirstEvent(u, m.call.Service.Name, m.relay.firstEventDelay(began))
	}
}
