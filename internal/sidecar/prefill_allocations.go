package sidecar

import "time"

// PrefillAllocation is the memory of a running prefill or of its output, which the
// engine holds under a lease until it is released or evicted.
type PrefillAllocation struct {
	ID      string
	Handle  string
	Tokens  int
	EvictAt time.Duration

	chunks int
}

// PrefillAllocations is the aggregate that owns the memory of a prefill engine, which
// running prefills and held outputs occupy. It is not safe for concurrent use.
type PrefillAllocations struct {
	capacity   Capacity
	running    map[string]*PrefillAllocation
	held       map[string]*PrefillAllocation
	usedChunks int
	limit      int
	// Evicted counts outputs that were not fetched or released in time.
	Evicted int
}

// NewPrefillAllocations returns PrefillAllocations for an engine without
// requests, on which at most limit prefills run at once.
func NewPrefillAllocations(c Capacity, limit int) *PrefillAllocations {
	return &PrefillAllocations{capacity: c, running: map[string]*PrefillAllocation{}, held: map[string]*PrefillAllocation{}, limit: limit}
}

// SetCapacity sets the capacity of the engine.
func (a *PrefillAllocations) SetCapacity(c Capacity) { a.capacity = c }

func (a *PrefillAllocations) chunksFor(tokens int) int {
	if a.capacity.ChunkTokens <= 0 {
		return 0
	}
	return max(1, (tokens+a.capacity.ChunkTokens-1)/a.capacity.ChunkTokens)
}

// TooLarge reports whether a prompt of this size exceeds an empty engine.
func (a *PrefillAllocations) TooLarge(tokens int) bool {
	return a.chunksFor(tokens) > a.capacity.Chunks
}

// Fits reports whether a prefill of this size may begin now.
func (a *PrefillAllocations) Fits(tokens int) bool {
	return len(a.running) < a.limit && a.usedChunks+a.chunksFor(tokens) <= a.capacity.Chunks
}

// Begin allocates the memory of a prefill that is about to run.
func (a *PrefillAllocations) Begin(id string, tokens int) {
	alloc := &PrefillAllocation{ID: id, Tokens: tokens, chunks: a.chunksFor(tokens)}
	a.running[id] = alloc
	a.usedChunks += alloc.chunks
}

// MarkHeld turns a running prefill into a held output with an eviction time.
func (a *PrefillAllocations) MarkHeld(now time.Duration, id, handle string, tokens int, leaseTime time.Duration) {
	alloc, ok := a.running[id]
	if !ok {
		return
	}
	delete(a.running, id)
	a.usedChunks -= alloc.chunks
	alloc.Handle, alloc.Tokens, alloc.EvictAt, alloc.chunks = handle, tokens, now+leaseTime, a.chunksFor(tokens)
	a.usedChunks += alloc.chunks
	a.held[id] = alloc
}

// AddOrphan accounts for the memory of a request that is in the engine but has no
// stream, until Release.
func (a *PrefillAllocations) AddOrphan(id string, tokens int) {
	alloc := &PrefillAllocation{ID: id, Tokens: tokens, chunks: a.chunksFor(tokens)}
	a.held[id] = alloc
	a.usedChunks += alloc.chunks
}

// Release frees the memory of a prefill or of its output.
func (a *PrefillAllocations) Release(id string) {
	for _, m := range []map[string]*PrefillAllocation{a.running, a.held} {
		if alloc, ok := m[id]; ok {
			delete(m, id)
			a.usedChunks -= alloc.chunks
		}
	}
}

// Expired reports whether the eviction time of an output has passed.
func (a *PrefillAllocations) Expired(now time.Duration, id string) bool {
	alloc, ok := a.held[id]
	return ok && now >= alloc.EvictAt
}

// Evict frees the memory of an output that the engine evicted and counts the
// eviction.
func (a *PrefillAllocations) Evict(id string) {
	a.Evicted++
	a.Release(id)
}

func (a *PrefillAllocations) runningTokens() int {
	tokens := 0
	for _, alloc := range a.running {
		tokens += alloc.Tokens
	}
	return tokens
}

// Counts returns the numbers of running prefills, held outputs and free chunks.
func (a *PrefillAllocations) Counts() (running, held, freeChunks int) {
	return len(a.running), len(a.held), a.capacity.Chunks - a.usedChunks
}
