package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
)

const (
	// plainQueueInterval is how often a waiting call looks for a free place. The end of
	// an attempt is noticed at once.
	plainQueueInterval = 5 * time.Millisecond
	// plainOvertakeShare is the window of overload.Overtaking for a late call, as a part of the
	// time from its arrival to its refusal.
	plainOvertakeShare = 0.25
	// recentAnswer is how recently an upstream must have answered for a full one to be
	// waited for. Upstreams that refuse everything are not.
	recentAnswer = time.Second
	// recentRefusal is for how long after a refusal an upstream counts as overloaded by all
	// gateways together, so that each uses only its share of the slots.
	recentRefusal = 2 * time.Second
	// leastLatencyShare is the part of the mean latency that an answer takes at least.
	leastLatencyShare = 0.5
	// A waiting call may be sent until sendableLatencies mean latencies and sendableShare of
	// its time before its end. One that is sent later is often cut off at its end, when the
	// upstream has run it already: the client can't repeat it then, and the slot is lost for
	// others. The calls of other gateways wait at the upstream too, which the mean latency
	// does not tell at the beginning of a burst.
	sendableLatencies = 2.0
	sendableShare     = 0.25
	// unknownLatency is assumed before the first answer.
	unknownLatency = 30 * time.Millisecond
)

// plainQueue holds calls to plain services while all upstreams of their service are full:
// this gateway alone uses all slots or all connections that it may open, or it uses its
// share of the slots and the calls of all gateways exceed them, by their reports or by a
// refusal. Only the first attempt of a call waits; nothing is sent before.
type plainQueue struct {
	gateway *Gateway
	start   time.Time
	// waiting is the number of calls in the queues of all services.
	waiting atomic.Int64

	mu       sync.Mutex
	accounts *overload.Accounts
	queues   map[string]*serviceQueue
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	calls   []*plainCall
	classes *overload.Classes
	mix     overload.Mix
	// polledAt is the time at which places were last looked for.
	polledAt time.Time
}

// plainCall is a waiting call.
type plainCall struct {
	call   *Call
	joined time.Time
	// refuseAt is the time at which an answer can't come in time any more. leaving is set if
	// that is because the service of this instance ends.
	refuseAt time.Time
	leaving  bool
	// latency is that of the upstreams when the call joined.
	latency time.Duration
	state   waitqueue.Request
	verdict overload.Verdict
	judged  bool
	// overtakeWindow is overload.Request.OvertakeWindow.
	overtakeWindow time.Duration
	// done receives nil if the call may be sent, or its refusal.
	done chan *fault.Error
}

// plainPlaces is the state of a service's upstreams.
type plainPlaces struct {
	// free is the number of upstreams with a free place.
	free int
	// full means that there are upstreams that answer, and that none has a free place.
	full bool
	// slots is the sum of the slots, and latency the lowest mean latency.
	slots   int
	latency time.Duration
}

func newPlainQueue(g *Gateway) *plainQueue {
	return &plainQueue{gateway: g, start: time.Now(), accounts: overload.NewAccounts(), queues: make(map[string]*serviceQueue)}
}

// queueOf returns the queue of a service, creating it if necessary. The caller holds q.mu.
func (q *plainQueue) queueOf(service string) *serviceQueue {
	s, ok := q.queues[service]
	if !ok {
		s = &serviceQueue{classes: overload.NewClasses()}
		q.queues[service] = s
	}
	return s
}

// mixedServices returns the services whose calls differ in priority.
func (q *plainQueue) mixedServices() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var mixed []string
	for name, s := range q.queues {
		if s.mix.Mixed() {
			mixed = append(mixed, name)
		}
	}
	return mixed
}

// places looks for free places at the upstreams of the call's service.
func (q *plainQueue) places(c *Call, now time.Time) plainPlaces {
	var p plainPlaces
	answering := false
	for _, u := range q.gateway.Fleet.Snapshot().Service(c.Service.Name) {
		if !u.Usable() || !u.Admits(now) {
			continue
		}
		h, slots := u.Health(now), u.Instance().Slots
		if h.Avoid {
			continue
		}
		if d := time.Duration(h.LatencyMs * float64(time.Millisecond)); d > 0 && (p.latency == 0 || d < p.latency) {
			p.latency = d
		}
		p.slots += slots
		if !h.Full && q.hasFreeSlot(u, c, now) {
			p.free++
		}
		answering = answering || u.AnsweredSince(now.Add(-recentAnswer))
	}
	if p.latency == 0 {
		p.latency = unknownLatency
	}
	p.full = answering && p.free == 0
	return p
}

// hasFreeSlot reports whether this gateway leaves a slot and a connection of the upstream
// free that it may use. If the number of slots is unknown, only connections count.
func (q *plainQueue) hasFreeSlot(u *fleet.Upstream, c *Call, now time.Time) bool {
	if limit := q.gateway.connLimit(c); limit > 0 && u.InFlight.Load() >= int64(limit) {
		return false
	}
	slots := u.Instance().Slots
	if slots <= 0 {
		return true
	}
	gateways := max(1, q.gateway.RecentGateways())
	share := (slots + gateways - 1) / gateways
	own := int(u.InFlight.Load())
	if own < share || own >= slots {
		return own < share
	}
	return !u.FullSince(now.Add(-recentRefusal)) && float64(own+q.gateway.scheduler.load.callsOfPeers(u, now)) < overfull*float64(slots)
}

// wait returns when the call may be sent, or with its refusal. It returns at once unless
// all upstreams are full and the calls of the service differ in priority. Calls of equal
// priority gain nothing from an order: they would only wait here instead of at the upstream,
// which refuses what it cannot hold at once.
func (q *plainQueue) wait(ctx context.Context, c *Call) *fault.Error {
	w := q.join(c, time.Now())
	if w == nil {
		return nil
	}
	defer q.waiting.Add(-1)
	tick := time.NewTicker(plainQueueInterval)
	defer tick.Stop()
	for {
		select {
		case refusal := <-w.done:
			return refusal
		case now := <-tick.C:
			q.poll(c.Service.Name, now)
		case <-ctx.Done():
			return q.withdraw(w, time.Now())
		}
	}
}

// join adds the call to its queue. It returns nil if the call need not wait.
func (q *plainQueue) join(c *Call, now time.Time) *plainCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.queueOf(c.Service.Name)
	s.mix.Observe(now.Sub(q.start), c.Priority)
	if c.RetryAge == 0 {
		s.classes.Arrived(now.Sub(q.start), c.Priority)
	}
	places, mustQueue := q.mustQueue(s, c, now)
	if !mustQueue {
		q.recordServed(s, c, now)
		return nil
	}
	w := newPlainCall(c, places, now)
	w.limitByShutdown(q.gateway.Shutdown)
	s.calls = append(s.calls, w)
	q.waiting.Add(1)
	q.rank(s, places, now)
	q.refuseLate(s, now)
	q.refuseInfeasible(s, places, now)
	q.grant(s, places, now)
	return w
}

// mustQueue reports whether a new call joins the queue, and returns the places that this was
// decided by. The caller holds q.mu.
func (q *plainQueue) mustQueue(s *serviceQueue, c *Call, now time.Time) (plainPlaces, bool) {
	if len(s.calls) == 0 && !s.mix.Mixed() {
		return plainPlaces{}, false
	}
	places := q.places(c, now)
	return places, len(s.calls) > 0 || places.full
}

// newPlainCall returns the call as a waiting call, with the time at which it is refused.
func newPlainCall(c *Call, places plainPlaces, now time.Time) *plainCall {
	w := &plainCall{call: c, joined: now, latency: places.latency, done: make(chan *fault.Error, 1)}
	w.refuseAt = lastSend(c, places.latency)
	return w
}

// lastSend returns the time until which a waiting call may be sent.
func lastSend(c *Call, latency time.Duration) time.Time {
	total := float64(c.Deadline.Sub(c.Received))
	return c.Deadline.Add(-responseMargin - time.Duration(max(sendableLatencies*float64(latency), sendableShare*total)))
}

// poll gives free places to waiting calls, unless that was done a moment ago.
func (q *plainQueue) poll(service string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.queueOf(service)
	if len(s.calls) == 0 || now.Sub(s.polledAt) < plainQueueInterval/2 {
		return
	}
	places := q.places(s.calls[0].call, now)
	q.rank(s, places, now)
	q.refuseLate(s, now)
	q.grant(s, places, now)
}

// released gives the place of an attempt that has ended to a waiting call.
func (q *plainQueue) released(service string) {
	if q.waiting.Load() == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.queueOf(service)
	if len(s.calls) == 0 {
		return
	}
	places := q.places(s.calls[0].call, now)
	places.free = min(places.free, 1)
	q.rank(s, places, now)
	q.refuseLate(s, now)
	q.grant(s, places, now)
}

// rank sorts the calls in the order of service. The caller holds q.mu.
func (q *plainQueue) rank(s *serviceQueue, places plainPlaces, now time.Time) {
	elapsed := now.Sub(q.start)
	mostUrgent := s.calls[0].call.Priority
	for _, w := range s.calls {
		q.updateState(s, w, places.latency, now)
		mostUrgent = min(mostUrgent, w.call.Priority)
	}
	for i, overtakes := range overload.Overtaking(s.input(places), func(priority int) bool { return s.classes.Behind(elapsed, priority) }) {
		s.calls[i].state.Overtakes = overtakes
	}
	order := func(a, b *plainCall) int { return waitqueue.Compare(&a.state, &b.state) }
	slices.SortStableFunc(s.calls, order)
	promoted := make(map[int]bool)
	for _, w := range s.calls {
		if p := w.call.Priority; p > mostUrgent && !promoted[p] && s.classes.Starved(elapsed, p) {
			promoted[p], w.state.Priority = true, mostUrgent
		}
	}
	if len(promoted) > 0 {
		slices.SortStableFunc(s.calls, order)
	}
}

// updateState computes the sort key of a call. The caller holds q.mu.
func (q *plainQueue) updateState(s *serviceQueue, w *plainCall, latency time.Duration, now time.Time) {
	w.limitByShutdown(q.gateway.Shutdown)
	target := w.call.Route.LatencyTarget
	total := w.refuseAt.Sub(w.call.Received)
	if target <= 0 || target > total {
		target = total
	}
	w.state = waitqueue.Request{
		Slack:             w.call.Received.Add(target - latency - latency/4 - clientLatency).Sub(now),
		TimeToAbandonment: w.refuseAt.Sub(now),
		Priority:          w.call.Priority,
	}
	span := target
	if !w.state.OnTime() {
		span = total - target
	}
	elapsed := now.Sub(q.start)
	if a := w.call.Account; a != nil {
		w.state.Yield = overload.Yield(q.accounts.Standing(elapsed, a.Name), span)
	}
	w.overtakeWindow = time.Duration(plainOvertakeShare * float64(total))
}

// grant lets the first calls be sent, one to each upstream with a free place. If no
// upstream answers any more, all are sent, and fail as they would without the queue. The
// caller holds q.mu.
func (q *plainQueue) grant(s *serviceQueue, places plainPlaces, now time.Time) {
	s.polledAt = now
	n := places.granted(len(s.calls))
	for _, w := range s.calls[:n] {
		q.recordServed(s, w.call, now)
		w.done <- nil
	}
	s.calls = slices.Delete(s.calls, 0, n)
}

// granted returns how many of the waiting calls may be sent now.
func (p plainPlaces) granted(waiting int) int {
	if p.free == 0 && !p.full {
		return waiting
	}
	return min(p.free, waiting)
}

// recordServed counts a call for its account and its class. The caller holds q.mu.
func (q *plainQueue) recordServed(s *serviceQueue, c *Call, now time.Time) {
	elapsed := now.Sub(q.start)
	s.classes.Served(elapsed, c.Priority)
	if c.Account != nil {
		c.estimatedWork = q.accounts.MeanWork()
		if c.estimatedWork == 0 {
			c.estimatedWork = unknownLatency.Seconds()
		}
		q.accounts.Record(elapsed, c.Account.Name, c.estimatedWork)
	}
}

// recordWork counts the time of an attempt at an upstream for the account of the call. The
// first one replaces the estimate, which counts from the start, so that an account with long
// calls is not ahead until they end.
func (q *plainQueue) recordWork(c *Call, duration time.Duration) {
	if c.Account == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.accounts.Correct(time.Since(q.start), c.Account.Name, c.estimatedWork, duration.Seconds())
	c.estimatedWork = 0
}

// input returns the waiting calls as input for package overload.
func (s *serviceQueue) input(places plainPlaces) overload.Input {
	in := overload.Input{Capacity: overload.Capacity{Slots: float64(places.slots)}}
	for _, w := range s.calls {
		work := overload.Work{SlotSeconds: leastLatencyShare * places.latency.Seconds()}
		in.Requests = append(in.Requests, overload.Request{Request: w.state, Work: work, Arriving: !w.judged, OvertakeWindow: w.overtakeWindow})
	}
	return in
}

// refuseInfeasible refuses the calls that certainly can't be answered in time. The caller
// holds q.mu.
func (q *plainQueue) refuseInfeasible(s *serviceQueue, places plainPlaces, now time.Time) {
	s.judge(places)
	s.calls = slices.DeleteFunc(s.calls, func(w *plainCall) bool {
		if w.verdict.Action.Refused() {
			w.done <- q.refusal(s, w, w.verdict.Action.String(), now)
		}
		return w.verdict.Action.Refused()
	})
}

// judge decides about the calls, which are in the order of service. The caller holds q.mu.
func (s *serviceQueue) judge(places plainPlaces) {
	for i, v := range overload.Judge(s.input(places)) {
		s.calls[i].verdict, s.calls[i].judged = v, true
	}
}

// refuseLate refuses the calls whose time has passed. The caller holds q.mu.
func (q *plainQueue) refuseLate(s *serviceQueue, now time.Time) {
	s.calls = slices.DeleteFunc(s.calls, func(w *plainCall) bool {
		late := !now.Before(w.refuseAt)
		if late {
			w.done <- q.refusal(s, w, reasonDeadline, now)
		}
		return late
	})
}

// withdraw removes a call whose client has left or whose deadline has passed. Nothing was
// sent.
func (q *plainQueue) withdraw(w *plainCall, now time.Time) *fault.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.queueOf(w.call.Service.Name)
	i := slices.Index(s.calls, w)
	if i < 0 {
		if refusal := <-w.done; refusal != nil {
			return refusal
		}
		return overloadedError(overloadRetryAfter(), "the call ended before it was sent")
	}
	s.calls = slices.Delete(s.calls, i, i+1)
	return q.refusal(s, w, reasonDeadline, now)
}

// refusal counts and logs the refusal of a call and returns the error for its client. The
// caller holds q.mu.
func (q *plainQueue) refusal(s *serviceQueue, w *plainCall, reason string, now time.Time) *fault.Error {
	if w.leaving {
		return q.gateway.refuseForShutdown(w.call, waitsForPlace, w.joined, now)
	}
	after := max(overloadRetryAfter(), overload.RetryAfter(w.verdict.QueueTime, w.call.Remaining(now), rand.Float64()))
	s.classes.Refused(now.Sub(q.start), w.call.Priority, w.call.RetryAge > 0 || after >= w.call.Remaining(now))
	q.gateway.Metrics.overloadRefused(w.call, reason)
	q.gateway.Logger.Info("call refused for lack of capacity", "request", w.call.ID, "reason", reason, "account", accountName(w.call),
		"service", w.call.Service.Name, "priority", w.call.Priority, "place", w.verdict.Place, "forecast_wait_ms", w.verdict.Wait.Milliseconds(),
		"left_ms", w.call.Remaining(now).Milliseconds(), "waited_ms", now.Sub(w.joined).Milliseconds(), "retry_after_ms", after.Milliseconds())
	return overloadedError(after, "every upstream of the service is full")
}
