package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// suspensionQueue is the number of suspensions that wait to be written.
const suspensionQueue = 64

// crashWatch keeps requests that crash upstreams from further ones.
type crashWatch struct {
	list *quarantine.Watchlist
	// found are the requests that this gateway suspended.
	found chan quarantine.Suspension
}

func newCrashWatch() *crashWatch {
	return &crashWatch{list: quarantine.NewWatchlist(), found: make(chan quarantine.Suspension, suspensionQueue)}
}

// fingerprint returns what the call has in common with its repetitions: clients
// send them under new ids.
func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf([]byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
}

// suspended reports whether the call must not be sent, and for how long.
func (g *Gateway) suspended(c *Call, now time.Time) (time.Duration, bool) {
	if g.crashes.list.Empty() {
		return 0, false
	}
	return g.crashes.list.Suspended(c.fingerprint(), now)
}

// repeats takes one repeated send from the retry budget, unless the call has
// crashed too many upstreams.
func (g *Gateway) repeats(c *Call, reserve float64) bool {
	now := time.Now()
	if _, held := g.suspended(c, now); held {
		return false
	}
	return g.budget.Spend(c.Service.Name, now, reserve)
}

// brokeOff notes that the upstream ended a run of the call without its end.
func (g *Gateway) brokeOff(c *Call, to *fleet.Instance, now time.Time) {
	g.crashes.list.RecordInterruption(c.fingerprint(), quarantine.Process{Upstream: to.ID, Incarnation: to.Incarnation}, now)
}

// completed notes that the call ran to its end.
func (g *Gateway) completed(c *Call, now time.Time) {
	if !g.crashes.list.Empty() {
		g.crashes.list.RecordCompletion(c.fingerprint(), now)
	}
}

// noteEnd notes how a run ended that gave no usable answer: a broken connection,
// or silence until the request's time was over, may be a crash.
func (g *Gateway) noteEnd(ctx context.Context, c *Call, r *reply, now time.Time) {
	if r.err == nil || !r.mayHaveRun {
		return
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadline) {
		g.brokeOff(c, r.to, now)
	}
}

// noteStreamEnd notes how the relay of an upstream's stream ended.
func (g *Gateway) noteStreamEnd(ctx context.Context, c *Call, to *fleet.Instance, err error) {
	switch {
	case err == nil:
		g.completed(c, time.Now())
	case ctx.Err() == nil && !errors.Is(err, errClientGone):
		g.brokeOff(c, to, time.Now())
	}
}

// sweepCrashes settles which broken runs were crashes.
func (g *Gateway) sweepCrashes(now time.Time) {
	if g.crashes.list.Empty() {
		return
	}
	snapshot := g.Fleet.Snapshot()
	listed := func(at quarantine.Process) bool { return snapshot.Find(at.Upstream, at.Incarnation) != nil }
	for _, s := range g.crashes.list.Settle(now, g.ListReadableSince(), listed) {
		name := s.Fingerprint.String()
		g.Logger.Error("request suspended: upstreams crashed while they ran it", "fingerprint", name,
			"crashed", s.Processes, "fleet_revision", snapshot.Revision)
		select {
		case g.crashes.found <- s:
		default:
			g.Logger.Error("suspension not shared: too many wait to be written", "fingerprint", name)
		}
	}
}

// Suspensions delivers the requests that this gateway found to crash upstreams.
func (g *Gateway) Suspensions() <-chan quarantine.Suspension { return g.crashes.found }

// Suspend refuses a request that another gateway found to crash upstreams.
func (g *Gateway) Suspend(f quarantine.Fingerprint, now time.Time) {
	g.crashes.list.AddSuspension(f, now)
}

// Suspended returns the fingerprints of the requests that are refused.
func (g *Gateway) Suspended(now time.Time) []quarantine.Fingerprint {
	return g.crashes.list.Suspensions(now)
}
