package app

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// gatewayState is the dump of a gateway process.
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
	// Suspended are the fingerprints of the requests that are refused because
	// upstreams crashed while they ran them.
	Suspended []quarantine.Fingerprint `json:"suspended"`
}

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

func dumpGateway(p GatewayProcess, t *topology, g *gateway.Gateway) gatewayState {
	snapshot := t.fleet.Snapshot()
	out := gatewayState{
		Instance:      p.Settings.Instance,
		FailureDomain: p.Settings.FailureDomain,
		ConfigVersion: tableVersion(t.tables),
		FleetRevision: snapshot.Revision,
		Ready:         t.ready() && !g.ShuttingDown(),
		Leaving:       g.ShuttingDown(),
		InFlight:      g.InFlight(),
		Connections:   p.Pool.OpenedTotal(),
	}
	now := time.Now()
	out.Suspended = g.Suspended(now)
	for _, u := range snapshot.All() {
		f, h := u.Instance(), u.Health(now)
		out.Upstreams = append(out.Upstreams, upstreamStatus{
			ID: f.ID, Service: f.Service, Address: f.Address, Role: f.Role.String(), Leaving: f.Leaving,
			InFlight: u.InFlight.Load(), PrefillTokens: u.PrefillTokens.Load(),
			FailureShare: h.FailureShare, LatencyMs: h.LatencyMs, Avoid: h.Avoid,
		})
	}
	return out
}
