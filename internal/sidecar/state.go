package sidecar

import (
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// State is a sidecar's part of the state dump. Sizes are in the units that the
// names say; a chunk is the engine's unit of memory.
type State struct {
	Upstream    string      `json:"upstream"`
	Incarnation uint64      `json:"incarnation"`
	Engine      EngineState `json:"engine"`
	BootID      string      `json:"boot_id"`
	Role        engine.Role `json:"role"`
	Leaving     bool        `json:"leaving"`
	Crashes     int         `json:"crashes"`
	Requests    int         `json:"requests"`
	Orphans     int         `json:"orphans"`
	Swept       int         `json:"orphans_cancelled"`
	// RememberedCrashers counts fingerprints that were in flight at a crash.
	RememberedCrashers int           `json:"remembered_crashers"`
	Decode             DecodeState   `json:"decode"`
	Prefill            PrefillState  `json:"prefill"`
	Transfers          TransferState `json:"transfers"`
	Orders             OrderState    `json:"orders"`
}

// DecodeState describes the reservations of a decode engine.
type DecodeState struct {
	Slots       int     `json:"slots"`
	SlotsUsed   int     `json:"slots_used"`
	Chunks      int     `json:"chunks"`
	ChunksUsed  int     `json:"chunks_used"`
	Running     int     `json:"running"`
	Granted     int     `json:"granted"`
	Anticipated int     `json:"anticipated"`
	Queued      int     `json:"queued"`
	QueuedCost  float64 `json:"queued_cost"`
	StepMS      float64 `json:"step_ms"`
	Preemptions int     `json:"preemptions"`
	// UnusedSlotMS is how long granted slots waited for a Start beyond the
	// announced prefill time.
	UnusedSlotMS int64 `json:"unused_slot_ms"`
}

// PrefillState describes the holds of a prefill engine.
type PrefillState struct {
	Running     int     `json:"running"`
	Held        int     `json:"held"`
	FreeChunks  int     `json:"free_chunks"`
	Queued      int     `json:"queued"`
	QueuedCost  float64 `json:"queued_cost"`
	TokensPerS  float64 `json:"tokens_per_s"`
	Evicted     int     `json:"evicted"`
	Concurrency int     `json:"concurrency"`
}

// State returns the state dump.
func (s *Sidecar) State() State {
	engineState, bootID, crashes := s.monitor.counts()
	st := s.desk.state()
	st.Upstream, st.Incarnation = s.o.Upstream, s.o.Incarnation
	st.Engine, st.BootID, st.Crashes = engineState, bootID, crashes
	st.Transfers = s.transfers.State()
	st.Orders = s.orders.State()
	return st
}

func (d *desk) state() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{
		Role:               d.role,
		Leaving:            d.leaving,
		Requests:           len(d.live),
		Orphans:            len(d.orphans),
		Swept:              d.swept,
		RememberedCrashers: d.suspects.Remembered(),
		Decode:             d.decode.state(),
		Prefill:            d.prefill.state(),
	}
}

func (q *decodeDesk) state() DecodeState {
	shape := q.res.Shape()
	slots, chunks := q.res.Used()
	return DecodeState{
		Slots:        shape.Slots,
		SlotsUsed:    slots,
		Chunks:       shape.Chunks,
		ChunksUsed:   chunks,
		Running:      q.res.count(started),
		Granted:      q.res.count(firm),
		Anticipated:  q.res.count(anticipated),
		Queued:       q.queue.Len(),
		QueuedCost:   q.queue.Cost(),
		StepMS:       q.step.Seconds() * 1000,
		Preemptions:  q.res.Preemptions,
		UnusedSlotMS: q.res.UnusedTime.Milliseconds(),
	}
}

func (p *prefillDesk) state() PrefillState {
	running, held, free := p.holds.Counts()
	return PrefillState{
		Running:     running,
		Held:        held,
		FreeChunks:  free,
		Queued:      p.queue.Len(),
		QueuedCost:  p.queue.Cost(),
		TokensPerS:  p.rate,
		Evicted:     p.holds.Evicted,
		Concurrency: p.holds.limit,
	}
}

// load returns the hints of the engine's present role.
func (d *desk) load() *wire.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == engine.RolePrefill {
		return d.prefillLoad()
	}
	return d.decodeLoad()
}

func (d *desk) decodeLoad() *wire.Load {
	q := &d.decode
	slots, chunks := q.res.Free()
	promisedSlots, promisedChunks := q.res.Promised()
	free := max(0, chunks-promisedChunks)
	l := &wire.Load{
		Running:    uint32(q.res.Shape().Slots - max(0, slots-promisedSlots)),
		Slots:      uint32(q.res.Shape().Slots),
		FreeChunks: uint32(free),
		Queued:     uint32(q.queue.Len()),
		QueuedCost: uint64(q.queue.Cost()),
		Leaving:    d.leaving,
	}
	if free == 0 || slots <= promisedSlots {
		l.WaitMs = d.decodeLoadWait()
	}
	return l
}

// decodeLoadWait is the wait of a small request behind the whole queue, in ms.
func (d *desk) decodeLoadWait() uint64 {
	q := &d.decode
	wait := millis(newForecasts(q.res, d.now(), q.step).in(1))
	if rate := d.decodeRate(); rate > 0 {
		wait += uint64(1000 * q.queue.Cost() / rate)
	}
	return wait
}

func (d *desk) prefillLoad() *wire.Load {
	p := &d.prefill
	running, _, free := p.holds.Counts()
	work := p.queue.Cost() + float64(p.holds.runningTokens())
	return &wire.Load{
		Running:    uint32(running),
		Slots:      uint32(p.holds.limit),
		FreeChunks: uint32(max(0, free)),
		Queued:     uint32(p.queue.Len()),
		QueuedCost: uint64(p.queue.Cost()),
		WaitMs:     uint64(1000 * work / p.rate),
		Leaving:    d.leaving,
	}
}
