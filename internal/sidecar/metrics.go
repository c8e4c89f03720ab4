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

// refusalCounts counts refusals by kind.
type refusalCounts [refusalKinds]atomic.Int64

func (c *refusalCounts) add(kind wire.RefusalKind) {
	if kind < 0 || int(kind) >= refusalKinds {
		kind = wire.RefusalKind_REFUSAL_UNSPECIFIED
	}
	c[kind].Add(1)
}

// importCounts counts the KV cache imports by how they ended.
type importCounts struct{ finished, failed, stalled, cancelled atomic.Int64 }

func (c *importCounts) add(err error, cancelled bool) {
	switch {
	case err == nil:
		c.finished.Add(1)
	case cancelled:
		c.cancelled.Add(1)
	case errors.Is(err, engine.ErrSilent):
		c.stalled.Add(1)
	default:
		c.failed.Add(1)
	}
}

// sidecarCounts counts what the state dump does not show.
type sidecarCounts struct {
	decodeGrants, prefillGrants     atomic.Int64
	decodeRefusals, prefillRefusals refusalCounts
	imports                         importCounts
}

// instruments are read together, from one State.
type instruments struct {
	slotsUsed, slotsLimit, chunksUsed, chunksLimit metric.Int64ObservableGauge
	queued, running, waiting, held                 metric.Int64ObservableGauge
	queuedCost                                     metric.Float64ObservableGauge
	grants, refusals, preemptions, transfers       metric.Int64ObservableCounter
	crashes, orphans, evictions                    metric.Int64ObservableCounter
	unused                                         metric.Float64ObservableCounter
}

// Observe exports the state of the sidecar as metrics. None has a caller label.
func (s *Sidecar) Observe(m metric.Meter) error {
	i, all, err := newInstruments(m)
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		st := s.State()
		i.observeRoom(o, st)
		i.observeWork(o, st)
		i.observeCounts(o, &s.counts)
		return nil
	}, all...)
	return err
}

func newInstruments(m metric.Meter) (i instruments, all []metric.Observable, err error) {
	gauges := []struct {
		into              *metric.Int64ObservableGauge
		name, unit, about string
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
		into              *metric.Int64ObservableCounter
		name, unit, about string
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
		x, err := m.Int64ObservableGauge(prefix+g.name, metric.WithUnit(g.unit), metric.WithDescription(g.about))
		*g.into, all, errs = x, append(all, x), append(errs, err)
	}
	for _, c := range counters {
		x, err := m.Int64ObservableCounter(prefix+c.name, metric.WithUnit(c.unit), metric.WithDescription(c.about))
		*c.into, all, errs = x, append(all, x), append(errs, err)
	}
	i.queuedCost, err = m.Float64ObservableGauge(prefix+"queue.cost", metric.WithUnit("{token}"),
		metric.WithDescription("Cost of the requests that wait for a grant."))
	errs = append(errs, err)
	i.unused, err = m.Float64ObservableCounter(prefix+"slots.unused_time", metric.WithUnit("s"),
		metric.WithDescription("Time that granted slots waited beyond the announced prefill time."))
	errs = append(errs, err)
	return i, append(all, i.queuedCost, i.unused), errors.Join(errs...)
}

func roleLabel(r engine.Role, more ...attribute.KeyValue) metric.MeasurementOption {
	return metric.WithAttributes(append(more, attribute.String("role", string(r)))...)
}

// observeRoom reports the engine's present role only, so that sums over roles
// count no engine twice. Before the engine was reached it has none.
func (i *instruments) observeRoom(o metric.Observer, st State) {
	label := roleLabel(st.Role)
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

func (i *instruments) observeWork(o metric.Observer, st State) {
	decode, prefill := roleLabel(engine.RoleDecode), roleLabel(engine.RolePrefill)
	o.ObserveInt64(i.queued, int64(st.Decode.Queued), decode)
	o.ObserveInt64(i.queued, int64(st.Prefill.Queued), prefill)
	o.ObserveFloat64(i.queuedCost, st.Decode.QueuedCost, decode)
	o.ObserveFloat64(i.queuedCost, st.Prefill.QueuedCost, prefill)
	o.ObserveInt64(i.running, int64(st.Transfers.Active))
	o.ObserveInt64(i.waiting, int64(st.Transfers.Waiting))
	o.ObserveInt64(i.held, int64(st.Prefill.Held))
	o.ObserveInt64(i.preemptions, int64(st.Decode.Preemptions))
	o.ObserveInt64(i.crashes, int64(st.Crashes))
	o.ObserveInt64(i.orphans, int64(st.Swept))
	o.ObserveInt64(i.evictions, int64(st.Prefill.Evicted))
	o.ObserveFloat64(i.unused, float64(st.Decode.UnusedSlotMS)/1000)
}

func (i *instruments) observeCounts(o metric.Observer, c *sidecarCounts) {
	o.ObserveInt64(i.grants, c.decodeGrants.Load(), roleLabel(engine.RoleDecode))
	o.ObserveInt64(i.grants, c.prefillGrants.Load(), roleLabel(engine.RolePrefill))
	for k := range refusalKinds {
		name := strings.ToLower(strings.TrimPrefix(wire.RefusalKind(k).String(), "REFUSAL_"))
		kind := attribute.String("kind", name)
		o.ObserveInt64(i.refusals, c.decodeRefusals[k].Load(), roleLabel(engine.RoleDecode, kind))
		o.ObserveInt64(i.refusals, c.prefillRefusals[k].Load(), roleLabel(engine.RolePrefill, kind))
	}
	results := []struct {
		name  string
		count *atomic.Int64
	}{{"finished", &c.imports.finished}, {"failed", &c.imports.failed}, {"stalled", &c.imports.stalled}, {"cancelled", &c.imports.cancelled}}
	for _, r := range results {
		o.ObserveInt64(i.transfers, r.count.Load(), metric.WithAttributes(attribute.String("result", r.name)))
	}
}
