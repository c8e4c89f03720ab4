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

// eligibleTargets returns the upstreams of this entry's subset of a pool that
// may receive new work, except those in avoid. A sidecar that has announced in a
// load hint that it is leaving is skipped at once, because the platform's
// instance list lags behind. Suspect members are returned only when no serving
// member is left.
func (e *Entry) eligibleTargets(snap *config.Snapshot, pool string, avoid map[string]bool) []target {
	var serving, suspect []target
	for _, name := range e.subsets.upstreamsFor(snap, e.members, e.instance, pool) {
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

// leavingByHint reports whether the latest load hint of this incarnation of the
// sidecar says that it is leaving.
func (e *Entry) leavingByHint(upstream string, m membership.Member) bool {
	h, ok := e.hints.get(upstream)
	return ok && h.load.Leaving && h.load.Incarnation == m.Incarnation
}

// decodeCandidates returns the decode upstreams in the order in which the
// request should ask them for a reservation: first the two that the policy
// chooses, then the others in random order.
func (e *Entry) decodeCandidates(snap *config.Snapshot, req *Request, avoid map[string]bool) []target {
	list := e.eligibleTargets(snap, req.Model.DecodePool, avoid)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if req.Suspect {
		return suspectTarget(req, list)
	}
	candidates := make([]choose.DecodeCandidate, len(list))
	for i, t := range list {
		candidates[i] = e.decodeCandidate(t)
	}
	need := choose.DecodeRequest{
		Chunks: reserve.ChunksFor(req.PrefillTokens() + int(e.predictRemaining(req))),
		Domain: e.failureDomain,
	}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	first, second := choose.SelectDecodeUpstreams(candidates, need, rnd)
	return moveToFront(list, first, second)
}

// moveToFront returns list with the elements at two indexes moved to the front.
// A negative index selects no element.
func moveToFront(list []target, first, second int) []target {
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

// suspectTarget returns the single upstream at which a suspect request may run.
// The choice depends only on the request's fingerprint and the list, so that
// duplicates sent through other entries reach the same sidecar, which runs them
// one at a time and remembers a crash.
func suspectTarget(req *Request, list []target) []target {
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
	c.Wait = e.hints.estimatedWait(t.upstream)
	c.Slots = int(h.load.Slots)
	c.FreeSlots = int(h.load.Slots - min(h.load.Slots, h.load.Running))
	c.FreeChunks = int(h.load.FreeChunks)
	c.HintAge = time.Since(h.at)
	c.SentSinceHint = e.hints.sentSinceHint(t.upstream)
	return c
}

// unknownHintAge is the age assumed for an upstream that has sent no load hint.
const unknownHintAge = time.Hour

// choosePrefill picks the prefill upstream by the policy, which weighs the
// queue, the cached prefix and the distance to domain, the failure domain in
// which the output will be decoded. It also returns the expected time until the
// prefill ends.
func (e *Entry) choosePrefill(snap *config.Snapshot, req *Request, domain string, avoid map[string]bool) (target, time.Duration, bool) {
	list := e.eligibleTargets(snap, req.Model.PrefillPool, avoid)
	slices.SortFunc(list, func(a, b target) int { return strings.Compare(a.upstream, b.upstream) })
	if req.Suspect {
		list = suspectTarget(req, list)
	}
	hashes := req.prefixHashes()
	candidates := make([]choose.PrefillCandidate, len(list))
	for i, t := range list {
		candidates[i] = e.prefillCandidate(t, hashes)
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
	return list[at], candidates[at].Wait + e.prefillRate.durationFor(uncached), true
}

func (e *Entry) prefillCandidate(t target, hashes []uint64) choose.PrefillCandidate {
	c := choose.PrefillCandidate{
		Name:         t.upstream,
		Domain:       t.member.FailureDomain,
		HintAge:      unknownHintAge,
		CachedTokens: e.cache.cached(t.upstream, hashes),
		Wait:         e.hints.estimatedWait(t.upstream),
	}
	if h, ok := e.hints.get(t.upstream); ok {
		c.HintAge = time.Since(h.at)
	}
	return c
}

// estimatePrefill estimates the time from a granted reservation until the
// prefill output can be imported.
func (e *Entry) estimatePrefill(snap *config.Snapshot, req *Request) time.Duration {
	if _, took, ok := e.choosePrefill(snap, req, e.failureDomain, nil); ok {
		return took
	}
	return e.prefillRate.durationFor(req.PrefillTokens())
}
