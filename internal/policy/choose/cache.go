package choose

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens per block of a prompt. Prefix caches are
// tracked in whole blocks.
const BlockTokens = 128

// DefaultMaxPrefixes is the default limit of the prefixes that a CacheIndex
// stores per upstream.
const DefaultMaxPrefixes = 4096

// EventKind is the kind of a cache event.
type EventKind int

// The kinds of cache events.
const (
	// Stored reports that the upstream added the prefix to its cache.
	Stored EventKind = iota
	// Evicted reports that the upstream removed the prefix from its cache.
	Evicted
)

// Event reports a change of the prefix cache of an upstream.
type Event struct {
	Kind EventKind
	// Prefix is a hash as returned by PrefixHashes.
	Prefix uint64
}

// PrefixHashes returns one hash for each full block of the prompt. A hash
// covers the prompt from its start to the end of the block, so that equal
// hashes mean equal prefixes. It is the xxhash64 of the words, each followed by
// one space, which is the identifier that engines use in their cache events.
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

// CacheIndex records which prefixes each upstream is expected to have in its
// cache. It learns from the prefills of this process and from cache events,
// which may arrive late or get lost. A wrong entry only makes a prefill take
// longer than estimated. A CacheIndex is not safe for concurrent use.
type CacheIndex struct {
	maxPrefixes int
	upstreams   map[string]*prefixCache
}

// prefixCache holds the prefixes of one upstream in order of their last use.
type prefixCache struct {
	elements map[uint64]*list.Element // elements of lru by prefix
	lru      *list.List               // most recently used prefix first
}

// NewCacheIndex returns an index that stores up to maxPrefixes prefixes per
// upstream. A limit of 0 or less selects DefaultMaxPrefixes.
func NewCacheIndex(maxPrefixes int) *CacheIndex {
	if maxPrefixes <= 0 {
		maxPrefixes = DefaultMaxPrefixes
	}
	return &CacheIndex{maxPrefixes: maxPrefixes, upstreams: map[string]*prefixCache{}}
}

// Apply records cache events of an upstream. gap reports that earlier events
// were lost; all known prefixes of the upstream are then dropped, because the
// upstream may have evicted any of them.
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

// RecordPrefill records that the upstream has computed a prompt with these
// hashes and therefore caches all of its prefixes.
func (c *CacheIndex) RecordPrefill(upstream string, hashes []uint64) {
	for _, h := range hashes {
		c.store(upstream, h)
	}
}

// Forget drops all prefixes of an upstream, for example after it has restarted.
func (c *CacheIndex) Forget(upstream string) { delete(c.upstreams, upstream) }

// CachedTokens returns how many leading tokens of the prompt the upstream is
// expected to have in its cache.
func (c *CacheIndex) CachedTokens(upstream string, hashes []uint64) int {
	p, ok := c.upstreams[upstream]
	if !ok {
		return 0
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := p.elements[hashes[i]]; ok {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}

// store records that the upstream caches a prefix. If maxPrefixes are stored, the
// least recently stored one is dropped.
func (c *CacheIndex) store(upstream string, prefix uint64) {
	p, ok := c.upstreams[upstream]
	if !ok {
		p = &prefixCache{elements: map[uint64]*list.Element{}, lru: list.New()}
		c.upstreams[upstream] = p
	}
	if e, ok := p.elements[prefix]; ok {
		p.lru.MoveToFront(e)
		return
	}
	if len(p.elements) >= c.maxPrefixes {
		delete(p.elements, p.lru.Remove(p.lru.Back()).(uint64))
	}
	p.elements[prefix] = p.lru.PushFront(prefix)
}

// evict records that the upstream no longer caches a prefix.
func (c *CacheIndex) evict(upstream string, prefix uint64) {
	p, ok := c.upstreams[upstream]
	if !ok {
		return
	}
	if e, ok := p.elements[prefix]; ok {
		p.lru.Remove(e)
		delete(p.elements, prefix)
	}
}
