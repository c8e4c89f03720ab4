// Package reserve decides whether a decode engine may promise memory and a slot
// to a request whose prefill has not run yet.
//
// Memory is allocated in chunks of ChunkTokens. A reservation is granted when
// the slot and the chunks are free now, or are forecast to become free while
// the prefill runs. The operator's setting anticipation scales how much of that
// forecast is used: 0 grants only what is free now, 1 uses the whole prefill
// time. A grant that comes too early wastes the prefill, because its output is
// evicted before the engine can import it; one that comes late leaves a slot idle.
package reserve

import (
	"slices"
	"time"
)

const (
	// ChunkTokens is the unit in which engines allocate memory.
	ChunkTokens = 2000
	// ErrorMargin is the relative error by which output predictions are assumed
	// to be too short; forecasts stretch the remaining output by it.
	ErrorMargin = 0.25
	// exceededTokens is the remaining output assumed for a stream that has
	// already passed its prediction.
	exceededTokens = 64
)

// Stream is a reservation that holds memory.
type Stream struct {
	// RemainingTokens is the output that is still predicted; 0 or less means
	// that the stream has passed its prediction.
	RemainingTokens float64
	// Chunks is the memory that the stream holds.
	Chunks int
	// StartsAt is when decoding is expected to start; a time in the past means
	// that it runs.
	StartsAt time.Duration
}

// Request is what a request asks of an engine and what the engine has free now.
type Request struct {
	Chunks     int
	FreeChunks int
	FreeSlots  int
	// Prefill is the expected time from the grant until the KV cache can be imported.
	Prefill time.Duration
}

// ChunksFor returns the chunks that hold this many tokens.
func ChunksFor(tokens int) int {
	return max(1, (tokens+ChunkTokens-1)/ChunkTokens)
}

// ForecastGrant returns when a slot and the chunks are expected to be free, and
// whether the request may be granted now. freeIn is valid in either case and
// negative when the engine can never hold the request.
func ForecastGrant(running []Stream, now, stepTime time.Duration, need Request, anticipation float64) (freeIn time.Duration, ok bool) {
	if need.FreeSlots > 0 && need.FreeChunks >= need.Chunks {
		return 0, true
	}
	ends := endTimes(running, now, stepTime)
	slots, chunks := need.FreeSlots, need.FreeChunks
	for _, e := range ends {
		slots++
		chunks += e.chunks
		if slots > 0 && chunks >= need.Chunks {
			horizon := time.Duration(anticipation * float64(need.Prefill))
			return e.in, e.in <= horizon
		}
	}
	return -1, false
}

type end struct {
	in     time.Duration
	chunks int
}

func endTimes(running []Stream, now, stepTime time.Duration) []end {
	ends := make([]end, 0, len(running))
	for _, s := range running {
		remaining := s.RemainingTokens * (1 + ErrorMargin)
		if s.RemainingTokens <= 0 {
			remaining = exceededTokens
		}
		in := max(0, s.StartsAt-now) + time.Duration(remaining*float64(stepTime))
		ends = append(ends, end{in: in, chunks: s.Chunks})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return int(a.in - b.in) })
	return ends
}
