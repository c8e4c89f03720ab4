package bench

import (
	"container/heap"
	"time"
)

// poolCapacity is what an installation can do at best, seen as one prefill server
// with the summed rate and one decode memory with the summed chunks.
type poolCapacity struct {
	prefillEngines, decodeEngines float64
	streamsPerEngine              float64 // per decode engine
	stepTime                      time.Duration
}

func newPoolCapacity(p profile, requests []*request) poolCapacity {
	var chunkTokens, tokens float64
	for _, r := range requests {
		chunkTokens += float64(p.engine.Chunks(r.promptTokens+r.outputTokens)) * float64(r.outputTokens)
		tokens += float64(r.outputTokens)
	}
	streams := min(float64(p.engine.Slots), float64(p.engine.CapacityChunks())*tokens/chunkTokens)
	step := float64(p.engine.StepBase) + streams*float64(p.engine.StepPerStream)
	return poolCapacity{prefillEngines: float64(p.prefills), decodeEngines: float64(p.decodes), streamsPerEngine: streams, stepTime: time.Duration(step)}
}

// prefillTime is the time of the pooled prefill server; shared prefixes are
// always cached.
func (b poolCapacity) prefillTime(p profile, r *request) time.Duration {
	return time.Duration(float64(p.engine.PrefillTime(r.promptTokens-r.sharedTokens)) / b.prefillEngines)
}

// decodeTime is the time of the pooled decode memory, in which this request's
// part of slots or chunks is in use, whichever is larger.
func (b poolCapacity) decodeTime(p profile, r *request) time.Duration {
	fraction := max(1/float64(p.engine.Slots), float64(p.engine.Chunks(r.promptTokens+r.outputTokens))/float64(p.engine.CapacityChunks()))
	return time.Duration(fraction * float64(r.outputTokens) * float64(b.stepTime) / b.decodeEngines)
}

// requestRateAtCapacity returns the requests per second of the mix at which the scarcer of
// the two pools is fully used.
func requestRateAtCapacity(p profile, requests []*request) float64 {
	b := newPoolCapacity(p, requests)
	var prefill, decode time.Duration
	for _, r := range requests {
		prefill += b.prefillTime(p, r)
		decode += b.decodeTime(p, r)
	}
	return float64(len(requests)) / max(prefill, decode).Seconds()
}

// upperBound returns the greatest part of the requests that any policy could
// serve within the targets: the smaller bound of the two pools. Cancelled
// requests count neither as served nor as work; a request that misses the
// first-token target even on idle engines is not served.
func upperBound(p profile, requests []*request) float64 {
	b := newPoolCapacity(p, requests)
	firstTokenLimit := p.settings.ttftTarget
	feasible := func(r *request) bool { return p.minTTFT(r) <= firstTokenLimit }
	prefill := servedInTimeRatio(requests, feasible, func(r *request) (work, limit time.Duration) {
		return b.prefillTime(p, r), firstTokenLimit
	})
	// A stream that starts in time may use its whole output time. The longest
	// one is granted to all, because the algorithm needs limits in order of arrival.
	maxOutput := 0
	for _, r := range requests {
		maxOutput = max(maxOutput, r.outputTokens)
	}
	lastTokenLimit := firstTokenLimit + time.Duration(maxOutput)*p.settings.tpotTarget
	decode := servedInTimeRatio(requests, feasible, func(r *request) (work, limit time.Duration) {
		return b.decodeTime(p, r), lastTokenLimit
	})
	return min(prefill, decode)
}

// minTTFT is the first-token time of a request alone on idle engines that have
// its shared prefix cached.
func (p profile) minTTFT(r *request) time.Duration {
	transfer := p.engine.TransferTime(p.engine.KVBytes(r.promptTokens), 1)
	return p.engine.PrefillTime(r.promptTokens-r.sharedTokens) + transfer + p.engine.StepTime(1)
}

// workHeap is a heap of accepted work, largest first.
type workHeap []time.Duration

func (b workHeap) Len() int           { return len(b) }
func (b workHeap) Less(i, j int) bool { return b[i] > b[j] }
func (b workHeap) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *workHeap) Push(x any)        { *b = append(*b, x.(time.Duration)) }
func (b *workHeap) Pop() any {
	old := *b
	last := old[len(old)-1]
	*b = old[:len(old)-1]
	return last
}

// servedInTimeRatio counts the requests that one server can finish within their limits.
// Whenever a request would be late, the largest one of the busy period is given
// up (the algorithm of Moore and Hodgson), with the start of the busy period
// kept, which can only raise the count.
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
