package engine

import (
	"container/list"
	"slices"
	"time"
)

// maxEvents bounds the cache events that an engine remembers; older ones are
// lost to readers, which see a gap.
const maxEvents = 256

type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
	at     time.Time
}

type eventsReply struct {
	Events []cacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap"`
}

// prefixCache is a cache of prompt prefixes, by block, with the least recently
// used block evicted first.
type prefixCache struct {
	capacity  int
	dropEvery int
	order     *list.List // front is the most recently used; values are prefixes
	blocks    map[string]*list.Element
	events    []cacheEvent
	seq       uint64
}

func newPrefixCache(capacity, dropEvery int) *prefixCache {
	return &prefixCache{
		capacity:  capacity,
		dropEvery: dropEvery,
		order:     list.New(),
		blocks:    make(map[string]*list.Element),
	}
}

// match returns how many leading prefixes are cached.
func (c *prefixCache) match(prefixes []string) int {
	for i, p := range prefixes {
		e, ok := c.blocks[p]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(prefixes)
}

// store caches the prefixes. The leading blocks are touched last, so that a
// prompt's tail is evicted before its head.
func (c *prefixCache) store(prefixes []string) {
	for _, p := range slices.Backward(prefixes[:min(len(prefixes), c.capacity)]) {
		if e, ok := c.blocks[p]; ok {
			c.order.MoveToFront(e)
			continue
		}
		if c.order.Len() >= c.capacity {
			oldest := c.order.Back()
			delete(c.blocks, oldest.Value.(string))
			c.order.Remove(oldest)
			c.emit("evicted", oldest.Value.(string))
		}
		c.blocks[p] = c.order.PushFront(p)
		c.emit("stored", p)
	}
}

func (c *prefixCache) emit(op, prefix string) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Op: op, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents:])
	}
}

// after returns the events beyond seq that are older than lag.
func (c *prefixCache) after(seq uint64, lag time.Duration) eventsReply {
	reply := eventsReply{Events: []cacheEvent{}, Next: seq}
	if seq > c.seq {
		// The reader is ahead: the engine has restarted with an empty cache.
		reply.Gap, reply.Next, seq = true, 0, 0
	}
	horizon := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Seq <= seq || e.at.After(horizon) {
			continue
		}
		reply.Gap = reply.Gap || e.Seq != reply.Next+1
		reply.Next = e.Seq
		reply.Events = append(reply.Events, e)
	}
	return reply
}
