package bench

import (
	"container/heap"
	"time"
)

// poolCapacity is the greatest capacity of an installation. It treats all prefill
// engines as one server with the sum of their rates, and all decode engines as one
// with the sum of their chunks.
type poolCapacity struct {
	prefillEngines, decodeEngines float64
	streamsPerEngine              float64 // concurrent streams of a full decode engine
	stepTime                      time.Duration
}

func newPoolCapacity(p profile, requests []*request) poolCapacity {
	var chunkTokens, tokens float64
	for _, r := range requests {
		chunkTokens += float64(p.engine.ChunksFor(r.promptTokens+r.outputTokens)) * float64(r.outputTokens)
		tokens += float64(r.outputTokens)
	}
	streams := min(float64(p.engine.Slots), float64(p.engine.CapacityChunks())*tokens/chunkTokens)
	step := float64(p.engine.StepBase) + streams*float64(p.engine.StepPerStream)
	return poolCapacity{prefillEngines: float64(p.prefills), decodeEngines: float64(p.decodes), streamsPerEngine: streams, stepTime: time.Duration(step)}
}

// prefillTime returns the time that a request takes on the pooled prefill server if
// shared prefixes are always cached.
func (c poolCapacity) prefillTime(p profile, r *request) time.Duration {
	return time.Duration(float64(p.engine.PrefillTime(r.promptTokens-r.sharedTokens)) / c.prefillEngines)
}

// decodeTime returns the time that a request takes on the pooled decode server. It
// uses the request's fraction of the slots or of the chunks, whichever is larger.
func (c poolCapacity) decodeTime(p profile, r *request) time.Duration {
	fraction := max(1/float64(p.engine.Slots), float64(p.engine.ChunksFor(r.promptTokens+r.outputTokens))/float64(p.engine.CapacityChunks()))
	return time.Duration(fraction * float64(r.outputTokens) * float64(c.stepTime) / c.decodeEngines)
}

// requestRateAtCapacity returns the rate, in requests per second of the given mix, at
// which the scarcer of the two pools is fully used.
func requestRateAtCapacity(p profile, requests []*request) float64 {
	pool := newPoolCapacity(p, requests)
	var prefill, decode time.Duration
	for _, r := range requests {
		prefill += pool.prefillTime(p, r)
		decode += pool.decodeTime(p, r)
	}
	return float64(len(requests)) / max(prefill, decode).Seconds()
}

// upperBound returns the greatest fraction of the requests that any policy could
// serve within the latency targets: the smaller bound of the two pools. Cancelled
// requests count neither as served nor as work. A request that misses the
// first-token target even on idle engines counts as not served.
func upperBound(p profile, requests []*request) float64 {
	pool := newPoolCapacity(p, requests)
	firstTokenLimit := p.settings.ttftTarget
	feasible := func(r *request) bool { return p.minTTFT(r) <= firstTokenLimit }
	prefill := servedInTimeRatio(requests, feasible, func(r *request) (work, limit time.Duration) {
		return pool.prefillTime(p, r), firstTokenLimit
	})
	// A stream that starts in time may use the target time of all its tokens. All
	// requests get the time of the longest output, because the algorithm needs
	// deadlines in order of arrival.
	maxOutput := 0
	for _, r := range requests {
		maxOutput = max(maxOutput, r.outputTokens)
	}
	lastTokenLimit := firstTokenLimit + time.Duration(maxOutput)*p.settings.tpotTarget
	decode := servedInTimeRatio(requests, feasible, func(r *request) (work, limit time.Duration) {
		return pool.decodeTime(p, r), lastTokenLimit
	})
	return min(prefill, decode)
}

// minTTFT returns the time to first token of a request on idle engines that have its
// shared prefix in their cache.
func (p profile) minTTFT(r *request) time.Duration {
	transfer := p.engine.TransferTime(p.engine.KVBytes(r.promptTokens), 1)
	return p.engine.PrefillTime(r.promptTokens-r.sharedTokens) + transfer + p.engine.StepTime(1)
}

// workHeap implements heap.Interface over the work of accepted requests, largest first.
type workHeap []time.Duration

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// servedInTimeRatio returns the fraction of the requests that one server can finish
// within their limits. The function demand returns the work of a request and its limit,
// counted from its arrival. Whenever a request would be late, the algorithm of Moore and
// Hodgson drops the largest request of the busy period. The start of the busy period
// stays where it was, which can only raise the count.
func servedInTimeRatio(requests []*request, feasible func(*request) bool, demand func(*request) (work, limit time.Duration)) float64 {
	var freeAt time.Duration
	var accepted workHeap
	counted, served := 0, 0
	for _, r := range requests {
		if r.cancelAfter > 0 {
			continue
		}
		counted++
		work, limit := demand(r)
		if !feasible(r) {
			continue
		}
		if freeAt <= r.arrival {
			freeAt = r.arrival
			accepted = accepted[:0]
		}
		freeAt += work
		served++
		heap.Push(&accepted, work)
		for freeAt > r.arrival+limit && len(accepted) > 0 {
			freeAt -= heap.Pop(&accepted).(time.Duration)
			served--
		}
	}
	if counted == 0 {
		return 1
	}
	return float64(served) / float64(counted)
}
