package app

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/relay"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// controlTraffic counts the control traffic of a process since its start.
type controlTraffic struct {
	// SentBytes and ReceivedBytes count the calls to peers that this process made,
	// including headers. Calls that it answered are not counted; averaged over all
	// processes, they transfer as many bytes as the calls made.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
	Dials         int64 `json:"dials"`
	ListReads     int64 `json:"list_reads"`
	// KV is nil when the client of the key-value service does not count its calls.
	KV *kvservice.CallCounts `json:"kv,omitempty"`
}

// callCounter is implemented by clients of the key-value service that count their
// calls.
type callCounter interface{ Counts() kvservice.CallCounts }

func newControlTraffic(t *relay.Traffic, poller *membership.Poller, kv kvservice.KV) func() controlTraffic {
	return func() controlTraffic {
		traffic := controlTraffic{
			SentBytes:     t.Sent.Load(),
			ReceivedBytes: t.Received.Load(),
			Dials:         t.Dials.Load(),
			ListReads:     poller.Reads(),
		}
		if c, ok := kv.(callCounter); ok {
			counts := c.Counts()
			traffic.KV = &counts
		}
		return traffic
	}
}

// exportedMemberStates are the states that the metric fescueslip.members reports.
var exportedMemberStates = []membership.State{membership.Starting, membership.Serving, membership.Suspect, membership.Leaving}

// registerControlMetrics registers the metrics of the control traffic, of the calls
// to the key-value service, of the members and of the relay.
func registerControlMetrics(m metric.Meter, t *relay.Traffic, poller *membership.Poller, kv kvservice.KV, r *relay.Relay, table *membership.Table) error {
	return errors.Join(
		registerTrafficMetrics(m, t, poller),
		registerKVMetrics(m, kv),
		registerMemberMetrics(m, table),
		registerRelayMetrics(m, r),
	)
}

func registerTrafficMetrics(m metric.Meter, t *relay.Traffic, poller *membership.Poller) error {
	_, err := m.Int64ObservableCounter("fescueslip.control.peer.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the calls to peers that this process made, by direction."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(t.Sent.Load(), metric.WithAttributes(attribute.String("direction", "sent")))
			o.Observe(t.Received.Load(), metric.WithAttributes(attribute.String("direction", "received")))
			return nil
		}))
	_, dialErr := m.Int64ObservableCounter("fescueslip.control.peer.connections", metric.WithUnit("{connection}"),
		metric.WithDescription("Connections that this process opened for calls to peers."),
		metric.WithInt64Callback(telemetry.Int64Callback(t.Dials.Load)))
	_, listErr := m.Int64ObservableCounter("fescueslip.control.list.reads", metric.WithUnit("{call}"),
		metric.WithDescription("Reads of the platform's list of instances."),
		metric.WithInt64Callback(telemetry.Int64Callback(poller.Reads)))
	return errors.Join(err, dialErr, listErr)
}

func registerKVMetrics(m metric.Meter, kv kvservice.KV) error {
	counter, ok := kv.(callCounter)
	if !ok {
		return nil
	}
	_, err := m.Int64ObservableCounter("fescueslip.kv.calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the key-value service by kind and result: sent, failed, delayed or refused by the budget."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := counter.Counts()
			observeCallCounts(o, "read", counts.Reads)
			observeCallCounts(o, "write", counts.Writes)
			observeCallCounts(o, "watch", counts.Watches)
			return nil
		}))
	return err
}

func observeCallCounts(o metric.Int64Observer, kind string, c kvservice.Counts) {
	results := []struct {
		name  string
		count uint64
	}{{"sent", c.Calls}, {"failed", c.Failures}, {"delayed", c.Delayed}, {"refused", c.Refused}}
	for _, r := range results {
		o.Observe(int64(r.count), metric.WithAttributes(attribute.String("kind", kind), attribute.String("result", r.name)))
	}
}

func registerMemberMetrics(m metric.Meter, table *membership.Table) error {
	_, err := m.Int64ObservableGauge("fescueslip.members", metric.WithUnit("{member}"),
		metric.WithDescription("Known members by state."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := table.Counts()
			for _, state := range exportedMemberStates {
				o.Observe(int64(counts[state]), metric.WithAttributes(attribute.String("state", state.String())))
			}
			return nil
		}))
	return err
}

func registerRelayMetrics(m metric.Meter, r *relay.Relay) error {
	_, err := m.Int64ObservableGauge("fescueslip.config.revision", metric.WithUnit("{revision}"),
		metric.WithDescription("Revision of the configuration in effect."),
		metric.WithInt64Callback(telemetry.Int64Callback(func() int64 { return int64(r.State().Revision) })))
	_, ageErr := m.Float64ObservableGauge("fescueslip.config.revision.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the newest revision took effect here."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(r.State().RevisionAgeSeconds)
			return nil
		}))
	_, exchangeErr := m.Int64ObservableCounter("fescueslip.control.exchanges", metric.WithUnit("{call}"),
		metric.WithDescription("Exchanges with peers, begun by this process or answered."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			s := r.State()
			o.Observe(s.Exchanges, metric.WithAttributes(attribute.String("side", "begun")))
			o.Observe(s.Answers, metric.WithAttributes(attribute.String("side", "answered")))
			return nil
		}))
	return errors.Join(err, ageErr, exchangeErr)
}
