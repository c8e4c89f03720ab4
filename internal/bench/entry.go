package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/policy/predict"
	"github.com/fescueslip/fescueslip/internal/policy/reserve"
	"github.com/fescueslip/fescueslip/internal/policy/retry"
)

const (
	modelName = "model"
	// downFor is how long an entry avoids a server that was reported down.
	downFor = time.Second
	// deadlineMargin is left between the latest grant and the first-token target.
	deadlineMargin = 60 * time.Millisecond
	retryDelay     = 20 * time.Millisecond
	// escalateAfter is the wait after which an entry asks further servers.
	escalateAfter = 50 * time.Millisecond
)

// hint is what a server's reply tells of its load.
type hint struct {
	at         time.Duration
	up         bool
	wait       time.Duration
	queued     int
	running    int
	slots      int
	freeSlots  int
	freeChunks int
	link       time.Duration
}

// sent is work that an entry has sent to a server.
type sent struct {
	at   time.Duration
	work time.Duration
}

// known is an entry's knowledge of one server.
type known struct {
	hint hint
	sent []sent
}

// progress is the state of a request at its entry.
type progress struct {
	predicted int
	delivered int
	firstAt   time.Duration
	lastAt    time.Duration
	legs      []*leg // queued
	leg       *leg   // granted
	job       *prefillJob
	attempts  int
	outcome   outcome
	endedAt   time.Duration
	useful    int // computed tokens of the prefill in use
	decoding  int
	waits     bool
	moves     int
	refusedBy []*decodeServer
}

type outcome int

const (
	open outcome = iota
	finished
	refusedNotRun
	cancelled
	failed
)

// entry holds its own knowledge only: hints from replies and what it sent.
type entry struct {
	w         *world
	name      string
	domain    string
	rnd       *rand.Rand
	known     map[string]*known
	predictor *predict.Predictor
	cache     *choose.CacheIndex
	budget    *retry.Budget
	usage     map[string]map[string]*fairqueue.Usage // caller, server
	latencies retry.LatencyWindow
}

func (e *entry) learn(server string, h hint) {
	k := e.known[server]
	if h.at < k.hint.at {
		return
	}
	k.hint = h
	for len(k.sent) > 0 && k.sent[0].at+e.w.p.oneWay <= h.at {
		k.sent = k.sent[1:]
	}
}

func (k *known) pending() (n int, work time.Duration) {
	for _, s := range k.sent {
		work += s.work
	}
	return len(k.sent), work
}

// wait is the hinted wait plus what was sent, less the time that has passed.
func (e *entry) wait(server string) time.Duration {
	k := e.known[server]
	_, work := k.pending()
	return max(0, k.hint.wait+work-(e.w.now-k.hint.at))
}

func (e *entry) isDown(server string) bool {
	h := e.known[server].hint
	return !h.up && e.w.now-h.at < downFor
}

// served and elsewhere keep the callers' usage per server.
func (e *entry) served(caller, server string, cost float64) {
	m := e.usage[caller]
	if m == nil {
		m = map[string]*fairqueue.Usage{}
		e.usage[caller] = m
	}
	if m[server] == nil {
		m[server] = &fairqueue.Usage{}
	}
	m[server].Add(e.w.now, cost)
}

func (e *entry) elsewhere(caller, server string, same []string) float64 {
	sum := 0.0
	for _, name := range same {
		if u := e.usage[caller][name]; u != nil && name != server {
			sum += u.At(e.w.now)
		}
	}
	return sum
}

// arrive accepts a request from a caller.
func (e *entry) arrive(r *request) {
	e.w.m.wait(r, true)
	r.predicted = e.predictor.OutputLength(r.caller.name, modelName, 0, 0)
	if r.cancelIn > 0 {
		e.w.after(r.cancelIn, func() { e.callerLeft(r) })
	}
	r.attempts = 1
	if e.w.fair {
		e.open(r)
		return
	}
	e.prefill(r)
}

// open sends Reserve to two decode candidates.
func (e *entry) open(r *request) {
	candidates, servers := e.decodeCandidates(r)
	need := choose.DecodeRequest{Chunks: reserve.ChunksFor(r.prompt + r.predicted), Domain: e.domain}
	first, second := choose.SelectDecodeUpstreams(candidates, need, e.rnd)
	if first < 0 {
		if len(r.legs) > 0 {
			return
		}
		e.again(r, "", func() { e.open(r) })
		return
	}
	prefill := e.prefillTime(r)
	for _, i := range []int{first, second} {
		if i >= 0 {
			e.reserve(r, servers[i], need.Chunks, prefill)
		}
	}
	e.w.after(escalateAfter, func() { e.escalate(r) })
}

// escalate opens further streams for a request that waits.
func (e *entry) escalate(r *request) {
	if r.outcome == open && r.leg == nil && len(r.legs) > 0 && len(r.legs) < len(e.w.decodes) {
		e.open(r)
	}
}

func (e *entry) reserve(r *request, s *decodeServer, chunks int, prefill time.Duration) {
	l := &leg{req: r, entry: e, srv: s, chunks: chunks, predicted: r.predicted, prefill: prefill, cost: r.cost(r.predicted)}
	l.deadline = r.arrival + e.w.p.settings.ttft - prefill - deadlineMargin
	if r.delivered > 0 {
		l.deadline = e.w.now + e.w.p.settings.ttft
	}
	r.legs = append(r.legs, l)
	k := e.known[s.name]
	k.sent = append(k.sent, sent{at: e.w.now})
	e.budget.RecordAttempt(r.caller.name, s.name)
	usage := e.elsewhere(r.caller.name, s.name, e.w.decodeNames)
	e.w.send(e.domain, s.domain, func() { s.reserve(l, usage) })
}

func (e *entry) decodeCandidates(r *request) ([]choose.DecodeCandidate, []*decodeServer) {
	var list []choose.DecodeCandidate
	var servers []*decodeServer
	for _, s := range e.w.decodes {
		if e.isDown(s.name) || r.asked(s) {
			continue
		}
		k := e.known[s.name]
		n, _ := k.pending()
		list = append(list, choose.DecodeCandidate{
			Name: s.name, Domain: s.domain, Wait: e.wait(s.name), HintAge: e.w.now - k.hint.at,
			FreeSlots: k.hint.freeSlots, FreeChunks: k.hint.freeChunks, Slots: k.hint.slots, SentSinceHint: n,
			SlotInterval: e.perRequest(r), LinkWait: max(0, k.hint.link-e.w.now),
		})
		servers = append(servers, s)
	}
	return list, servers
}

// perRequest estimates the time between two slots becoming free on a full engine.
func (e *entry) perRequest(r *request) time.Duration {
	slots := e.w.p.engine.Slots
	return time.Duration(r.predicted) * e.w.p.engine.StepTime(slots) / time.Duration(slots)
}

// prefillTime estimates the time from a grant until the import has ended.
func (e *entry) prefillTime(r *request) time.Duration {
	candidates, _ := e.prefillCandidates(r)
	i := choose.SelectPrefillUpstream(candidates, e.promptOf(r))
	if i < 0 {
		return e.w.p.settings.ttft
	}
	work := e.w.p.engine.PrefillTime(max(1, r.tokens()-candidates[i].CachedTokens))
	transfer := e.w.p.engine.TransferTime(e.w.p.engine.KVBytes(r.tokens()), 1)
	return candidates[i].Wait + work + transfer + 4*e.w.p.oneWay
}

func (r *request) asked(s *decodeServer) bool {
	if slices.Contains(r.refusedBy, s) {
		return true
	}
	return slices.ContainsFunc(r.legs, func(l *leg) bool { return l.srv == s })
}

func (r *request) tokens() int { return r.prompt + r.delivered }

// refused handles a reply that the leg did not run.
func (e *entry) refused(l *leg, down bool, _ time.Duration) {
	r := l.req
	r.dropLeg(l)
	r.refusedBy = append(r.refusedBy, l.srv)
	if r.outcome != open || r.leg != nil || len(r.legs) > 0 {
		return
	}
	if down {
		r.refusedBy = nil
		e.again(r, l.srv.name, func() { e.open(r) })
		return
	}
	e.finish(r, refusedNotRun)
}

func (r *request) dropLeg(l *leg) {
	for i, x := range r.legs {
		if x == l {
			r.legs = append(r.legs[:i:i], r.legs[i+1:]...)
			return
		}
	}
}

// granted binds the request to the first leg that got a reservation.
func (e *entry) granted(l *leg) {
	r := l.req
	if r.outcome != open || r.leg != nil {
		e.cancelLeg(l)
		return
	}
	r.dropLeg(l)
	r.leg = l
	for _, other := range r.legs {
		e.cancelLeg(other)
	}
	r.legs = nil
	e.served(r.caller.name, l.srv.name, l.cost)
	e.w.m.wait(r, false)
	e.prefill(r)
}

func (e *entry) cancelLeg(l *leg) { e.w.send(e.domain, l.srv.domain, func() { l.srv.cancel(l) }) }

func (e *entry) cancelJob(j *prefillJob) {
	e.w.send(e.domain, j.srv.domain, func() {
		if j.state != jobSending && j.state != jobGone {
			j.srv.cancel(j)
		}
	})
}

// importFailed handles a transfer that stalled or came too late.
func (e *entry) importFailed(l *leg, j *prefillJob) {
	r := l.req
	if r.outcome != open || r.leg != l || r.job != j {
		return
	}
	transfer := e.w.p.engine.TransferTime(e.w.p.engine.KVBytes(j.tokens), 1)
	action := retry.NextAction(retry.FailedAttempt{
		Attempts: r.attempts, HoldRemaining: max(0, j.until-e.w.now-e.w.p.oneWay), Transfer: transfer,
		Recompute: e.prefillTime(r), BudgetAvailable: !e.w.fair || e.budget.Allow(r.caller.name, l.srv.name),
	})
	r.attempts++
	switch {
	case action == retry.GiveUp:
		e.giveUp(r)
	case action == retry.RepeatTransfer && e.w.fair && j.state == jobHeld:
		e.w.send(e.domain, l.srv.domain, func() { l.srv.start(l, j) })
	default:
		e.prefill(r)
	}
}

// lost handles a decode that broke: the request resumes elsewhere.
func (e *entry) lost(l *leg) {
	r := l.req
	r.dropLeg(l)
	if r.outcome != open || r.leg != l {
		return
	}
	r.leg = nil
	r.refusedBy = nil
	if r.job != nil {
		e.cancelJob(r.job)
		r.job = nil
	}
	r.predicted = e.predictor.OutputLength(r.caller.name, modelName, r.delivered, 0)
	next := func() { e.open(r) }
	if !e.w.fair {
		next = func() { e.prefill(r) }
	}
	e.again(r, l.srv.name, next)
}

// again retries within the budget.
func (e *entry) again(r *request, server string, next func()) {
	if r.attempts >= retry.DefaultMaxAttempts || e.w.fair && !e.budget.Allow(r.caller.name, server) {
		e.giveUp(r)
		return
	}
	r.attempts++
	e.w.after(retryDelay, func() {
		if r.outcome == open && r.leg == nil && len(r.legs) == 0 {
			next()
		}
	})
}

// giveUp reports the failure to the caller, truthfully as not run when nothing was delivered.
func (e *entry) giveUp(r *request) {
	if r.delivered == 0 {
		e.finish(r, refusedNotRun)
		return
	}
	e.finish(r, failed)
}

func (e *entry) done(l *leg) {
	r := l.req
	if r.outcome != open || r.leg != l {
		return
	}
	e.predictor.Observe(r.caller.name, modelName, r.output)
	e.served(r.caller.name, l.srv.name, r.cost(r.output)-l.cost)
	e.finish(r, finished)
}

func (e *entry) callerLeft(r *request) {
	if r.outcome != open {
		return
	}
	e.finish(r, cancelled)
}

// finish ends the request and frees everything that it holds.
func (e *entry) finish(r *request, o outcome) {
	r.outcome, r.endedAt = o, e.w.now
	e.w.m.wait(r, false)
	if o == refusedNotRun {
		e.w.m.refusal(r, e.w.now)
	}
	if o == finished {
		return
	}
	for _, l := range r.legs {
		e.cancelLeg(l)
	}
	if r.leg != nil {
		e.cancelLeg(r.leg)
	}
	if r.job != nil {
		e.cancelJob(r.job)
	}
}
