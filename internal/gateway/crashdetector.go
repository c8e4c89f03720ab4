package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

const (
	// maxQueuedSuspensions limits the suspensions that wait to be written to the store.
	maxQueuedSuspensions = 64
	// soundEvents is the number of events after which a run proves the parts of its prompt
	// sound. A part that crashes engines does so when the output begins.
	soundEvents = 2
	// suspectSilence is the silence of an upstream after which a client that leaves may
	// have left because of a crash. Clients wait at least that long for an event.
	suspectSilence = 2 * time.Second
)

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

// partFingerprints returns the fingerprints of the parts of the prompt that other
// requests share.
func (c *Call) partFingerprints() []quarantine.Fingerprint {
	out := make([]quarantine.Fingerprint, 0, len(c.Model.SharedParts)+1)
	for _, id := range c.Model.SharedParts {
		out = append(out, quarantine.PartFingerprint(c.Model.Model, id))
	}
	return out
}

// subjects returns the fingerprints of the call and of the shared parts of its prompt.
func (c *Call) subjects() []quarantine.Fingerprint {
	return append(c.partFingerprints(), c.fingerprint())
}

// checkSuspended returns the refusal for a call that must not be sent because it
// crashes upstreams, or nil. It is called before each step of a model request, because
// the call may have waited.
func (g *Gateway) checkSuspended(c *Call) *fault.Error {
	if g.crashDetector.watchlist.Empty() {
		return nil
	}
	refusal := g.crashDetector.watchlist.Suspended(c.subjects(), time.Now())
	if refusal == nil {
		return nil
	}
	return suspendedError(refusal)
}

// allowRetry takes one repeated attempt from the retry budget. It refuses calls that
// are suspended because they crashed too many upstreams.
func (g *Gateway) allowRetry(c *Call, reservedShare float64) bool {
	return g.checkSuspended(c) == nil && g.retryBudget.TrySpend(c.Service.Name, time.Now(), reservedShare)
}

// recordInterruption records that the upstream stopped running the call before its
// end. suspects are the fingerprints that may have made it crash.
func (g *Gateway) recordInterruption(c *Call, instance *fleet.Instance, relay *streamRelay, suspects []quarantine.Fingerprint) {
	g.logInterruption(c, instance, relay)
	g.Metrics.interrupted(c.Service.Name)
	process := quarantine.Process{Upstream: instance.ID, Incarnation: instance.Incarnation}
	g.crashDetector.watchlist.RecordInterruption(suspects, process, time.Now())
	g.announce()
}

// logInterruption logs what identifies the interrupted run and how far it came, so
// that runs that ended with the same upstream can be compared. relay is nil if no
// response had begun.
func (g *Gateway) logInterruption(c *Call, instance *fleet.Instance, relay *streamRelay) {
	var output time.Duration
	events := 0
	if relay != nil {
		output = relay.runOutput()
		events = relay.runEvents
	}
	g.Logger.Info("run interrupted", "request", c.ID, "upstream", instance.ID, "incarnation", instance.Incarnation,
		"subjects", c.subjects(), "shared_parts", c.Model.SharedParts, "run_events", events, "output_ms", output.Milliseconds())
}

// recordCompletion records that the call ran to completion.
func (g *Gateway) recordCompletion(c *Call, now time.Time) {
	if !g.crashDetector.watchlist.Empty() {
		g.crashDetector.watchlist.RecordCompletion(c.fingerprint(), now)
	}
}

// recordSound records that a run of the call proved the parts of its prompt sound.
func (g *Gateway) recordSound(c *Call) {
	if len(c.Model.SharedParts) > 0 {
		g.crashDetector.watchlist.RecordSound(c.partFingerprints(), time.Now())
	}
}

// recordFailedAttempt records an attempt without a usable response if the upstream
// may have crashed. A broken connection counts. An upstream that stayed silent until
// the deadline of the request, or for so long that the client left, counts against the
// request, but not against the parts of its prompt: all requests at a silent upstream end
// that way.
func (g *Gateway) recordFailedAttempt(ctx context.Context, c *Call, r *attemptResult) {
	switch {
	case r.err == nil || !r.mayHaveRun || r.class == UnprovenRefusal:
	case ctx.Err() == nil:
		g.recordInterruption(c, r.instance, nil, c.subjects())
	case errors.Is(context.Cause(ctx), errDeadlineExceeded) || r.duration >= suspectSilence:
		g.recordInterruption(c, r.instance, nil, []quarantine.Fingerprint{c.fingerprint()})
	}
}

// recordStreamEnd records whether the relayed stream of an upstream ended normally. A
// run that had gone on after its first event did not crash its upstream because of a part
// of its prompt. An upstream that was not read, because the client is slow, may abort its
// response without a crash.
func (g *Gateway) recordStreamEnd(ctx context.Context, c *Call, instance *fleet.Instance, relay *streamRelay, err error) {
	if err != nil && ctx.Err() == nil && !errors.Is(err, errClientDisconnected) {
		g.Metrics.brokenAnswer(c.Service.Name, relay.framing, err)
	}
	switch {
	case err == nil:
		g.recordCompletion(c, time.Now())
		if relay.runEvents > 0 {
			g.recordSound(c)
		}
	case ctx.Err() != nil || errors.Is(err, errClientDisconnected):
		if relay.silence(time.Now()) >= suspectSilence {
			g.recordInterruption(c, instance, relay, []quarantine.Fingerprint{c.fingerprint()})
		}
	case relay.unreadTooLong():
		g.logInterruption(c, instance, relay)
	case relay.provedSound():
		g.recordInterruption(c, instance, relay, []quarantine.Fingerprint{c.fingerprint()})
	default:
		g.recordInterruption(c, instance, relay, c.subjects())
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
		g.Logger.Error("request suspended: upstreams crashed while they ran it", "subjects", s.Subjects,
			"crashed", s.Processes, "fleet_revision", snapshot.Revision)
		select {
		case g.crashDetector.newSuspensions <- s:
		default:
			g.Logger.Error("suspension not shared: too many wait to be written", "subjects", s.Subjects)
		}
	}
}

// Suspensions returns the channel of suspensions that this gateway decided on.
func (g *Gateway) Suspensions() <-chan quarantine.Suspension { return g.crashDetector.newSuspensions }

// Suspend refuses the requests that another gateway found to crash upstreams.
func (g *Gateway) Suspend(s quarantine.Suspension, now time.Time) {
	g.crashDetector.watchlist.AddSuspension(s, now)
}

// LiftSuspension lets the requests with a subject run again. It reports whether the
// subject was suspended or suspected.
func (g *Gateway) LiftSuspension(f quarantine.Fingerprint, now time.Time) bool {
	return g.crashDetector.watchlist.Lift(f, now)
}

// Suspended returns the suspensions that are in effect.
func (g *Gateway) Suspended(now time.Time) []quarantine.Suspension {
	return g.crashDetector.watchlist.Suspensions(now)
}
