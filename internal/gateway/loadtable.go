package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/lending"
	"github.com/fescueslip/fescueslip/internal/policy/forecast"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// RequestLoad is the load of one model request on a decode engine, as exchanged
// between gateways.
type RequestLoad struct {
	PromptTokens, MedianOutputTokens, MaxOutputTokens int
	// OutputStart is the time at which the output began or is expected to begin.
	OutputStart time.Time
}

// EngineLoad is the load that one gateway put on an engine.
type EngineLoad struct {
	// ID and Incarnation identify the engine.
	ID          string
	Incarnation int64
	// PrefillTokens is the number of prompt tokens that were sent for prefill and
	// not processed yet.
	PrefillTokens int64
	// PrefillTokensSent counts all prompt tokens that were ever sent for prefill. Its
	// growth shows new prompts even if others were processed at the same time. It is
	// 0 if unknown.
	PrefillTokensSent int64
	// RoleChangeRemaining is how much longer the engine accepts no new work because
	// its role changes. It is 0 if the role does not change.
	RoleChangeRemaining time.Duration
	Requests            []RequestLoad
}

// PeerState is the state that a gateway sends to the other gateways.
type PeerState struct {
	// Partial means that Engines lists only the engines whose load changed. For all
	// other engines the previously sent load remains valid.
	Partial bool
	// WaitingOnTime is the number of requests that wait for memory and can still
	// meet their latency target.
	WaitingOnTime int
	// WaitingLate is the number of waiting requests that cannot meet their latency
	// target.
	WaitingLate int
	// Waiting counts the requests that have waited for some time, by service and
	// priority. It is empty if no request waits.
	Waiting []WaitingClass
	// PlainLoads lists the calls that the sender has in progress at upstreams of plain
	// services. Upstreams without any are left out.
	PlainLoads []PlainLoad
	// Fairness tells what the sender has served lately of the classes and accounts that
	// compete. It is nil in a partial state, and if none compete.
	Fairness *FairnessReport
	// QueueHead is the first waiting request, or nil if no request waits.
	QueueHead *waitqueue.Head
	Engines   []EngineLoad
	// CrashNotices reports runs of requests that were interrupted or completed.
	CrashNotices []quarantine.Notice
	// Services reports what the sender measured of the model services. It is empty
	// in a partial state.
	Services []ServiceReport
	// Limits lists the limits that upstreams named.
	Limits []LimitReport
	// Leaving lists the upstreams that have said in an answer that they leave.
	Leaving []UpstreamRef
	// Origins lists the streams that the sender has begun, with their software versions. A
	// partial state has only new ones.
	Origins []StreamOrigin
	// StoreContact is for how long the sender has been in contact with the store without
	// a gap; 0 if it is not in contact.
	StoreContact time.Duration
	// Quotas tells what the sender has used of the quotas of client accounts; nil if no
	// account has a quota.
	Quotas *lending.Report
	// Deviations tells how the speeds of engines that the sender has observed lately differ
	// from those of their services. It is empty in a partial state.
	Deviations []EngineDeviation
}

// EngineDeviation is the deviation of one engine as observed by one gateway.
type EngineDeviation struct {
	Engine UpstreamKey
	profile.DeviationReport
}

// LimitReport is a limit that an upstream named on the requests of all gateways, or the end
// of one.
type LimitReport struct {
	ID          string
	Incarnation int64
	// PerSecond is the limit in requests a second. It is infinite if the limit has ended.
	PerSecond float64
	// NamedAt is the time of the last answer that named the limit, or of the one that ended
	// it.
	NamedAt time.Time
}

// ended reports whether the limit has ended.
func (r LimitReport) ended() bool { return math.IsInf(r.PerSecond, 1) }

// localRequest is a request that this gateway placed on a decode engine.
type localRequest struct {
	load RequestLoad
}

// aggregateLoad is the load that all known gateways put on one engine.
type aggregateLoad struct {
	local map[*localRequest]struct{}
	// remote holds the last reported load of each peer.
	remote map[string]EngineLoad

	curve        forecast.Curve
	speed        forecastSpeed
	requestCount int
	computedAt   time.Time
	outdated     bool
	// changedAt is the time of the last known addition or removal of a request.
	changedAt time.Time
	// service is the name of the engine's service, once known.
	service string
	// deviation is how the engine's speed differs from that of its service.
	deviation profile.Engine
	// backlog is the work of other gateways in the prefill role.
	backlog prefillBacklog
}

// loadTable holds the load of all engines, from this gateway's requests and from the
// reports of its peers. It is safe for concurrent use.
type loadTable struct {
	mu      sync.Mutex
	engines map[engineKey]*aggregateLoad
	// unsent holds the engines whose local load has changed since it was last sent
	// to the peers.
	unsent  map[engineKey]struct{}
	peers   map[string]*peerQueue
	lengths map[string]*forecast.OutputLengths
	// services holds the model services by name.
	services map[string]*serviceState
	// prunedAt is the time of the last call of prune.
	prunedAt time.Time
}

// engineKey identifies one start of an engine.
type engineKey struct {
	id          string
	incarnation int64
}

// peerQueue is the last reported queue of another gateway.
type peerQueue struct {
	receivedAt time.Time
	// waitingOnTime is the number of requests that wait at the peer and can still
	// meet their latency target.
	waitingOnTime int
	// waiting counts the requests that wait at the peer, by service and priority.
	waiting []WaitingClass
	// plainLoads holds the calls in progress at plain upstreams.
	plainLoads []PlainLoad
	head       *waitqueue.Head
}

const (
	// peerTimeout is how long the reported load of a peer remains valid after its
	// last message.
	peerTimeout = 1500 * time.Millisecond
	// curveMaxAge is how long a computed memory curve is reused.
	curveMaxAge = 40 * time.Millisecond
)

func newLoadTable() *loadTable {
	return &loadTable{
		engines:  make(map[engineKey]*aggregateLoad),
		unsent:   make(map[engineKey]struct{}),
		peers:    make(map[string]*peerQueue),
		lengths:  make(map[string]*forecast.OutputLengths),
		services: make(map[string]*serviceState),
		prunedAt: time.Now(),
	}
}

func engineKeyOf(u *fleet.Upstream) engineKey {
	f := u.Instance()
	return engineKey{id: f.ID, incarnation: f.Incarnation}
}

// engine returns the load of an engine, creating it if necessary. The caller holds
// t.mu.
func (t *loadTable) engine(k engineKey) *aggregateLoad {
	e, ok := t.engines[k]
	if !ok {
		e = &aggregateLoad{local: make(map[*localRequest]struct{}), remote: make(map[string]EngineLoad)}
		t.engines[k] = e
	}
	return e
}

// add records a request that is being placed on the engine, before the engine has
// confirmed a reservation.
func (t *loadTable) add(u *fleet.Upstream, load RequestLoad) *localRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &localRequest{load: load}
	k := engineKeyOf(u)
	e := t.engine(k)
	t.service(u.Instance().Service).observeOutput(float64(load.MedianOutputTokens))
	e.local[r] = struct{}{}
	t.unsent[k] = struct{}{}
	e.outdated, e.changedAt = true, time.Now()
	return r
}

// setOutputStart records the time at which the output of a request began.
func (t *loadTable) setOutputStart(u *fleet.Upstream, r *localRequest, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.load.OutputStart = began
	t.engine(engineKeyOf(u)).outdated = true
}

// remove records that a request has left the engine.
func (t *loadTable) remove(u *fleet.Upstream, r *localRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := engineKeyOf(u)
	e := t.engine(k)
	delete(e.local, r)
	t.unsent[k] = struct{}{}
	e.outdated, e.changedAt = true, time.Now()
}

// lengthsOf returns the output lengths observed on a route, creating them if
// necessary. The caller holds t.mu.
func (t *loadTable) lengthsOf(route string) *forecast.OutputLengths {
	l, ok := t.lengths[route]
	if !ok {
		l = &forecast.OutputLengths{}
		t.lengths[route] = l
	}
	return l
}

// medianOutput predicts the output length of a request, in tokens.
func (t *loadTable) medianOutput(route string, d ModelParams) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lengthsOf(route).PredictMedian(float64(d.ExpectedOutputTokens), float64(d.MaxOutputTokens))
}

// applyPeerState replaces the recorded load of a peer with the reported one. It
// returns the services of which the peer sent an invalid report.
func (t *loadTable) applyPeerState(peer string, s PeerState, now time.Time) (invalid []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	invalid = t.applyServiceReports(peer, s.Services)
	t.peers[peer] = &peerQueue{receivedAt: now, waitingOnTime: s.WaitingOnTime, waiting: s.Waiting, plainLoads: s.PlainLoads, head: s.QueueHead}
	reported := make(map[engineKey]bool, len(s.Engines))
	for _, load := range s.Engines {
		k := engineKey{id: load.ID, incarnation: load.Incarnation}
		reported[k] = true
		e := t.engine(k)
		if !sameRequests(e.remote[peer].Requests, load.Requests) {
			e.changedAt = now
		}
		e.remote[peer] = load
		t.reportPrefill(e, peer, prefillReport{pending: load.PrefillTokens, sent: load.PrefillTokensSent}, now)
		e.outdated = true
	}
	if s.Partial {
		return invalid
	}
	for k, e := range t.engines {
		if _, ok := e.remote[peer]; ok && !reported[k] {
			delete(e.remote, peer)
			t.reportPrefill(e, peer, prefillReport{}, now)
			e.outdated, e.changedAt = true, now
		}
	}
	return invalid
}

// sameRequests reports whether a and b describe the same requests. It compares only
// the sums of their token counts and ignores their times.
func sameRequests(a, b []RequestLoad) bool {
	if len(a) != len(b) {
		return false
	}
	prompts, outputs := 0, 0
	for i := range a {
		prompts += a[i].PromptTokens - b[i].PromptTokens
		outputs += a[i].MedianOutputTokens - b[i].MedianOutputTokens
	}
	return prompts == 0 && outputs == 0
}

// prune removes the load of peers that timed out and of engines that no longer
// exist.
func (t *loadTable) prune(now time.Time, known func(engineKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if now.Sub(p.receivedAt) <= peerTimeout {
			continue
		}
		delete(t.peers, name)
		for _, e := range t.engines {
			e.deviation.SetPeer(name, profile.DeviationReport{})
			if _, ok := e.remote[name]; ok {
				delete(e.remote, name)
				t.reportPrefill(e, name, prefillReport{}, now)
				e.outdated = true
			}
		}
	}
	for k, e := range t.engines {
		if len(e.local) == 0 && !known(k) {
			delete(t.engines, k)
		}
		e.deviation.Decay(now.Sub(t.prunedAt))
	}
	t.prunedAt = now
	for _, s := range t.services {
		s.speed.RetainPeers(func(name string) bool { return t.peers[name] != nil })
	}
}

// peersWaitingOnTime returns the number of requests that wait at peers and can still
// meet their latency target.
func (t *loadTable) peersWaitingOnTime() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	onTime := 0
	for _, p := range t.peers {
		onTime += p.waitingOnTime
	}
	return onTime
}

// waitingAtPeers returns what waits at peers for the service, as far as they have reported
// it within waitingMaxAge.
func (t *loadTable) waitingAtPeers(service string, now time.Time) []overload.Waiting {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []overload.Waiting
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) > waitingMaxAge {
			continue
		}
		for _, c := range p.waiting {
			if c.Service == service {
				out = append(out, c.Waiting)
			}
		}
	}
	return out
}

// peerQueueHeads returns the first waiting request of each peer.
func (t *loadTable) peerQueueHeads() []waitqueue.Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []waitqueue.Head
	for _, p := range t.peers {
		if p.head != nil {
			out = append(out, *p.head)
		}
	}
	return out
}

// activePeers returns the number of other gateways whose state was received
// recently.
func (t *loadTable) activePeers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// engineForecast is the expected memory use and speed of an engine, as far as this
// gateway knows the engine's load.
type engineForecast struct {
	curve        forecast.Curve
	requestCount int
	speed        forecastSpeed
	// changedAt is the time of the last known addition or removal of a request.
	changedAt time.Time
}

// forecastFor returns the forecast of an engine of the service.
func (t *loadTable) forecastFor(u *fleet.Upstream, service *routing.Service, now time.Time) engineForecast {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(engineKeyOf(u))
	if e.outdated || now.Sub(e.computedAt) > curveMaxAge {
		e.speed = t.service(service.Name).forecastSpeed(service.Engine.TokensPerEvent, &e.deviation)
		e.recompute(now)
	}
	return engineForecast{curve: e.curve, requestCount: e.requestCount, speed: e.speed, changedAt: e.changedAt}
}

// recompute builds the memory curve and the number of requests anew from the local
// and the reported load. The caller holds the table's lock.
func (e *aggregateLoad) recompute(now time.Time) {
	e.curve, e.requestCount = forecast.Curve{}, 0
	for r := range e.local {
		e.add(r.load, now)
	}
	for _, load := range e.remote {
		for _, r := range load.Requests {
			e.add(r, now)
		}
	}
	e.computedAt, e.outdated = now, false
}

// add includes one request in the memory curve and the number of requests.
func (e *aggregateLoad) add(r RequestLoad, now time.Time) {
	e.requestCount++
	e.curve.Add(forecast.Request{
		Prompt:       float64(r.PromptTokens),
		MedianOutput: float64(r.MedianOutputTokens),
		MaxOutput:    float64(r.MaxOutputTokens),
		Age:          now.Sub(r.OutputStart).Seconds(),
	}, e.speed.tokenRate, e.speed.curveStep)
}

// markChanged includes the engine in the next partial state that is sent to peers.
func (t *loadTable) markChanged(u *fleet.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent[engineKeyOf(u)] = struct{}{}
}

// localState returns the load to send to peers: that of all engines in use, or only
// that of engines whose load has changed.
func (t *loadTable) localState(s *fleet.Snapshot, onlyChanged bool, now time.Time) []EngineLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer clear(t.unsent)
	var out []EngineLoad
	if onlyChanged {
		for k := range t.unsent {
			if u := s.Find(k.id, k.incarnation); u != nil {
				out = append(out, t.localLoad(u, now))
			}
		}
		return out
	}
	for _, u := range s.All() {
		if load := t.localLoad(u, now); load.PrefillTokens != 0 || load.RoleChangeRemaining != 0 || len(load.Requests) > 0 {
			out = append(out, load)
		}
	}
	return out
}

// localLoad returns the load that this gateway put on the engine. The caller holds
// t.mu.
func (t *loadTable) localLoad(u *fleet.Upstream, now time.Time) EngineLoad {
	k := engineKeyOf(u)
	load := EngineLoad{
		ID:                  k.id,
		Incarnation:         k.incarnation,
		PrefillTokens:       u.PrefillTokens.Load(),
		PrefillTokensSent:   u.PrefillTokensSent.Load(),
		RoleChangeRemaining: u.PauseRemaining(now),
	}
	if e, ok := t.engines[k]; ok {
		for r := range e.local {
			load.Requests = append(load.Requests, r.load)
		}
	}
	return load
}
