package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
)

// targets returns the upstreams of a pool that may get new work. Load hints go
// before the platform's list, which lags: a sidecar that announced its leaving
// on a reply gets nothing new.
func (e *Entry) targets(snap *config.Snapshot, pool string, avoid map[string]bool) []target {
	var list []target
	for _, u := range snap.PoolMembers(pool) {
		m, ok := e.members.Upstream(u.Name)
		if !ok || avoid[u.Name] || !m.State.AcceptsWork() {
			continue
		}
		if h, ok := e.hints.get(u.Name); ok && h.load.Leaving && h.load.Incarnation == m.Incarnation {
			continue
		}
		list = append(list, target{upstream: u.Name, member: m})
	}
	return list
}

// decodeCandidates orders the decode upstreams by their hinted wait and load.
func (e *Entry) decodeCandidates(snap *config.Snapshot, req *Request, avoid map[string]bool) []target {
	list := e.targets(snap, req.Model.DecodePool, avoid)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b target) int { return cmp.Compare(e.decodeScore(a), e.decodeScore(b)) })
	return list
}

const suspectPenalty = 1e6

func (e *Entry) decodeScore(t target) float64 {
	score := 0.0
	if t.member.State == membership.Suspect {
		score += suspectPenalty
	}
	h, ok := e.hints.get(t.upstream)
	if !ok {
		return score
	}
	score += float64(h.load.WaitMs)
	if h.load.Slots > 0 {
		score += 100 * float64(h.load.Running+h.load.Queued) / float64(h.load.Slots)
	}
	return score
}

// prefillCandidate picks the prefill upstream by rendezvous hashing of the
// prompt's beginning, so that shared prefixes meet a warm cache, and passes over
// an upstream whose queue is much longer than the shortest.
func (e *Entry) prefillCandidate(snap *config.Snapshot, req *Request, _ target, avoid map[string]bool) (target, bool) {
	list := e.targets(snap, req.Model.PrefillPool, avoid)
	if len(list) == 0 {
		return target{}, false
	}
	prefix := prefixKey(req.Prompt)
	slices.SortFunc(list, func(a, b target) int {
		return cmp.Compare(rendezvousWeight(prefix, b.upstream), rendezvousWeight(prefix, a.upstream))
	})
	shortest := slices.MinFunc(list, func(a, b target) int { return cmp.Compare(e.queueWait(a), e.queueWait(b)) })
	for _, t := range list {
		if e.queueWait(t) <= e.queueWait(shortest)+affinityWaitMs {
			return t, true
		}
	}
	return shortest, true
}

// affinityWaitMs is how much longer a queue may be than the shortest before
// prefix affinity yields; a cached prefix saves about this much prefill.
const affinityWaitMs = 150

func (e *Entry) queueWait(t target) uint64 {
	if h, ok := e.hints.get(t.upstream); ok {
		return h.load.WaitMs
	}
	return 0
}

// prefixBytes is the length of the prompt's beginning that decides affinity.
const prefixBytes = 2048

func prefixKey(prompt string) string { return prompt[:min(len(prompt), prefixBytes)] }

func rendezvousWeight(key, upstream string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(upstream)) + upstream + key)
}
