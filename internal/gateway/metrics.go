package gateway

import (
	"context"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fault"
)

// Metrics holds the counters and histograms of a gateway.
type Metrics struct {
	requests  metric.Int64Counter
	refusals  metric.Int64Counter
	duration  metric.Float64Histogram
	firstByte metric.Float64Histogram
	reserve   metric.Float64Histogram
	// eventInterval and prefillRate are the estimated speeds of engines, by service.
	eventInterval metric.Float64Gauge
	prefillRate   metric.Float64Gauge
	// interruptions counts runs that an upstream began and did not complete.
	interruptions metric.Int64Counter
	// brokenAnswers counts responses of upstreams that ended before they were whole.
	brokenAnswers metric.Int64Counter
	// quotaUnits counts what accounts used of their quotas.
	quotaUnits metric.Float64UpDownCounter
	accounts   accountLabels
	// stalledClients counts clients that were disconnected because they took nothing, and
	// heldBack for how long upstreams waited for slow clients.
	stalledClients metric.Int64Counter
	heldBack       metric.Float64Counter
	// overloadRefusals counts requests that were refused because the upstreams are full.
	overloadRefusals metric.Int64Counter
	// shutdownRefusals counts requests that were refused because the gateway stops.
	shutdownRefusals metric.Int64Counter
}

// NewMetrics registers the instruments of a gateway with the meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	out := &Metrics{}
	var errs [14]error
	out.requests, errs[0] = m.Int64Counter("fescueslip_gateway_requests",
		metric.WithDescription("Requests that ended, by kind of route and status class."))
	out.refusals, errs[1] = m.Int64Counter("fescueslip_gateway_refusals",
		metric.WithDescription("Requests that were refused or failed by the gateway itself, by kind of error and account."))
	out.duration, errs[2] = m.Float64Histogram("fescueslip_gateway_request_seconds",
		metric.WithDescription("Time from the request to the end of its answer."), metric.WithUnit("s"))
	out.firstByte, errs[3] = m.Float64Histogram("fescueslip_gateway_first_byte_seconds",
		metric.WithDescription("Time from the request to the first byte of its answer."), metric.WithUnit("s"))
	out.reserve, errs[4] = m.Float64Histogram("fescueslip_gateway_reserve_seconds",
		metric.WithDescription("Time that a model request waited for a slot and memory."), metric.WithUnit("s"))
	out.eventInterval, errs[5] = m.Float64Gauge("fescueslip_gateway_event_interval_seconds",
		metric.WithDescription("Estimated time between two events of a stream, by service."), metric.WithUnit("s"))
	out.prefillRate, errs[6] = m.Float64Gauge("fescueslip_gateway_prefill_tokens_per_second",
		metric.WithDescription("Estimated prompt tokens that an engine processes per second, by service."))
	out.interruptions, errs[7] = m.Int64Counter("fescueslip_gateway_interrupted_runs",
		metric.WithDescription("Runs that an upstream may have begun and did not complete, by service."))
	out.brokenAnswers, errs[8] = m.Int64Counter("fescueslip_gateway_broken_answers",
		metric.WithDescription("Responses of upstreams that began and ended before they were whole, by service, framing and cause."))
	out.quotaUnits, errs[9] = m.Float64UpDownCounter("fescueslip_gateway_quota_units",
		metric.WithDescription("Units of quotas that admitted requests used, by account."))
	out.stalledClients, errs[10] = m.Int64Counter("fescueslip_gateway_stalled_clients",
		metric.WithDescription("Clients that were disconnected because they took nothing of their response."))
	out.heldBack, errs[11] = m.Float64Counter("fescueslip_gateway_backpressure_seconds",
		metric.WithDescription("Time for which streams of upstreams were not read because their clients are slow."), metric.WithUnit("s"))
	out.overloadRefusals, errs[12] = m.Int64Counter("fescueslip_gateway_overload_refusals",
		metric.WithDescription("Requests that were refused because the upstreams are full, by service, reason and priority. Displaced requests have the reason displace."))
	out.shutdownRefusals, errs[13] = m.Int64Counter("fescueslip_gateway_shutdown_refusals",
		metric.WithDescription("Requests that were refused because the gateway stops, by what they waited for."))
	return out, errors.Join(errs[:]...)
}

// speed records the estimated speed of a service's engines.
func (m *Metrics) speed(s ServiceSpeed) {
	if m == nil {
		return
	}
	service := metric.WithAttributes(attribute.String("service", s.Service))
	m.eventInterval.Record(context.Background(), s.EventInterval.Seconds(), service)
	m.prefillRate.Record(context.Background(), s.PrefillRate, service)
}

// quotaUsed adds to the units that an account used of its quota.
func (m *Metrics) quotaUsed(account string, units float64) {
	if m == nil {
		return
	}
	m.quotaUnits.Add(context.Background(), units, metric.WithAttributes(attribute.String("account", m.accounts.label(account))))
}

// clientStalled counts a client that was disconnected because it took nothing.
func (m *Metrics) clientStalled() {
	if m == nil {
		return
	}
	m.stalledClients.Add(context.Background(), 1)
}

// waitedForClient adds to the time for which upstreams were not read.
func (m *Metrics) waitedForClient(d time.Duration) {
	if m == nil || d == 0 {
		return
	}
	m.heldBack.Add(context.Background(), d.Seconds())
}

// overloadRefused counts a request that was refused because the upstreams are full.
func (m *Metrics) overloadRefused(c *Call, reason string) {
	if m == nil {
		return
	}
	m.overloadRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.Service.Name),
		attribute.String("reason", reason), attribute.Int("priority", c.Priority)))
}

// shutdownRefused counts a request that was refused because the gateway stops.
func (m *Metrics) shutdownRefused(place waitingPlace) {
	if m == nil {
		return
	}
	m.shutdownRefusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("waited_for", string(place))))
}

// interrupted counts a run that an upstream of the service did not complete.
func (m *Metrics) interrupted(service string) {
	if m == nil {
		return
	}
	m.interruptions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// brokenAnswer counts a response that began and ended before it was whole.
func (m *Metrics) brokenAnswer(service string, framing exchange.Framing, cause error) {
	if m == nil {
		return
	}
	m.brokenAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service),
		attribute.String("framing", framing.String()), attribute.String("cause", breakCause(cause))))
}

// breakCause returns the class of the error that ended a response too early.
func breakCause(err error) string {
	switch {
	case errors.Is(err, errStreamTruncated):
		return "truncated"
	case errors.Is(err, errUpstreamGone):
		return "upstream_gone"
	case errors.Is(err, errEventTooLong):
		return "event_too_long"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	default:
		return "other"
	}
}

// refused counts a request that was refused or failed, by error kind and, if it has one, by
// account.
func (m *Metrics) refused(kind fault.Kind, account string) {
	if m == nil {
		return
	}
	attributes := []attribute.KeyValue{attribute.String("kind", string(kind))}
	if account != "" {
		attributes = append(attributes, attribute.String("account", m.accounts.label(account)))
	}
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attributes...))
}

// ended records the result and the durations of an accepted request.
func (m *Metrics) ended(c *Call, res outcome, now time.Time) {
	if m == nil {
		return
	}
	ctx := context.Background()
	kind := metric.WithAttributes(attribute.String("route_kind", c.Route.Kind.String()))
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("route_kind", c.Route.Kind.String()), attribute.String("status", statusClass(res))))
	m.duration.Record(ctx, now.Sub(c.Received).Seconds(), kind)
	if !res.firstByte.IsZero() {
		m.firstByte.Record(ctx, res.firstByte.Sub(c.Received).Seconds(), kind)
	}
	if c.Route.UsesModelEngines {
		m.reserve.Record(ctx, res.model.reserveTime.Seconds())
	}
	if res.err != nil {
		m.refused(res.err.Kind, accountName(c))
	}
}

// statusClass returns the class of the response status, such as "2xx", or "cut" if
// the client's connection had to be closed before the response was complete.
func statusClass(res outcome) string {
	if res.abortCause != nil {
		return "cut"
	}
	const classSize = 100
	return strconv.Itoa(res.status/classSize) + "xx"
}
