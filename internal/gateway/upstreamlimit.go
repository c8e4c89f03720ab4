package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

const (
	// prefillCalls and decodeCalls are the calls of a model request that reach a prefill
	// engine, and a decode engine: a reservation and the request.
	prefillCalls = 1
	decodeCalls  = 2
	// limitedShare is the part of the latency target for which a request waits for an
	// upstream with a limit. The rest is left for the work.
	limitedShare = 0.5
)

// limitEndReportTime is for how long the other gateways are told that a limit has ended. One
// that has sent the upstream nothing since would keep it.
const limitEndReportTime = 10 * time.Second

// limitReports returns the limits in force and those that ended lately, for the other
// gateways.
func (g *Gateway) limitReports(now time.Time) []LimitReport {
	var reports []LimitReport
	g.Fleet.Snapshot().Each(func(u *fleet.Upstream) {
		instance := u.Instance()
		if perSecond, namedAt, limited := u.Limit(); limited {
			reports = append(reports, LimitReport{ID: instance.ID, Incarnation: instance.Incarnation, PerSecond: perSecond, NamedAt: namedAt})
		} else if endedAt, ended := u.LimitEnd(); ended && now.Sub(endedAt) < limitEndReportTime {
			reports = append(reports, LimitReport{ID: instance.ID, Incarnation: instance.Incarnation, PerSecond: math.Inf(1), NamedAt: endedAt})
		}
	})
	return reports
}

// applyLimitReports puts limits in force that upstreams named to another gateway, and ends
// those that it saw end.
func (g *Gateway) applyLimitReports(reports []LimitReport) {
	for _, r := range reports {
		u := g.Fleet.Snapshot().Find(r.ID, r.Incarnation)
		if u == nil || math.IsNaN(r.PerSecond) || r.PerSecond < 0 {
			continue
		}
		if r.ended() {
			if u.RecordReportedLimitEnd(r.NamedAt) {
				g.Logger.Info("upstream names no limit any more to another gateway", "upstream", r.ID)
			}
			continue
		}
		if u.RecordReportedLimit(r.PerSecond, r.NamedAt) {
			g.Logger.Info("upstream named a limit to another gateway", "upstream", r.ID, "requests_per_s", r.PerSecond)
		}
	}
}

// limitDeadline returns the time until which the call waits for an upstream with a limit.
func (c *Call) limitDeadline() time.Time {
	target := c.Deadline.Sub(c.Received)
	if t := c.Route.LatencyTarget; t > 0 {
		target = min(target, t)
	}
	return c.Received.Add(time.Duration(limitedShare * float64(target)))
}

// limitedError refuses a call that all upstreams of its service forbid by their limits.
// wait is the time until one of them takes a call of this gateway; the random part
// spreads those that come back.
func limitedError(wait time.Duration) *fault.Error {
	after := wait + time.Duration(rand.Float64()*float64(wait))
	return overloadedError(max(after, overloadRetryAfter()), "the upstreams of the service have limited their requests")
}

// limitAllows reports whether the limit of the engine allows a request now.
func (s *scheduler) limitAllows(u *fleet.Upstream, now time.Time) bool {
	return u.LimitWait(s.gateway.RecentGateways(), now) == 0
}

// takeLimits counts the calls of a placed request against the limits of its engines.
func (s *scheduler) takeLimits(decode, prefill *fleet.Upstream, now time.Time) {
	gateways := s.gateway.RecentGateways()
	decode.TakeLimit(decodeCalls, gateways, now)
	if prefill != decode {
		prefill.TakeLimit(prefillCalls, gateways, now)
	}
}

// recordLimit records the limit that an upstream names in its response, or that it
// names none. A response of another instance says nothing about the upstream.
func (g *Gateway) recordLimit(u *fleet.Upstream, instance *fleet.Instance, resp *exchange.Response, class ResponseClass) {
	if class == WrongInstance || class == Unverified {
		return
	}
	perSecond, named, err := g.Protocol.RateLimit(resp.Header)
	if err != nil && u.RecordInvalidLimit() {
		g.Logger.Warn("limit of an upstream ignored, because it cannot be read", "upstream", instance.ID, "err", err)
	}
	if err != nil && !named {
		return // the limit in force stays
	}
	if !u.RecordLimit(perSecond, named, time.Now()) {
		return
	}
	g.announce()
	if !named {
		g.Logger.Info("upstream names no limit any more", "upstream", instance.ID, "service", instance.Service)
		return
	}
	g.Logger.Info("upstream names a limit", "upstream", instance.ID, "service", instance.Service, "requests_per_s", perSecond)
}
