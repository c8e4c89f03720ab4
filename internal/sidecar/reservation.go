package sidecar

import (
	"slices"
	"time"
)

// startGrace is added to the announced prefill time; after both have passed, a
// granted slot without a Start frame counts as unused.
const startGrace = 500 * time.Millisecond

// Capacity is the number of slots and memory chunks of an engine.
type Capacity struct {
	Slots       int
	Chunks      int
	ChunkTokens int
}

// reservationState is the stage of a reservation.
type reservationState int

const (
	// anticipated reservations are granted before their slot or chunks are free.
	anticipated reservationState = iota
	// firm reservations own a slot and chunks that the engine does not use yet.
	firm
	// started reservations may hold engine memory, so their slot and chunks cannot
	// be taken back without a cancel.
	started
	// orphaned reservations account for a request in the engine that has no stream.
	orphaned
)

// Reservation is the reservation of a slot and of memory chunks for one request.
type Reservation struct {
	ID          string
	Caller      string
	Share       float64
	Chunks      int
	Tokens      int // tokens in memory: the prompt and the output so far
	Predicted   int // output tokens still expected; zero or negative once the prediction is exceeded
	PrefillTime time.Duration

	state          reservationState
	startRequested bool // Start was called while the reservation was anticipated
	pendingChunks  int  // chunks that the reservation needs and gets as soon as they are free
	preempting     bool // selected as a victim; its memory is being freed
	seq            uint64
	grantedAt      time.Duration
	firmAt         time.Duration
}

// Reservations is the aggregate that owns the slots and chunks of one decode
// engine. The firm and started reservations together never exceed the capacity.
// It is not safe for concurrent use. Times are durations since an arbitrary origin.
type Reservations struct {
	capacity   Capacity
	list       []*Reservation // in order of grant
	usedSlots  int
	usedChunks int
	seq        uint64
	// UnusedTime is how long firm reservations waited for Start beyond the
	// announced prefill time and startGrace, in total.
	UnusedTime time.Duration
	// Preemptions counts the streams that were preempted to free memory.
	Preemptions int
}

// NewReservations returns Reservations for an engine without requests.
func NewReservations(c Capacity) *Reservations { return &Reservations{capacity: c} }

// SetCapacity sets the capacity of the engine, which may differ after a restart.
func (r *Reservations) SetCapacity(c Capacity) { r.capacity = c }

// Capacity returns the capacity of the engine.
func (r *Reservations) Capacity() Capacity { return r.capacity }

// ChunksFor returns the number of chunks that the given number of tokens occupies.
func (r *Reservations) ChunksFor(tokens int) int {
	if r.capacity.ChunkTokens <= 0 {
		return 0
	}
	return max(1, (tokens+r.capacity.ChunkTokens-1)/r.capacity.ChunkTokens)
}

// TooLarge reports whether the given number of tokens exceeds an empty engine.
func (r *Reservations) TooLarge(tokens int) bool { return r.ChunksFor(tokens) > r.capacity.Chunks }

// Free returns the slots and chunks that no reservation owns.
func (r *Reservations) Free() (slots, chunks int) {
	return r.capacity.Slots - r.usedSlots, r.capacity.Chunks - r.usedChunks
}

// Used returns the slots and chunks that reservations own.
func (r *Reservations) Used() (slots, chunks int) { return r.usedSlots, r.usedChunks }

// Promised returns the slots and chunks that anticipated reservations and growing
// streams wait for. These are served before any new reservation.
func (r *Reservations) Promised() (slots, chunks int) {
	for _, res := range r.list {
		chunks += res.pendingChunks
		if res.state == anticipated {
			slots++
			chunks += res.Chunks
		}
	}
	return slots, chunks
}

// FitsNow reports whether a new reservation of this size would be firm at once.
func (r *Reservations) FitsNow(chunks int) bool {
	slots, free := r.Free()
	promisedSlots, promisedChunks := r.Promised()
	return slots-promisedSlots >= 1 && free-promisedChunks >= chunks
}

// Grant adds a reservation. It is firm if it fits now and anticipated otherwise.
// The caller decides beforehand whether to allow an anticipated one.
func (r *Reservations) Grant(now time.Duration, res *Reservation) (isFirm bool) {
	isFirm = r.FitsNow(res.Chunks)
	r.seq++
	res.seq = r.seq
	res.state = anticipated
	res.grantedAt = now
	r.list = append(r.list, res)
	if isFirm {
		r.makeFirm(now, res)
	}
	return isFirm
}

// makeFirm gives a reservation its slot and memory. It is started if its start was
// requested before.
func (r *Reservations) makeFirm(now time.Duration, res *Reservation) {
	res.state = firm
	res.firmAt = now
	r.usedSlots++
	r.usedChunks += res.Chunks
	if res.startRequested {
		res.state = started
	}
}

// Start requests the use of a reservation, for the given number of tokens in memory
// and of predicted further output. It reports whether the engine may be used at
// once. If not, Promote returns the reservation as soon as the engine may be used.
func (r *Reservations) Start(now time.Duration, res *Reservation, tokens, predicted int) bool {
	res.Tokens, res.Predicted = tokens, predicted
	missing := max(0, r.ChunksFor(tokens+predicted)-res.Chunks)
	switch res.state {
	case started:
		return true
	case firm:
		r.addUnusedTime(now, res)
		res.state = started
		r.grow(res, missing)
		return true
	default:
		res.startRequested = true
		res.Chunks += missing
		return false
	}
}

// grow adds the chunks that are free now and records the rest as pending.
func (r *Reservations) grow(res *Reservation, chunks int) {
	_, free := r.Free()
	available := max(0, min(free, chunks))
	res.Chunks += available
	r.usedChunks += available
	res.pendingChunks += chunks - available
}

// RecordHeld enlarges a reservation to the memory that the engine reports to hold
// for it.
func (r *Reservations) RecordHeld(res *Reservation, heldTokens int) {
	if missing := r.ChunksFor(heldTokens) - res.Chunks - res.pendingChunks; missing > 0 {
		r.grow(res, missing)
	}
}

// Advance records that a stream has the given number of tokens in memory. If
// lookahead further tokens would exceed its chunks, the stream gets another chunk.
// If none is free, Advance takes it from a firm reservation, or else returns a
// victim whose memory the caller must have freed. The victim may be res itself.
func (r *Reservations) Advance(now time.Duration, res *Reservation, tokens, lookahead int) (victim *Reservation) {
	res.Predicted -= tokens - res.Tokens
	res.Tokens = tokens
	if res.preempting || r.ChunksFor(tokens+lookahead) <= res.Chunks+res.pendingChunks {
		return nil
	}
	r.grow(res, 1)
	if res.pendingChunks == 0 {
		return nil
	}
	if idle := r.mostOverShare(func(candidate *Reservation) bool { return candidate.state == firm }); idle != nil {
		r.demote(now, idle)
		r.growPending()
		return nil
	}
	return r.selectVictim()
}

// demote turns a firm reservation, which the engine does not use yet, into an
// anticipated one.
func (r *Reservations) demote(now time.Duration, res *Reservation) {
	r.addUnusedTime(now, res)
	res.state = anticipated
	r.usedSlots--
	r.usedChunks -= res.Chunks
}

// selectVictim returns the most recently granted stream of the caller furthest over
// its share. It returns nil if there is only one stream, or if the streams that
// are being preempted free enough chunks for all pending growth.
func (r *Reservations) selectVictim() *Reservation {
	needed, beingFreed, running := 0, 0, 0
	for _, res := range r.list {
		needed += res.pendingChunks
		switch {
		case res.preempting:
			beingFreed += res.Chunks
		case res.state == started:
			running++
		}
	}
	if beingFreed >= needed || running < 2 {
		return nil
	}
	victim := r.mostOverShare(func(candidate *Reservation) bool {
		return candidate.state == started && !candidate.preempting
	})
	victim.preempting = true
	victim.pendingChunks = 0
	r.Preemptions++
	return victim
}

// mostOverShare returns, among the eligible reservations, the most recently granted
// one of the caller that holds the most chunks per unit of its share.
func (r *Reservations) mostOverShare(eligible func(*Reservation) bool) *Reservation {
	chunksByCaller := make(map[string]int)
	for _, res := range r.list {
		if res.state == firm || res.state == started {
			chunksByCaller[res.Caller] += res.Chunks
		}
	}
	chunksPerShare := func(res *Reservation) float64 { return float64(chunksByCaller[res.Caller]) / positiveShare(res.Share) }
	var best *Reservation
	for _, res := range r.list {
		if eligible(res) && (best == nil || chunksPerShare(res) >= chunksPerShare(best)) {
			best = res
		}
	}
	return best
}

// positiveShare returns the share, or 1 if it is not positive.
func positiveShare(share float64) float64 {
	if share > 0 {
		return share
	}
	return 1
}

// count returns the number of reservations in a state.
func (r *Reservations) count(state reservationState) int {
	n := 0
	for _, res := range r.list {
		if res.state == state {
			n++
		}
	}
	return n
}

// Release removes a reservation and frees its slot and chunks. The caller must call
// Promote afterwards.
func (r *Reservations) Release(now time.Duration, res *Reservation) {
	i := slices.Index(r.list, res)
	if i < 0 {
		return
	}
	r.list = slices.Delete(r.list, i, i+1)
	if res.state == anticipated {
		return
	}
	if res.state == firm {
		r.addUnusedTime(now, res)
	}
	r.usedSlots--
	r.usedChunks -= res.Chunks
}

// Promote assigns free slots and chunks: first to growing streams, then to
// anticipated reservations for which Start was called, then to the other
// anticipated ones, each in order of grant. It returns the reservations that may
// use the engine now.
func (r *Reservations) Promote(now time.Duration) (ready []*Reservation) {
	r.growPending()
	for _, startRequested := range []bool{true, false} {
		for _, res := range r.list {
			if res.state != anticipated || res.startRequested != startRequested {
				continue
			}
			if slots, chunks := r.Free(); slots < 1 || chunks < res.Chunks {
				return ready
			}
			r.makeFirm(now, res)
			if res.state == started {
				ready = append(ready, res)
			}
		}
	}
	return ready
}

// growPending tries again to grow the reservations whose growth is pending.
func (r *Reservations) growPending() {
	for _, res := range r.list {
		if res.pendingChunks > 0 {
			pending := res.pendingChunks
			res.pendingChunks = 0
			r.grow(res, pending)
		}
	}
}

// AddOrphan accounts for the slot and the memory of a request that is in the engine
// but has no stream, until Release.
func (r *Reservations) AddOrphan(id string, tokens int) *Reservation {
	res := &Reservation{ID: id, Chunks: r.ChunksFor(tokens), state: orphaned}
	r.list = append(r.list, res)
	r.usedSlots++
	r.usedChunks += res.Chunks
	return res
}

func (r *Reservations) addUnusedTime(now time.Duration, res *Reservation) {
	r.UnusedTime += max(0, now-res.firmAt-res.PrefillTime-startGrace)
}
