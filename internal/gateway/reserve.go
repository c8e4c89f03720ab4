package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// ages estimates how long clients have asked already. A client that comes back
// after a refusal says that it waits for less time than at first.
type ages struct {
	mu sync.Mutex
	// longest is the longest patience seen, by route.
	longest map[string]time.Duration
}

const (
	// returnedShare is the share of the longest patience under which a client
	// has come back; above it, the difference may be the client's own choice.
	returnedShare = 0.8
	// usualShare is the patience of a usual first attempt, as a share of the longest.
	usualShare = 0.92
)

func newAges() *ages { return &ages{longest: make(map[string]time.Duration)} }

// observe returns the estimated age of a request; 0 for a first attempt.
func (a *ages) observe(route string, patience time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	longest := max(a.longest[route], patience)
	a.longest[route] = longest
	if float64(patience) >= returnedShare*float64(longest) {
		return 0
	}
	return time.Duration(usualShare*float64(longest)) - patience
}

const (
	// prefillFarTokens is what leaving the failure domain costs, in prompt tokens.
	prefillFarTokens = 600
	// prefillFailureTokens weighs the failures of an engine, in prompt tokens.
	prefillFailureTokens = 30_000
	// prefillAvoidTokens puts engines that did not answer behind all others.
	prefillAvoidTokens = 1e7
	// prefillJitterTokens spreads equal choices.
	prefillJitterTokens = 300
)

// choosePrefill returns the prefill engine with the fewest prompt tokens ahead,
// those of the other gateways included.
func (g *Gateway) choosePrefill(c *Call) *fleet.Upstream {
	now := time.Now()
	var best *fleet.Upstream
	var bestCost float64
	for _, u := range g.Fleet.Snapshot().Service(c.Service.Name) {
		if !u.Usable() || u.Facts().Role != fleet.RolePrefill {
			continue
		}
		h := u.Health(now)
		cost := float64(u.PrefillTokens.Load()+g.scheduler.load.prefillTokens(u)) +
			prefillFailureTokens*h.FailureShare + prefillJitterTokens*rand.Float64()
		if u.Facts().FailureDomain != g.FailureDomain {
			cost += prefillFarTokens
		}
		if h.Avoid {
			cost += prefillAvoidTokens
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}
