package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// prefillResult locates the KV cache of a processed prompt.
type prefillResult struct {
	engine *fleet.Upstream
	handle string
	// expires is the time until which the prefill engine surely keeps the result.
	expires time.Time
}

// handleMargin is the part of the lifetime of a prefill result that is left for the decode
// engine to import it.
const handleMargin = 100 * time.Millisecond

// hasUnused reports whether the result of an earlier prefill can still be imported.
func (m *modelExchange) hasUnused(now time.Time) bool {
	return m.unused != nil && now.Before(m.unused.expires)
}

// placementPin returns the restriction for the next placement. The result of a prefill can
// only be imported by an engine of the same software version.
func (m *modelExchange) placementPin(now time.Time) versionPin {
	if m.hasUnused(now) {
		return versionPin{version: m.unused.engine.Instance().SoftwareVersion, set: true}
	}
	return m.pin
}

// takeUnused returns the result of an earlier prefill that can still be imported, or nil.
func (m *modelExchange) takeUnused(now time.Time) *prefillResult {
	p, usable := m.unused, m.hasUnused(now)
	m.unused = nil
	if !usable {
		m.releasePrefill(p)
		return nil
	}
	return p
}

// prefill sends the prompt to the prefill engine. It returns a nil result and no
// error if the decode engine processes the prompt itself.
func (m *modelExchange) prefill(ctx context.Context, placed *placement) (*prefillResult, error) {
	began := time.Now()
	if p := m.takeUnused(began); p != nil {
		placed.finishPrefill()
		return p, nil
	}
	u := placed.prefillEngine
	if u == placed.reservation.Engine {
		return nil, nil
	}
	defer placed.finishPrefill()
	if err := m.chargePrefill(began); err != nil {
		return nil, err
	}
	defer func() { m.outcome.model.prefillTime += time.Since(began) }()
	instance := u.Instance()
	m.outcome.model.prefillUpstream = instance.ID
	backlog := m.gateway.scheduler.load.prefillState(u, began)
	pending := u.PrefillTokens.Load() + backlog.peerTokens
	idle := pending == placed.promptTokens
	r := m.gateway.send(ctx, m.call, u, Attempt{Purpose: Prefill, To: instance, Timeout: m.gateway.timeout(m.call, began)}, engineMaxIdle)
	r.duration = time.Since(began)
	if errors.Is(r.err, errNotAdmitted) {
		m.prefills--
	}
	if r.err != nil {
		m.gateway.recordHealth(ctx, m.call, u, r)
		return nil, errors.Wrapf(r.err, "prefill request to engine %s", instance.ID)
	}
	if r.class != Answered || r.resp.Status != http.StatusOK {
		_ = r.resp.Body.Close()
		u.RecordRefusal(time.Now(), true)
		return nil, errors.Errorf("engine %s refused the prefill with status %d", instance.ID, r.resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(r.resp.Body, maxPrefillResponse))
	_ = r.resp.Body.Close()
	if err != nil {
		return nil, errors.Wrapf(err, "read prefill response of engine %s", instance.ID)
	}
	handle, err := m.gateway.EngineClient.ParsePrefillResponse(body)
	if err != nil {
		u.RecordError()
		return nil, err
	}
	if idle {
		m.gateway.scheduler.load.recordPrefill(u, placed.promptTokens, time.Since(began))
	} else {
		m.gateway.scheduler.load.recordBusyPrefill(u, pending, time.Since(began))
	}
	return &prefillResult{engine: u, handle: handle, expires: time.Now().Add(m.call.Service.Engine.HandleLifetime - handleMargin)}, nil
}

// chargePrefill counts a prefill of the request. Only the first one is free; an attempt
// after a failed one has been charged as a whole.
func (m *modelExchange) chargePrefill(now time.Time) error {
	m.prefills++
	if m.prefills <= 1+m.charged || m.gateway.retryBudget.TrySpend(m.call.Service.Name, now, retryReserve) {
		return nil
	}
	return errors.New("the retry budget allows no second prefill")
}

// releasePrefill frees the result of a prefill at its engine in the background. p
// may be nil.
func (m *modelExchange) releasePrefill(p *prefillResult) {
	if p == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := m.gateway.EngineClient.ReleasePrefill(ctx, p.engine, p.handle); err != nil {
			m.gateway.Logger.Info("prefill result not freed; it expires by itself", "request", m.call.ID,
				"upstream", p.engine.Instance().ID, "err", err)
		}
	}()
}
