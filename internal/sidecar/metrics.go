package sidecar

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// refusalKinds is the number of refusal kinds of the protocol.
const refusalKinds = int(wire.RefusalKind_REFUSAL_WRONG_ROLE) + 1

// refusalCounters counts refusals by kind.
type refusalCounters [refusalKinds]atomic.Int64

func (c *refusalCounters) add(kind wire.RefusalKind) {
	if kind < 0 || int(kind) >= refusalKinds {
		kind = wire.RefusalKind_REFUSAL_UNSPECIFIED
	}
	c[kind].Add(1)
}

// importCounters counts KV cache imports by their result.
type importCounters struct{ finished, failed, stalled, cancelled atomic.Int64 }

func (c *importCounters) add(err error, cancelled bool) {
	switch {
	case err == nil:
		c.finished.Add(1)
	case cancelled:
		c.cancelled.Add(1)
	case errors.Is(err, engine.ErrTimeout):
		c.stalled.Add(1)
	default:
		c.failed.Add(1)
	}
}

// sidecarCounters counts events that are exported as metrics but are not in the state dump.
type sidecarCounters struct {
	decodeGrants, prefillGrants     atomic.Int64
	decodeRefusals, prefillRefusals refusalCounters
	imports                         importCounters
}

// instruments are the metric instruments. One callback observes them all from a
// single State.
type instruments struct {
	slotsUsed, slotsLimit, chunksUsed, chunksLimit metric.Int64ObservableGauge
	queued, running, waiting, held                 metric.Int64ObservableGauge
	queuedCost                                     metric.Float64ObservableGauge
	grants, refusals, preemptions, transfers       metric.Int64ObservableCounter
	crashes, orphans, evictions                    metric.Int64ObservableCounter
	unusedTime                                     metric.Float64ObservableCounter
}

// Observe exports the state of the sidecar as metrics. No metric has a caller label.
func (s *Sidecar) Observe(m metric.Meter) error {
	i, observables, err := newInstruments(m)
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		st := s.State()
		i.observeCapacity(o, st)
		i.observeState(o, st)
		i.observeCounters(o, &s.counters)
		return nil
	}, observables...)
	return err
}

func newInstruments(m metric.Meter) (i instruments, observables []metric.Observable, err error) {
	gauges := []struct {
		target                  *metric.Int64ObservableGauge
		name, unit, description string
	}{
		{&i.slotsUsed, "slots.used", "{slot}", "Streams or prefills that the engine runs or has granted."},
		{&i.slotsLimit, "slots.limit", "{slot}", "Streams or prefills that the engine runs at once at most."},
		{&i.chunksUsed, "chunks.used", "{chunk}", "Chunks of engine memory in use."},
		{&i.chunksLimit, "chunks.limit", "{chunk}", "Chunks of engine memory."},
		{&i.queued, "queue.length", "{request}", "Requests that wait for a grant."},
		{&i.running, "transfers.running", "{transfer}", "Imports of KV cache that run."},
		{&i.waiting, "transfers.waiting", "{transfer}", "Imports of KV cache that wait for the link."},
		{&i.held, "prefill.held", "{output}", "Prefill outputs that wait to be fetched."},
	}
	counters := []struct {
		target                  *metric.Int64ObservableCounter
		name, unit, description string
	}{
		{&i.grants, "grants", "{request}", "Granted requests."},
		{&i.refusals, "refusals", "{request}", "Refused requests by kind; they did not run."},
		{&i.preemptions, "preemptions", "{request}", "Streams that were paused to free memory."},
		{&i.transfers, "transfers", "{transfer}", "Ended imports of KV cache by result."},
		{&i.crashes, "engine.crashes", "{crash}", "Crashes of the engine."},
		{&i.orphans, "orphans.cancelled", "{request}", "Requests cancelled because the engine ran them for nobody."},
		{&i.evictions, "prefill.evictions", "{output}", "Prefill outputs that the engine evicted before they were fetched."},
	}
	const prefix = "fescueslip.sidecar."
	var errs []error
	for _, g := range gauges {
		x, err := m.Int64ObservableGauge(prefix+g.name, metric.WithUnit(g.unit), metric.WithDescription(g.description))
		*g.target, observables, errs = x, append(observables, x), append(errs, err)
	}
	for _, c := range counters {
		x, err := m.Int64ObservableCounter(prefix+c.name, metric.WithUnit(c.unit), metric.WithDescription(c.description))
		*c.target, observables, errs = x, append(observables, x), append(errs, err)
	}
	i.queuedCost, err = m.Float64ObservableGauge(prefix+"queue.cost", metric.WithUnit("{token}"),
		metric.WithDescription("Cost of the requests that wait for a grant."))
	errs = append(errs, err)
	i.unusedTime, err = m.Float64ObservableCounter(prefix+"slots.unused_time", metric.WithUnit("s"),
		metric.WithDescription("Time that granted slots waited beyond the announced prefill time."))
	errs = append(errs, err)
	return i, append(observables, i.queuedCost, i.unusedTime), errors.Join(errs...)
}

func roleAttribute(r engine.Role, more ...attribute.KeyValue) metric.MeasurementOption {
	return metric.WithAttributes(append(more, attribute.String("role", string(r)))...)
}

// observeCapacity reports values for the engine's current role only, so that sums over
// roles count no engine twice. It reports none before the engine was reached,
// because the role is unknown then.
func (i *instruments) observeCapacity(o metric.Observer, st State) {
	label := roleAttribute(st.Role)
	d, p := st.Decode, st.Prefill
	switch st.Role {
	case engine.RoleDecode:
		o.ObserveInt64(i.slotsUsed, int64(d.SlotsUsed), label)
		o.ObserveInt64(i.slotsLimit, int64(d.Slots), label)
		o.ObserveInt64(i.chunksUsed, int64(d.ChunksUsed), label)
	case engine.RolePrefill:
		o.ObserveInt64(i.slotsUsed, int64(p.Running), label)
		o.ObserveInt64(i.slotsLimit, int64(p.Concurrency), label)
		o.ObserveInt64(i.chunksUsed, int64(d.Chunks-p.FreeChunks), label)
	default:
		return
	}
	o.ObserveInt64(i.chunksLimit, int64(d.Chunks), label)
}

func (i *instruments) observeState(o metric.Observer, st State) {
	decode, prefill := roleAttribute(engine.RoleDecode), roleAttribute(engine.RolePrefill)
	o.ObserveInt64(i.queued, int64(st.Decode.Queued), decode)
	o.ObserveInt64(i.queued, int64(st.Prefill.Queued), prefill)
	o.ObserveFloat64(i.queuedCost, st.Decode.QueuedCost, decode)
	o.ObserveFloat64(i.queuedCost, st.Prefill.QueuedCost, prefill)
	o.ObserveInt64(i.running, int64(st.Transfers.Active))
	o.ObserveInt64(i.waiting, int64(st.Transfers.Waiting))
	o.ObserveInt64(i.held, int64(st.Prefill.Held))
	o.ObserveInt64(i.preemptions, int64(st.Decode.Preemptions))
	o.ObserveInt64(i.crashes, int64(st.Crashes))
	o.ObserveInt64(i.orphans, int64(st.OrphansCancelled))
	o.ObserveInt64(i.evictions, int64(st.Prefill.Evicted))
	o.ObserveFloat64(i.unusedTime, float64(st.Decode.UnusedSlotMS)/1000)
}

func (i *instruments) observeCounters(o metric.Observer, c *sidecarCounters) {
	o.ObserveInt64(i.grants, c.decodeGrants.Load(), roleAttribute(engine.RoleDecode))
	o.ObserveInt64(i.grants, c.prefillGrants.Load(), roleAttribute(engine.RolePrefill))
	for k := range refusalKinds {
		name := strings.ToLower(strings.TrimPrefix(wire.RefusalKind(k).String(), "REFUSAL_"))
		kind := attribute.String("kind", name)
		o.ObserveInt64(i.refusals, c.decodeRefusals[k].Load(), roleAttribute(engine.RoleDecode, kind))
		o.ObserveInt64(i.refusals, c.prefillRefusals[k].Load(), roleAttribute(engine.RolePrefill, kind))
	}
	results := []struct {
		name  string
		count *atomic.Int64
	}{{"finished", &c.imports.finished}, {"failed", &c.imports.failed}, {"stalled", &c.imports.stalled}, {"cancelled", &c.imports.cancelled}}
	for _, r := range results {
		o.ObserveInt64(i.transfers, r.count.Load(), metric.WithAttributes(attribute.String("result", r.name)))
	}
}
