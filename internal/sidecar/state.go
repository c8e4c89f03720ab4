package sidecar

import (
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// State is the sidecar's part of the state dump. A chunk is the engine's unit of
// memory allocation.
type State struct {
	Upstream         string      `json:"upstream"`
	Incarnation      uint64      `json:"incarnation"`
	Engine           EngineState `json:"engine"`
	BootID           string      `json:"boot_id"`
	Role             engine.Role `json:"role"`
	Leaving          bool        `json:"leaving"`
	Crashes          int         `json:"crashes"`
	Requests         int         `json:"requests"`
	Orphans          int         `json:"orphans"`
	OrphansCancelled int         `json:"orphans_cancelled"`
	// RememberedCrashers is the number of remembered fingerprints that were in
	// flight at a crash.
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
	// UnusedSlotMS is how long granted slots waited for a Start frame beyond the
	// announced prefill time, in total.
	UnusedSlotMS int64 `json:"unused_slot_ms"`
}

// PrefillState describes the allocations of a prefill engine.
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
	engineState, bootID, crashes := s.monitor.snapshot()
	st := s.scheduler.state()
	st.Upstream, st.Incarnation = s.opts.Upstream, s.opts.Incarnation
	st.Engine, st.BootID, st.Crashes = engineState, bootID, crashes
	st.Transfers = s.transfers.State()
	st.Orders = s.orders.State()
	return st
}

func (s *scheduler) state() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Role:               s.role,
		Leaving:            s.leaving,
		Requests:           len(s.live),
		Orphans:            len(s.orphans),
		OrphansCancelled:   s.orphansCancelled,
		RememberedCrashers: s.suspects.Remembered(),
		Decode:             s.decode.state(),
		Prefill:            s.prefill.state(),
	}
}

func (d *decodeScheduler) state() DecodeState {
	capacity := d.reservations.Capacity()
	slots, chunks := d.reservations.Used()
	return DecodeState{
		Slots:        capacity.Slots,
		SlotsUsed:    slots,
		Chunks:       capacity.Chunks,
		ChunksUsed:   chunks,
		Running:      d.reservations.count(started),
		Granted:      d.reservations.count(firm),
		Anticipated:  d.reservations.count(anticipated),
		Queued:       d.queue.Len(),
		QueuedCost:   d.queue.Cost(),
		StepMS:       d.stepTime.Seconds() * 1000,
		Preemptions:  d.reservations.Preemptions,
		UnusedSlotMS: d.reservations.UnusedTime.Milliseconds(),
	}
}

func (p *prefillScheduler) state() PrefillState {
	running, held, free := p.allocations.Counts()
	return PrefillState{
		Running:     running,
		Held:        held,
		FreeChunks:  free,
		Queued:      p.queue.Len(),
		QueuedCost:  p.queue.Cost(),
		TokensPerS:  p.rate,
		Evicted:     p.allocations.Evicted,
		Concurrency: p.allocations.limit,
	}
}

// load returns the load hints for the engine's current role.
func (s *scheduler) load() *wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == engine.RolePrefill {
		return s.prefillLoad()
	}
	return s.decodeLoad()
}

// decodeLoad returns the load hint of a decode engine. The caller must hold s.mu.
func (s *scheduler) decodeLoad() *wire.Load {
	decode := &s.decode
	slots, chunks := decode.reservations.Free()
	promisedSlots, promisedChunks := decode.reservations.Promised()
	free := max(0, chunks-promisedChunks)
	load := &wire.Load{
		Running:    uint32(decode.reservations.Capacity().Slots - max(0, slots-promisedSlots)),
		Slots:      uint32(decode.reservations.Capacity().Slots),
		FreeChunks: uint32(free),
		Queued:     uint32(decode.queue.Len()),
		QueuedCost: uint64(decode.queue.Cost()),
		Leaving:    s.leaving,
	}
	if free == 0 || slots <= promisedSlots {
		load.WaitMs = s.decodeLoadWait()
	}
	return load
}

// decodeLoadWait estimates the wait of a small request behind the whole queue, in
// milliseconds.
func (s *scheduler) decodeLoadWait() uint64 {
	decode := &s.decode
	wait := toMillis(newCapacityForecast(decode.reservations, s.now(), decode.stepTime).timeUntilFree(1))
	if rate := s.decodeCostRate(); rate > 0 {
		wait += uint64(1000 * decode.queue.Cost() / rate)
	}
	return wait
}

// prefillLoad returns the load hint of a prefill engine. The caller must hold s.mu.
func (s *scheduler) prefillLoad() *wire.Load {
	p := &s.prefill
	running, _, free := p.allocations.Counts()
	work := p.queue.Cost() + float64(p.allocations.runningTokens())
	return &wire.Load{
		Running:    uint32(running),
		Slots:      uint32(p.allocations.limit),
		FreeChunks: uint32(max(0, free)),
		Queued:     uint32(p.queue.Len()),
		QueuedCost: uint64(p.queue.Cost()),
		WaitMs:     uint64(1000 * work / p.rate),
		Leaving:    s.leaving,
	}
}
