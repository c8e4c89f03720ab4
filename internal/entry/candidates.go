package entry

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

// targets returns the upstreams of this entry's subset of a pool that may get
// new work. A load hint takes precedence over the platform's list, which lags:
// a sidecar that announced its leaving on a reply gets nothing new.
// Suspect members are used only when no other is left.
func (e *Entry) targets(snap *config.Snapshot, pool string, avoid map[string]bool) []target {
	var serving, suspect []target
	for _, name := range e.subsets.of(snap, e.members, e.instance, pool) {
		m, ok := e.members.SidecarOf(name)
		if !ok || avoid[name] || !m.State.AcceptsWork() || e.leavingByHint(name, m) {
			continue
		}
		t := target{upstream: name, member: m}
		if m.State == membership.Suspect {
			suspect = append(suspect, t)
			continue
		}
		serving = append(serving, t)
	}
	if len(serving) == 0 {
		return suspect
	}
	return serving
}

func (e *Entry) leavingByHint(upstream string, m membership.Member) bool {
	h, ok := e.hints.get(upstream)
	return ok && h.load.Leaving && h.load.Incarnation == m.Incarnation
}

// decodeCandidates returns the decode upstreams in the order in which to ask
// them: the two that the policy chooses, then the others at random.
func (e *Entry) decodeCandidates(snap *config.Snapshot, req *Request, avoid map[string]bool) []target {
	list := e.targets(snap, req.Model.DecodePool, avoid)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if req.Suspect {
		return suspectOrder(req, list)
	}
	candidates := make([]choose.DecodeCandidate, len(list))
	for i, t := range list {
		candidates[i] = e.decodeCandidate(t)
	}
	need := choose.DecodeRequest{
		Chunks: reserve.ChunksFor(req.PrefillTokens() + int(e.predict(req))),
		Domain: e.domain,
	}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	first, second := choose.SelectDecodeUpstreams(candidates, need, rnd)
	return frontTwo(list, first, second)
}

// frontTwo moves two elements to the front of list.
func frontTwo(list []target, first, second int) []target {
	if first < 0 {
		return list
	}
	out := make([]target, 0, len(list))
	out = append(out, list[first])
	if second >= 0 {
		out = append(out, list[second])
	}
	for i, t := range list {
		if i != first && i != second {
			out = append(out, t)
		}
	}
	return out
}

// suspectOrder returns the one upstream at which a suspect may run. It follows
// from the fingerprint alone, so that copies of the request that were sent
// through other entries meet at the same sidecar, which runs them one at a time
// and remembers the crash.
func suspectOrder(req *Request, list []target) []target {
	at := choose.Rendezvous(xxhash.Sum64(req.Fingerprint[:]), list, targetName)
	if at < 0 {
		return nil
	}
	return list[at : at+1]
}

func targetName(t target) string { return t.upstream }

func (e *Entry) decodeCandidate(t target) choose.DecodeCandidate {
	c := choose.DecodeCandidate{Name: t.upstream, Domain: t.member.FailureDomain, HintAge: unknownHintAge}
	h, ok := e.hints.get(t.upstream)
	if !ok {
		return c
	}
	c.Wait = e.hints.wait(t.upstream)
	c.Slots = int(h.load.Slots)
	c.FreeSlots = int(h.load.Slots - min(h.load.Slots, h.load.Running))
	c.FreeChunks = int(h.load.FreeChunks)
	c.HintAge = time.Since(h.at)
	c.SentSinceHint = e.hints.sentSince(t.upstream)
	return c
}

// unknownHintAge marks an upstream that no hint is known of.
const unknownHintAge = time.Hour

// prefillCandidate picks the prefill upstream by the policy's weighing of queue,
// cached prefix and distance. domain is where the output will be decoded. It
// also returns the expected time until the prefill ends.
func (e *Entry) prefillCandidate(snap *config.Snapshot, req *Request, domain string, avoid map[string]bool) (target, time.Duration, bool) {
	list := e.targets(snap, req.Model.PrefillPool, avoid)
	slices.SortFunc(list, func(a, b target) int { return strings.Compare(a.upstream, b.upstream) })
	if req.Suspect {
		list = suspectOrder(req, list)
	}
	hashes := req.prefixHashes()
	candidates := make([]choose.PrefillCandidate, len(list))
	for i, t := range list {
		candidates[i] = e.prefillOption(t, hashes)
	}
	rate := e.prefillRate.rate()
	at := choose.SelectPrefillUpstream(candidates, choose.Prompt{
		Tokens:          req.PrefillTokens(),
		Hashes:          hashes,
		TokensPerSecond: rate,
		Domain:          domain,
	})
	if at < 0 {
		return target{}, 0, false
	}
	uncached := max(1, req.PrefillTokens()-candidates[at].CachedTokens)
	return list[at], candidates[at].Wait + e.prefillRate.estimate(uncached), true
}

func (e *Entry) prefillOption(t target, hashes []uint64) choose.PrefillCandidate {
	c := choose.PrefillCandidate{
		Name:         t.upstream,
		Domain:       t.member.FailureDomain,
		HintAge:      unknownHintAge,
		CachedTokens: e.cache.cached(t.upstream, hashes),
		Wait:         e.hints.wait(t.upstream),
	}
	if h, ok := e.hints.get(t.upstream); ok {
		c.HintAge = time.Since(h.at)
	}
	return c
}

// prefillTime estimates the time from a grant until the prefill output can be
// imported.
func (e *Entry) prefillTime(snap *config.Snapshot, req *Request) time.Duration {
	if _, took, ok := e.prefillCandidate(snap, req, e.domain, nil); ok {
		return took
	}
	return e.prefillRate.estimate(req.PrefillTokens())
}
