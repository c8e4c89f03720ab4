package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
)

// ServiceSpeed is the estimated speed of the engines of one service, for the state
// dump, the log and the metrics.
type ServiceSpeed struct {
	Service string
	profile.Speed
	// Streams is the number of completed streams that the estimate rests on. It is 0
	// while the speed is only assumed.
	Streams float64
}

// ServiceSpeeds returns the estimated speeds of all model services, sorted by name.
func (g *Gateway) ServiceSpeeds() []ServiceSpeed { return g.scheduler.load.serviceSpeeds() }

func (t *loadTable) serviceSpeeds() []ServiceSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]ServiceSpeed, 0, len(t.services))
	for name, s := range t.services {
		out = append(out, ServiceSpeed{Service: name, Speed: s.speed.Speed(), Streams: s.speed.Samples()})
	}
	slices.SortFunc(out, func(a, b ServiceSpeed) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// EngineSpeed returns the estimated speed of an engine.
func (g *Gateway) EngineSpeed(u *fleet.Upstream) profile.EngineSpeed {
	return g.scheduler.load.speedOfEngine(u, u.Instance().Service)
}

// loggedSpeedChange is the relative change of a speed from which on it is logged
// again.
const loggedSpeedChange = 0.25

// reportSpeeds records the speeds in the metrics and logs those that have changed
// since the last line.
func (s *scheduler) reportSpeeds() {
	for _, speed := range s.load.serviceSpeeds() {
		s.gateway.Metrics.speed(speed)
		if speed.Streams == 0 || !speed.differs(s.loggedSpeeds[speed.Service]) {
			continue
		}
		s.loggedSpeeds[speed.Service] = speed
		s.gateway.Logger.Info("engine speed", "service", speed.Service, "streams", int(speed.Streams),
			"event_interval_ms", milliseconds(speed.EventInterval), "first_event_ms", milliseconds(speed.FirstEventDelay),
			"prefill_tokens_per_s", int(speed.PrefillRate), "prefill_delay_ms", milliseconds(speed.PrefillDelay))
	}
	s.reportEngineSpeeds()
}

// reportEngineSpeeds logs the engines whose speed differs from that of their service by
// another factor than in the last line about them. An engine without a line has none.
func (s *scheduler) reportEngineSpeeds() {
	logged := make(map[engineKey]profile.EngineSpeed)
	for _, u := range s.gateway.Fleet.Snapshot().All() {
		if role := u.Instance().Role; role != fleet.RolePrefill && role != fleet.RoleDecode {
			continue
		}
		k, speed := engineKeyOf(u), s.load.speedOfEngine(u, u.Instance().Service)
		last, known := s.loggedEngines[k]
		if !known {
			last.StreamSlowdown, last.PrefillSlowdown = 1, 1
		}
		logged[k] = last
		if !changed(speed.StreamSlowdown, last.StreamSlowdown) && !changed(speed.PrefillSlowdown, last.PrefillSlowdown) {
			continue
		}
		logged[k] = speed
		s.gateway.Logger.Info("engine differs from its service", "upstream", k.id, "service", u.Instance().Service, "role", u.Instance().Role.String(),
			"stream_slowdown", round(speed.StreamSlowdown), "stream_confidence", round(speed.StreamConfidence),
			"prefill_slowdown", round(speed.PrefillSlowdown), "prefill_confidence", round(speed.PrefillConfidence),
			"learned_stream_slowdown", round(speed.LearnedStreamSlowdown), "learned_prefill_slowdown", round(speed.LearnedPrefillSlowdown),
			"event_interval_ms", milliseconds(speed.EventInterval), "prefill_tokens_per_s", int(speed.PrefillRate))
	}
	s.loggedEngines = logged
}

// round rounds to two decimals.
func round(v float64) float64 {
	const decimals = 100
	return math.Round(v*decimals) / decimals
}

// differs reports whether a figure has changed enough to be logged again.
func (s ServiceSpeed) differs(last ServiceSpeed) bool {
	return changed(s.EventInterval.Seconds(), last.EventInterval.Seconds()) ||
		changed(s.FirstEventDelay.Seconds(), last.FirstEventDelay.Seconds()) ||
		changed(s.PrefillRate, last.PrefillRate)
}

func changed(v, last float64) bool { return math.Abs(v-last) > loggedSpeedChange*last }

func milliseconds(d time.Duration) float64 {
	return math.Round(d.Seconds()*1e4) / 10
}
