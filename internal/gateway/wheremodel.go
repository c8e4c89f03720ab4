package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/enginechoice"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

// ExplainedModel is the placement of a request at the engines of a model service.
type ExplainedModel struct {
	// MedianOutputTokens is the predicted length of the output.
	MedianOutputTokens int `json:"median_output_tokens"`
	// SlackMs is how long the request may wait and meet its latency target.
	SlackMs int64            `json:"slack_ms"`
	Queue   ExplainedQueue   `json:"queue"`
	Arrival ExplainedArrival `json:"arrival"`
	// MaxPrefillWaitMs is how long a prompt may wait at a prefill engine.
	MaxPrefillWaitMs int64 `json:"max_prefill_wait_ms"`
	// FillLimit is the part of an engine's memory that the request may fill.
	FillLimit float64 `json:"fill_limit"`
	// RandomCost is the largest random part of the costs of decode engines, which spreads
	// the choices of gateways that see the same load. Ranks leave it out.
	RandomCost float64           `json:"random_cost"`
	Engines    []ExplainedEngine `json:"engines"`
}

// ExplainedEngine is an engine that was considered for a request.
type ExplainedEngine struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Version       string `json:"version,omitempty"`
	// Rank is the place of the engine among those of its role, from 1; 0 if it is excluded.
	Rank int `json:"rank,omitempty"`
	// Excluded says why the engine is not selected.
	Excluded     string           `json:"excluded,omitempty"`
	FailureShare float64          `json:"failure_share"`
	Cost         float64          `json:"cost,omitempty"`
	Prefill      *PrefillForecast `json:"prefill,omitempty"`
	Decode       *DecodeForecast  `json:"decode,omitempty"`
}

// PrefillForecast is what is expected of a prefill engine.
type PrefillForecast struct {
	// BacklogTokens are the prompt tokens that the engine has yet to process, and WaitMs is
	// the time that they take.
	BacklogTokens int64 `json:"backlog_tokens"`
	WaitMs        int64 `json:"wait_ms"`
	// PromptMs is the time that the prompt of the request takes after that.
	PromptMs   int64   `json:"prompt_ms"`
	TokensPerS float64 `json:"tokens_per_s"`
}

// DecodeForecast is what is expected of a decode engine. Memory is in tokens.
type DecodeForecast struct {
	Requests     int `json:"requests"`
	Slots        int `json:"slots"`
	MemoryNow    int `json:"memory_now_tokens"`
	MemoryPeak   int `json:"memory_peak_tokens"`
	MemoryTokens int `json:"memory_tokens"`
	// PeakWithRequest is the peak with the request; 0 if the engine was excluded before it
	// was computed.
	PeakWithRequest int     `json:"memory_peak_with_request_tokens,omitempty"`
	TokensPerS      float64 `json:"stream_tokens_per_s"`
	// FirstEventMs is the expected time to the first event at the client if the request is
	// placed now.
	FirstEventMs int64 `json:"first_event_ms"`
}

// placementTrace records how the engines for one request are selected. Its methods do
// nothing on a nil trace, which is that of the request path.
type placementTrace struct {
	engines      map[*fleet.Upstream]*ExplainedEngine
	promptTokens int
	memoryTokens int
	slots        int
	// fillLimit is that of the request, and examined means that decode engines were
	// examined.
	fillLimit  float64
	examined   bool
	randomCost float64
}

// engine returns the record of an engine, creating it if necessary.
func (t *placementTrace) engine(u *fleet.Upstream) *ExplainedEngine {
	e, ok := t.engines[u]
	if !ok {
		i := u.Instance()
		e = &ExplainedEngine{ID: i.ID, Role: i.Role.String(), FailureDomain: i.FailureDomain, Version: i.SoftwareVersion}
		t.engines[u] = e
	}
	return e
}

func (t *placementTrace) exclude(u *fleet.Upstream, reason string) {
	if t != nil {
		t.engine(u).Excluded = reason
	}
}

// notEligible records an engine that is leaving, or has another software version than the
// rest of the placement. What is known about it from a placement with its version stays.
func (t *placementTrace) notEligible(u *fleet.Upstream, role fleet.Role) {
	if t == nil || u.Instance().Role != role || t.engines[u] != nil {
		return
	}
	if !u.Usable() {
		t.exclude(u, "is leaving")
		return
	}
	t.exclude(u, "its software version does not fit the other engine of the placement")
}

// notAvailable records an engine whose health or limit forbids requests.
func (t *placementTrace) notAvailable(u *fleet.Upstream, h fleet.Health) {
	if t == nil {
		return
	}
	t.engine(u).FailureShare = h.FailureShare
	switch {
	case h.Paused:
		t.exclude(u, "paused: its role changes, or it refused work")
	case h.Avoid:
		t.exclude(u, "did not answer lately")
	case h.Full:
		t.exclude(u, "refused work for lack of capacity a moment ago")
	default:
		t.exclude(u, "it has limited its requests, or asked for a pause")
	}
}

// prefill records a prefill engine that can be selected.
func (t *placementTrace) prefill(u *fleet.Upstream, c enginechoice.Prefill) {
	if t == nil {
		return
	}
	e := t.engine(u)
	e.Excluded, e.Cost, e.FailureShare = "", c.Cost().Seconds(), u.Health(time.Now()).FailureShare
	e.Prefill = &PrefillForecast{BacklogTokens: int64(c.Backlog), WaitMs: c.Wait().Milliseconds(), PromptMs: c.Prompt.Milliseconds(), TokensPerS: c.Rate}
}

func (t *placementTrace) fill(limit float64) {
	if t != nil {
		t.fillLimit, t.examined = limit, true
	}
}

// decode records the forecast of a decode engine without the request.
func (t *placementTrace) decode(u *fleet.Upstream, f *engineForecast) {
	if t == nil {
		return
	}
	e := t.engine(u)
	e.FailureShare = u.Health(time.Now()).FailureShare
	e.Decode = &DecodeForecast{Requests: f.requestCount, Slots: t.slots, MemoryNow: int(f.curve[0]), MemoryPeak: int(f.curve.Peak()),
		MemoryTokens: t.memoryTokens, TokensPerS: f.speed.tokenRate}
}

// peak records the expected peak with the request, as a part of the memory.
func (t *placementTrace) peak(u *fleet.Upstream, peak float64) {
	if t != nil {
		t.engine(u).Decode.PeakWithRequest = int(peak * float64(t.memoryTokens))
	}
}

// fits records a decode engine with a free slot that has no room for the request now.
func (t *placementTrace) fits(u *fleet.Upstream, c enginechoice.Decode, limit float64) {
	switch {
	case t == nil || c.Fits:
	case c.Load > limit:
		t.exclude(u, "the request would exceed the limit on its memory")
	default:
		t.exclude(u, "left to more urgent requests of other gateways for some milliseconds")
	}
}

// costs records the costs of the decode engines. Real requests have a random cost of up to
// randomCost besides.
func (t *placementTrace) costs(engines []*fleet.Upstream, candidates []enginechoice.Decode, left time.Duration, randomCost float64) {
	if t == nil {
		return
	}
	t.randomCost = randomCost
	for i, cost := range enginechoice.Costs(candidates, left) {
		switch {
		case !candidates[i].Fits:
		case math.IsInf(cost, 1):
			t.exclude(engines[i], "would complete the request after its deadline, unlike a faster engine")
		default:
			e := t.engine(engines[i])
			e.Excluded, e.Cost = "", cost
		}
	}
}

// explain returns what the scheduler would do with a call that arrives now. It decides on
// copies of the queue and the load table. The copies share the counts of accounts and
// classes, which are only read, so the scheduler is locked meanwhile.
func (s *scheduler) explain(c *Call, now time.Time) (*ExplainedModel, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyForExplanation().explainArrival(c, now)
}

// explainArrival adds the call to the queue of a copied scheduler and returns what happens to
// it. The caller holds the lock of the original.
func (s *scheduler) explainArrival(c *Call, now time.Time) (*ExplainedModel, string) {
	w := s.newWaitingRequest(c, false, versionPin{})
	w.joined = now
	s.observeSize(w)
	s.waiting = append(s.waiting, w)
	s.orderWaiting(now)
	out := &ExplainedModel{
		MedianOutputTokens: int(w.medianOutput), SlackMs: w.queueState.Slack.Milliseconds(),
		MaxPrefillWaitMs: maxPrefillWait(c.Route).Milliseconds(),
		Queue:            s.explainQueue(w, now),
	}
	if w.rank.compared {
		refused := s.judgeService(c, now)
		out.Arrival = newArrival(w.verdict)
		s.waiting = slices.DeleteFunc(s.waiting, func(o *waitingRequest) bool { return o != w && slices.Contains(refused, o) })
		out.Arrival.Displaced = len(slices.DeleteFunc(refused, func(o *waitingRequest) bool { return o == w }))
	}
	out.Arrival.RefusedInMs = w.refuseAt.Sub(now).Milliseconds()
	tried, why := s.inTurn(w, now)
	decode, prefill, whyNone := s.explainEngines(w, out, now)
	if tried {
		why = whyNone
	}
	out.Arrival.Action, out.Arrival.Reason = w.arrivalAction(tried && decode != nil, why, now)
	if out.Arrival.Action == arrivalAdmitted {
		return out, placedSentence(decode, prefill)
	}
	return out, out.Arrival.Action + ": " + out.Arrival.Reason
}

// arrivalAction returns what happens to an arriving request, and the reason unless it is
// admitted. placeable means that an engine takes it in this round; whyNot is the reason if
// none does.
func (w *waitingRequest) arrivalAction(placeable bool, whyNot string, now time.Time) (action, reason string) {
	switch {
	case !now.Before(w.refuseAt):
		return arrivalRefused, "its deadline leaves no time for the prompt and the expected output"
	case w.judged && w.verdict.Action.Refused():
		return arrivalRefused, refusalMessage(w, w.verdict.Action.String())
	case !placeable:
		return arrivalWaits, whyNot
	default:
		return arrivalAdmitted, ""
	}
}

// placedSentence names the engines of a placement.
func placedSentence(decode *ExplainedEngine, prefill string) string {
	if prefill == decode.ID {
		return fmt.Sprintf("placed at %s, which also processes the prompt", decode.ID)
	}
	return fmt.Sprintf("placed at %s, with the prompt processed at %s", decode.ID, prefill)
}

// copyForExplanation returns a scheduler on which a placement can be decided without an
// effect on s. The caller holds s.mu.
func (s *scheduler) copyForExplanation() *scheduler {
	c := &scheduler{gateway: s.gateway, load: s.load.clone(), sizes: maps.Clone(s.sizes)}
	c.overload = &overloadState{start: s.overload.start, accounts: s.overload.accounts, classes: maps.Clone(s.overload.classes), mixes: s.overload.mixes}
	for _, w := range s.waiting {
		copied := *w
		c.waiting = append(c.waiting, &copied)
	}
	return c
}

// clone returns a copy of the table that shares nothing that changes.
func (t *loadTable) clone() *loadTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newLoadTable()
	c.prunedAt = t.prunedAt
	// A peer's queue is replaced as a whole and never changed.
	c.peers = maps.Clone(t.peers)
	for k, e := range t.engines {
		copied := *e
		copied.local, copied.remote = make(map[*localRequest]struct{}, len(e.local)), maps.Clone(e.remote)
		for r := range e.local {
			copied.local[&localRequest{load: r.load}] = struct{}{}
		}
		copied.backlog.reported = maps.Clone(e.backlog.reported)
		copied.deviation = e.deviation.Clone()
		c.engines[k] = &copied
	}
	for route, l := range t.lengths {
		copied := *l
		c.lengths[route] = &copied
	}
	for name, s := range t.services {
		c.services[name] = &serviceState{speed: s.speed.Clone(), meanOutput: s.meanOutput}
	}
	return c
}

// explainQueue describes the queue, which is in the order of service, and the place of w in
// it. The caller holds s.mu.
func (s *scheduler) explainQueue(w *waitingRequest, now time.Time) ExplainedQueue {
	var q ExplainedQueue
	before := true
	for _, o := range s.waiting {
		if o == w {
			before = false
			continue
		}
		if o.call.Service.Name != w.call.Service.Name {
			continue
		}
		if before {
			q.Ahead++
		}
		q.Here = addWaiting(q.Here, oneWaiting(o.queueState.Priority, o.preceding()))
	}
	for _, o := range s.load.waitingAtPeers(w.call.Service.Name, now) {
		q.Others = addWaiting(q.Others, o)
	}
	return q
}

// inTurn reports whether the next round would try to place the request, if none of those
// ahead of it can be placed. The caller holds s.mu.
func (s *scheduler) inTurn(w *waitingRequest, now time.Time) (tried bool, why string) {
	urgent := s.urgentAtPeers(now)
	examined := 0
	for _, o := range s.waiting[:slices.Index(s.waiting, w)] {
		if !urgent.mustWait(o) {
			urgent.addUnplaced(o, now)
			examined++
		}
	}
	switch {
	case urgent.mustWait(w):
		return false, "a more urgent request of the service waits for capacity"
	case examined >= lookahead:
		return false, "the requests ahead of it are tried first"
	default:
		return true, ""
	}
}

// Reasons why no engine takes a request now.
const (
	whyPrefillWait = "the prompt would wait too long at every prefill engine"
	whyNoMemory    = "late requests get no memory while others wait that can meet their target"
	whyNoDecode    = "no decode engine takes it now"
)

// explainEngines adds the engines to the explanation. It returns the best decode engine and
// the name of the engine for the prompt, or the reason why none takes the request. The
// caller holds s.mu.
func (s *scheduler) explainEngines(w *waitingRequest, out *ExplainedModel, now time.Time) (best *ExplainedEngine, prefill, whyNone string) {
	engine := w.call.Service.Engine
	s.trace = &placementTrace{engines: make(map[*fleet.Upstream]*ExplainedEngine), promptTokens: w.call.Model.PromptTokens,
		memoryTokens: engine.MemoryTokens, slots: engine.Slots}
	turn := turnDelay{delay: waitqueue.AdmissionDelay(w.head(now), s.load.peerQueueHeads())}
	contended := s.contended()
	u, choice := s.selectEngines(w, contended, &turn, now)
	if u == nil {
		choice = s.prefillChoices(w, now)[0]
		switch {
		case !s.trace.examined:
			whyNone = whyPrefillWait
			// For the forecasts of the decode engines only.
			s.selectDecodeEngine(w, contended, choice, &turn, now)
		case s.trace.fillLimit <= 0:
			whyNone = whyNoMemory
		default:
			whyNone = whyNoDecode
		}
	}
	for _, u := range s.gateway.Fleet.Snapshot().Service(w.call.Service.Name) {
		if s.trace.engines[u] == nil {
			s.trace.exclude(u, notExamined(u))
		}
		if d := s.trace.engines[u].Decode; d != nil {
			d.FirstEventMs = s.firstEventTime(w, u, choice, now).Milliseconds()
		}
	}
	out.FillLimit, out.RandomCost, out.Engines = s.trace.fillLimit, s.trace.randomCost, s.trace.ranked()
	for i := range out.Engines {
		if e := &out.Engines[i]; u != nil && e.Rank == 1 && e.Role == fleet.RoleDecode.String() {
			best = e
		}
	}
	switch {
	case best == nil:
		return nil, "", whyNone
	case choice.engine.Instance().Role == fleet.RolePrefill:
		return best, choice.engine.Instance().ID, ""
	default:
		return best, best.ID, ""
	}
}

// firstEventTime returns the expected time to the first event if the decode engine u takes the
// request. It processes the prompt itself if the choice has no prefill engine.
func (s *scheduler) firstEventTime(w *waitingRequest, u *fleet.Upstream, choice prefillChoice, now time.Time) time.Duration {
	if choice.engine == nil || choice.engine.Instance().Role != fleet.RolePrefill {
		choice = s.completeChoice(w, u, prefillChoice{}, now)
	}
	return choice.wait + choice.prompt + s.load.speedOfEngine(u, w.call.Service.Name).FirstEventDelay + clientLatency
}

// notExamined returns why the selection came to no decision about an engine.
func notExamined(u *fleet.Upstream) string {
	if role := u.Instance().Role; role != fleet.RoleDecode {
		return "its role is " + role.String()
	}
	return whyNoMemory
}

// ranked returns the engines in the order of their roles and costs, the excluded ones last.
func (t *placementTrace) ranked() []ExplainedEngine {
	out := make([]ExplainedEngine, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b ExplainedEngine) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), boolOrder(a.Excluded != "", b.Excluded != ""), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	for i := range out {
		switch {
		case out[i].Excluded != "":
		case i > 0 && out[i-1].Role == out[i].Role:
			out[i].Rank = out[i-1].Rank + 1
		default:
			out[i].Rank = 1
		}
	}
	return out
}
