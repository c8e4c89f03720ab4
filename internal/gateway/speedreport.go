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

// EngineSlowdown returns how much longer an engine takes than its service for an
// event of a stream and for a prompt; 1 means no deviation.
func (g *Gateway) EngineSlowdown(u *fleet.Upstream) (stream, prefill float64) {
	t := g.scheduler.load
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engineKeyOf(u)]
	if !ok {
		return 1, 1
	}
	return e.deviation.StreamSlowdown(), e.deviation.PrefillSlowdown()
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
