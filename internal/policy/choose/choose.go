// Package choose selects upstreams for the prefill and the decode of a request
// from what one entry process knows, which may be outdated.
//
// All costs are estimated times, so that queue waits, cache hits, transfers and
// distances can be compared with each other.
package choose

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityBlocks is the number of leading blocks that determine the
	// preferred prefill upstream. With more blocks, prompts that share only a
	// system prompt would be spread over different caches.
	affinityBlocks = 2
	// DefaultAffinity limits how much longer the estimated wait at the
	// preferred prefill upstream may be, as a fraction of the prefill time that
	// a complete cache hit saves.
	DefaultAffinity = 0.5
	// DomainPenalty is added to the cost of an upstream in another failure
	// domain: it is selected only if it is faster by more than this.
	DomainPenalty = 3 * time.Millisecond
	// HintTimeConstant is the age at which a load hint counts half; the other
	// half of the estimate is the mean wait of all candidates.
	HintTimeConstant = time.Second
	// waitNoise is the range of the random time that is added to decode costs,
	// as a fraction of the mean wait. It keeps processes that have the same hints
	// from all selecting the same one of several nearly equal candidates.
	waitNoise = 0.1
	// minNoise is the least range of the random time.
	minNoise = 2 * time.Millisecond
)

// PrefillCandidate describes an upstream that could run a prefill.
type PrefillCandidate struct {
	Name   string
	Domain string
	// Wait is the queue wait reported by the load hint plus the estimated time of
	// the work that this process has sent to the candidate since the hint.
	Wait time.Duration
	// HintAge is the age of the load hint.
	HintAge time.Duration
	// CachedTokens is the number of leading prompt tokens that the upstream is
	// expected to have in its cache.
	CachedTokens int
}

// Prompt describes the prompt for which a prefill upstream is selected.
type Prompt struct {
	Tokens int
	// Hashes are the result of PrefixHashes for the prompt.
	Hashes []uint64
	// TokensPerSecond is the prefill speed of the upstreams.
	TokensPerSecond float64
	// Domain is the preferred failure domain.
	Domain string
	// Affinity overrides DefaultAffinity if it is positive.
	Affinity float64
}

// SelectPrefillUpstream returns the index of the candidate with the earliest
// estimated end of the prefill, or -1 if there are no candidates. The candidate
// that rendezvous hashing of the leading blocks prefers is also selected when
// it is later by at most a bounded time, because sending equal prefixes to one
// upstream shortens later prefills.
func SelectPrefillUpstream(candidates []PrefillCandidate, p Prompt) int {
	if len(candidates) == 0 {
		return -1
	}
	preferred := Rendezvous(affinityKey(p.Hashes), candidates, func(c PrefillCandidate) string { return c.Name })
	mean := meanDuration(candidates, func(c PrefillCandidate) time.Duration { return c.Wait })
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		cost := decayTowardsMean(c.Wait, mean, c.HintAge) + p.prefillTime(c.CachedTokens)
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

// prefillTime returns the time to prefill the tokens that are not cached.
func (p Prompt) prefillTime(cached int) time.Duration {
	return seconds(float64(max(0, p.Tokens-cached)) / p.TokensPerSecond)
}

// affinityBonus returns the time by which the preferred upstream may be slower
// than the best one.
func (p Prompt) affinityBonus() time.Duration {
	f := p.Affinity
	if f <= 0 {
		f = DefaultAffinity
	}
	return time.Duration(f * float64(p.prefillTime(0)))
}

// affinityKey returns the hash of the leading blocks that rendezvous hashing
// uses.
func affinityKey(hashes []uint64) uint64 {
	if len(hashes) == 0 {
		return 0
	}
	return hashes[min(len(hashes), affinityBlocks)-1]
}

// Rendezvous returns the index of the candidate that has the highest rendezvous
// hash for the key, or -1 if there are no candidates. Removing a candidate
// changes the result only for the keys that it was selected for.
func Rendezvous[T any](key uint64, candidates []T, name func(T) string) int {
	best, bestWeight := -1, uint64(0)
	for i, c := range candidates {
		w := mix64(key ^ xxhash.Sum64String(name(c)))
		if best < 0 || w > bestWeight || w == bestWeight && name(c) < name(candidates[best]) {
			best, bestWeight = i, w
		}
	}
	return best
}

// mix64 is the finalizer of splitmix64; it distributes changes of any input bit
// over all output bits.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// DecodeCandidate describes an upstream that could run a decode.
type DecodeCandidate struct {
	Name   string
	Domain string
	// Wait is the wait for a slot reported by the load hint; 0 if a slot was free.
	Wait time.Duration
	// FreeSlots is the number of free slots reported by the load hint.
	FreeSlots int
	// FreeChunks is the free memory reported by the load hint, in chunks.
	FreeChunks int
	// Slots is the total number of slots of the engine.
	Slots int
	// HintAge is the age of the load hint.
	HintAge time.Duration
	// SentSinceHint is the number of requests that this process has sent to the
	// candidate since the load hint.
	SentSinceHint int
	// SlotInterval is the mean time between two slots becoming free.
	SlotInterval time.Duration
	// LinkWait is the estimated time until the network link of the upstream can
	// carry another transfer.
	LinkWait time.Duration
}

// DecodeRequest describes the request for which decode upstreams are selected.
type DecodeRequest struct {
	// Chunks is the memory that the request needs.
	Chunks int
	// Domain is the preferred failure domain.
	Domain string
}

// SelectDecodeUpstreams returns the indices of the two candidates with the
// shortest estimated wait, the better one first. An index is -1 if there is no
// such candidate. The second one is in another failure domain than the first if
// a candidate there is nearly as good.
func SelectDecodeUpstreams(candidates []DecodeCandidate, req DecodeRequest, rnd *rand.Rand) (first, second int) {
	if len(candidates) == 0 {
		return -1, -1
	}
	noise := noiseRange(candidates)
	ranked := rankDecodeCandidates(candidates, req, noise, rnd)
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

// noiseRange returns the range of the random time that is added to each cost.
func noiseRange(candidates []DecodeCandidate) time.Duration {
	mean := meanDuration(candidates, func(c DecodeCandidate) time.Duration { return c.Wait })
	return max(minNoise, time.Duration(waitNoise*float64(mean)))
}

// rankedCandidate is a candidate, by its index, with its estimated cost.
type rankedCandidate struct {
	index int
	cost  time.Duration
}

// rankDecodeCandidates returns the candidates in ascending order of their
// estimated cost.
func rankDecodeCandidates(candidates []DecodeCandidate, req DecodeRequest, noise time.Duration, rnd *rand.Rand) []rankedCandidate {
	mean := meanDuration(candidates, func(c DecodeCandidate) time.Duration { return c.Wait })
	list := make([]rankedCandidate, len(candidates))
	for i, c := range candidates {
		cost := decayTowardsMean(c.estimatedWait(req), mean, c.HintAge) + c.LinkWait + time.Duration(rnd.Int64N(int64(noise)))
		if c.Domain != req.Domain {
			cost += DomainPenalty
		}
		list[i] = rankedCandidate{i, cost}
	}
	slices.SortFunc(list, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index))
	})
	return list
}

// estimatedWait returns the expected wait for a slot and memory. It accounts
// for the requests that this process has sent to the candidate since its load
// hint. If the candidate has free capacity, the real wait is zero; the result is
// then a part of SlotInterval that grows with the used slots, so that idle
// upstreams are preferred to busy ones.
func (c DecodeCandidate) estimatedWait(req DecodeRequest) time.Duration {
	free := min(c.FreeSlots-c.SentSinceHint, c.FreeChunks/max(1, req.Chunks)-c.SentSinceHint)
	if free > 0 {
		used := float64(c.Slots-free) / float64(max(1, c.Slots))
		return time.Duration(used * float64(c.SlotInterval))
	}
	return c.Wait + time.Duration(1-free)*c.SlotInterval
}

// decayTowardsMean returns a weighted mean of a hinted value and the mean of
// all candidates; the hint counts less the older it is.
func decayTowardsMean(hint, mean, age time.Duration) time.Duration {
	if age <= 0 {
		return hint
	}
	weight := float64(HintTimeConstant) / float64(HintTimeConstant+age)
	return time.Duration(weight*float64(hint) + (1-weight)*float64(mean))
}

func meanDuration[T any](list []T, f func(T) time.Duration) time.Duration {
	var sum time.Duration
	for _, c := range list {
		sum += f(c)
	}
	return sum / time.Duration(len(list))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
