package bench

import (
	"container/heap"
	"time"
)

// pooled is what an installation can do at best, seen as one prefill server
// with the summed rate and one decode memory with the summed chunks.
type pooled struct {
	prefills, decodes float64
	streams           float64 // per decode engine
	step              time.Duration
}

func poolOf(p profile, requests []*request) pooled {
	var chunkTokens, tokens float64
	for _, r := range requests {
		chunkTokens += float64(p.engine.ChunksFor(r.prompt+r.output)) * float64(r.output)
		tokens += float64(r.output)
	}
	streams := min(float64(p.engine.Slots), float64(p.engine.CapacityChunks())*tokens/chunkTokens)
	step := float64(p.engine.StepBase) + streams*float64(p.engine.StepPerStream)
	return pooled{prefills: float64(p.prefills), decodes: float64(p.decodes), streams: streams, step: time.Duration(step)}
}

// prefillWork is the time of the pooled prefill server; shared prefixes are
// always cached.
func (b pooled) prefillWork(p profile, r *request) time.Duration {
	return time.Duration(float64(p.engine.PrefillTime(r.prompt-r.shared)) / b.prefills)
}

// decodeWork is the time of the pooled decode memory, in which this request's
// part of slots or chunks is in use, whichever is larger.
func (b pooled) decodeWork(p profile, r *request) time.Duration {
	part := max(1/float64(p.engine.Slots), float64(p.engine.ChunksFor(r.prompt+r.output))/float64(p.engine.CapacityChunks()))
	return time.Duration(part * float64(r.output) * float64(b.step) / b.decodes)
}

// capacity returns the requests per second of the mix at which the scarcer of
// the two pools is fully used.
func capacity(p profile, requests []*request) float64 {
	b := poolOf(p, requests)
	var prefill, decode time.Duration
	for _, r := range requests {
		prefill += b.prefillWork(p, r)
		decode += b.decodeWork(p, r)
	}
	return float64(len(requests)) / max(prefill, decode).Seconds()
}

// upperBound returns the greatest part of the requests that any policy could
// serve within the targets: the smaller bound of the two pools. Cancelled
// requests count neither as served nor as work; a request that misses the
// first-token target even on idle engines is not served.
func upperBound(p profile, requests []*request) float64 {
	b := poolOf(p, requests)
	first := p.settings.ttft
	possible := func(r *request) bool { return p.fastest(r) <= first }
	prefill := onTime(requests, possible, func(r *request) (work, limit time.Duration) {
		return b.prefillWork(p, r), first
	})
	// A stream that starts in time may use its whole output time. The longest
	// one is granted to all, because the algorithm needs limits in order of arrival.
	longest := 0
	for _, r := range requests {
		longest = max(longest, r.output)
	}
	last := first + time.Duration(longest)*p.settings.tpot
	decode := onTime(requests, possible, func(r *request) (work, limit time.Duration) {
		return b.decodeWork(p, r), last
	})
	return min(prefill, decode)
}

// fastest is the first-token time of a request alone on idle engines that have
// its shared prefix cached.
func (p profile) fastest(r *request) time.Duration {
	transfer := p.engine.TransferTime(p.engine.KVBytes(r.prompt), 1)
	return p.engine.PrefillTime(r.prompt-r.shared) + transfer + p.engine.StepTime(1)
}

// backlog is a heap of accepted work, largest first.
type backlog []time.Duration

func (b backlog) Len() int           { return len(b) }
func (b backlog) Less(i, j int) bool { return b[i] > b[j] }
func (b backlog) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *backlog) Push(x any)        { *b = append(*b, x.(time.Duration)) }
func (b *backlog) Pop() any {
	old := *b
	last := old[len(old)-1]
	*b = old[:len(old)-1]
	return last
}

// onTime counts the requests that one server can finish within their limits.
// Whenever a request would be late, the largest one of the busy period is given
// up (the algorithm of Moore and Hodgson), with the start of the busy period
// kept, which can only raise the count.
func onTime(requests []*request, possible func(*request) bool, demand func(*request) (work, limit time.Duration)) float64 {
	var free time.Duration
	var busy backlog
	counted, served := 0, 0
	for _, r := range requests {
		if r.cancelIn > 0 {
			continue
		}
		counted++
		work, limit := demand(r)
		if !possible(r) {
			continue
		}
		if free <= r.arrival {
			free = r.arrival
			busy = busy[:0]
		}
		free += work
		served++
		heap.Push(&busy, work)
		for free > r.arrival+limit && len(busy) > 0 {
			free -= heap.Pop(&busy).(time.Duration)
			served--
		}
	}
	if counted == 0 {
		return 1
	}
	return float64(served) / float64(counted)
}
