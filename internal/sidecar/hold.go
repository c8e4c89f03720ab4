package sidecar

import "time"

// Hold is a prefill output that the engine keeps under a request lease until it
// is released or evicted.
type Hold struct {
	ID      string
	Handle  string
	Tokens  int
	EvictAt time.Duration

	chunks int
}

// Holds is the aggregate that owns the memory of a prefill engine: running
// prefills and held outputs. It is not safe for concurrent use.
type Holds struct {
	shape   Shape
	running map[string]*Hold
	held    map[string]*Hold
	used    int
	limit   int
	// Evicted counts outputs that nobody fetched or released in time.
	Evicted int
}

// NewHolds returns an empty aggregate that runs at most limit prefills at once.
func NewHolds(s Shape, limit int) *Holds {
	return &Holds{shape: s, running: map[string]*Hold{}, held: map[string]*Hold{}, limit: limit}
}

// Reshape sets what the engine can hold.
func (h *Holds) Reshape(s Shape) { h.shape = s }

func (h *Holds) need(tokens int) int {
	if h.shape.ChunkTokens <= 0 {
		return 0
	}
	return max(1, (tokens+h.shape.ChunkTokens-1)/h.shape.ChunkTokens)
}

// TooLarge reports whether the output of a prompt never fits.
func (h *Holds) TooLarge(tokens int) bool { return h.need(tokens) > h.shape.Chunks }

// Fits reports whether a prefill may begin now.
func (h *Holds) Fits(tokens int) bool {
	return len(h.running) < h.limit && h.used+h.need(tokens) <= h.shape.Chunks
}

// Begin accounts for a prefill that is about to run.
func (h *Holds) Begin(id string, tokens int) {
	x := &Hold{ID: id, Tokens: tokens, chunks: h.need(tokens)}
	h.running[id] = x
	h.used += x.chunks
}

// Ready turns a running prefill into a held output with its eviction time.
func (h *Holds) Ready(now time.Duration, id, handle string, tokens int, hold time.Duration) {
	x, ok := h.running[id]
	if !ok {
		return
	}
	delete(h.running, id)
	h.used -= x.chunks
	x.Handle, x.Tokens, x.EvictAt, x.chunks = handle, tokens, now+hold, h.need(tokens)
	h.used += x.chunks
	h.held[id] = x
}

// Occupy accounts for memory that the engine holds for a request without a
// stream, until Release.
func (h *Holds) Occupy(id string, tokens int) {
	x := &Hold{ID: id, Tokens: tokens, chunks: h.need(tokens)}
	h.held[id] = x
	h.used += x.chunks
}

// Release gives back the memory of a prefill or of its output.
func (h *Holds) Release(id string) {
	for _, m := range []map[string]*Hold{h.running, h.held} {
		if x, ok := m[id]; ok {
			delete(m, id)
			h.used -= x.chunks
		}
	}
}

// Expired reports whether an output's eviction time has come.
func (h *Holds) Expired(now time.Duration, id string) bool {
	x, ok := h.held[id]
	return ok && now >= x.EvictAt
}

// Evict is Release of an output that was not released in time.
func (h *Holds) Evict(id string) {
	h.Evicted++
	h.Release(id)
}

func (h *Holds) runningTokens() int {
	n := 0
	for _, x := range h.running {
		n += x.Tokens
	}
	return n
}

// Counts returns the running prefills, the held outputs and the free chunks.
func (h *Holds) Counts() (running, held, freeChunks int) {
	return len(h.running), len(h.held), h.shape.Chunks - h.used
}
