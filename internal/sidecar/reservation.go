package sidecar

import (
	"slices"
	"time"
)

// startMargin is added to the announced prefill time before a slot that is
// granted and not started counts as unused.
const startMargin = 500 * time.Millisecond

// Shape is what a decode engine can hold.
type Shape struct {
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
	// foreign ones are held by the engine for a request that no stream renews.
	foreign
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

	state    reservationState
	wantsRun bool // Start arrived while the reservation was anticipated
	wants    int  // chunks to add as soon as some are free
	pausing  bool // chosen to free its memory
	seq      uint64
	granted  time.Duration
	firmAt   time.Duration
}

// Reservations is the aggregate that owns the slots and chunks of one decode
// engine. The sum over firm and started reservations never exceeds the shape.
// It is not safe for concurrent use; times are durations since an arbitrary start.
type Reservations struct {
	shape      Shape
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
func NewReservations(s Shape) *Reservations { return &Reservations{shape: s} }

// Reshape sets what the engine can hold, for example after it restarted.
func (r *Reservations) Reshape(s Shape) { r.shape = s }

// Shape returns what the engine can hold.
func (r *Reservations) Shape() Shape { return r.shape }

// Need returns the chunks that this many tokens take.
func (r *Reservations) Need(tokens int) int {
	if r.shape.ChunkTokens <= 0 {
		return 0
	}
	return max(1, (tokens+r.shape.ChunkTokens-1)/r.shape.ChunkTokens)
}

// TooLarge reports whether this many tokens do not fit even in an empty engine.
func (r *Reservations) TooLarge(tokens int) bool { return r.Need(tokens) > r.shape.Chunks }

// Free returns the slots and chunks that nobody owns.
func (r *Reservations) Free() (slots, chunks int) {
	return r.shape.Slots - r.usedSlots, r.shape.Chunks - r.usedChunks
}

// Used returns the slots and chunks that are owned.
func (r *Reservations) Used() (slots, chunks int) { return r.usedSlots, r.usedChunks }

// Promised returns the slots and chunks of anticipated reservations and of
// growth that waits; they go before any new reservation.
func (r *Reservations) Promised() (slots, chunks int) {
	for _, x := range r.list {
		chunks += x.wants
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
	x.granted = now
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
	if x.wantsRun {
		x.state = started
	}
}

// Start asks to use a reservation for tokens in memory and predicted further
// output. It reports whether the engine may be used at once; otherwise Promote
// returns the reservation when it may.
func (r *Reservations) Start(now time.Duration, x *Reservation, tokens, predicted int) bool {
	x.Tokens, x.Predicted = tokens, predicted
	extra := max(0, r.Need(tokens+predicted)-x.Chunks)
	switch x.state {
	case started:
		return true
	case firm:
		r.countUnused(now, x)
		x.state = started
		r.enlarge(x, extra)
		return true
	default:
		x.wantsRun = true
		x.Chunks += extra
		return false
	}
}

// enlarge adds chunks now as far as they are free and later for the rest.
func (r *Reservations) enlarge(x *Reservation, chunks int) {
	_, free := r.Free()
	take := max(0, min(free, chunks))
	x.Chunks += take
	r.usedChunks += take
	x.wants += chunks - take
}

// Settle records the memory that the engine says it holds for a reservation.
func (r *Reservations) Settle(x *Reservation, heldTokens int) {
	if more := r.Need(heldTokens) - x.Chunks - x.wants; more > 0 {
		r.enlarge(x, more)
	}
}

// Advance records that a stream has tokens in memory. When ahead more tokens
// would outgrow its chunks, it takes a further chunk; when none is free, the
// memory of a victim must be freed first, and the victim is returned (it may
// be x itself).
func (r *Reservations) Advance(now time.Duration, x *Reservation, tokens, ahead int) (victim *Reservation) {
	x.Predicted -= tokens - x.Tokens
	x.Tokens = tokens
	if x.pausing || r.Need(tokens+ahead) <= x.Chunks+x.wants {
		return nil
	}
	r.enlarge(x, 1)
	if x.wants == 0 {
		return nil
	}
	if y := r.furthestOver(func(y *Reservation) bool { return y.state == firm }); y != nil {
		r.takeBack(now, y)
		r.serveWants()
		return nil
	}
	return r.pause()
}

// takeBack turns a firm reservation, for which the engine does nothing yet,
// into an anticipated one.
func (r *Reservations) takeBack(now time.Duration, y *Reservation) {
	r.countUnused(now, y)
	y.state = anticipated
	r.usedSlots--
	r.usedChunks -= y.Chunks
}

// pause chooses the most recently granted stream of the caller furthest over
// its share, but never the only stream, and nobody while those that are being
// paused free enough for all that grow.
func (r *Reservations) pause() *Reservation {
	wanted, coming, left := 0, 0, 0
	for _, x := range r.list {
		wanted += x.wants
		switch {
		case x.pausing:
			coming += x.Chunks
		case x.state == started:
			left++
		}
	}
	if coming >= wanted || left < 2 {
		return nil
	}
	y := r.furthestOver(func(y *Reservation) bool { return y.state == started && !y.pausing })
	y.pausing = true
	y.wants = 0
	r.Preemptions++
	return y
}

// furthestOver finds, among the candidates, the most recently granted one of
// the caller that holds the most chunks per unit of its share.
func (r *Reservations) furthestOver(candidate func(*Reservation) bool) *Reservation {
	held := make(map[string]int)
	for _, x := range r.list {
		if x.state == firm || x.state == started {
			held[x.Caller] += x.Chunks
		}
	}
	over := func(x *Reservation) float64 { return float64(held[x.Caller]) / positiveShare(x.Share) }
	var best *Reservation
	for _, x := range r.list {
		if candidate(x) && (best == nil || over(x) >= over(best)) {
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
		r.countUnused(now, x)
	}
	r.usedSlots--
	r.usedChunks -= x.Chunks
}

// Promote gives free slots and chunks to those that wait for them: growing
// streams, then reservations with a Start, then the others in order of grant.
// It returns those that may use the engine now.
func (r *Reservations) Promote(now time.Duration) (ready []*Reservation) {
	r.serveWants()
	for _, wantsRun := range []bool{true, false} {
		for _, x := range r.list {
			if x.state != anticipated || x.wantsRun != wantsRun {
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

func (r *Reservations) serveWants() {
	for _, x := range r.list {
		if x.wants > 0 {
			n := x.wants
			x.wants = 0
			r.enlarge(x, n)
		}
	}
}

// Occupy accounts for memory that the engine holds for a request without a
// stream, until Release.
func (r *Reservations) Occupy(id string, tokens int) *Reservation {
	x := &Reservation{ID: id, Chunks: r.Need(tokens), state: foreign}
	r.list = append(r.list, x)
	r.usedSlots++
	r.usedChunks += x.Chunks
	return x
}

func (r *Reservations) countUnused(now time.Duration, x *Reservation) {
	r.UnusedTime += max(0, now-x.firmAt-x.PrefillTime-startMargin)
}
