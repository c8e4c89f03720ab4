package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

const (
	// waitingMaxAge is how long a peer's report of its waiting requests is used. Peers
	// report every 300 ms, and at once when the head of their queue changes.
	waitingMaxAge = 400 * time.Millisecond
	// minReportedWait is how long a request must have waited to count as waiting. While
	// there is capacity, requests wait for a shorter time.
	minReportedWait = 30 * time.Millisecond
	// minRetryDelay is the minimum delay after which a retry is useful.
	minRetryDelay = overload.MinRetryAfter
)

// reasonDeadline is the reason of a refusal at the last moment at which the request
// could have been placed. The other reasons are the actions of package overload.
const reasonDeadline = "deadline"

// WaitingClass counts the requests of one priority that wait for a service.
type WaitingClass struct {
	Service string
	overload.Waiting
}

// rank is what decides on the place of a request in the queue besides its times.
type rank struct {
	// standing is that of the account; see overload.Accounts.
	standing float64
	// begun means that the prompt is processed or a part of the output delivered.
	begun bool
	// overtakes means that the request is late and precedes less urgent ones on time; see
	// overload.Overtaking.
	overtakes bool
	// promoted means that the request goes first, because its class is starved.
	promoted bool
	// promotedTo is the priority of a promoted request.
	promotedTo int
	// compared means that requests for the service compete as classes or accounts. The other
	// fields have no effect without it.
	compared bool
}

// overloadState is what the scheduler remembers to treat accounts and classes fairly.
// The scheduler's lock protects it.
type overloadState struct {
	start    time.Time
	accounts *overload.Accounts
	// classes counts the requests that were served and refused, by service.
	classes map[string]*overload.Classes
	// mixes follows the priorities of the requests, by service.
	mixes map[string]*overload.Mix
}

func newOverloadState(now time.Time) *overloadState {
	return &overloadState{start: now, accounts: overload.NewAccounts(), classes: make(map[string]*overload.Classes), mixes: make(map[string]*overload.Mix)}
}

// observe records the priority of a request that begins to wait, and counts it
// unless its client was presumably refused before.
func (o *overloadState) observe(c *Call, now time.Time) {
	m, ok := o.mixes[c.Service.Name]
	if !ok {
		m = &overload.Mix{}
		o.mixes[c.Service.Name] = m
	}
	m.Observe(now.Sub(o.start), c.Priority)
	if c.RetryAge == 0 {
		o.classesOf(c.Service.Name).Arrived(now.Sub(o.start), c.Priority)
	}
}

// comparesRequests reports whether the requests for the service of the call compete as
// classes or accounts. Others are only refused when their time has passed: those that cannot
// be in time any more would give way to each other, and fewer would be served.
func (o *overloadState) comparesRequests(c *Call) bool {
	m := o.mixes[c.Service.Name]
	return c.Account != nil || m != nil && m.Mixed()
}

// classesOf returns the counts of a service, creating them if necessary.
func (o *overloadState) classesOf(service string) *overload.Classes {
	c, ok := o.classes[service]
	if !ok {
		c = overload.NewClasses()
		o.classes[service] = c
	}
	return c
}

// applyRank includes the rank in the sort key.
func (w *waitingRequest) applyRank() {
	if !w.rank.compared {
		return
	}
	q := &w.queueState
	span := w.refuseAt.Sub(w.firstEventDeadline)
	if q.OnTime() {
		span = w.call.Route.LatencyTarget
	}
	standing := w.rank.standing
	if w.rank.begun {
		standing = -1
	}
	q.Yield = overload.Yield(standing, max(0, span))
	q.Overtakes = w.rank.overtakes && !q.OnTime()
	if w.rank.promoted {
		q.Priority = w.rank.promotedTo
	}
}

// preceding reports whether the request is in the part of the queue that precedes late
// requests.
func (w *waitingRequest) preceding() bool { return w.queueState.OnTime() || w.queueState.Overtakes }

// counts reports whether the request counts as waiting. One that is bound to a software
// version may wait while others find capacity.
func (w *waitingRequest) counts(now time.Time) bool {
	return w.rank.compared && now.Sub(w.joined) >= minReportedWait && !w.pin.set
}

// countIn adds the request to the counts by service and priority.
func (w *waitingRequest) countIn(classes []WaitingClass, now time.Time) []WaitingClass {
	if !w.counts(now) {
		return classes
	}
	i := slices.IndexFunc(classes, func(c WaitingClass) bool {
		return c.Service == w.call.Service.Name && c.Priority == w.queueState.Priority
	})
	if i < 0 {
		i = len(classes)
		classes = append(classes, WaitingClass{Service: w.call.Service.Name, Waiting: overload.Waiting{Priority: w.queueState.Priority}})
	}
	if w.preceding() {
		classes[i].OnTime++
	} else {
		classes[i].Late++
	}
	return classes
}

// rankWaiting updates the ranks of all waiting requests. The caller holds s.mu.
func (s *scheduler) rankWaiting(now time.Time) {
	elapsed := now.Sub(s.overload.start)
	for _, w := range s.waiting {
		w.rank.promoted, w.rank.overtakes = false, false
		w.rank.compared = s.overload.comparesRequests(w.call)
		if !w.rank.compared {
			continue
		}
		w.rank.standing = 0
		if w.call.Account != nil {
			w.rank.standing = s.overload.accounts.Standing(elapsed, w.call.Account.Name)
		}
	}
}

// markOvertaking marks the late requests that precede less urgent ones on time. It needs the
// sort keys of all requests. The caller holds s.mu.
func (s *scheduler) markOvertaking(now time.Time) {
	elapsed := now.Sub(s.overload.start)
	seen := make(map[string]bool)
	for _, w := range s.waiting {
		name := w.call.Service.Name
		if seen[name] || !w.rank.compared || w.queueState.OnTime() {
			continue
		}
		classes := s.overload.classesOf(name)
		if !classes.Behind(elapsed, w.call.Priority) {
			continue
		}
		seen[name] = true
		queue, in := s.queueOf(w.call, now)
		for i, overtakes := range overload.Overtaking(in, func(priority int) bool { return classes.Behind(elapsed, priority) }) {
			queue[i].rank.overtakes, queue[i].queueState.Overtakes = overtakes, overtakes
		}
	}
}

// promoteStarved lets the first request of each starved class go first. The caller holds
// s.mu.
func (s *scheduler) promoteStarved(now time.Time) {
	type class struct {
		service  string
		priority int
	}
	elapsed := now.Sub(s.overload.start)
	chosen := make(map[class]*waitingRequest)
	mostUrgent := make(map[string]int)
	for _, w := range s.waiting {
		if !w.rank.compared {
			continue
		}
		c := class{w.call.Service.Name, w.call.Priority}
		if p, ok := mostUrgent[c.service]; !ok || c.priority < p {
			mostUrgent[c.service] = c.priority
		}
		if first, known := chosen[c]; known {
			if first != nil && waitqueue.Compare(&w.queueState, &first.queueState) < 0 {
				chosen[c] = w
			}
			continue
		}
		chosen[c] = nil
		if s.overload.classesOf(c.service).Starved(elapsed, c.priority) {
			chosen[c] = w
		}
	}
	for c, w := range chosen {
		if w != nil {
			w.rank.promoted, w.rank.promotedTo = true, mostUrgent[c.service]
			w.applyRank()
		}
	}
}

// urgentWaiting holds the most urgent priority of the requests that still wait although
// they precede late ones, by service.
type urgentWaiting map[string]int

// urgentAtPeers returns what waits at other gateways for the services of the queue. The
// caller holds s.mu.
func (s *scheduler) urgentAtPeers(now time.Time) urgentWaiting {
	urgent := make(urgentWaiting)
	seen := make(map[string]bool)
	for _, w := range s.waiting {
		name := w.call.Service.Name
		if seen[name] || !w.rank.compared {
			continue
		}
		seen[name] = true
		for _, o := range s.load.waitingAtPeers(name, now) {
			if o.OnTime > 0 {
				urgent.add(name, o.Priority)
			}
		}
	}
	return urgent
}

func (u urgentWaiting) add(service string, priority int) {
	if p, ok := u[service]; !ok || priority < p {
		u[service] = priority
	}
}

// addUnplaced adds a request of this gateway that could not be placed in its turn.
func (u urgentWaiting) addUnplaced(w *waitingRequest, now time.Time) {
	if w.preceding() && w.counts(now) {
		u.add(w.call.Service.Name, w.queueState.Priority)
	}
}

// mustWait reports whether a more urgent request for the same service waits here or at
// another gateway. Less urgent ones that fit beside the others would keep it from ever
// finding enough memory.
func (u urgentWaiting) mustWait(w *waitingRequest) bool {
	p, ok := u[w.call.Service.Name]
	return ok && p < w.queueState.Priority && !w.rank.begun
}

// recordServed counts a placed request for its account and its class. The caller holds
// s.mu.
func (s *scheduler) recordServed(w *waitingRequest, now time.Time) {
	if w.counted {
		return
	}
	w.counted = true
	elapsed := now.Sub(s.overload.start)
	s.overload.classesOf(w.call.Service.Name).Served(elapsed, w.call.Priority)
	if w.call.Account != nil {
		s.overload.accounts.Record(elapsed, w.call.Account.Name, w.queueState.Tokens)
	}
}

// refuseInfeasible refuses the waiting requests that certainly can't be served in time. It
// judges the queue of a service when a request has joined it. The queue is in the order
// of service. The caller holds s.mu.
func (s *scheduler) refuseInfeasible(now time.Time) {
	var refused []*waitingRequest
	judged := make(map[string]bool)
	for _, w := range s.waiting {
		if name := w.call.Service.Name; !w.judged && !judged[name] && w.rank.compared {
			judged[name] = true
			refused = append(refused, s.judgeService(w.call, now)...)
		}
	}
	for _, w := range refused {
		i := slices.Index(s.waiting, w)
		s.waiting = slices.Delete(s.waiting, i, i+1)
		w.placed <- placement{err: s.refusalError(w, w.verdict.Action.String(), now)}
	}
}

// refuseLeaving refuses the waiting requests that this instance can't complete before its
// planned stop. The caller holds s.mu.
func (s *scheduler) refuseLeaving(now time.Time) {
	if !s.gateway.Shutdown.HasBegun() {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waitingRequest) bool {
		w.limitByShutdown(s.gateway.Shutdown)
		late := w.leaving && !now.Before(w.refuseAt)
		if late {
			w.placed <- placement{err: s.refusalError(w, reasonDeadline, now)}
		}
		return late
	})
}

// judgeService decides about the requests for the service of the call and returns those
// to refuse. The caller holds s.mu.
func (s *scheduler) judgeService(c *Call, now time.Time) (refused []*waitingRequest) {
	queue, in := s.queueOf(c, now)
	for i, v := range overload.Judge(in) {
		queue[i].verdict, queue[i].judged = v, true
		if v.Action.Refused() {
			refused = append(refused, queue[i])
		}
	}
	return refused
}

// queueOf returns the requests that wait for the service of the call, and the same as input
// for package overload. The caller holds s.mu.
func (s *scheduler) queueOf(c *Call, now time.Time) (queue []*waitingRequest, in overload.Input) {
	in = overload.Input{Others: s.load.waitingAtPeers(c.Service.Name, now), Capacity: s.capacityOf(c)}
	speed := s.load.speedOf(c.Service.Name)
	for _, w := range s.waiting {
		if w.call.Service.Name != c.Service.Name {
			continue
		}
		queue = append(queue, w)
		in.Requests = append(in.Requests, overload.Request{Request: w.queueState, Work: workOf(w, speed), Begun: w.rank.begun, Arriving: !w.judged, OvertakeWindow: waitqueue.LastChanceWindow})
	}
	return queue, in
}

// workOf returns what a request needs of engines of the given speed.
func workOf(w *waitingRequest, speed profile.Speed) overload.Work {
	prompt := float64(w.call.Model.PromptTokens)
	seconds := outputTime(w.outputLeft, w.call.Service, speed).Seconds()
	work := overload.Work{PromptTokens: prompt, MemorySeconds: (prompt + w.medianOutput/2) * seconds, SlotSeconds: seconds}
	if w.promptReady {
		work.PromptTokens = 0
	}
	return work
}

// capacityOf returns what the engines of the call's service complete at most, each at its
// own speed.
func (s *scheduler) capacityOf(c *Call) overload.Capacity {
	engine, pool := c.Service.Engine, s.enginePool(c.Service.Name, versionPin{})
	if len(pool.Decode) == 0 {
		return overload.Capacity{} // not known
	}
	decode := pool.DecodeEngines()
	return overload.Capacity{
		PromptRate:    pool.PromptRate(),
		Memory:        decode * float64(engine.MemoryTokens),
		Slots:         decode * float64(engine.Slots),
		LargestPrompt: float64(engine.MemoryTokens),
	}
}

// refusalError counts and logs the refusal of a waiting request and returns the error for
// its client. The caller holds s.mu.
func (s *scheduler) refusalError(w *waitingRequest, reason string, now time.Time) *fault.Error {
	if w.leaving && !now.Before(w.refuseAt) {
		return s.gateway.refuseForShutdown(w.call, waitsForEngine, w.joined, now)
	}
	remaining := w.call.Remaining(now)
	wait := w.verdict.QueueTime
	if reason == reasonDeadline {
		wait = overload.Unknown
	}
	after := overload.RetryAfter(wait, remaining, rand.Float64())
	s.overload.classesOf(w.call.Service.Name).Refused(now.Sub(s.overload.start), w.call.Priority, w.isRetry || after >= remaining)
	s.gateway.Metrics.overloadRefused(w.call, reason)
	s.gateway.Logger.Info("request refused for lack of capacity", "request", w.call.ID, "reason", reason, "account", accountName(w.call),
		"service", w.call.Service.Name, "priority", w.call.Priority, "place", w.verdict.Place, "forecast_wait_ms", w.verdict.Wait.Milliseconds(),
		"queue_ms", w.verdict.QueueTime.Milliseconds(),
		"refuse_at_ms", w.refuseAt.Sub(now).Milliseconds(), "left_ms", remaining.Milliseconds(), "waited_ms", now.Sub(w.joined).Milliseconds(),
		"account_standing", w.rank.standing, "is_retry", w.isRetry, "too_large", w.verdict.TooLarge, "retry_after_ms", after.Milliseconds())
	return overloadedError(after, refusalMessage(w, reason))
}

func refusalMessage(w *waitingRequest, reason string) string {
	switch {
	case w.verdict.TooLarge:
		return "the prompt is larger than the memory of any engine"
	case reason == reasonDeadline:
		return "no engine has a free slot and memory"
	default:
		return "the requests that go first take longer than this one can wait"
	}
}

// deadlineError refuses a request whose time to be placed has passed.
func (s *scheduler) deadlineError(w *waitingRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusalError(w, reasonDeadline, time.Now())
}

// withdrawAtDeadline refuses a request whose time to be placed has passed, unless a
// reservation for it is in progress and succeeds.
func (s *scheduler) withdrawAtDeadline(w *waitingRequest) (placement, error) {
	placed, err := s.withdraw(w, errPlacementDeadline, false)
	if err == nil {
		return placed, nil
	}
	if refusal := refusalIn(placed.err); refusal != nil {
		return placement{}, refusal
	}
	return placement{}, s.deadlineError(w)
}
