package gateway

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
)

// prefillBacklog estimates the prompts of other gateways that an engine has yet to
// process. A gateway reports a prompt when it sends it, but reports that the prompt is
// done only with its next message. The estimate therefore shrinks at the speed of the
// engine.
type prefillBacklog struct {
	// tokens is the estimate at the time at.
	tokens float64
	at     time.Time
	// reported holds the last report of each peer that has pending prompts, and
	// pending is the sum of theirs, in tokens.
	reported map[string]prefillReport
	pending  int64
}

// prefillReport is what a gateway says of its prompts at one engine, in tokens.
type prefillReport struct {
	// pending are the tokens that are not known to be processed, and sent those of
	// all prompts since the gateway started. sent is 0 if unknown.
	pending, sent int64
}

// addedSince returns the tokens that were sent after the earlier report.
func (r prefillReport) addedSince(earlier prefillReport) int64 {
	if r.sent > 0 && earlier.sent > 0 && r.sent >= earlier.sent {
		return r.sent - earlier.sent
	}
	return max(0, r.pending-earlier.pending)
}

// drain subtracts what the engine has processed since the last call.
func (b *prefillBacklog) drain(rate float64, now time.Time) {
	// The conversion keeps the compiler from fusing the operations on some machines.
	b.tokens = max(0, b.tokens-float64(rate*now.Sub(b.at).Seconds()))
	b.at = now
}

// report replaces the last report of a peer. The estimate grows by the prompts that
// the peer has sent since, and is never above what all peers say is pending.
func (b *prefillBacklog) report(peer string, r prefillReport, rate float64, now time.Time) {
	b.drain(rate, now)
	last := b.reported[peer]
	b.pending += r.pending - last.pending
	b.tokens = min(b.tokens+float64(r.addedSince(last)), float64(b.pending))
	if r.pending == 0 {
		delete(b.reported, peer)
		return
	}
	if b.reported == nil {
		b.reported = make(map[string]prefillReport)
	}
	b.reported[peer] = r
}

// prefillState is the backlog of an engine from other gateways and its speed.
type prefillState struct {
	peerTokens int64
	speed      profile.EngineSpeed
}

// prefillState returns the state of an engine of the service to which it belongs.
func (t *loadTable) prefillState(u *fleet.Upstream, now time.Time) prefillState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(engineKeyOf(u))
	e.service = u.Instance().Service
	speed := t.prefillSpeed(e)
	e.backlog.drain(speed.PrefillRate, now)
	return prefillState{peerTokens: int64(e.backlog.tokens), speed: speed}
}

// prefillSpeed returns the speed of an engine whose service is known. The caller holds
// t.mu.
func (t *loadTable) prefillSpeed(e *aggregateLoad) profile.EngineSpeed {
	return e.deviation.Speed(t.service(e.service).speed.Speed())
}

// reportPrefill takes over the report of a peer on its prompts at an engine. The
// caller holds t.mu.
func (t *loadTable) reportPrefill(e *aggregateLoad, peer string, r prefillReport, now time.Time) {
	rate := 0.0
	if e.service != "" {
		rate = t.prefillSpeed(e).PrefillRate
	}
	e.backlog.report(peer, r, rate, now)
}
