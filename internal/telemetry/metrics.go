package telemetry

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// meterName names the instrumentation scope of all metrics.
const meterName = "github.com/fescueslip/fescueslip"

// NewMeter returns a meter whose instruments are read from the registry.
func NewMeter() (metric.Meter, *prometheus.Registry, error) {
	reg := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, nil, errors.Wrap(err, "create metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return provider.Meter(meterName), reg, nil
}

// Int64Callback returns the callback of an instrument without labels that reads one value.
func Int64Callback(value func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
}
