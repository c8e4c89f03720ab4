package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
)

// boot is the state of an engine between a start and the next crash, which loses
// all of it. The engine's lock guards it.
type boot struct {
	engine *Engine
	id     string
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	role              Role
	models            map[string]bool // nil: every model
	currentOrder      *order
	usedChunks        int
	requests          map[string]*request
	heldOutputs       map[string]*request // by handle
	prefillQueue      []*request          // prefills that wait for memory or their turn
	decodeQueue       []*request          // decodes that wait for a slot
	running           []*request          // decodes that have a slot
	cache             *prefixCache
	handleCount       int
	arrivalCount      int
	outgoingTransfers int
	incomingTransfers int
	loadSamples       []loadSample
	// prefillSignal and decodeSignal wake the loops when there may be work.
	prefillSignal chan struct{}
	decodeSignal  chan struct{}
}

// loadSample is the load of an engine at one point in time.
type loadSample struct {
	at                  time.Time
	running, usedChunks int
}

// request is the state of one request_id on the engine.
type request struct {
	id       string
	boot     *boot
	phase    phase
	priority int
	arrival  int
	ctx      context.Context
	cancel   context.CancelFunc
	chunks   int
	// phaseDone is closed, after err is set, when the call of the present phase can
	// return or the request has ended.
	phaseDone  chan struct{}
	terminated bool // the request has ended and its memory is free
	err        *apiError
	execution  *Execution
	// handle identifies the prefill output that the request produced or imported;
	// usesOutput reports that the journal counts the request among its users.
	handle     string
	usesOutput bool

	prompt       string
	promptTokens int
	cachedTokens int

	evictTimer      *time.Timer
	activeTransfers int
	lastProgress    time.Time // last progress of a transfer

	importedTokens int
	stream         *stream
}

// stream is the output of a decode.
type stream struct {
	seed         costmodel.Seed
	nextIndex    int // index of the next token
	endIndex     int
	finishReason string
	// recomputeTime is the time to compute the tokens that the import did not
	// contain.
	recomputeTime time.Duration
	lines         []decodeLine
	updated       chan struct{}
	closed        bool
}

// newBoot returns the state of an engine that has just started.
func newBoot(e *Engine) *boot {
	b := &boot{
		engine:        e,
		role:          e.opts.Role,
		requests:      make(map[string]*request),
		heldOutputs:   make(map[string]*request),
		cache:         newPrefixCache(e.params.CacheBlocks, e.opts.DropEventEvery),
		prefillSignal: make(chan struct{}, 1),
		decodeSignal:  make(chan struct{}, 1),
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

// signal wakes the receiver of ch, whose capacity is 1. It does not block.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// addRequestLocked creates and registers a request.
func (b *boot) addRequestLocked(id string, ph phase, priority int) *request {
	b.arrivalCount++
	r := &request{
		id: id, boot: b, phase: ph, priority: priority, arrival: b.arrivalCount,
		phaseDone: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(b.ctx)
	b.requests[id] = r
	return r
}

// reserveLocked grows the memory of a request to at least tokens. It reports
// false when there is not enough free memory.
func (b *boot) reserveLocked(r *request, tokens int) bool {
	missing := b.engine.params.ChunksFor(tokens) - r.chunks
	if missing <= 0 {
		return true
	}
	if missing > b.freeChunksLocked() {
		return false
	}
	r.chunks += missing
	b.usedChunks += missing
	b.recordLoadLocked()
	return true
}

func (b *boot) freeChunksLocked() int { return b.engine.params.CapacityChunks() - b.usedChunks }

// endRequestLocked ends a request, frees its memory and returns the number of
// tokens freed. A nil err means that the request ended regularly.
func (b *boot) endRequestLocked(r *request, outcome Outcome, err *apiError) int {
	if r.terminated {
		return 0
	}
	r.terminated = true
	r.cancel()
	if r.evictTimer != nil {
		r.evictTimer.Stop()
	}
	delete(b.requests, r.id)
	if r.phase == phaseHeld {
		delete(b.heldOutputs, r.handle)
	}
	b.prefillQueue = removeRequest(b.prefillQueue, r)
	b.decodeQueue = removeRequest(b.decodeQueue, r)
	b.running = removeRequest(b.running, r)
	freed := r.chunks
	b.usedChunks -= freed
	r.chunks = 0
	b.recordLoadLocked()
	b.engine.journal.endExecution(r.execution, outcome)
	if r.usesOutput {
		r.usesOutput = false
		b.engine.journal.removeOutputUser(r.handle)
	}
	r.resolvePhaseLocked(err)
	if r.stream != nil {
		r.stream.closeLocked(err)
	}
	// Memory or a slot may have become free.
	signal(b.prefillSignal)
	signal(b.decodeSignal)
	return freed * b.engine.params.ChunkTokens
}

// resolvePhaseLocked makes the call that waits for the present phase return err.
func (r *request) resolvePhaseLocked(err *apiError) {
	select {
	case <-r.phaseDone:
	default:
		r.err = err
		close(r.phaseDone)
	}
}

// endAllRequestsLocked ends every request without a response, as a crash does.
func (b *boot) endAllRequestsLocked(outcome Outcome) {
	for _, r := range b.requests {
		b.endRequestLocked(r, outcome, errCrashed())
	}
}

func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(x *request) bool { return x == r })
}

// nextByPriority returns the request to run first: the highest priority, then the
// earliest arrival.
func nextByPriority(list []*request) *request {
	return slices.MinFunc(list, func(a, b *request) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.arrival - b.arrival
	})
}

// recordLoadLocked records the present load, which readers see with a lag.
func (b *boot) recordLoadLocked() {
	now := time.Now()
	b.loadSamples = append(b.loadSamples, loadSample{at: now, running: len(b.running), usedChunks: b.usedChunks})
	cutoff := now.Add(-b.engine.opts.LoadLag)
	keep := 0
	for keep+1 < len(b.loadSamples) && !b.loadSamples[keep+1].at.After(cutoff) {
		keep++
	}
	b.loadSamples = b.loadSamples[keep:]
}

// visibleLoadLocked returns the load that readers see now: that of LoadLag ago.
func (b *boot) visibleLoadLocked() loadSample {
	cutoff := time.Now().Add(-b.engine.opts.LoadLag)
	var visible loadSample
	for _, s := range b.loadSamples {
		if s.at.After(cutoff) {
			break
		}
		visible = s
	}
	return visible
}
