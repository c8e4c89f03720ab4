package gateway

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/overload"
	"github.com/fescueslip/fescueslip/internal/policy/place"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// ExplainedPlain is the placement of a call at the instances of a plain service.
type ExplainedPlain struct {
	Queue     ExplainedQueue      `json:"queue"`
	Arrival   ExplainedArrival    `json:"arrival"`
	Instances []ExplainedInstance `json:"instances"`
}

// ExplainedInstance is an instance of a plain service.
type ExplainedInstance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Rank is the place of the instance, from 1; 0 if it is excluded.
	Rank int `json:"rank,omitempty"`
	// Excluded says why the instance gets no call, and Avoided why it gets one only if there
	// is no other.
	Excluded string `json:"excluded,omitempty"`
	Avoided  string `json:"avoided,omitempty"`
	// InFlight is the number of calls of this gateway in progress, and InFlightOthers that of
	// the others, which report it only for services whose calls differ in priority.
	InFlight       int64   `json:"in_flight"`
	InFlightOthers int     `json:"in_flight_others"`
	Slots          int     `json:"slots"`
	LatencyMs      float64 `json:"latency_ms"`
	FailureShare   float64 `json:"failure_share"`
}

// explainPlain returns what would happen to a call to a plain service that arrives now.
func (g *Gateway) explainPlain(c *Call, now time.Time) (*ExplainedPlain, string) {
	out := &ExplainedPlain{}
	out.Queue, out.Arrival = g.plainQueue.explain(c, now)
	instances, wait := g.explainInstances(c, now)
	out.Instances = instances
	switch {
	case out.Arrival.Action != arrivalAdmitted:
		return out, out.Arrival.Action + ": " + out.Arrival.Reason
	case len(instances) > 0 && instances[0].Rank == 1:
		return out, "sent to " + instances[0].ID
	case wait > 0 && c.Route.Kind != routing.Stream && !now.Add(wait).After(c.limitDeadline()):
		return out, "waits: the upstreams of the service have limited their requests"
	case wait > 0:
		return out, explainRefusal(limitedError(wait)).outcome()
	default:
		return out, explainRefusal(noUpstreamError(c.Service.Name)).outcome()
	}
}

// explainInstances returns the instances in the order in which they would be selected, and
// the time until one that is excluded by its limit takes a call.
func (g *Gateway) explainInstances(c *Call, now time.Time) ([]ExplainedInstance, time.Duration) {
	ups, candidates, wait := g.plainCandidates(nil, c.Service.Name, nil, versionPin{}, now)
	all := make([]ExplainedInstance, len(ups))
	for i, u := range ups {
		f, h := u.Instance(), u.Health(now)
		e := &all[i]
		*e = ExplainedInstance{ID: f.ID, FailureDomain: f.FailureDomain, InFlight: u.InFlight.Load(),
			InFlightOthers: g.scheduler.load.callsOfPeers(u, now), Slots: f.Slots, LatencyMs: h.LatencyMs, FailureShare: h.FailureShare}
		switch {
		case candidates[i].Excluded && !u.Usable():
			e.Excluded = "is leaving"
		case candidates[i].Excluded:
			e.Excluded = "it has limited its requests, or asked for a pause"
		case candidates[i].Avoid && h.Avoid:
			e.Avoided = "did not answer lately"
		case candidates[i].Avoid:
			e.Avoided = "refused a call for lack of capacity, or has no free connection"
		}
	}
	var out []ExplainedInstance
	for i := place.Select(candidates, 0); i >= 0; i = place.Select(candidates, 0) {
		candidates[i].Excluded = true
		all[i].Rank = len(out) + 1
		out = append(out, all[i])
	}
	for _, e := range all {
		if e.Rank == 0 {
			out = append(out, e)
		}
	}
	return out, wait
}

// explain returns the queue of the call's service and the verdict on a call that arrives
// now. It decides on copies of the waiting calls.
func (q *plainQueue) explain(c *Call, now time.Time) (ExplainedQueue, ExplainedArrival) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &serviceQueue{classes: overload.NewClasses()}
	if known, ok := q.queues[c.Service.Name]; ok {
		s.classes, s.mix = known.classes, known.mix
		for _, w := range known.calls {
			copied := *w
			s.calls = append(s.calls, &copied)
		}
	}
	places, mustQueue := q.mustQueue(s, c, now)
	w := newPlainCall(c, places, now)
	arrival := ExplainedArrival{Action: arrivalAdmitted}
	if !mustQueue {
		arrival.RefusedInMs = w.refuseAt.Sub(now).Milliseconds()
		return ExplainedQueue{}, arrival
	}
	s.calls = append(s.calls, w)
	q.rank(s, places, now)
	queue := s.explain(w)
	s.judge(places)
	arrival = newArrival(w.verdict)
	arrival.RefusedInMs = w.refuseAt.Sub(now).Milliseconds()
	kept := slices.DeleteFunc(slices.Clone(s.calls), func(o *plainCall) bool { return o.verdict.Action.Refused() })
	for _, o := range s.calls {
		if o != w && o.verdict.Action.Refused() {
			arrival.Displaced++
		}
	}
	switch i := slices.Index(kept, w); {
	case i < 0:
		arrival.Action, arrival.Reason = arrivalRefused, "the calls that go first take longer than this one can wait"
	case i < places.granted(len(kept)):
		arrival.Action = arrivalAdmitted
	default:
		arrival.Action, arrival.Reason = arrivalWaits, "every instance that answers is full"
	}
	return queue, arrival
}

// explain describes the queue, which is in the order of service, and the place of w in it.
func (s *serviceQueue) explain(w *plainCall) ExplainedQueue {
	var out ExplainedQueue
	for i, o := range s.calls {
		if o == w {
			out.Ahead = i
			continue
		}
		out.Here = addWaiting(out.Here, oneWaiting(o.call.Priority, o.state.OnTime() || o.state.Overtakes))
	}
	return out
}
