package choose

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens per block of a prompt.
const BlockTokens = 128

// DefaultMaxPrefixes bounds the prefixes that are remembered per upstream.
const DefaultMaxPrefixes = 4096

// EventKind is the kind of a cache event.
type EventKind int

// The kinds of cache events.
const (
	Stored EventKind = iota
	Evicted
)

// Event tells that an upstream's prefix cache gained or lost a prefix.
type Event struct {
	Kind   EventKind
	Prefix uint64
}

// PrefixHashes returns one hash per full block of the prompt's words; each hash
// covers the prompt up to the end of its block, so equal hashes mean equal
// prefixes. It is the xxhash64 of the words, each followed by one space, as in
// the identifiers of the engines' cache events.
func PrefixHashes(words []string) []uint64 {
	hashes := make([]uint64, 0, len(words)/BlockTokens)
	d := xxhash.New()
	for i, w := range words {
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if (i+1)%BlockTokens == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return hashes
}

// CacheIndex tracks which prefixes the upstreams are believed to hold, from own
// prefills and from cache events, which arrive late and with gaps. A wrong
// belief costs a longer prefill and nothing else. It is not safe for concurrent use.
type CacheIndex struct {
	max       int
	upstreams map[string]*prefixes
}

type prefixes struct {
	at     map[uint64]*list.Element
	recent *list.List
}

// NewCacheIndex returns an index; 0 selects DefaultMaxPrefixes.
func NewCacheIndex(maxPrefixes int) *CacheIndex {
	if maxPrefixes <= 0 {
		maxPrefixes = DefaultMaxPrefixes
	}
	return &CacheIndex{max: maxPrefixes, upstreams: map[string]*prefixes{}}
}

// Apply records events of an upstream. gap tells that events were lost; what
// was believed before is then dropped, because it may have been evicted.
func (c *CacheIndex) Apply(upstream string, events []Event, gap bool) {
	if gap {
		c.Forget(upstream)
	}
	for _, e := range events {
		if e.Kind == Stored {
			c.store(upstream, e.Prefix)
		} else {
			c.evict(upstream, e.Prefix)
		}
	}
}

// RecordPrefill records that the upstream has just computed a prompt and
// therefore holds it in its cache.
func (c *CacheIndex) RecordPrefill(upstream string, hashes []uint64) {
	for _, h := range hashes {
		c.store(upstream, h)
	}
}

// Forget drops what is believed of an upstream, for example after its restart.
func (c *CacheIndex) Forget(upstream string) { delete(c.upstreams, upstream) }

// CachedTokens returns the tokens of the prompt that the upstream is believed to hold.
func (c *CacheIndex) CachedTokens(upstream string, hashes []uint64) int {
	p, ok := c.upstreams[upstream]
	if !ok {
		return 0
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := p.at[hashes[i]]; ok {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}

func (c *CacheIndex) store(upstream string, prefix uint64) {
	p, ok := c.upstreams[upstream]
	if !ok {
		p = &prefixes{at: map[uint64]*list.Element{}, recent: list.New()}
		c.upstreams[upstream] = p
	}
	if e, ok := p.at[prefix]; ok {
		p.recent.MoveToFront(e)
		return
	}
	if len(p.at) >= c.max {
		delete(p.at, p.recent.Remove(p.recent.Back()).(uint64))
	}
	p.at[prefix] = p.recent.PushFront(prefix)
}

func (c *CacheIndex) evict(upstream string, prefix uint64) {
	p, ok := c.upstreams[upstream]
	if !ok {
		return
	}
	if e, ok := p.at[prefix]; ok {
		p.recent.Remove(e)
		delete(p.at, prefix)
	}
}
