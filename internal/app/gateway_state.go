package app

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/revision"
)

// gatewayState is the state dump of a gateway process.
type gatewayState struct {
	Instance      string            `json:"instance"`
	FailureDomain string            `json:"failure_domain"`
	ConfigVersion uint64            `json:"config_version"`
	FleetRevision revision.Revision `json:"fleet_revision"`
	// StoreGeneration rises when the store is restored from a copy.
	StoreGeneration   uint64           `json:"store_generation"`
	StoreRestorations uint64           `json:"store_restorations_seen"`
	Ready             bool             `json:"ready"`
	Leaving           bool             `json:"leaving"`
	InFlight          int64            `json:"in_flight"`
	Connections       int64            `json:"connections_opened"`
	Buffers           bufferStatus     `json:"buffers"`
	Upstreams         []upstreamStatus `json:"upstreams"`
	// EngineSpeeds lists the estimated speeds of the engines of each model service.
	EngineSpeeds []engineSpeedStatus `json:"engine_speeds"`
	// Quotas describes the quotas of client accounts; it is missing if no account has one.
	Quotas *quotaStatus `json:"quotas,omitempty"`
	// Suspended lists the requests that are refused because upstreams crashed while
	// running them.
	Suspended []suspensionStatus `json:"suspended"`
}

// bufferStatus is the JSON form of what a gateway holds for clients and upstreams.
type bufferStatus struct {
	LimitBytes    int64 `json:"limit_bytes"`
	BodyBytes     int64 `json:"body_bytes"`
	ResponseBytes int64 `json:"response_bytes"`
	StreamBytes   int64 `json:"stream_bytes"`
}

func newBufferStatus(s gateway.BufferState) bufferStatus {
	return bufferStatus{LimitBytes: s.Limit, BodyBytes: s.RequestBodies, ResponseBytes: s.Responses, StreamBytes: s.Streams}
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
	// LimitPerS is the limit that the upstream named on the requests of all gateways,
	// in requests a second. It is missing if there is none.
	LimitPerS *float64 `json:"limit_per_s,omitempty"`
	// StreamSlowdown and PrefillSlowdown say how much longer the engine takes than
	// its service, as decisions assume; 1 means no proved deviation.
	StreamSlowdown  float64 `json:"stream_slowdown"`
	PrefillSlowdown float64 `json:"prefill_slowdown"`
	// LearnedStreamSlowdown and LearnedPrefillSlowdown are the estimates before they are
	// compared with their uncertainty, and the confidences the parts of them that rest on
	// observations.
	LearnedStreamSlowdown  float64 `json:"learned_stream_slowdown"`
	LearnedPrefillSlowdown float64 `json:"learned_prefill_slowdown"`
	StreamConfidence       float64 `json:"stream_confidence"`
	PrefillConfidence      float64 `json:"prefill_confidence"`
}

// engineSpeedStatus is the JSON form of the speed of a service's engines. Streams is
// the number of completed streams that it rests on; 0 means that it is assumed.
type engineSpeedStatus struct {
	Service           string  `json:"service"`
	Streams           float64 `json:"streams"`
	EventIntervalMs   float64 `json:"event_interval_ms"`
	FirstEventMs      float64 `json:"first_event_ms"`
	PrefillTokensPerS float64 `json:"prefill_tokens_per_s"`
	PrefillDelayMs    float64 `json:"prefill_delay_ms"`
}

// suspensionStatus is the JSON form of a suspension. A request that has all subjects
// is refused; a subject is the fingerprint of a request or of a part of its prompt.
type suspensionStatus struct {
	Subjects []quarantine.Fingerprint `json:"subjects"`
	Crashed  []string                 `json:"crashed"`
}

func newSuspensionStatuses(suspensions []quarantine.Suspension) []suspensionStatus {
	var out []suspensionStatus
	for _, s := range suspensions {
		out = append(out, suspensionStatus{Subjects: s.Subjects, Crashed: upstreamsOf(s.Processes)})
	}
	return out
}

// quotaStatus is the JSON form of the state of the quotas.
type quotaStatus struct {
	// Settled is false while a starting gateway has not heard the others yet.
	Settled bool `json:"settled"`
	// Gateways is the number of gateways that own a part of each quota, and Heard that of the
	// others that have reported lately. Lenders is the number of those whose parts this gateway
	// may use: not of those that do not hear it, or hear one that it does not hear.
	Gateways int `json:"gateways"`
	Heard    int `json:"heard"`
	Lenders  int `json:"lenders"`
	// OldestReportMs is the age of the oldest report that lends a part.
	OldestReportMs int64 `json:"oldest_report_ms"`
	// Share is the part of each quota that this gateway decides by.
	Share    float64         `json:"share"`
	Accounts []accountStatus `json:"accounts"`
}

// accountStatus is the JSON form of the quota of an account that was used lately.
type accountStatus struct {
	Name  string `json:"name"`
	RateS int64  `json:"rate_units_per_s"`
	Burst int64  `json:"burst_units"`
	// Level is what is left over all gateways, as far as this one knows.
	Level  int64 `json:"level_units"`
	IdleMs int64 `json:"idle_ms"`
}

// newQuotaStatus returns nil if no account has a quota.
func newQuotaStatus(g *gateway.Gateway) *quotaStatus {
	s, ok := g.QuotaState()
	if !ok {
		return nil
	}
	out := &quotaStatus{Settled: s.Settled, Gateways: s.Holders, Heard: s.Heard, Lenders: s.Lenders, OldestReportMs: s.OldestLoan.Milliseconds(), Share: s.Share}
	for _, a := range s.Accounts {
		out.Accounts = append(out.Accounts, accountStatus{Name: a.Name, RateS: int64(a.Rate), Burst: int64(a.Burst), Level: int64(a.Level), IdleMs: a.Idle.Milliseconds()})
	}
	return out
}

// newEngineSpeeds converts the estimated speeds for the state dump.
func newEngineSpeeds(speeds []gateway.ServiceSpeed) []engineSpeedStatus {
	const msPerSecond = 1000
	var out []engineSpeedStatus
	for _, s := range speeds {
		out = append(out, engineSpeedStatus{
			Service: s.Service, Streams: s.Streams,
			EventIntervalMs: s.EventInterval.Seconds() * msPerSecond, FirstEventMs: s.FirstEventDelay.Seconds() * msPerSecond,
			PrefillTokensPerS: s.PrefillRate, PrefillDelayMs: s.PrefillDelay.Seconds() * msPerSecond,
		})
	}
	return out
}

func newGatewayState(p GatewayProcess, t *topology, g *gateway.Gateway) gatewayState {
	snapshot := t.fleet.Snapshot()
	state := gatewayState{
		Instance:          p.Settings.Instance,
		FailureDomain:     p.Settings.FailureDomain,
		ConfigVersion:     configVersion(t.tables),
		FleetRevision:     snapshot.Revision,
		StoreGeneration:   p.Adapter.Generations.Current(),
		StoreRestorations: p.Adapter.Generations.Restorations(),
		Ready:             t.ready() && !g.Shutdown.HasBegun(),
		Leaving:           g.Shutdown.HasBegun(),
		InFlight:          g.InFlight(),
		Connections:       p.Pool.OpenedTotal(),
		Buffers:           newBufferStatus(g.Buffers()),
	}
	now := time.Now()
	state.Suspended = newSuspensionStatuses(g.Suspended(now))
	state.EngineSpeeds = newEngineSpeeds(g.ServiceSpeeds())
	state.Quotas = newQuotaStatus(g)
	for _, u := range snapshot.All() {
		instance, health := u.Instance(), u.Health(now)
		speed := g.EngineSpeed(u)
		var limit *float64
		if perSecond, _, limited := u.Limit(); limited {
			limit = &perSecond
		}
		state.Upstreams = append(state.Upstreams, upstreamStatus{
			LimitPerS: limit,
			ID:        instance.ID, Service: instance.Service, Address: instance.Address, Role: instance.Role.String(), Leaving: instance.Leaving,
			InFlight: u.InFlight.Load(), PrefillTokens: u.PrefillTokens.Load(),
			FailureShare: health.FailureShare, LatencyMs: health.LatencyMs, Avoid: health.Avoid,
			StreamSlowdown: speed.StreamSlowdown, PrefillSlowdown: speed.PrefillSlowdown,
			LearnedStreamSlowdown: speed.LearnedStreamSlowdown, LearnedPrefillSlowdown: speed.LearnedPrefillSlowdown,
			StreamConfidence: speed.StreamConfidence, PrefillConfidence: speed.PrefillConfidence,
		})
	}
	return state
}
