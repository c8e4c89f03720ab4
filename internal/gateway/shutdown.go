package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/shutdown"
)

// waitingPlace says what a call waited for when the planned stop of the gateway ended it.
type waitingPlace string

// Places of waiting.
const (
	// waitsForNothing marks a call that arrived when new ones were refused already.
	waitsForNothing waitingPlace = "none"
	waitsForBody    waitingPlace = "body"
	// waitsForEngine marks a model request without a reservation.
	waitsForEngine waitingPlace = "engine"
	// waitsForPlace marks a call to a plain service whose upstreams are full.
	waitsForPlace waitingPlace = "plain_queue"
	// waitsForUpstream marks a call that was not sent because its answer could not be
	// expected before the end of service.
	waitsForUpstream waitingPlace = "upstream"
	// waitsForService marks a call that no upstream had accepted at the end of service.
	waitsForService waitingPlace = "end_of_service"
)

// refuseForShutdown counts and logs that the planned stop ends a call which no upstream has
// run, and returns the error for its client. since is the time from which it waited.
func (g *Gateway) refuseForShutdown(c *Call, place waitingPlace, since, now time.Time) *fault.Error {
	g.Metrics.shutdownRefused(place)
	left := time.Duration(0)
	if end, begun := g.Shutdown.EndOfService(); begun {
		left = end.Sub(now)
	}
	g.Logger.Info("call refused because the instance shuts down", "request", c.ID, "waited_for", string(place), "account", accountName(c),
		"accepted", c.Received.Format(time.RFC3339Nano), "waited_ms", now.Sub(since).Milliseconds(), "service_left_ms", left.Milliseconds())
	return shuttingDownError()
}

// refuseAtEndOfService returns the error for a call that has ended with the error err. If no
// upstream has run it and the service has ended, another instance can serve it.
func (g *Gateway) refuseAtEndOfService(ctx context.Context, c *Call, err *fault.Error) *fault.Error {
	if err == nil || err.Outcome != fault.NotRun || err.Kind == fault.KindInstanceLeaving || !errors.Is(context.Cause(ctx), shutdown.ErrEnded) {
		return err
	}
	return g.refuseForShutdown(c, waitsForService, c.Received, time.Now()).WithCause(err)
}

// checkServiceTime returns an error if the call must not be sent to the upstream now, because
// its answer can't be expected before the end of service. That holds for calls that may be
// repeated too: being refused costs the client an attempt, and so does being broken off, but
// the latter also costs the upstream its work.
func (g *Gateway) checkServiceTime(c *Call, u *fleet.Upstream, now time.Time) *fault.Error {
	end, begun := g.Shutdown.EndOfService()
	if !begun {
		return nil
	}
	needed := c.outputTime
	if !c.usesModelEngines() {
		needed = c.expectedAnswerTime(time.Duration(u.Health(now).LatencyMs * float64(time.Millisecond)))
	}
	if now.Add(needed).Before(end) {
		return nil
	}
	return g.refuseForShutdown(c, waitsForUpstream, c.Received, now)
}

// timeout returns the time that an upstream may spend on the call.
func (g *Gateway) timeout(c *Call, now time.Time) time.Duration {
	end, _ := g.Shutdown.Earliest(c.Deadline, 0)
	return end.Sub(now)
}

// WaitingCalls counts the calls that wait in the queues of a gateway.
type WaitingCalls struct {
	// Model requests wait for a reservation, and Plain calls for a free place.
	Model, Plain int64
}

// WaitingCalls returns the number of calls that wait now.
func (g *Gateway) WaitingCalls() WaitingCalls {
	return WaitingCalls{Model: g.scheduler.waitingCount(), Plain: g.plainQueue.waiting.Load()}
}

// shutdownOutputFactor is for how many times the expected output a stream needs time before
// the end of service. Half of the outputs are longer than expected.
const shutdownOutputFactor = 2

// limitByShutdown moves the refusal up if the output would not end before the service. A
// request that is refused can be placed by another instance, with all of its time left, at
// the cost of one attempt of its client; a stream that is broken off has cost its engines
// the prompt and the output too.
func (w *waitingRequest) limitByShutdown(s *shutdown.Shutdown) {
	if t, earlier := s.Earliest(w.refuseAt, w.minDelay+shutdownOutputFactor*w.outputTime); earlier {
		w.refuseAt, w.leaving = t, true
	}
}

// limitByShutdown moves the refusal up if the answer can't be expected before the end of
// service.
func (w *plainCall) limitByShutdown(s *shutdown.Shutdown) {
	if t, earlier := s.Earliest(w.refuseAt, w.call.expectedAnswerTime(w.latency)); earlier {
		w.refuseAt, w.leaving = t, true
	}
}

// expectedAnswerTime returns the time within which a plain service should answer the call:
// the latency target of the route, or a part of its whole time if it has none, unless the
// upstreams take longer now.
func (c *Call) expectedAnswerTime(latency time.Duration) time.Duration {
	target := c.Route.LatencyTarget
	if target <= 0 {
		target = time.Duration(sendableShare * float64(c.Deadline.Sub(c.Received)))
	}
	return max(target, time.Duration(sendableLatencies*float64(latency)))
}
