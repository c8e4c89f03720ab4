package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// maxQueuedSuspensions limits the suspensions that wait to be written to the store.
const maxQueuedSuspensions = 64

// crashDetector prevents requests that crash upstreams from being sent again.
type crashDetector struct {
	watchlist *quarantine.Watchlist
	// newSuspensions queues the suspensions that this gateway decided on.
	newSuspensions chan quarantine.Suspension
}

func newCrashDetector() *crashDetector {
	return &crashDetector{watchlist: quarantine.NewWatchlist(), newSuspensions: make(chan quarantine.Suspension, maxQueuedSuspensions)}
}

// fingerprint returns a hash that is equal for all attempts of the same request. It
// leaves out the call ID, which clients change with each attempt.
func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf([]byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
}

// suspended reports whether the call must not be sent, and for how much longer.
func (g *Gateway) suspended(call *Call, now time.Time) (time.Duration, bool) {
	if g.crashDetector.watchlist.Empty() {
		return 0, false
	}
	return g.crashDetector.watchlist.Suspended(call.fingerprint(), now)
}

// allowRetry takes one repeated attempt from the retry budget. It refuses calls that
// are suspended because they crashed too many upstreams.
func (g *Gateway) allowRetry(c *Call, reservedShare float64) bool {
	now := time.Now()
	if _, suspended := g.suspended(c, now); suspended {
		return false
	}
	return g.retryBudget.TrySpend(c.Service.Name, now, reservedShare)
}

// recordInterruption records that the upstream stopped running the call before its
// end.
func (g *Gateway) recordInterruption(c *Call, instance *fleet.Instance, relay *streamRelay, now time.Time) {
	g.logInterruption(c, instance, relay)
	g.Metrics.interrupted(c.Service.Name)
	g.crashDetector.watchlist.RecordInterruption(c.fingerprint(), quarantine.Process{Upstream: instance.ID, Incarnation: instance.Incarnation}, now)
}

// logInterruption logs what identifies the interrupted run and how far it came, so
// that runs that ended with the same upstream can be compared. relay is nil if no
// response had begun.
func (g *Gateway) logInterruption(c *Call, instance *fleet.Instance, relay *streamRelay) {
	var output time.Duration
	began := false
	if relay != nil {
		output, began = relay.runOutput()
	}
	g.Logger.Info("run interrupted", "request", c.ID, "upstream", instance.ID, "incarnation", instance.Incarnation,
		"fingerprint", c.fingerprint().String(), "shared_parts", c.Model.SharedParts, "output_began", began, "output_ms", output.Milliseconds())
}

// recordCompletion records that the call ran to completion.
func (g *Gateway) recordCompletion(c *Call, now time.Time) {
	if !g.crashDetector.watchlist.Empty() {
		g.crashDetector.watchlist.RecordCompletion(c.fingerprint(), now)
	}
}

// recordFailedAttempt records an attempt without a usable response if the upstream
// may have crashed. A broken connection counts, and so does an upstream that stayed
// silent until the deadline of the request.
func (g *Gateway) recordFailedAttempt(ctx context.Context, c *Call, r *attemptResult, now time.Time) {
	if r.err == nil || !r.mayHaveRun {
		return
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		g.recordInterruption(c, r.instance, nil, now)
	}
}

// recordStreamEnd records whether the relayed stream of an upstream ended normally.
func (g *Gateway) recordStreamEnd(ctx context.Context, c *Call, instance *fleet.Instance, relay *streamRelay, err error) {
	switch {
	case err == nil:
		g.recordCompletion(c, time.Now())
	case ctx.Err() == nil && !errors.Is(err, errClientDisconnected):
		g.recordInterruption(c, instance, relay, time.Now())
	}
}

// settleCrashes decides which interrupted runs were crashes of the upstream and
// suspends the requests that caused too many of them.
func (g *Gateway) settleCrashes(now time.Time) {
	if g.crashDetector.watchlist.Empty() {
		return
	}
	snapshot := g.Fleet.Snapshot()
	listed := func(process quarantine.Process) bool {
		return snapshot.Find(process.Upstream, process.Incarnation) != nil
	}
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

// Suspensions returns the channel of suspensions that this gateway decided on.
func (g *Gateway) Suspensions() <-chan quarantine.Suspension { return g.crashDetector.newSuspensions }

// Suspend refuses a request that another gateway found to crash upstreams.
func (g *Gateway) Suspend(f quarantine.Fingerprint, now time.Time) {
	g.crashDetector.watchlist.AddSuspension(f, now)
}

// Suspended returns the fingerprints of all suspended requests.
func (g *Gateway) Suspended(now time.Time) []quarantine.Fingerprint {
	return g.crashDetector.watchlist.Suspensions(now)
}
