package app

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// gatewayState is the state dump of a gateway process.
type gatewayState struct {
	Instance      string           `json:"instance"`
	FailureDomain string           `json:"failure_domain"`
	ConfigVersion uint64           `json:"config_version"`
	FleetRevision uint64           `json:"fleet_revision"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	InFlight      int64            `json:"in_flight"`
	Connections   int64            `json:"connections_opened"`
	Upstreams     []upstreamStatus `json:"upstreams"`
	// Suspended lists the fingerprints of the requests that are refused because
	// upstreams crashed while running them.
	Suspended []quarantine.Fingerprint `json:"suspended"`
}

// upstreamStatus is the JSON form of an upstream in the state of a gateway.
type upstreamStatus struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	Address       string  `json:"address"`
	Role          string  `json:"role"`
	Leaving       bool    `json:"leaving"`
	InFlight      int64   `json:"in_flight"`
	PrefillTokens int64   `json:"prefill_tokens"`
	FailureShare  float64 `json:"failure_share"`
	LatencyMs     float64 `json:"latency_ms"`
	Avoid         bool    `json:"avoid"`
}

func newGatewayState(p GatewayProcess, t *topology, g *gateway.Gateway) gatewayState {
	snapshot := t.fleet.Snapshot()
	state := gatewayState{
		Instance:      p.Settings.Instance,
		FailureDomain: p.Settings.FailureDomain,
		ConfigVersion: configVersion(t.tables),
		FleetRevision: snapshot.Revision,
		Ready:         t.ready() && !g.ShuttingDown(),
		Leaving:       g.ShuttingDown(),
		InFlight:      g.InFlight(),
		Connections:   p.Pool.OpenedTotal(),
	}
	now := time.Now()
	state.Suspended = g.Suspended(now)
	for _, u := range snapshot.All() {
		instance, health := u.Instance(), u.Health(now)
		state.Upstreams = append(state.Upstreams, upstreamStatus{
			ID: instance.ID, Service: instance.Service, Address: instance.Address, Role: instance.Role.String(), Leaving: instance.Leaving,
			InFlight: u.InFlight.Load(), PrefillTokens: u.PrefillTokens.Load(),
			FailureShare: health.FailureShare, LatencyMs: health.LatencyMs, Avoid: health.Avoid,
		})
	}
	return state
}
