package sidecar

import (
	"slices"
	"time"
)

// startGrace is added to the announced prefill time before a slot that is
// granted and not started counts as unused.
const startGrace = 500 * time.Millisecond

// Capacity is what a decode engine can hold.
type Capacity struct {
	Slots       int
	Chunks      int
	ChunkTokens int
}

// reservationState tells how far a reservation has come.
type reservationState int

const (
	// anticipated reservations are granted before their slot or chunks are free.
	anticipated reservationState = iota
	// firm reservations own a slot and chunks, which the engine does not use yet.
	firm
	// started reservations may hold engine memory and keep their place.
	started
	// orphaned ones are held by the engine for a request that no stream renews.
	orphaned
)

// Reservation is one request's claim on a slot and on chunks of memory.
type Reservation struct {
	ID          string
	Caller      string
	Share       float64
	Chunks      int
	Tokens      int // in memory: prompt and output so far
	Predicted   int // output tokens still expected; not positive once exceeded
	PrefillTime time.Duration

	state          reservationState
	startRequested bool // Start arrived while the reservation was anticipated
	pendingChunks  int  // chunks to add as soon as some are free
	preempting     bool // chosen to free its memory
	seq            uint64
	grantedAt      time.Duration
	firmAt         time.Duration
}

// Reservations is the aggregate that owns the slots and chunks of one decode
// engine. The sum over firm and started reservations never exceeds the shape.
// It is not safe for concurrent use; times are durations since an arbitrary start.
type Reservations struct {
	capacity   Capacity
	list       []*Reservation // in order of grant
	usedSlots  int
	usedChunks int
	seq        uint64
	// UnusedTime is how long granted slots waited for a Start beyond the
	// announced prefill time.
	UnusedTime time.Duration
	// Preemptions counts streams that were paused to free memory.
	Preemptions int
}

// NewReservations returns an empty aggregate.
func NewReservations(c Capacity) *Reservations { return &Reservations{capacity: c} }

// SetCapacity sets what the engine can hold, for example after it restarted.
func (r *Reservations) SetCapacity(c Capacity) { r.capacity = c }

// Capacity returns what the engine can hold.
func (r *Reservations) Capacity() Capacity { return r.capacity }

// ChunksFor returns the chunks that this many tokens take.
func (r *Reservations) ChunksFor(tokens int) int {
	if r.capacity.ChunkTokens <= 0 {
		return 0
	}
	return max(1, (tokens+r.capacity.ChunkTokens-1)/r.capacity.ChunkTokens)
}

// TooLarge reports whether this many tokens do not fit even in an empty engine.
func (r *Reservations) TooLarge(tokens int) bool { return r.ChunksFor(tokens) > r.capacity.Chunks }

// Free returns the slots and chunks that nobody owns.
func (r *Reservations) Free() (slots, chunks int) {
	return r.capacity.Slots - r.usedSlots, r.capacity.Chunks - r.usedChunks
}

// Used returns the slots and chunks that are owned.
func (r *Reservations) Used() (slots, chunks int) { return r.usedSlots, r.usedChunks }

// Promised returns the slots and chunks of anticipated reservations and of
// growth that waits; they go before any new reservation.
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

// FitsNow reports whether a new reservation would be firm at once.
func (r *Reservations) FitsNow(chunks int) bool {
	slots, free := r.Free()
	promisedSlots, promisedChunks := r.Promised()
	return slots-promisedSlots >= 1 && free-promisedChunks >= chunks
}

// Grant adds a reservation. It is firm when it fits now and anticipated
// otherwise; the caller decides whether to anticipate.
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

func (r *Reservations) makeFirm(now time.Duration, res *Reservation) {
	res.state = firm
	res.firmAt = now
	r.usedSlots++
	r.usedChunks += res.Chunks
	if res.startRequested {
		res.state = started
	}
}

// Start asks to use a reservation for tokens in memory and predicted further
// output. It reports whether the engine may be used at once; otherwise Promote
// returns the reservation when it may.
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

// grow adds chunks now as far as they are free and later for the rest.
func (r *Reservations) grow(res *Reservation, chunks int) {
	_, free := r.Free()
	available := max(0, min(free, chunks))
	res.Chunks += available
	r.usedChunks += available
	res.pendingChunks += chunks - available
}

// RecordHeld records the memory that the engine says it holds for a reservation.
func (r *Reservations) RecordHeld(res *Reservation, heldTokens int) {
	if missing := r.ChunksFor(heldTokens) - res.Chunks - res.pendingChunks; missing > 0 {
		r.grow(res, missing)
	}
}

// Advance records that a stream has tokens in memory. When ahead more tokens
// would outgrow its chunks, it takes a further chunk; when none is free, the
// memory of a victim must be freed first, and the victim is returned (it may
// be x itself).
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

// demote turns a firm reservation, for which the engine does nothing yet,
// into an anticipated one.
func (r *Reservations) demote(now time.Duration, res *Reservation) {
	r.addUnusedTime(now, res)
	res.state = anticipated
	r.usedSlots--
	r.usedChunks -= res.Chunks
}

// selectVictim chooses the most recently granted stream of the caller furthest over
// its share, but never the only stream, and nobody while those that are being
// paused free enough for all that grow.
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

// mostOverShare finds, among the candidates, the most recently granted one of
// the caller that holds the most chunks per unit of its share.
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

// Release gives back what a reservation owns. Call Promote afterwards.
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

// Promote gives free slots and chunks to those that wait for them: growing
// streams, then reservations with a Start, then the others in order of grant.
// It returns those that may use the engine now.
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

func (r *Reservations) growPending() {
	for _, res := range r.list {
		if res.pendingChunks > 0 {
			pending := res.pendingChunks
			res.pendingChunks = 0
			r.grow(res, pending)
		}
	}
}

// AddOrphan accounts for memory that the engine holds for a request without a
// stream, until Release.
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
