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
	// downTimeout is how long an entry avoids a server after a hint that it is down.
	downTimeout = time.Second
	// deadlineMargin is the time left between the latest grant and the first-token
	// target, in addition to the estimated work.
	deadlineMargin = 60 * time.Millisecond
	// retryDelay is how long an entry waits before it repeats a failed attempt.
	retryDelay = 20 * time.Millisecond
	// escalationDelay is how long an entry waits for a grant before it asks
	// further decode servers.
	escalationDelay = 50 * time.Millisecond
)

// loadHint is the load that a server reports in a reply. Prefill servers leave
// running, slots, freeSlots and freeChunks at zero.
type loadHint struct {
	sentAt     time.Duration
	up         bool
	wait       time.Duration
	queued     int
	running    int // attempts with a reservation, whether they decode yet or not
	slots      int
	freeSlots  int
	freeChunks int
	linkFreeAt time.Duration
}

// sentWork is work that an entry has sent to a server and that the server's last
// hint possibly does not include yet. For decode servers, the estimated time is 0.
type sentWork struct {
	sentAt time.Duration
	work   time.Duration
}

// serverView holds an entry's last hint from a server and the work sent since.
type serverView struct {
	hint           loadHint
	unacknowledged []sentWork
}

// progress is the state of a request at its entry.
type progress struct {
	predictedTokens     int
	deliveredTokens     int
	firstTokenAt        time.Duration
	lastTokenAt         time.Duration
	queuedAttempts      []*decodeAttempt // not granted yet
	attempt             *decodeAttempt   // the granted one
	job                 *prefillJob
	attempts            int
	outcome             outcome
	endedAt             time.Duration
	usefulPrefillTokens int // tokens computed by the prefill whose output is used
	decodeStreams       int
	waiting             bool
	moves               int
	refusedBy           []*decodeServer
}

// outcome is how a request ended, or inProgress.
type outcome int

const (
	inProgress outcome = iota
	finished
	refusedNotExecuted
	cancelled
	failed
)

// entry models an instance that accepts requests. It knows the load of the servers
// only from the hints in replies and from the work that it has sent.
type entry struct {
	sim       *simulation
	name      string
	domain    string
	rnd       *rand.Rand
	views     map[string]*serverView
	predictor *predict.Predictor
	cache     *choose.CacheIndex
	budget    *retry.Budget
	usage     map[string]map[string]*fairqueue.Usage // by caller and server
	latencies retry.LatencyWindow
}

// applyHint stores a server's hint and removes the sent work that the hint includes.
// It ignores a hint that is older than the last one.
func (e *entry) applyHint(server string, h loadHint) {
	view := e.views[server]
	if h.sentAt < view.hint.sentAt {
		return
	}
	view.hint = h
	for len(view.unacknowledged) > 0 && view.unacknowledged[0].sentAt+e.sim.profile.oneWayDelay <= h.sentAt {
		view.unacknowledged = view.unacknowledged[1:]
	}
}

// pendingWork returns the number and the total estimated time of the sent work that
// the last hint possibly does not include yet.
func (v *serverView) pendingWork() (n int, work time.Duration) {
	for _, s := range v.unacknowledged {
		work += s.work
	}
	return len(v.unacknowledged), work
}

// estimatedWait returns the wait of the last hint plus the work sent since, less
// the time since the hint.
func (e *entry) estimatedWait(server string) time.Duration {
	view := e.views[server]
	_, work := view.pendingWork()
	return max(0, view.hint.wait+work-(e.sim.now-view.hint.sentAt))
}

func (e *entry) isDown(server string) bool {
	h := e.views[server].hint
	return !h.up && e.sim.now-h.sentAt < downTimeout
}

// recordUsage adds a cost to the usage of a caller on a server.
func (e *entry) recordUsage(caller, server string, cost float64) {
	m := e.usage[caller]
	if m == nil {
		m = map[string]*fairqueue.Usage{}
		e.usage[caller] = m
	}
	if m[server] == nil {
		m[server] = &fairqueue.Usage{}
	}
	m[server].Add(e.sim.now, cost)
}

// usageElsewhere returns the usage of a caller on all of the given servers but one.
func (e *entry) usageElsewhere(caller, server string, servers []string) float64 {
	sum := 0.0
	for _, name := range servers {
		if u := e.usage[caller][name]; u != nil && name != server {
			sum += u.At(e.sim.now)
		}
	}
	return sum
}

// arrive handles a new request from a caller.
func (e *entry) arrive(r *request) {
	e.sim.metrics.setWaiting(r, true)
	r.predictedTokens = e.predictor.OutputLength(r.caller.name, modelName, 0, 0)
	if r.cancelAfter > 0 {
		e.sim.after(r.cancelAfter, func() { e.cancelRequest(r) })
	}
	r.attempts = 1
	if e.sim.usesFescueslip {
		e.openReservations(r)
		return
	}
	e.prefill(r)
}

// openReservations asks up to two decode servers for a reservation. If there is no
// candidate and no attempt is queued, it tries again later.
func (e *entry) openReservations(r *request) {
	candidates, servers := e.decodeCandidates(r)
	decodeReq := choose.DecodeRequest{Chunks: reserve.ChunksFor(r.promptTokens + r.predictedTokens), Domain: e.domain}
	first, second := choose.SelectDecodeUpstreams(candidates, decodeReq, e.rnd)
	if first < 0 {
		if len(r.queuedAttempts) > 0 {
			return
		}
		e.retryLater(r, "", func() { e.openReservations(r) })
		return
	}
	prefill := e.timeToImport(r)
	for _, i := range []int{first, second} {
		if i >= 0 {
			e.reserve(r, servers[i], decodeReq.Chunks, prefill)
		}
	}
	e.sim.after(escalationDelay, func() { e.escalate(r) })
}

// escalate asks further decode servers for a request that has no grant yet.
func (e *entry) escalate(r *request) {
	if r.outcome == inProgress && r.attempt == nil && len(r.queuedAttempts) > 0 && len(r.queuedAttempts) < len(e.sim.decodes) {
		e.openReservations(r)
	}
}

func (e *entry) reserve(r *request, s *decodeServer, chunks int, prefill time.Duration) {
	a := &decodeAttempt{req: r, entry: e, server: s, chunks: chunks, predictedTokens: r.predictedTokens, prefill: prefill, cost: r.tokenCost(r.predictedTokens)}
	a.deadline = r.arrival + e.sim.profile.settings.ttftTarget - prefill - deadlineMargin
	if r.deliveredTokens > 0 {
		a.deadline = e.sim.now + e.sim.profile.settings.ttftTarget
	}
	r.queuedAttempts = append(r.queuedAttempts, a)
	view := e.views[s.name]
	view.unacknowledged = append(view.unacknowledged, sentWork{sentAt: e.sim.now})
	e.budget.RecordAttempt(r.caller.name, s.name)
	usage := e.usageElsewhere(r.caller.name, s.name, e.sim.decodeNames)
	e.sim.send(e.domain, s.domain, func() { s.reserve(a, usage) })
}

func (e *entry) decodeCandidates(r *request) ([]choose.DecodeCandidate, []*decodeServer) {
	var list []choose.DecodeCandidate
	var servers []*decodeServer
	for _, s := range e.sim.decodes {
		if e.isDown(s.name) || r.triedServer(s) {
			continue
		}
		view := e.views[s.name]
		n, _ := view.pendingWork()
		list = append(list, choose.DecodeCandidate{
			Name: s.name, Domain: s.domain, Wait: e.estimatedWait(s.name), HintAge: e.sim.now - view.hint.sentAt,
			FreeSlots: view.hint.freeSlots, FreeChunks: view.hint.freeChunks, Slots: view.hint.slots, SentSinceHint: n,
			SlotInterval: e.slotInterval(r), LinkWait: max(0, view.hint.linkFreeAt-e.sim.now),
		})
		servers = append(servers, s)
	}
	return list, servers
}

// slotInterval estimates the time between two slots becoming free on a full engine.
func (e *entry) slotInterval(r *request) time.Duration {
	slots := e.sim.profile.engine.Slots
	return time.Duration(r.predictedTokens) * e.sim.profile.engine.StepTime(slots) / time.Duration(slots)
}

// timeToImport estimates the time from the grant to the end of the import.
func (e *entry) timeToImport(r *request) time.Duration {
	candidates, _ := e.prefillCandidates(r)
	i := choose.SelectPrefillUpstream(candidates, e.prefillPrompt(r))
	if i < 0 {
		return e.sim.profile.settings.ttftTarget
	}
	work := e.sim.profile.engine.PrefillTime(max(1, r.contextTokens()-candidates[i].CachedTokens))
	transfer := e.sim.profile.engine.TransferTime(e.sim.profile.engine.KVBytes(r.contextTokens()), 1)
	return candidates[i].Wait + work + transfer + 4*e.sim.profile.oneWayDelay
}

// triedServer reports whether the server has refused the request or has a queued attempt
// of it. The refusals are forgotten when the request is retried because a server was
// down, and when it resumes after an interruption.
func (r *request) triedServer(s *decodeServer) bool {
	if slices.Contains(r.refusedBy, s) {
		return true
	}
	return slices.ContainsFunc(r.queuedAttempts, func(a *decodeAttempt) bool { return a.server == s })
}

// contextTokens returns the number of tokens to prefill: the prompt and the tokens
// already delivered.
func (r *request) contextTokens() int { return r.promptTokens + r.deliveredTokens }

// handleRefusal handles a server's reply that it did not execute the attempt. When
// the last open attempt is refused, the request is refused, or retried if the
// server was down.
func (e *entry) handleRefusal(a *decodeAttempt, down bool, _ time.Duration) {
	r := a.req
	r.removeAttempt(a)
	r.refusedBy = append(r.refusedBy, a.server)
	if r.outcome != inProgress || r.attempt != nil || len(r.queuedAttempts) > 0 {
		return
	}
	if down {
		r.refusedBy = nil
		e.retryLater(r, a.server.name, func() { e.openReservations(r) })
		return
	}
	e.finish(r, refusedNotExecuted)
}

func (r *request) removeAttempt(a *decodeAttempt) {
	for i, x := range r.queuedAttempts {
		if x == a {
			r.queuedAttempts = append(r.queuedAttempts[:i:i], r.queuedAttempts[i+1:]...)
			return
		}
	}
}

// handleGrant selects the first attempt that got a reservation for the request, cancels
// the others and starts the prefill. If the request has ended or already has a granted
// attempt, it cancels the new one.
func (e *entry) handleGrant(a *decodeAttempt) {
	r := a.req
	if r.outcome != inProgress || r.attempt != nil {
		e.cancelAttempt(a)
		return
	}
	r.removeAttempt(a)
	r.attempt = a
	for _, other := range r.queuedAttempts {
		e.cancelAttempt(other)
	}
	r.queuedAttempts = nil
	e.recordUsage(r.caller.name, a.server.name, a.cost)
	e.sim.metrics.setWaiting(r, false)
	e.prefill(r)
}

func (e *entry) cancelAttempt(a *decodeAttempt) {
	e.sim.send(e.domain, a.server.domain, func() { a.server.cancel(a) })
}

func (e *entry) cancelJob(j *prefillJob) {
	e.sim.send(e.domain, j.server.domain, func() {
		if j.state != jobSending && j.state != jobDropped {
			j.server.cancel(j)
		}
	})
}

// handleImportFailure handles a transfer that stalled or whose prefill output was
// already evicted.
func (e *entry) handleImportFailure(a *decodeAttempt, j *prefillJob) {
	r := a.req
	if r.outcome != inProgress || r.attempt != a || r.job != j {
		return
	}
	transfer := e.sim.profile.engine.TransferTime(e.sim.profile.engine.KVBytes(j.tokens), 1)
	action := retry.NextAction(retry.FailedAttempt{
		Attempts: r.attempts, HoldRemaining: max(0, j.heldUntil-e.sim.now-e.sim.profile.oneWayDelay), Transfer: transfer,
		Recompute: e.timeToImport(r), BudgetAvailable: !e.sim.usesFescueslip || e.budget.Allow(r.caller.name, a.server.name),
	})
	r.attempts++
	switch {
	case action == retry.GiveUp:
		e.giveUp(r)
	case action == retry.RepeatTransfer && e.sim.usesFescueslip && j.state == jobHeld:
		e.sim.send(e.domain, a.server.domain, func() { a.server.startImport(a, j) })
	default:
		e.prefill(r)
	}
}

// handleInterruption resumes a request after a crash or a preemption interrupted its
// decode attempt. The request keeps the tokens already delivered. After a preemption
// it may resume on the same server.
func (e *entry) handleInterruption(a *decodeAttempt) {
	r := a.req
	r.removeAttempt(a)
	if r.outcome != inProgress || r.attempt != a {
		return
	}
	r.attempt = nil
	r.refusedBy = nil
	if r.job != nil {
		e.cancelJob(r.job)
		r.job = nil
	}
	r.predictedTokens = e.predictor.OutputLength(r.caller.name, modelName, r.deliveredTokens, 0)
	next := func() { e.openReservations(r) }
	if !e.sim.usesFescueslip {
		next = func() { e.prefill(r) }
	}
	e.retryLater(r, a.server.name, next)
}

// retryLater calls next after retryDelay. If the attempts are exhausted, or with policy
// fescueslip the retry budget, it gives up instead.
func (e *entry) retryLater(r *request, server string, next func()) {
	if r.attempts >= retry.DefaultMaxAttempts || e.sim.usesFescueslip && !e.budget.Allow(r.caller.name, server) {
		e.giveUp(r)
		return
	}
	r.attempts++
	e.sim.after(retryDelay, func() {
		if r.outcome == inProgress && r.attempt == nil && len(r.queuedAttempts) == 0 {
			next()
		}
	})
}

// giveUp reports the failure to the caller. A request of which no token was
// delivered is reported as not executed.
func (e *entry) giveUp(r *request) {
	if r.deliveredTokens == 0 {
		e.finish(r, refusedNotExecuted)
		return
	}
	e.finish(r, failed)
}

func (e *entry) handleCompletion(a *decodeAttempt) {
	r := a.req
	if r.outcome != inProgress || r.attempt != a {
		return
	}
	e.predictor.Observe(r.caller.name, modelName, r.outputTokens)
	e.recordUsage(r.caller.name, a.server.name, r.tokenCost(r.outputTokens)-a.cost)
	e.finish(r, finished)
}

func (e *entry) cancelRequest(r *request) {
	if r.outcome != inProgress {
		return
	}
	e.finish(r, cancelled)
}

// finish records the outcome of the request. Unless the outcome is finished, it also
// cancels the attempts and the prefill job that the request still has on servers.
func (e *entry) finish(r *request, o outcome) {
	r.outcome, r.endedAt = o, e.sim.now
	e.sim.metrics.setWaiting(r, false)
	if o == refusedNotExecuted {
		e.sim.metrics.recordRefusal(r, e.sim.now)
	}
	if o == finished {
		return
	}
	for _, a := range r.queuedAttempts {
		e.cancelAttempt(a)
	}
	if r.attempt != nil {
		e.cancelAttempt(r.attempt)
	}
	if r.job != nil {
		e.cancelJob(r.job)
	}
}
