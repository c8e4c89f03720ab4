package gateway

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/enginechoice"
	"github.com/fescueslip/fescueslip/internal/policy/forecast"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// ServiceReport is what a gateway tells its peers about one model service: the speed
// of the engines and the size of the requests, as measured by this gateway alone.
type ServiceReport struct {
	Service string
	Speed   profile.Measurements
	Work    Work
}

// serviceState is what is known about the engines and requests of one model service.
type serviceState struct {
	speed *profile.Service
	// meanOutput is the mean of the predicted output lengths, in tokens. It is 0
	// before the first request.
	meanOutput float64
}

// outputSmoothing is the weight of one request in the mean of output lengths.
const outputSmoothing = 0.05

// service returns the state of a service, creating it if necessary. The caller holds
// t.mu.
func (t *loadTable) service(name string) *serviceState {
	s, ok := t.services[name]
	if !ok {
		s = &serviceState{speed: profile.NewService()}
		t.services[name] = s
	}
	return s
}

// observeOutput includes the predicted output length of a request in the mean.
func (s *serviceState) observeOutput(median float64) {
	if s.meanOutput == 0 {
		s.meanOutput = median
	}
	s.meanOutput += (median - s.meanOutput) * outputSmoothing
}

// forecastSpeed is the part of the estimated speed of an engine that the forecast of its load
// needs.
type forecastSpeed struct {
	// tokenRate is the output of one stream, in tokens/s.
	tokenRate float64
	// curveStep is the time between two points of the engine's memory curve, in
	// seconds.
	curveStep float64
	// firstEvent is the time from a decode request to the first event.
	firstEvent time.Duration
}

// forecastSpeed returns the speed of an engine of the service for a forecast.
func (s *serviceState) forecastSpeed(tokensPerEvent int, e *profile.Engine) forecastSpeed {
	speed := s.speed.Speed()
	rate := speed.TokenRate(tokensPerEvent)
	own := e.Speed(speed)
	return forecastSpeed{
		tokenRate:  rate / own.StreamSlowdown,
		curveStep:  forecast.StepSeconds(s.meanOutput / rate),
		firstEvent: own.FirstEventDelay,
	}
}

// speedOfEngine returns the estimated speed of one engine of a service.
func (t *loadTable) speedOfEngine(u *fleet.Upstream, service string) profile.EngineSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	speed := t.service(service).speed.Speed()
	if e, ok := t.engines[engineKeyOf(u)]; ok {
		return e.deviation.Speed(speed)
	}
	return new(profile.Engine).Speed(speed)
}

// enginePool returns the speeds of the engines of a service that the pin allows. Paused
// engines count, since their pause may end in time.
func (s *scheduler) enginePool(service string, pin versionPin) enginechoice.Pool {
	t := s.load
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := enginechoice.Pool{Mean: t.service(service).speed.Speed()}
	for _, u := range s.gateway.Fleet.Snapshot().Service(service) {
		if !u.Usable() || !pin.allows(u.Instance()) {
			continue
		}
		var deviation profile.Engine
		if e, ok := t.engines[engineKeyOf(u)]; ok {
			deviation = e.deviation
		}
		switch u.Instance().Role {
		case fleet.RolePrefill:
			pool.Prefill = append(pool.Prefill, deviation.Speed(pool.Mean))
		case fleet.RoleDecode:
			pool.Decode = append(pool.Decode, deviation.Speed(pool.Mean))
		}
	}
	return pool
}

// speedOf returns the estimated speed of the engines of a service.
func (t *loadTable) speedOf(service string) profile.Speed {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).speed.Speed()
}

// recordCompletion updates the output lengths of the route and the speed of the
// engine from a completed stream. took is the time from its first to its last event.
func (t *loadTable) recordCompletion(u *fleet.Upstream, c *Call, events int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if per := c.Service.Engine.TokensPerEvent; per > 0 {
		t.lengthsOf(c.Route.Name).Observe(float64(events*per), float64(c.Model.MaxOutputTokens))
	}
	s := t.service(c.Service.Name).speed
	d := &t.engine(engineKeyOf(u)).deviation
	if interval, ok := s.ObserveStream(events, d.WithoutStreamDeviation(took)); ok {
		d.ObserveStream(time.Duration(float64(interval)*d.StreamSlowdown()), s.Speed())
	}
}

// recordFirstEvent updates the time that engines take to the first event after a
// decode request whose prompt was processed elsewhere.
func (t *loadTable) recordFirstEvent(u *fleet.Upstream, service string, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &t.engine(engineKeyOf(u)).deviation
	t.service(service).speed.ObserveFirstEvent(d.WithoutStreamDeviation(delay))
}

// recordPrefill updates the prefill speed of an engine that, as far as this gateway
// knew, had no other prompt. The time of others says less: how much of the backlog an
// engine has processed already is not known.
func (t *loadTable) recordPrefill(u *fleet.Upstream, tokens int64, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(u.Instance().Service).speed
	d := &t.engine(engineKeyOf(u)).deviation
	if s.ObservePrefill(tokens, d.WithoutPrefillDeviation(took)) {
		d.ObservePrefill(tokens, took, s.Speed())
	}
}

// recordProgress updates the present speed of an engine from a part of a running stream.
func (t *loadTable) recordProgress(u *fleet.Upstream, service string, events int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	speed := t.service(service).speed
	if speed.Samples() > 0 {
		t.engine(engineKeyOf(u)).deviation.ObserveProgress(took/time.Duration(events), speed.Speed())
	}
}

// recordBusyPrefill updates the prefill speed of an engine that had other prompts. backlog
// are all tokens that it may have had to process, with those of the prompt.
func (t *loadTable) recordBusyPrefill(u *fleet.Upstream, backlog int64, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	speed := t.service(u.Instance().Service).speed
	if speed.PrefillSamples() > 0 {
		t.engine(engineKeyOf(u)).deviation.ObserveBusyPrefill(took, speed.Speed().PrefillTime(float64(backlog)))
	}
}

// ownDeviations returns the deviations of engines that this gateway has observed lately.
func (t *loadTable) ownDeviations(s *fleet.Snapshot) []EngineDeviation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EngineDeviation
	for k, e := range t.engines {
		u := s.Find(k.id, k.incarnation)
		if r, ok := e.deviation.Report(); ok && u != nil {
			out = append(out, EngineDeviation{Engine: upstreamKeyOf(u.Instance()), DeviationReport: r})
		}
	}
	return out
}

// applyDeviations replaces the deviations that a peer reported. It returns the number of
// reports that are not valid.
func (t *loadTable) applyDeviations(peer string, s *fleet.Snapshot, reports []EngineDeviation) (invalid int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.engines {
		e.deviation.SetPeer(peer, profile.DeviationReport{})
	}
	if len(reports) == 0 {
		return 0
	}
	byKey := make(map[UpstreamKey]*fleet.Upstream)
	s.Each(func(u *fleet.Upstream) { byKey[upstreamKeyOf(u.Instance())] = u })
	for _, r := range reports {
		if u := byKey[r.Engine]; u != nil && !t.engine(engineKeyOf(u)).deviation.SetPeer(peer, r.DeviationReport) {
			invalid++
		}
	}
	return invalid
}

// applyServiceReports takes over what a peer measured. It returns the services whose
// report is not valid. The caller holds t.mu.
func (t *loadTable) applyServiceReports(peer string, reports []ServiceReport) (invalid []string) {
	for _, r := range reports {
		if !t.service(r.Service).speed.SetPeer(peer, r.Speed) {
			invalid = append(invalid, r.Service)
		}
	}
	return invalid
}

// ownSpeeds returns the speeds that this gateway measured, for its peers. The work of
// the services is not filled in.
func (t *loadTable) ownSpeeds() []ServiceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ServiceReport
	for name, s := range t.services {
		out = append(out, ServiceReport{Service: name, Speed: s.speed.Own()})
	}
	return out
}

// minFirstEventTime returns the shortest time from the placement of a request to its
// first event at the client.
func minFirstEventTime(c *Call, speed profile.Speed) time.Duration {
	return speed.PrefillTime(float64(c.Model.PromptTokens)) + speed.FirstEventDelay + clientLatency
}

// outputTime returns the time that an output takes after its first event.
func outputTime(tokens float64, service *routing.Service, speed profile.Speed) time.Duration {
	return time.Duration(tokens / speed.TokenRate(service.Engine.TokensPerEvent) * float64(time.Second))
}
