package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// boot is one life of the engine: all that a crash loses. The engine's lock
// guards it.
type boot struct {
	engine *Engine
	id     string
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	role     Role
	models   map[string]bool // nil: every model
	order    *order
	used     int // chunks
	requests map[string]*request
	holds    map[string]*request // by handle
	queue    []*request          // prefills that wait
	waiting  []*request          // decodes that wait for a slot
	running  []*request          // decodes that have a slot
	cache    *prefixCache
	handles  int
	arrivals int
	sending  int // transfers out
	reading  int // transfers in
	samples  []loadSample
	// wakePrefill and wakeDecode tell the loops that there may be work.
	wakePrefill chan struct{}
	wakeDecode  chan struct{}
}

type loadSample struct {
	at            time.Time
	running, used int
}

// request is one request_id on the engine.
type request struct {
	id       string
	boot     *boot
	phase    phase
	priority int
	arrival  int
	ctx      context.Context
	cancel   context.CancelFunc
	chunks   int
	// ended is closed, after err is set, when the phase's call can be answered
	// or the request is over.
	ended chan struct{}
	over  bool
	err   *apiError
	run   *Execution
	// handle names the prefill output that the request made or imported;
	// usesOutput tells that the journal counts the request among its users.
	handle     string
	usesOutput bool

	prompt string
	tokens int // prompt tokens
	cached int

	evict     *time.Timer
	transfers int
	progress  time.Time // last progress of a transfer

	imported int // tokens
	stream   *stream
}

// stream is the output of a decode.
type stream struct {
	seed   costmodel.Seed
	index  int // next token
	end    int
	finish string
	// recompute is the time for tokens that the import did not bring.
	recompute time.Duration
	lines     []decodeLine
	more      chan struct{}
	done      bool
}

func newBoot(e *Engine) *boot {
	b := &boot{
		engine:      e,
		role:        e.opts.Role,
		requests:    make(map[string]*request),
		holds:       make(map[string]*request),
		cache:       newPrefixCache(e.params.CacheBlocks, e.opts.DropEventEvery),
		wakePrefill: make(chan struct{}, 1),
		wakeDecode:  make(chan struct{}, 1),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	if len(e.opts.Models) > 0 {
		b.models = make(map[string]bool)
		for _, m := range e.opts.Models {
			b.models[m] = true
		}
	}
	return b
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// addLocked registers a request.
func (b *boot) addLocked(id string, ph phase, priority int) *request {
	b.arrivals++
	r := &request{
		id: id, boot: b, phase: ph, priority: priority, arrival: b.arrivals,
		ended: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(b.ctx)
	b.requests[id] = r
	return r
}

// growLocked lets a request hold at least tokens; it reports false when memory is short.
func (b *boot) growLocked(r *request, tokens int) bool {
	more := b.engine.params.ChunksFor(tokens) - r.chunks
	if more <= 0 {
		return true
	}
	if more > b.freeLocked() {
		return false
	}
	r.chunks += more
	b.used += more
	b.sampleLocked()
	return true
}

func (b *boot) freeLocked() int { return b.engine.params.CapacityChunks() - b.used }

// endLocked ends a request and frees its memory. It returns the tokens freed.
// A nil err is the regular end.
func (b *boot) endLocked(r *request, outcome Outcome, err *apiError) int {
	if r.over {
		return 0
	}
	r.over = true
	r.cancel()
	if r.evict != nil {
		r.evict.Stop()
	}
	delete(b.requests, r.id)
	if r.phase == phaseHeld {
		delete(b.holds, r.handle)
	}
	b.queue = without(b.queue, r)
	b.waiting = without(b.waiting, r)
	b.running = without(b.running, r)
	freed := r.chunks
	b.used -= freed
	r.chunks = 0
	b.sampleLocked()
	b.engine.journal.end(r.run, outcome)
	if r.usesOutput {
		r.usesOutput = false
		b.engine.journal.leave(r.handle)
	}
	r.answerLocked(err)
	if r.stream != nil {
		r.stream.closeLocked(err)
	}
	// Memory or a slot has become free.
	wake(b.wakePrefill)
	wake(b.wakeDecode)
	return freed * b.engine.params.ChunkTokens
}

// answerLocked lets the call that waits for the present phase return.
func (r *request) answerLocked(err *apiError) {
	select {
	case <-r.ended:
	default:
		r.err = err
		close(r.ended)
	}
}

// endAllLocked ends every request as the death of the engine does.
func (b *boot) endAllLocked(outcome Outcome) {
	for _, r := range b.requests {
		b.endLocked(r, outcome, errDied())
	}
}

func without(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(x *request) bool { return x == r })
}

// first returns the request to run first: the highest priority, then the
// earliest arrival.
func first(list []*request) *request {
	return slices.MinFunc(list, func(a, b *request) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.arrival - b.arrival
	})
}

// sampleLocked records the load for readers that see it with a lag.
func (b *boot) sampleLocked() {
	now := time.Now()
	b.samples = append(b.samples, loadSample{at: now, running: len(b.running), used: b.used})
	horizon := now.Add(-b.engine.opts.LoadLag)
	keep := 0
	for keep+1 < len(b.samples) && !b.samples[keep+1].at.After(horizon) {
		keep++
	}
	b.samples = b.samples[keep:]
}

// visibleLoadLocked returns the load as it was a lag ago.
func (b *boot) visibleLoadLocked() loadSample {
	horizon := time.Now().Add(-b.engine.opts.LoadLag)
	var seen loadSample
	for _, s := range b.samples {
		if s.at.After(horizon) {
			break
		}
		seen = s
	}
	return seen
}
