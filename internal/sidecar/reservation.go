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
	for _, x := range r.list {
		chunks += x.pendingChunks
		if x.state == anticipated {
			slots++
			chunks += x.Chunks
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
func (r *Reservations) Grant(now time.Duration, x *Reservation) (isFirm bool) {
	isFirm = r.FitsNow(x.Chunks)
	r.seq++
	x.seq = r.seq
	x.state = anticipated
	x.grantedAt = now
	r.list = append(r.list, x)
	if isFirm {
		r.makeFirm(now, x)
	}
	return isFirm
}

func (r *Reservations) makeFirm(now time.Duration, x *Reservation) {
	x.state = firm
	x.firmAt = now
	r.usedSlots++
	r.usedChunks += x.Chunks
	if x.startRequested {
		x.state = started
	}
}

// Start asks to use a reservation for tokens in memory and predicted further
// output. It reports whether the engine may be used at once; otherwise Promote
// returns the reservation when it may.
func (r *Reservations) Start(now time.Duration, x *Reservation, tokens, predicted int) bool {
	x.Tokens, x.Predicted = tokens, predicted
	missing := max(0, r.ChunksFor(tokens+predicted)-x.Chunks)
	switch x.state {
	case started:
		return true
	case firm:
		r.addUnusedTime(now, x)
		x.state = started
		r.grow(x, missing)
		return true
	default:
		x.startRequested = true
		x.Chunks += missing
		return false
	}
}

// grow adds chunks now as far as they are free and later for the rest.
func (r *Reservations) grow(x *Reservation, chunks int) {
	_, free := r.Free()
	available := max(0, min(free, chunks))
	x.Chunks += available
	r.usedChunks += available
	x.pendingChunks += chunks - available
}

// RecordHeld records the memory that the engine says it holds for a reservation.
func (r *Reservations) RecordHeld(x *Reservation, heldTokens int) {
	if missing := r.ChunksFor(heldTokens) - x.Chunks - x.pendingChunks; missing > 0 {
		r.grow(x, missing)
	}
}

// Advance records that a stream has tokens in memory. When ahead more tokens
// would outgrow its chunks, it takes a further chunk; when none is free, the
// memory of a victim must be freed first, and the victim is returned (it may
// be x itself).
func (r *Reservations) Advance(now time.Duration, x *Reservation, tokens, lookahead int) (victim *Reservation) {
	x.Predicted -= tokens - x.Tokens
	x.Tokens = tokens
	if x.preempting || r.ChunksFor(tokens+lookahead) <= x.Chunks+x.pendingChunks {
		return nil
	}
	r.grow(x, 1)
	if x.pendingChunks == 0 {
		return nil
	}
	if idle := r.mostOverShare(func(idle *Reservation) bool { return idle.state == firm }); idle != nil {
		r.demote(now, idle)
		r.growPending()
		return nil
	}
	return r.selectVictim()
}

// demote turns a firm reservation, for which the engine does nothing yet,
// into an anticipated one.
func (r *Reservations) demote(now time.Duration, y *Reservation) {
	r.addUnusedTime(now, y)
	y.state = anticipated
	r.usedSlots--
	r.usedChunks -= y.Chunks
}

// selectVictim chooses the most recently granted stream of the caller furthest over
// its share, but never the only stream, and nobody while those that are being
// paused free enough for all that grow.
func (r *Reservations) selectVictim() *Reservation {
	needed, beingFreed, running := 0, 0, 0
	for _, x := range r.list {
		needed += x.pendingChunks
		switch {
		case x.preempting:
			beingFreed += x.Chunks
		case x.state == started:
			running++
		}
	}
	if beingFreed >= needed || running < 2 {
		return nil
	}
	victim := r.mostOverShare(func(victim *Reservation) bool { return victim.state == started && !victim.preempting })
	victim.preempting = true
	victim.pendingChunks = 0
	r.Preemptions++
	return victim
}

// mostOverShare finds, among the candidates, the most recently granted one of
// the caller that holds the most chunks per unit of its share.
func (r *Reservations) mostOverShare(candidate func(*Reservation) bool) *Reservation {
	chunksByCaller := make(map[string]int)
	for _, x := range r.list {
		if x.state == firm || x.state == started {
			chunksByCaller[x.Caller] += x.Chunks
		}
	}
	chunksPerShare := func(x *Reservation) float64 { return float64(chunksByCaller[x.Caller]) / positiveShare(x.Share) }
	var best *Reservation
	for _, x := range r.list {
		if candidate(x) && (best == nil || chunksPerShare(x) >= chunksPerShare(best)) {
			best = x
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
	for _, x := range r.list {
		if x.state == state {
			n++
		}
	}
	return n
}

// Release gives back what a reservation owns. Call Promote afterwards.
func (r *Reservations) Release(now time.Duration, x *Reservation) {
	i := slices.Index(r.list, x)
	if i < 0 {
		return
	}
	r.list = slices.Delete(r.list, i, i+1)
	if x.state == anticipated {
		return
	}
	if x.state == firm {
		r.addUnusedTime(now, x)
	}
	r.usedSlots--
	r.usedChunks -= x.Chunks
}

// Promote gives free slots and chunks to those that wait for them: growing
// streams, then reservations with a Start, then the others in order of grant.
// It returns those that may use the engine now.
func (r *Reservations) Promote(now time.Duration) (ready []*Reservation) {
	r.growPending()
	for _, startRequested := range []bool{true, false} {
		for _, x := range r.list {
			if x.state != anticipated || x.startRequested != startRequested {
				continue
			}
			if slots, chunks := r.Free(); slots < 1 || chunks < x.Chunks {
				return ready
			}
			r.makeFirm(now, x)
			if x.state == started {
				ready = append(ready, x)
			}
		}
	}
	return ready
}

func (r *Reservations) growPending() {
	for _, x := range r.list {
		if x.pendingChunks > 0 {
			pending := x.pendingChunks
			x.pendingChunks = 0
			r.grow(x, pending)
		}
	}
}

// AddOrphan accounts for memory that the engine holds for a request without a
// stream, until Release.
func (r *Reservations) AddOrphan(id string, tokens int) *Reservation {
	x := &Reservation{ID: id, Chunks: r.ChunksFor(tokens), state: orphaned}
	r.list = append(r.list, x)
	r.usedSlots++
	r.usedChunks += x.Chunks
	return x
}

func (r *Reservations) addUnusedTime(now time.Duration, x *Reservation) {
	r.UnusedTime += max(0, now-x.firmAt-x.PrefillTime-startGrace)
}
