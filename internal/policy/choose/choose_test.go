package choose

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against prefills that ignore caches, load or distance.
func TestPrefillUpstream(t *testing.T) {
	hashes := []uint64{11, 22, 33, 44}
	name := func(c PrefillCandidate) string { return c.Name }
	base := []PrefillCandidate{{Name: "a", Domain: "d1"}, {Name: "b", Domain: "d2"}, {Name: "c", Domain: "d3"}}
	preferred := Rendezvous(affinityKey(hashes), base, name)
	other := (preferred + 1) % len(base)
	cases := []struct {
		name   string
		change func([]PrefillCandidate)
		hashes []uint64
		domain string
		want   int
	}{
		{"idle: the preferred one", func([]PrefillCandidate) {}, hashes, "", preferred},
		{"preferred is loaded beyond the bound", func(c []PrefillCandidate) { c[preferred].Wait = time.Second; c[3-preferred-other].Wait = time.Second }, hashes, "", other},
		{"cache events tell of a hit elsewhere", func(c []PrefillCandidate) { c[other].CachedTokens = 1024 }, hashes, "", other},
		{"a hit does not justify a long queue", func(c []PrefillCandidate) { c[other].CachedTokens = 1024; c[other].Wait = time.Second }, hashes, "", preferred},
		{"short prompt: own failure domain", func([]PrefillCandidate) {}, nil, "d2", 1},
		{"an old hint counts less", func(c []PrefillCandidate) {
			c[0].Wait = 90 * ms
			c[1].Wait = 60 * ms
			c[1].HintAge = time.Hour
			c[2].Wait = 63 * ms
		}, nil, "d3", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cands := append([]PrefillCandidate(nil), base...)
			c.change(cands)
			got := SelectPrefillUpstream(cands, Prompt{Tokens: 1100, Hashes: c.hashes, TokensPerSecond: 10_000, Domain: c.domain})
			if got != c.want {
				t.Fatalf("got %d, want %d", got, c.want)
			}
		})
	}
	if SelectPrefillUpstream(nil, Prompt{}) != -1 {
		t.Fatal("want -1 without candidates")
	}
}

// Guards against decode choices that follow stale hints or one failure domain.
func TestDecodeUpstreams(t *testing.T) {
	free := func(name, domain string, slots int) DecodeCandidate {
		return DecodeCandidate{Name: name, Domain: domain, FreeSlots: slots, FreeChunks: 2 * slots, Slots: 20, SlotInterval: 200 * ms}
	}
	full := func(name, domain string, wait time.Duration) DecodeCandidate {
		return DecodeCandidate{Name: name, Domain: domain, Slots: 20, Wait: wait, SlotInterval: 200 * ms}
	}
	with := func(c DecodeCandidate, f func(*DecodeCandidate)) DecodeCandidate { f(&c); return c }
	cases := []struct {
		name          string
		cands         []DecodeCandidate
		chunks        int
		first, second int
	}{
		{"none", nil, 1, -1, -1},
		{"one", []DecodeCandidate{full("a", "d1", time.Second)}, 1, 0, -1},
		{"shortest waits", []DecodeCandidate{full("a", "d1", 3*time.Second), full("b", "d1", time.Second), full("c", "d1", 2*time.Second)}, 1, 1, 2},
		{"free before full", []DecodeCandidate{full("a", "d1", 0), free("b", "d1", 3), free("c", "d1", 15)}, 1, 2, 1},
		{"memory is too small", []DecodeCandidate{full("a", "d1", 900*ms), with(free("b", "d1", 2), func(c *DecodeCandidate) { c.Wait = 2 * time.Second }), free("c", "d1", 15)}, 9, 2, 0},
		{"own requests since the hint", []DecodeCandidate{with(free("a", "d1", 9), func(c *DecodeCandidate) { c.SentSinceHint = 12 }), free("b", "d1", 3), free("c", "d1", 8)}, 1, 2, 1},
		{"busy link", []DecodeCandidate{with(free("a", "d1", 20), func(c *DecodeCandidate) { c.LinkWait = time.Second }), free("b", "d1", 10), free("c", "d1", 3)}, 1, 1, 2},
		{"second in another domain", []DecodeCandidate{free("a", "d1", 20), free("b", "d1", 15), free("c", "d2", 15)}, 1, 0, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			first, second := SelectDecodeUpstreams(c.cands, DecodeRequest{Chunks: c.chunks, Domain: "d1"}, rnd)
			if first != c.first || second != c.second {
				t.Fatalf("got %d, %d; want %d, %d", first, second, c.first, c.second)
			}
		})
	}
}

// Guards against an index that believes in evicted prefixes or grows without bound.
func TestCacheIndex(t *testing.T) {
	words := make([]string, 3*BlockTokens+5)
	hashes := PrefixHashes(words)
	if len(hashes) != 3 {
		t.Fatalf("%d blocks, want 3", len(hashes))
	}
	x := NewCacheIndex(4)
	x.Apply("u", []Event{{Stored, hashes[0]}, {Stored, hashes[1]}}, false)
	if got := x.CachedTokens("u", hashes); got != 2*BlockTokens {
		t.Fatalf("cached %d, want two blocks", got)
	}
	x.Apply("u", []Event{{Evicted, hashes[1]}}, false)
	if got := x.CachedTokens("u", hashes); got != BlockTokens {
		t.Fatalf("cached %d after an eviction, want one block", got)
	}
	x.Apply("u", []Event{{Stored, 1}, {Stored, 2}, {Stored, 3}, {Stored, 4}}, false)
	if got := x.CachedTokens("u", hashes); got != 0 || len(x.upstreams["u"].at) != 4 {
		t.Fatalf("cached %d with %d prefixes, want the oldest forgotten", got, len(x.upstreams["u"].at))
	}
	x.RecordPrefill("u", hashes)
	x.Apply("u", nil, true)
	if got := x.CachedTokens("u", hashes); got != 0 {
		t.Fatalf("cached %d after a gap, want 0", got)
	}
}
