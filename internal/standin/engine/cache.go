package engine

import (
	"container/list"
	"slices"
	"time"
)

// maxCacheEvents bounds the number of cache events that an engine keeps. Older
// events are dropped, which readers see as a gap.
const maxCacheEvents = 256

type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"op"`
	Prefix string `json:"prefix"`
	at     time.Time
}

type eventsResponse struct {
	Events []cacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
}

// prefixCache is a cache of prompt prefixes in blocks. It evicts the least
// recently used block first.
type prefixCache struct {
	capacity       int
	dropEventEvery int
	lru            *list.List // front is the most recently used; values are prefixes
	blocks         map[string]*list.Element
	events         []cacheEvent
	seq            uint64
}

func newPrefixCache(capacity, dropEvery int) *prefixCache {
	return &prefixCache{
		capacity:       capacity,
		dropEventEvery: dropEvery,
		lru:            list.New(),
		blocks:         make(map[string]*list.Element),
	}
}

// matchLength returns how many leading prefixes are cached.
func (c *prefixCache) matchLength(prefixes []string) int {
	for i, p := range prefixes {
		e, ok := c.blocks[p]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(prefixes)
}

// store caches the prefixes. It marks the leading blocks as used last, so that
// the end of a prompt is evicted before its beginning.
func (c *prefixCache) store(prefixes []string) {
	for _, p := range slices.Backward(prefixes[:min(len(prefixes), c.capacity)]) {
		if e, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		if c.lru.Len() >= c.capacity {
			oldest := c.lru.Back()
			delete(c.blocks, oldest.Value.(string))
			c.lru.Remove(oldest)
			c.recordEvent("evicted", oldest.Value.(string))
		}
		c.blocks[p] = c.lru.PushFront(p)
		c.recordEvent("stored", p)
	}
}

// recordEvent appends an event, or only skips its number when it is one of the
// events that dropEventEvery drops.
func (c *prefixCache) recordEvent(kind, prefix string) {
	c.seq++
	if c.dropEventEvery > 0 && c.seq%uint64(c.dropEventEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxCacheEvents:])
	}
}

// eventsAfter returns the events after seq that are older than lag.
func (c *prefixCache) eventsAfter(seq uint64, lag time.Duration) eventsResponse {
	reply := eventsResponse{Events: []cacheEvent{}, Next: seq}
	if seq > c.seq {
		// The reader has seen a later event than the last one, so the engine has
		// restarted with an empty cache.
		reply.Gap, reply.Next, seq = true, 0, 0
	}
	cutoff := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Seq <= seq || e.at.After(cutoff) {
			continue
		}
		reply.Gap = reply.Gap || e.Seq != reply.Next+1
		reply.Next = e.Seq
		reply.Events = append(reply.Events, e)
	}
	return reply
}
