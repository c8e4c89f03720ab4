package plain

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// callResult classifies how a call ended for its caller.
type callResult int

const (
	// callAnswered is a response from the service, whatever its status, or from
	// the ledger.
	callAnswered callResult = iota
	// callNotRun, callRan and callUnknown are calls that ended with an error, by
	// its outcome.
	callNotRun
	callRan
	callUnknown
	// callTruncated is a response that broke off before its end.
	callTruncated
	callResultCount // number of results
)

// callResultNames are the values of the metric label "result". For faults, they
// equal the values of the Fescueslip-Outcome header.
var callResultNames = [callResultCount]string{"answered", string(fault.NotRun), string(fault.Ran), string(fault.Unknown), "broken"}

func callResultOf(f *fault.Error) callResult {
	if f == nil {
		return callAnswered
	}
	switch f.Outcome {
	case fault.NotRun:
		return callNotRun
	case fault.Ran:
		return callRan
	}
	return callUnknown
}

// routerCounters counts calls on configured routes.
type routerCounters struct {
	repeatable, nonRepeatable               [callResultCount]atomic.Int64
	retriesRepeatable, retriesNonRepeatable atomic.Int64
	hedges                                  atomic.Int64
}

func (c *routerCounters) recordResult(repeatable bool, r callResult) {
	if repeatable {
		c.repeatable[r].Add(1)
		return
	}
	c.nonRepeatable[r].Add(1)
}

var (
	labelRepeatable    = attribute.String("route_kind", "repeatable")
	labelNonRepeatable = attribute.String("route_kind", "non_repeatable")
)

// RegisterMetrics registers the counters of the router. No metric has a label for
// the caller.
func (rt *Router) RegisterMetrics(m metric.Meter) error {
	c := &rt.counters
	_, err := m.Int64ObservableCounter("fescueslip.plain.calls", metric.WithUnit("{request}"),
		metric.WithDescription("Plain calls by kind of route and result."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for r, name := range callResultNames {
				result := attribute.String("result", name)
				o.Observe(c.repeatable[r].Load(), metric.WithAttributes(labelRepeatable, result))
				o.Observe(c.nonRepeatable[r].Load(), metric.WithAttributes(labelNonRepeatable, result))
			}
			return nil
		}))
	_, retryErr := m.Int64ObservableCounter("fescueslip.plain.retries", metric.WithUnit("{attempt}"),
		metric.WithDescription("Further attempts after a failed one; of non-repeatable calls only after proof that they had not run."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(c.retriesRepeatable.Load(), metric.WithAttributes(labelRepeatable))
			o.Observe(c.retriesNonRepeatable.Load(), metric.WithAttributes(labelNonRepeatable))
			return nil
		}))
	_, hedgeErr := m.Int64ObservableCounter("fescueslip.plain.hedges", metric.WithUnit("{attempt}"),
		metric.WithDescription("Further attempts beside a slow one."),
		metric.WithInt64Callback(telemetry.Int64Callback(c.hedges.Load)))
	return errors.Join(err, retryErr, hedgeErr)
}

var (
	refusedReasons = []reason{reasonLeaving, reasonMisdirected, reasonOverloaded, reasonUnreachable}
	lostReasons    = []reason{reasonConnectionBroken, reasonIdleTimeout}
)

// RegisterMetrics registers the metrics of the sidecar. No metric has a label for
// the caller.
func (s *Sidecar) RegisterMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("fescueslip.service.submitted", metric.WithUnit("{request}"),
		metric.WithDescription("Calls of which the service may have seen a part."),
		metric.WithInt64Callback(telemetry.Int64Callback(s.counters.submitted.Load)))
	_, runErr := m.Int64ObservableGauge("fescueslip.service.running", metric.WithUnit("{request}"),
		metric.WithDescription("Calls in progress."),
		metric.WithInt64Callback(telemetry.Int64Callback(s.counters.running.Load)))
	_, refusedErr := m.Int64ObservableCounter("fescueslip.service.refused", metric.WithUnit("{request}"),
		metric.WithDescription("Refused calls by reason; the service did not see them."),
		metric.WithInt64Callback(s.observeReasons(refusedReasons)))
	_, lostErr := m.Int64ObservableCounter("fescueslip.service.lost", metric.WithUnit("{request}"),
		metric.WithDescription("Submitted calls without an answer by reason; their outcome is unknown."),
		metric.WithInt64Callback(s.observeReasons(lostReasons)))
	return errors.Join(err, runErr, refusedErr, lostErr)
}

func (s *Sidecar) observeReasons(reasons []reason) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		s.counters.mu.Lock()
		defer s.counters.mu.Unlock()
		for _, r := range reasons {
			o.Observe(s.counters.reasons[r], metric.WithAttributes(attribute.String("reason", string(r))))
		}
		return nil
	}
}
