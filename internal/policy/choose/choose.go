// Package choose selects upstreams for prefill and decode from an entry's own,
// possibly outdated knowledge.
//
// Estimates are in time, so that queues, cache hits, links and distance can be
// weighed against each other.
package choose

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityBlocks is the number of leading blocks that select the preferred
	// prefill upstream. More blocks would scatter prompts that share only a
	// system prompt over different caches.
	affinityBlocks = 2
	// DefaultAffinity bounds the additional estimated wait that the preferred
	// prefill upstream may have, as a fraction of the prefill time that a
	// complete cache hit saves.
	DefaultAffinity = 0.5
	// DomainPenalty is what an upstream in another failure domain must be faster by.
	DomainPenalty = 3 * time.Millisecond
	// HintTimeConstant is the age at which a load hint has lost most of its value; the
	// estimate moves towards the mean of all candidates with it.
	HintTimeConstant = time.Second
	// waitNoise spreads the entries' choices among nearly equal candidates, as a
	// fraction of the mean wait, so that entries with the same hints do not all
	// choose the same upstream.
	waitNoise = 0.1
	minNoise  = 2 * time.Millisecond
)

// PrefillCandidate is a candidate for a prefill.
type PrefillCandidate struct {
	Name   string
	Domain string
	// Wait is the hinted queue wait plus the work that this entry sent since the hint.
	Wait time.Duration
	// Age is the age of the hint.
	HintAge time.Duration
	// CachedTokens is the part of the prompt that is believed to be cached.
	CachedTokens int
}

// Prompt is what the choice of a prefill upstream needs to know of a prompt.
type Prompt struct {
	Tokens int
	// Hashes are its PrefixHashes.
	Hashes []uint64
	// Rate is the prefill speed in tokens per second.
	TokensPerSecond float64
	// Domain is the failure domain to prefer.
	Domain string
	// Affinity overrides DefaultAffinity when positive.
	Affinity float64
}

// SelectPrefillUpstream returns the index of the upstream with the earliest estimated
// end of the prefill, or -1 when there is none. The upstream that rendezvous
// hashing of the leading blocks prefers may be later by a bounded time, because
// concentrating equal prefixes saves later prefills.
func SelectPrefillUpstream(candidates []PrefillCandidate, p Prompt) int {
	if len(candidates) == 0 {
		return -1
	}
	preferred := Rendezvous(affinityKey(p.Hashes), candidates, func(c PrefillCandidate) string { return c.Name })
	mean := meanOf(candidates, func(c PrefillCandidate) time.Duration { return c.Wait })
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		cost := fresh(c.Wait, mean, c.HintAge) + p.work(c.CachedTokens)
		if c.Domain != p.Domain {
			cost += DomainPenalty
		}
		if i == preferred && len(p.Hashes) > 0 {
			cost -= p.affinityBonus()
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (p Prompt) work(cached int) time.Duration {
	return seconds(float64(max(0, p.Tokens-cached)) / p.TokensPerSecond)
}

func (p Prompt) affinityBonus() time.Duration {
	f := p.Affinity
	if f <= 0 {
		f = DefaultAffinity
	}
	return time.Duration(f * float64(p.work(0)))
}

func affinityKey(hashes []uint64) uint64 {
	if len(hashes) == 0 {
		return 0
	}
	return hashes[min(len(hashes), affinityBlocks)-1]
}

// Rendezvous returns the index of the candidate that the key prefers, or -1.
// When a candidate is removed, only the keys that preferred it move.
func Rendezvous[T any](key uint64, candidates []T, name func(T) string) int {
	best, bestWeight := -1, uint64(0)
	for i, c := range candidates {
		w := mix(key ^ xxhash.Sum64String(name(c)))
		if best < 0 || w > bestWeight || w == bestWeight && name(c) < name(candidates[best]) {
			best, bestWeight = i, w
		}
	}
	return best
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// DecodeCandidate is a candidate for a decode.
type DecodeCandidate struct {
	Name   string
	Domain string
	// Wait is the hinted wait for a slot; 0 when one was free.
	Wait time.Duration
	// FreeSlots is the hinted number of free slots.
	FreeSlots int
	// FreeChunks is the hinted free memory.
	FreeChunks int
	// Slots is the size of the engine.
	Slots int
	// Age is the age of the hint.
	HintAge time.Duration
	// Sent is the number of requests that this entry sent since the hint.
	SentSinceHint int
	// PerRequest is the mean time between two slots becoming free.
	SlotInterval time.Duration
	// Link is the estimated time until the upstream's link can carry another transfer.
	LinkWait time.Duration
}

// DecodeRequest is what the choice of decode candidates needs to know of a request.
type DecodeRequest struct {
	Chunks int
	Domain string
}

// SelectDecodeUpstreams returns the indices of the two candidates with the shortest
// estimated wait, best first, or -1 where there is none. Of nearly equal ones,
// the second is in another failure domain than the first.
func SelectDecodeUpstreams(candidates []DecodeCandidate, need DecodeRequest, rnd *rand.Rand) (first, second int) {
	if len(candidates) == 0 {
		return -1, -1
	}
	noise := waitSpread(candidates)
	ranked := rankDecode(candidates, need, noise, rnd)
	if len(ranked) == 1 {
		return ranked[0].index, -1
	}
	domain := candidates[ranked[0].index].Domain
	limit := ranked[1].cost + DomainPenalty + noise
	for _, r := range ranked[1:] {
		if r.cost <= limit && candidates[r.index].Domain != domain {
			return ranked[0].index, r.index
		}
	}
	return ranked[0].index, ranked[1].index
}

func waitSpread(candidates []DecodeCandidate) time.Duration {
	mean := meanOf(candidates, func(c DecodeCandidate) time.Duration { return c.Wait })
	return max(minNoise, time.Duration(waitNoise*float64(mean)))
}

type ranked struct {
	index int
	cost  time.Duration
}

func rankDecode(candidates []DecodeCandidate, need DecodeRequest, noise time.Duration, rnd *rand.Rand) []ranked {
	mean := meanOf(candidates, func(c DecodeCandidate) time.Duration { return c.Wait })
	list := make([]ranked, len(candidates))
	for i, c := range candidates {
		cost := fresh(c.wait(need), mean, c.HintAge) + c.LinkWait + time.Duration(rnd.Int64N(int64(noise)))
		if c.Domain != need.Domain {
			cost += DomainPenalty
		}
		list[i] = ranked{i, cost}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index))
	})
	return list
}

// wait adds the requests sent since the hint and the part of the load that is
// below saturation, so that idle upstreams are preferred to busy ones.
func (c DecodeCandidate) wait(need DecodeRequest) time.Duration {
	free := min(c.FreeSlots-c.SentSinceHint, c.FreeChunks/max(1, need.Chunks)-c.SentSinceHint)
	if free > 0 {
		used := float64(c.Slots-free) / float64(max(1, c.Slots))
		return time.Duration(used * float64(c.SlotInterval))
	}
	return c.Wait + time.Duration(1-free)*c.SlotInterval
}

// fresh moves a hinted value towards the mean with the age of the hint.
func fresh(hint, mean, age time.Duration) time.Duration {
	if age <= 0 {
		return hint
	}
	weight := float64(HintTimeConstant) / float64(HintTimeConstant+age)
	return time.Duration(weight*float64(hint) + (1-weight)*float64(mean))
}

func meanOf[T any](list []T, f func(T) time.Duration) time.Duration {
	var sum time.Duration
	for _, c := range list {
		sum += f(c)
	}
	return sum / time.Duration(len(list))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
