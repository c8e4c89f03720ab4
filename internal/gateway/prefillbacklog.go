package gateway

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
)

// prefillBacklog estimates the prompts of other gateways that an engine has yet to
// process. Gateways report each prompt that they send, but that a prompt is done is
// known to its sender only until the next report. The estimate therefore shrinks at
// the speed of the engine.
type prefillBacklog struct {
	// tokens is the estimate at the time at.
	tokens float64
	at     time.Time
	// reported holds the last report of each peer, in tokens.
	reported map[string]int64
	total    int64
}

// drain subtracts what the engine has processed since the last call.
func (b *prefillBacklog) drain(rate float64, now time.Time) {
	b.tokens = max(0, b.tokens-rate*now.Sub(b.at).Seconds())
	b.at = now
}

// report replaces the number of tokens that a peer has at the engine. Prompts that
// were added since the last report are new; if there are fewer, some are done.
func (b *prefillBacklog) report(peer string, tokens int64, rate float64, now time.Time) {
	b.drain(rate, now)
	added := tokens - b.reported[peer]
	b.total += added
	if tokens == 0 {
		delete(b.reported, peer)
	} else {
		if b.reported == nil {
			b.reported = make(map[string]int64)
		}
		b.reported[peer] = tokens
	}
	b.tokens = min(b.tokens+float64(max(0, added)), float64(b.total))
}

// prefillState is the backlog of an engine from other gateways and its speed.
type prefillState struct {
	peerTokens int64
	speed      profile.Speed
}

// prefillState returns the state of an engine of the service to which it belongs.
func (t *loadTable) prefillState(u *fleet.Upstream, now time.Time) prefillState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(engineKeyOf(u))
	e.service = u.Instance().Service
	speed := e.deviation.PrefillSpeed(t.service(e.service).speed.Speed())
	e.backlog.drain(speed.PrefillRate, now)
	return prefillState{peerTokens: int64(e.backlog.tokens), speed: speed}
}

// reportPrefill takes over the number of prompt tokens that a peer has at an engine.
// The caller holds t.mu.
func (t *loadTable) reportPrefill(e *aggregateLoad, peer string, tokens int64, now time.Time) {
	rate := 0.0
	if e.service != "" {
		rate = e.deviation.PrefillSpeed(t.service(e.service).speed.Speed()).PrefillRate
	}
	e.backlog.report(peer, tokens, rate, now)
}
