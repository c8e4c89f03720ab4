package gateway

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/forecast"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// RequestLoad is one model request at a decode engine, as gateways tell it to
// each other.
type RequestLoad struct {
	PromptTokens, MedianOutputTokens, MaxOutputTokens int
	// Began is when the output began, or is expected to begin.
	OutputStart time.Time
}

// EngineLoad is the load that one gateway put on an engine.
type EngineLoad struct {
	// ID and Incarnation name the engine.
	ID          string
	Incarnation int64
	// PrefillTokens are the prompt tokens sent for prefill and not read yet.
	PrefillTokens int64
	// Resting is how much longer the engine gets no new work because it changes
	// its role; 0 if it does not.
	RoleChangeRemaining time.Duration
	Requests            []RequestLoad
}

// PeerState is what one gateway tells the others.
type PeerState struct {
	// Partial tells that only engines whose load changed are named; the load of the
	// others is as told before.
	Partial bool
	// Waiting counts the requests that wait for memory and can still meet their
	// latency target.
	WaitingOnTime int
	// WaitingLate counts those that cannot.
	WaitingLate int
	// Head is the first waiting request; nil: none waits.
	QueueHead *waitqueue.Head
	Engines   []EngineLoad
	// Crashes are the news on requests that may crash upstreams.
	CrashNotices []quarantine.Notice
}

// localRun is a request of this gateway at a decode engine.
type localRun struct {
	state RequestLoad
}

// engineLoad is the load of one engine as far as this gateway knows.
type engineLoad struct {
	local map[*localRun]struct{}
	// remote is the load that each peer told last.
	remote map[string]EngineLoad

	curve    forecast.Curve
	runs     int
	computed time.Time
	stale    bool
	// changed is when a request was last known to have come or gone.
	changed time.Time
	// tokenRate and prefillRate are the speeds of the engine, in tokens/s.
	tokenRate, prefillRate float64
}

// loadTable keeps the load of all engines: this gateway's own requests and what
// the others told. It is safe for concurrent use.
type loadTable struct {
	mu      sync.Mutex
	engines map[engineKey]*engineLoad
	// untold are the engines on which this gateway's own load has changed since it
	// was told.
	untold  map[engineKey]struct{}
	peers   map[string]*peerLoad
	lengths map[string]*forecast.OutputLengths
}

type engineKey struct {
	id          string
	incarnation int64
}

type peerLoad struct {
	heard time.Time
	// waiting counts the requests that wait there and can be in time.
	waiting int
	head    *waitqueue.Head
}

const (
	// peerSilence is how long the load that a peer told counts after its last word.
	peerSilence = 1500 * time.Millisecond
	// curveAge is how long a computed curve is used.
	curveAge = 40 * time.Millisecond
	// defaultTokenRate is assumed for an engine that has not generated yet, in tokens/s.
	defaultTokenRate = 1100
)

func newLoadTable() *loadTable {
	return &loadTable{
		engines: make(map[engineKey]*engineLoad),
		untold:  make(map[engineKey]struct{}),
		peers:   make(map[string]*peerLoad),
		lengths: make(map[string]*forecast.OutputLengths),
	}
}

func keyOf(u *fleet.Upstream) engineKey {
	f := u.Instance()
	return engineKey{id: f.ID, incarnation: f.Incarnation}
}

// engine returns the load of an engine; the lock is held.
func (t *loadTable) engine(k engineKey) *engineLoad {
	e, ok := t.engines[k]
	if !ok {
		e = &engineLoad{local: make(map[*localRun]struct{}), remote: make(map[string]EngineLoad), tokenRate: defaultTokenRate, prefillRate: defaultPrefillRate}
		t.engines[k] = e
	}
	return e
}

// begin notes a request that was placed on the engine.
func (t *loadTable) begin(u *fleet.Upstream, s RequestLoad) *localRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &localRun{state: s}
	k := keyOf(u)
	e := t.engine(k)
	e.local[r] = struct{}{}
	t.untold[k] = struct{}{}
	e.stale, e.changed = true, time.Now()
	return r
}

// started notes when the output of a request began.
func (t *loadTable) started(u *fleet.Upstream, r *localRun, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.state.OutputStart = began
	t.engine(keyOf(u)).stale = true
}

// end notes that a request has left the engine.
func (t *loadTable) end(u *fleet.Upstream, r *localRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(u)
	e := t.engine(k)
	delete(e.local, r)
	t.untold[k] = struct{}{}
	e.stale, e.changed = true, time.Now()
}

// rateDecay is the weight of one finished request in an engine's token rate.
const rateDecay = 0.3

// finished learns from a request that ran to its end.
func (t *loadTable) finished(u *fleet.Upstream, route string, output, longest float64, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lengthsOf(route).Observe(output, longest)
	if output > 0 && took > 0 {
		e := t.engine(keyOf(u))
		e.tokenRate += (output/took.Seconds() - e.tokenRate) * rateDecay
	}
}

func (t *loadTable) lengthsOf(route string) *forecast.OutputLengths {
	l, ok := t.lengths[route]
	if !ok {
		l = &forecast.OutputLengths{}
		t.lengths[route] = l
	}
	return l
}

// median predicts the output of a request, in tokens.
func (t *loadTable) median(route string, d ModelParams) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lengthsOf(route).PredictMedian(float64(d.ExpectedOutputTokens), float64(d.MaxOutputTokens))
}

// hear takes what a peer told of its load.
func (t *loadTable) hear(peer string, s PeerState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[peer] = &peerLoad{heard: now, waiting: s.WaitingOnTime, head: s.QueueHead}
	named := make(map[engineKey]bool, len(s.Engines))
	for _, es := range s.Engines {
		k := engineKey{id: es.ID, incarnation: es.Incarnation}
		named[k] = true
		e := t.engine(k)
		if !sameRuns(e.remote[peer].Requests, es.Requests) {
			e.changed = now
		}
		e.remote[peer] = es
		e.stale = true
	}
	if s.Partial {
		return
	}
	for k, e := range t.engines {
		if _, ok := e.remote[peer]; ok && !named[k] {
			delete(e.remote, peer)
			e.stale, e.changed = true, now
		}
	}
}

// sameRuns reports whether the requests are the same, whatever the times that
// are told of them.
func sameRuns(a, b []RequestLoad) bool {
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

// forget drops the load of peers that fell silent and of engines that are gone.
func (t *loadTable) forget(now time.Time, known func(engineKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if now.Sub(p.heard) <= peerSilence {
			continue
		}
		delete(t.peers, name)
		for _, e := range t.engines {
			if _, ok := e.remote[name]; ok {
				delete(e.remote, name)
				e.stale = true
			}
		}
	}
	for k, e := range t.engines {
		if len(e.local) == 0 && !known(k) {
			delete(t.engines, k)
		}
	}
}

// othersWaiting sums the requests that wait at the peers and can be in time.
func (t *loadTable) othersWaiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	onTime := 0
	for _, p := range t.peers {
		onTime += p.waiting
	}
	return onTime
}

// heads returns the first waiting requests of the peers.
func (t *loadTable) heads() []waitqueue.Head {
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

// heardPeers returns how many other gateways were heard lately.
func (t *loadTable) heardPeers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// prefill returns the prompt tokens that other gateways have sent to the engine
// and that are not read yet, and the engine's speed in tokens/s.
func (t *loadTable) prefill(u *fleet.Upstream) (others int64, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(keyOf(u))
	for _, es := range e.remote {
		others += es.PrefillTokens
	}
	return others, e.prefillRate
}

// prefilled learns the speed of an engine that read the given number of tokens,
// those ahead included.
func (t *loadTable) prefilled(u *fleet.Upstream, tokens int64, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(keyOf(u))
	rate := float64(tokens) / max(took, time.Millisecond).Seconds()
	// What others sent meanwhile makes an engine look slower than it is.
	rate = min(max(rate, defaultPrefillRate*leastRateShare), defaultPrefillRate*mostRateShare)
	e.prefillRate += (rate - e.prefillRate) * rateDecay
}

// leastRateShare and mostRateShare bound the measured speed of a prefill engine.
const (
	leastRateShare = 0.1
	mostRateShare  = 2.0
)

// outlook is the load of an engine as far as known.
type outlook struct {
	curve forecast.Curve
	runs  int
	// tokenRate is the speed of the engine, in tokens/s.
	tokenRate float64
	// changed is when a request was last known to have come or gone.
	changed time.Time
}

// outlook returns the load of an engine.
func (t *loadTable) outlook(u *fleet.Upstream, now time.Time) outlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(keyOf(u))
	if e.stale || now.Sub(e.computed) > curveAge {
		e.compute(now)
	}
	return outlook{curve: e.curve, runs: e.runs, tokenRate: e.tokenRate, changed: e.changed}
}

func (e *engineLoad) compute(now time.Time) {
	e.curve, e.runs = forecast.Curve{}, 0
	for r := range e.local {
		e.add(r.state, now)
	}
	for _, es := range e.remote {
		for _, r := range es.Requests {
			e.add(r, now)
		}
	}
	e.computed, e.stale = now, false
}

func (e *engineLoad) add(r RequestLoad, now time.Time) {
	e.runs++
	e.curve.Add(forecast.Request{
		Prompt:       float64(r.PromptTokens),
		MedianOutput: float64(r.MedianOutputTokens),
		MaxOutput:    float64(r.MaxOutputTokens),
		Age:          now.Sub(r.OutputStart).Seconds(),
	}, e.tokenRate)
}

// touch has the engine told as one whose load changed.
func (t *loadTable) touch(u *fleet.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.untold[keyOf(u)] = struct{}{}
}

// state returns what this gateway tells the others: the engines that it uses, or
// only those whose load has changed.
func (t *loadTable) state(s *fleet.Snapshot, onlyChanged bool, now time.Time) []EngineLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer clear(t.untold)
	var out []EngineLoad
	if onlyChanged {
		for k := range t.untold {
			if u := s.Find(k.id, k.incarnation); u != nil {
				out = append(out, t.own(u, now))
			}
		}
		return out
	}
	for _, u := range s.All() {
		if es := t.own(u, now); es.PrefillTokens != 0 || es.RoleChangeRemaining != 0 || len(es.Requests) > 0 {
			out = append(out, es)
		}
	}
	return out
}

// own returns the load that this gateway put on the engine; the lock is held.
func (t *loadTable) own(u *fleet.Upstream, now time.Time) EngineLoad {
	k := keyOf(u)
	es := EngineLoad{ID: k.id, Incarnation: k.incarnation, PrefillTokens: u.PrefillTokens.Load(), RoleChangeRemaining: u.PauseRemaining(now)}
	if e, ok := t.engines[k]; ok {
		for r := range e.local {
			es.Requests = append(es.Requests, r.state)
		}
	}
	return es
}
