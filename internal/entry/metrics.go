package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// Metrics are the instruments of an entry. None of them has a caller label,
// because 18,000 callers would produce as many series per instrument; the
// fairness command reports per caller.
type Metrics struct {
	requests   metric.Int64Counter
	refusals   metric.Int64Counter
	attempts   metric.Int64Counter
	tokens     metric.Int64Counter
	duration   metric.Float64Histogram
	firstToken metric.Float64Histogram
}

// NewMetrics creates the instruments with a meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	var out Metrics
	var errs []error
	var err error
	out.requests, err = m.Int64Counter("fescueslip.entry.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Model requests by result."))
	errs = append(errs, err)
	out.refusals, err = m.Int64Counter("fescueslip.entry.refusals", metric.WithUnit("{request}"),
		metric.WithDescription("Refused or failed requests by error kind."))
	errs = append(errs, err)
	out.attempts, err = m.Int64Counter("fescueslip.entry.attempts", metric.WithUnit("{attempt}"),
		metric.WithDescription("Attempts of model requests."))
	errs = append(errs, err)
	out.tokens, err = m.Int64Counter("fescueslip.entry.output_tokens", metric.WithUnit("{token}"),
		metric.WithDescription("Output tokens delivered to callers."))
	errs = append(errs, err)
	out.duration, err = m.Float64Histogram("fescueslip.entry.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from acceptance to the end of the answer."),
		metric.WithExplicitBucketBoundaries(0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 60, 120, 300, 600))
	errs = append(errs, err)
	out.firstToken, err = m.Float64Histogram("fescueslip.entry.first_token.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from acceptance to the first token."),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 20))
	errs = append(errs, err)
	return &out, errors.Join(errs...)
}

// recordError counts a request that was refused or failed, by error kind.
func (m *Metrics) recordError(ctx context.Context, kind fault.Kind) {
	if m == nil {
		return
	}
	m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("error.type", string(kind))))
}

// recordRequest records the result of a request that has ended, with its attempts,
// output tokens and duration.
func (m *Metrics) recordRequest(ctx context.Context, req *Request, err error) {
	if m == nil {
		return
	}
	result := "finished"
	switch {
	case err != nil && ctx.Err() != nil:
		result = "cancelled"
	case err != nil:
		result = "failed"
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
	m.attempts.Add(ctx, int64(req.Attempt()))
	m.tokens.Add(ctx, int64(req.Delivered()))
	m.duration.Record(ctx, time.Since(req.Accepted).Seconds())
}

// recordFirstToken records the time from acceptance to the first token.
func (m *Metrics) recordFirstToken(took time.Duration) {
	if m != nil {
		m.firstToken.Record(context.Background(), took.Seconds())
	}
}

// RegisterHintMetrics registers the counter of the bytes that received load
// hints occupy.
func (e *Entry) RegisterHintMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("fescueslip.control.hint.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the load hints received from sidecars."),
		metric.WithInt64Callback(telemetry.Int64Callback(e.hints.bytes.Load)))
	return err
}
