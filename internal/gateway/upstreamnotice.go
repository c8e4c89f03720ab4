package gateway

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

// UpstreamRef names one incarnation of an upstream to other gateways.
type UpstreamRef struct {
	ID          string
	Incarnation int64
}

// recordLeaving records that an upstream says in its response that it is leaving. A
// response of another instance says nothing about the upstream.
func (g *Gateway) recordLeaving(u *fleet.Upstream, instance *fleet.Instance, resp *exchange.Response, class ResponseClass) {
	if class == WrongInstance || class == Unverified || !g.Protocol.SaysLeaving(resp.Header) {
		return
	}
	if u.RecordLeaving() {
		g.Logger.Info("upstream says that it leaves", "upstream", instance.ID, "service", instance.Service)
		g.announce()
	}
}

// recordRetryAfter records for how long an upstream that turned a request away wants none
// of this gateway.
func (g *Gateway) recordRetryAfter(u *fleet.Upstream, instance *fleet.Instance, resp *exchange.Response, class ResponseClass) {
	if class == WrongInstance || class == Unverified {
		return
	}
	after := g.Protocol.RetryAfter(resp.Status, resp.Header)
	if after <= 0 {
		return
	}
	u.RecordRetryAfter(after, time.Now())
	g.Logger.Info("upstream wants no requests for a while", "upstream", instance.ID, "service", instance.Service, "retry_after_ms", after.Milliseconds())
}

// leavingReports returns the upstreams that have said that they leave, for the other
// gateways.
func (g *Gateway) leavingReports() []UpstreamRef {
	var reports []UpstreamRef
	g.Fleet.Snapshot().Each(func(u *fleet.Upstream) {
		if u.SaidLeaving() {
			reports = append(reports, UpstreamRef{ID: u.Instance().ID, Incarnation: u.Instance().Incarnation})
		}
	})
	return reports
}

// applyLeavingReports records what upstreams have said to another gateway.
func (g *Gateway) applyLeavingReports(reports []UpstreamRef) {
	for _, r := range reports {
		u := g.Fleet.Snapshot().Find(r.ID, r.Incarnation)
		if u != nil && u.RecordLeaving() {
			g.Logger.Info("upstream said to another gateway that it leaves", "upstream", r.ID)
		}
	}
}
