package ledger

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// RegisterMetrics registers the metrics of the ledger. No metric has a label for
// the caller.
func (l *Ledger) RegisterMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("fescueslip.ledger.calls", metric.WithUnit("{request}"),
		metric.WithDescription("Keyed calls by what the ledger did with them."),
		metric.WithInt64Callback(l.observeCalls))
	_, writeErr := m.Int64ObservableCounter("fescueslip.ledger.writes", metric.WithUnit("{write}"),
		metric.WithDescription("Writes that this process sent to the key-value service."),
		metric.WithInt64Callback(telemetry.Int64Callback(l.counters.writes.Load)))
	_, unsettledErr := m.Int64ObservableGauge("fescueslip.ledger.unsettled", metric.WithUnit("{intent}"),
		metric.WithDescription("Settlements that wait for their write."),
		metric.WithInt64Callback(telemetry.Int64Callback(func() int64 { return int64(l.outbox.size()) })))
	return errors.Join(err, writeErr, unsettledErr)
}

func (l *Ledger) observeCalls(_ context.Context, o metric.Int64Observer) error {
	results := []struct {
		name  string
		count int64
	}{
		{"committed", l.counters.commits.Load()},
		{"replayed", l.counters.replays.Load()},
		{"conflict", l.counters.conflicts.Load()},
		{"refused", l.counters.refused.Load()},
	}
	for _, r := range results {
		o.Observe(r.count, metric.WithAttributes(attribute.String("result", r.name)))
	}
	return nil
}
