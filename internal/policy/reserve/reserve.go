// Package reserve decides whether a decode engine may grant memory and a slot
// to a request whose prefill has not run yet.
//
// Memory is allocated in chunks of ChunkTokens. A reservation is granted if a
// slot and the chunks are free now, or are forecast to become free while the
// prefill runs. The operator's setting "anticipation" scales how much of that
// forecast is used: 0 grants only what is free now, 1 uses the whole prefill
// time. If a grant comes too early, the prefill is wasted, because its output
// is evicted before the engine can import it. If a grant comes too late, a slot
// stays idle.
package reserve

import (
	"slices"
	"time"
)

const (
	// ChunkTokens is the unit of memory allocation of engines, in tokens.
	ChunkTokens = 2000
	// ErrorMargin is the relative error by which predictions of the output
	// length are assumed to be too low. Forecasts lengthen the remaining output
	// by it.
	ErrorMargin = 0.25
	// overrunTokens is the remaining output that is assumed for a stream that
	// has already exceeded its prediction.
	overrunTokens = 64
)

// Stream describes a granted reservation.
type Stream struct {
	// RemainingTokens is the predicted remaining output; 0 or less means that
	// the stream has exceeded its prediction.
	RemainingTokens float64
	// Chunks is the memory that the stream holds.
	Chunks int
	// StartsAt is when decoding is expected to start; a time in the past means
	// that it has started.
	StartsAt time.Duration
}

// Request describes what a request needs and what the engine has free now.
type Request struct {
	// Chunks is the memory that the request needs.
	Chunks int
	// FreeChunks and FreeSlots are what the engine has free. FreeSlots is negative
	// if earlier grants need slots that are still in use.
	FreeChunks int
	FreeSlots  int
	// Prefill is the expected time from the grant until the KV cache of the
	// request can be imported.
	Prefill time.Duration
}

// ChunksFor returns the number of chunks that the tokens need, at least 1.
func ChunksFor(tokens int) int {
	return max(1, (tokens+ChunkTokens-1)/ChunkTokens)
}

// ForecastGrant returns after which time a slot and the chunks are expected to
// be free, and whether the request may be granted now. freeIn is valid in
// either case; it is negative if the engine can never hold the request.
func ForecastGrant(running []Stream, now, stepTime time.Duration, req Request, anticipation float64) (freeIn time.Duration, ok bool) {
	if req.FreeSlots > 0 && req.FreeChunks >= req.Chunks {
		return 0, true
	}
	ends := endTimes(running, now, stepTime)
	slots, chunks := req.FreeSlots, req.FreeChunks
	for _, end := range ends {
		slots++
		chunks += end.chunks
		if slots > 0 && chunks >= req.Chunks {
			horizon := time.Duration(anticipation * float64(req.Prefill))
			return end.after, end.after <= horizon
		}
	}
	return -1, false
}

// streamEnd is the expected end of a stream.
type streamEnd struct {
	after  time.Duration // from now
	chunks int           // memory that becomes free
}

// endTimes returns the expected ends of the streams in ascending order.
func endTimes(running []Stream, now, stepTime time.Duration) []streamEnd {
	ends := make([]streamEnd, 0, len(running))
	for _, s := range running {
		remaining := s.RemainingTokens * (1 + ErrorMargin)
		if s.RemainingTokens <= 0 {
			remaining = overrunTokens
		}
		after := max(0, s.StartsAt-now) + time.Duration(remaining*float64(stepTime))
		ends = append(ends, streamEnd{after: after, chunks: s.Chunks})
	}
	slices.SortStableFunc(ends, func(a, b streamEnd) int { return int(a.after - b.after) })
	return ends
}
