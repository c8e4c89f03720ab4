package gateway

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

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
	if !named {
		g.Logger.Info("upstream names no limit any more", "upstream", instance.ID, "service", instance.Service)
		return
	}
	g.Logger.Info("upstream names a limit", "upstream", instance.ID, "service", instance.Service, "requests_per_s", perSecond)
}
