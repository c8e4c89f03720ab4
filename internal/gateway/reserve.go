package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

const (
	// reserveLife is the lease of a reservation: the wait for a prefill and the
	// prefill itself.
	reserveLife = 1500 * time.Millisecond
	// reserveTimeout bounds one call that asks for a reservation.
	reserveTimeout = 250 * time.Millisecond
	// reservePoll is the pause between two rounds of asking all engines.
	reservePoll = 40 * time.Millisecond
	// reservePatience is how long a request waits for a slot and memory.
	reservePatience = 600 * time.Millisecond
)

// decodeQueue orders the requests that wait for a decode engine.
type decodeQueue struct {
	turn chan struct{}
}

func newDecodeQueue() *decodeQueue {
	q := &decodeQueue{turn: make(chan struct{}, 1)}
	q.turn <- struct{}{}
	return q
}

// reserve takes a slot and memory at a decode engine.
func (g *Gateway) reserve(ctx context.Context, m *modelRun) (Reservation, error) {
	tokens := m.call.Model.PromptTokens + m.call.Model.MaxOutputTokens
	until := time.Now().Add(reservePatience)
	for {
		for _, u := range g.decodeCandidates(m.call) {
			m.res.steps.tries++
			hold, err := g.tryReserve(ctx, u, tokens)
			if err == nil {
				return hold, nil
			}
			if ctx.Err() != nil {
				return Reservation{}, context.Cause(ctx)
			}
			if errors.Is(err, ErrNoRoom) {
				u.Full(time.Now(), fullPause)
				continue
			}
			g.Logger.Info("reservation failed", "request", m.call.ID, "upstream", u.Facts().ID, "err", err)
			u.Unreachable(time.Now(), unreachablePause)
		}
		if time.Now().After(until) {
			return Reservation{}, refuseOverloaded(g.modelRetryAfter(), "no engine has a free slot and memory")
		}
		select {
		case <-time.After(reservePoll):
		case <-ctx.Done():
			return Reservation{}, context.Cause(ctx)
		}
	}
}

func (g *Gateway) tryReserve(ctx context.Context, u *fleet.Upstream, tokens int) (Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return g.Engines.Reserve(ctx, u, tokens, reserveLife)
}

// decodeCandidates returns the decode engines, the least loaded first.
func (g *Gateway) decodeCandidates(c *Call) []*fleet.Upstream {
	now := time.Now()
	var out []*fleet.Upstream
	cost := make(map[*fleet.Upstream]float64)
	for _, u := range g.Fleet.Snapshot().Service(c.Service.Name) {
		if !u.Usable() || u.Facts().Role != fleet.RoleDecode {
			continue
		}
		h := u.Health(now)
		if h.Avoid {
			continue
		}
		cost[u] = float64(u.InFlight.Load()) + 10*h.FailureShare + rand.Float64()
		if h.Full {
			cost[u] += 100
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *fleet.Upstream) int {
		if cost[a] < cost[b] {
			return -1
		}
		return 1
	})
	return out
}

// choosePrefill returns the prefill engine with the fewest prompt tokens ahead.
func (g *Gateway) choosePrefill(c *Call, tried []*fleet.Upstream) *fleet.Upstream {
	now := time.Now()
	var best *fleet.Upstream
	var bestCost float64
	for _, u := range g.Fleet.Snapshot().Service(c.Service.Name) {
		if !u.Usable() || u.Facts().Role != fleet.RolePrefill || contains(tried, u) {
			continue
		}
		h := u.Health(now)
		cost := float64(u.PrefillTokens.Load()) + 20000*h.FailureShare + 500*rand.Float64()
		if u.Facts().FailureDomain != g.FailureDomain {
			cost += 1000
		}
		if h.Avoid {
			cost += 1e6
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}
