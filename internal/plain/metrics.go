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

// callResult is how a call ended for its caller.
type callResult int

const (
	// callAnswered is an answer of the service, whatever its status, or of the ledger.
	callAnswered callResult = iota
	callNotRun
	callRan
	callUnknown
	// callBroken is an answer that broke off half-way.
	callBroken
	callResults // their number
)

// callResultNames are the values of the label: for faults, those of the header
// Fescueslip-Outcome.
var callResultNames = [callResults]string{"answered", string(fault.NotRun), string(fault.Ran), string(fault.Unknown), "broken"}

func resultOf(f *fault.Error) callResult {
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

// routerCounts counts the calls on declared routes.
type routerCounts struct {
	repeatable, once               [callResults]atomic.Int64
	retriesRepeatable, retriesOnce atomic.Int64
	hedges                         atomic.Int64
}

func (c *routerCounts) ended(repeatable bool, r callResult) {
	if repeatable {
		c.repeatable[r].Add(1)
		return
	}
	c.once[r].Add(1)
}

var (
	labelRepeatable = attribute.String("route_kind", "repeatable")
	labelOnce       = attribute.String("route_kind", "non_repeatable")
)

// RegisterMetrics exports the counts of the router as metrics. None has a caller label.
func (p *Router) RegisterMetrics(m metric.Meter) error {
	c := &p.counts
	_, err := m.Int64ObservableCounter("fescueslip.plain.calls", metric.WithUnit("{request}"),
		metric.WithDescription("Plain calls by kind of route and result."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for r, name := range callResultNames {
				result := attribute.String("result", name)
				o.Observe(c.repeatable[r].Load(), metric.WithAttributes(labelRepeatable, result))
				o.Observe(c.once[r].Load(), metric.WithAttributes(labelOnce, result))
			}
			return nil
		}))
	_, retryErr := m.Int64ObservableCounter("fescueslip.plain.retries", metric.WithUnit("{attempt}"),
		metric.WithDescription("Further attempts after a failed one; of non-repeatable calls only after proof that they had not run."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(c.retriesRepeatable.Load(), metric.WithAttributes(labelRepeatable))
			o.Observe(c.retriesOnce.Load(), metric.WithAttributes(labelOnce))
			return nil
		}))
	_, hedgeErr := m.Int64ObservableCounter("fescueslip.plain.hedges", metric.WithUnit("{attempt}"),
		metric.WithDescription("Further attempts beside a slow one."),
		metric.WithInt64Callback(telemetry.Int64Callback(c.hedges.Load)))
	return errors.Join(err, retryErr, hedgeErr)
}

var (
	refusedReasons = []reason{reasonLeaving, reasonMisdirected, reasonOverloaded, reasonUnreachable}
	lostReasons    = []reason{reasonBroken, reasonSilent}
)

// RegisterMetrics exports the state of the sidecar as metrics. None has a caller label.
func (s *Sidecar) RegisterMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("fescueslip.service.submitted", metric.WithUnit("{request}"),
		metric.WithDescription("Calls of which the service may have seen a part."),
		metric.WithInt64Callback(telemetry.Int64Callback(s.counts.submitted.Load)))
	_, runErr := m.Int64ObservableGauge("fescueslip.service.running", metric.WithUnit("{request}"),
		metric.WithDescription("Calls in progress."),
		metric.WithInt64Callback(telemetry.Int64Callback(s.counts.running.Load)))
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
		s.counts.mu.Lock()
		defer s.counts.mu.Unlock()
		for _, why := range reasons {
			o.Observe(s.counts.reasons[why], metric.WithAttributes(attribute.String("reason", string(why))))
		}
		return nil
	}
}
