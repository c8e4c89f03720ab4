package gossip

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Reasons for dropping a message, used as metric label values.
const (
	reasonLimit   = "over the limit"
	reasonSend    = "not sent"
	reasonAddress = "bad address"
	reasonReceive = "not received"
	reasonFormat  = "not understood"
)

// Metrics holds the counters of a node. A nil *Metrics counts nothing.
type Metrics struct {
	bytes, drops metric.Int64Counter
}

// NewMetrics registers the instruments of a node with the meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	bytes, err := m.Int64Counter("fescueslip_gossip_sent_bytes",
		metric.WithDescription("Bytes of load messages sent to other gateways."), metric.WithUnit("By"))
	drops, dropsErr := m.Int64Counter("fescueslip_gossip_dropped",
		metric.WithDescription("Load messages that were not sent or not read, by reason."))
	return &Metrics{bytes: bytes, drops: drops}, errors.Join(err, dropsErr)
}

func (m *Metrics) sent(bytes int) {
	if m != nil {
		m.bytes.Add(context.Background(), int64(bytes))
	}
}

func (m *Metrics) dropped(reason string) {
	if m != nil {
		m.drops.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
}
