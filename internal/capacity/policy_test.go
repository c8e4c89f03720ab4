package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/subset"
)

const (
	targetEntries   = 540
	targetUpstreams = 220 // per model
	targetDomains   = 20
	policySeed      = 101
)

func numberedNames(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%04d", prefix, i)
	}
	return list
}

// coverageRange returns the lowest and the highest number of entries per upstream.
func coverageRange(assigned map[string][]string, upstreams []string) (low, high int) {
	count := make(map[string]int)
	for _, list := range assigned {
		for _, u := range list {
			count[u]++
		}
	}
	low = len(assigned)
	for _, u := range upstreams {
		low, high = min(low, count[u]), max(high, count[u])
	}
	return low, high
}

// movedLinks returns the number of links between entries and upstreams that are in
// after but not in before.
func movedLinks(before, after map[string][]string) int {
	n := 0
	for e, list := range after {
		for _, u := range list {
			if !slices.Contains(before[e], u) {
				n++
			}
		}
	}
	return n
}

// Guards against an assignment at the target size that gives some upstreams more
// entries than others, or that changes many links when one entry leaves.
func TestSubsetAtTargetSize(t *testing.T) {
	entries, upstreams := numberedNames("entry", targetEntries), numberedNames("upstream", targetUpstreams)
	begin := cpuTime()
	assigned := subset.Assign(entries, upstreams, subset.DefaultSize)
	duration := cpuTime() - begin
	low, high := coverageRange(assigned, upstreams)
	fewerEntries := subset.Assign(entries[1:], upstreams, subset.DefaultSize)
	fewerUpstreams := subset.Assign(entries, upstreams[1:], subset.DefaultSize)
	fewerDomains := subset.Assign(entries, upstreams[targetUpstreams/targetDomains:], subset.DefaultSize)
	t.Logf("coverage %d to %d; links moved: entry leaves %d of %d, upstream leaves %d (minimum %d), domain leaves %d (minimum %d); processor time %v",
		low, high, movedLinks(assigned, fewerEntries), targetEntries*subset.DefaultSize, movedLinks(assigned, fewerUpstreams), low,
		movedLinks(assigned, fewerDomains), low*targetUpstreams/targetDomains, duration)
	if high-low > 1 {
		t.Errorf("upstreams are assigned to %d to %d entries, want a difference of at most 1", low, high)
	}
	if m := movedLinks(assigned, fewerEntries); m > 8*subset.DefaultSize {
		t.Errorf("an entry that leaves moves %d links, want at most 8 times the subset size", m)
	}
}

// BenchmarkSubset measures the computation of one entry's subset of a pool at the
// target size.
func BenchmarkSubset(b *testing.B) {
	entries, upstreams := numberedNames("entry", targetEntries), numberedNames("upstream", targetUpstreams)
	for b.Loop() {
		subset.ForEntry(entries[7], entries, upstreams, subset.DefaultSize)
	}
}

// population draws the state of the upstreams of one model as an entry sees it.
type population struct {
	rnd     *rand.Rand
	domains int
}

func (p *population) failureDomain(i int) string { return fmt.Sprintf("domain-%d", i%p.domains) }

// drawPrefills draws waits with the given mean, such as that of a queue at load 0.8,
// and hints that are a few hundred milliseconds old.
func (p *population) drawPrefills(upstreams []int, wait time.Duration) []choose.PrefillCandidate {
	list := make([]choose.PrefillCandidate, len(upstreams))
	for i, u := range upstreams {
		list[i] = choose.PrefillCandidate{
			Name: fmt.Sprintf("prefill-%d", u), Domain: p.failureDomain(u),
			Wait:    time.Duration(p.rnd.ExpFloat64() * float64(wait)),
			HintAge: time.Duration(p.rnd.ExpFloat64() * float64(300*time.Millisecond)),
		}
	}
	return list
}

func (p *population) drawDecodes(upstreams []int) []choose.DecodeCandidate {
	list := make([]choose.DecodeCandidate, len(upstreams))
	for i, u := range upstreams {
		list[i] = choose.DecodeCandidate{
			Name: fmt.Sprintf("decode-%d", u), Domain: p.failureDomain(u), Slots: 20,
			FreeSlots: max(0, p.rnd.IntN(10)-4), FreeChunks: 40,
			Wait:    time.Duration(p.rnd.ExpFloat64() * float64(100*time.Millisecond)),
			HintAge: time.Duration(p.rnd.ExpFloat64() * float64(300*time.Millisecond)), SlotInterval: 200 * time.Millisecond,
		}
	}
	return list
}

// prefillOptions vary the selection of the prefill upstream.
type prefillOptions struct {
	sharedPrefix   bool // the prompt has full blocks, whose hashes give it a preferred upstream
	sameDomainOnly bool // all candidates are in the failure domain of the decode upstream
}

// crossDomainRatio returns the fraction of the transfers that cross failure domains
// if each entry selects among subset.DefaultSize upstreams of each pool.
func crossDomainRatio(domains, pool int, wait time.Duration, opts prefillOptions) float64 {
	p := &population{rnd: rand.New(rand.NewPCG(policySeed, 1)), domains: domains}
	const requests = 4000
	crossings := 0
	for range requests {
		decodes := p.drawDecodes(p.rnd.Perm(pool)[:subset.DefaultSize])
		first, _ := choose.SelectDecodeUpstreams(decodes, choose.DecodeRequest{Chunks: 2, Domain: p.failureDomain(p.rnd.IntN(domains))}, p.rnd)
		decodeDomain := decodes[first].Domain
		var candidates []int
		for _, u := range p.rnd.Perm(pool) {
			if len(candidates) < subset.DefaultSize && (!opts.sameDomainOnly || p.failureDomain(u) == decodeDomain) {
				candidates = append(candidates, u)
			}
		}
		prefills := p.drawPrefills(candidates, wait)
		prompt := choose.Prompt{Tokens: 4000, TokensPerSecond: 8000, Domain: decodeDomain}
		if opts.sharedPrefix {
			hash := p.rnd.Uint64N(5000)
			prompt.Hashes = []uint64{hash, hash + 1}
		}
		selected := choose.SelectPrefillUpstream(prefills, prompt)
		if prefills[selected].Domain != decodeDomain {
			crossings++
		}
	}
	return float64(crossings) / requests
}

// TestCrossingShare logs which fraction of the KV cache transfers of a synthetic
// population crosses failure domains. It guards against two errors of direction:
// transfers that cross although all candidates are in one failure domain and, without
// a preferred upstream, more crossing transfers with idle queues than with busy ones.
func TestCrossingShare(t *testing.T) {
	const pool, busy, idle = targetUpstreams / 2, 100 * time.Millisecond, time.Millisecond
	for _, domains := range []int{3, 5, 10, 20} {
		plainBusy, plainIdle := crossDomainRatio(domains, pool, busy, prefillOptions{}), crossDomainRatio(domains, pool, idle, prefillOptions{})
		t.Logf("%2d domains: with leading blocks %.3f (mean prefill wait 100 ms) and %.3f (1 ms), without %.3f and %.3f; random choice %.3f",
			domains, crossDomainRatio(domains, pool, busy, prefillOptions{sharedPrefix: true}), crossDomainRatio(domains, pool, idle, prefillOptions{sharedPrefix: true}),
			plainBusy, plainIdle, 1-1/float64(domains))
		if plainIdle > plainBusy {
			t.Errorf("%d domains: a fraction of %.3f of the transfers crosses with idle queues, but only %.3f with busy ones", domains, plainIdle, plainBusy)
		}
	}
	if local := crossDomainRatio(targetDomains, pool, busy, prefillOptions{sharedPrefix: true, sameDomainOnly: true}); local != 0 {
		t.Errorf("a fraction of %.3f of the transfers crosses although all candidates are in one failure domain", local)
	}
}
