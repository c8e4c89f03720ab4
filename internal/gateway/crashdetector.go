package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// maxQueuedSuspensions is the number of suspensions that wait to be written.
const maxQueuedSuspensions = 64

// crashDetector keeps requests that crash upstreams from further ones.
type crashDetector struct {
	watchlist *quarantine.Watchlist
	// found are the requests that this gateway suspended.
	newSuspensions chan quarantine.Suspension
}

func newCrashDetector() *crashDetector {
	return &crashDetector{watchlist: quarantine.NewWatchlist(), newSuspensions: make(chan quarantine.Suspension, maxQueuedSuspensions)}
}

// fingerprint returns what the call has in common with its repetitions: clients
// send them under new ids.
func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf([]byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
}

// suspended reports whether the call must not be sent, and for how long.
func (g *Gateway) suspended(call *Call, now time.Time) (time.Duration, bool) {
	if g.crashDetector.watchlist.Empty() {
		return 0, false
	}
	return g.crashDetector.watchlist.Suspended(call.fingerprint(), now)
}

// allowRetry takes one repeated send from the retry budget, unless the call has
// crashed too many upstreams.
func (g *Gateway) allowRetry(c *Call, reservedShare float64) bool {
	now := time.Now()
	if _, suspended := g.suspended(c, now); suspended {
		return false
	}
	return g.budget.TrySpend(c.Service.Name, now, reservedShare)
}

// recordInterruption notes that the upstream ended a run of the call without its end.
func (g *Gateway) recordInterruption(c *Call, instance *fleet.Instance, now time.Time) {
	g.crashDetector.watchlist.RecordInterruption(c.fingerprint(), quarantine.Process{Upstream: instance.ID, Incarnation: instance.Incarnation}, now)
}

// recordCompletion notes that the call ran to its end.
func (g *Gateway) recordCompletion(c *Call, now time.Time) {
	if !g.crashDetector.watchlist.Empty() {
		g.crashDetector.watchlist.RecordCompletion(c.fingerprint(), now)
	}
}

// recordFailedAttempt notes how a run ended that gave no usable answer: a broken connection,
// or silence until the request's time was over, may be a crash.
func (g *Gateway) recordFailedAttempt(ctx context.Context, c *Call, r *attemptResult, now time.Time) {
	if r.err == nil || !r.mayHaveRun {
		return
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		g.recordInterruption(c, r.instance, now)
	}
}

// recordStreamEnd notes how the relay of an upstream's stream ended.
func (g *Gateway) recordStreamEnd(ctx context.Context, c *Call, instance *fleet.Instance, err error) {
	switch {
	case err == nil:
		g.recordCompletion(c, time.Now())
	case ctx.Err() == nil && !errors.Is(err, errClientDisconnected):
		g.recordInterruption(c, instance, time.Now())
	}
}

// settleCrashes settles which broken runs were crashes.
func (g *Gateway) settleCrashes(now time.Time) {
	if g.crashDetector.watchlist.Empty() {
		return
	}
	snapshot := g.Fleet.Snapshot()
	listed := func(at quarantine.Process) bool { return snapshot.Find(at.Upstream, at.Incarnation) != nil }
	for _, s := range g.crashDetector.watchlist.Settle(now, g.ListReadableSince(), listed) {
		name := s.Fingerprint.String()
		g.Logger.Error("request suspended: upstreams crashed while they ran it", "fingerprint", name,
			"crashed", s.Processes, "fleet_revision", snapshot.Revision)
		select {
		case g.crashDetector.newSuspensions <- s:
		default:
			g.Logger.Error("suspension not shared: too many wait to be written", "fingerprint", name)
		}
	}
}

// Suspensions delivers the requests that this gateway found to crash upstreams.
func (g *Gateway) Suspensions() <-chan quarantine.Suspension { return g.crashDetector.newSuspensions }

// Suspend refuses a request that another gateway found to crash upstreams.
func (g *Gateway) Suspend(f quarantine.Fingerprint, now time.Time) {
	g.crashDetector.watchlist.AddSuspension(f, now)
}

// Suspended returns the fingerprints of the requests that are refused.
func (g *Gateway) Suspended(now time.Time) []quarantine.Fingerprint {
	return g.crashDetector.watchlist.Suspensions(now)
}
