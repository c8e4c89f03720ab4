package gateway

import (
	"sync"
	"time"
)

// storeContactValidity is how long a report on the contact with the store counts. A
// gateway sends one with each message.
const storeContactValidity = time.Second

// peerStoreContacts holds since when each other gateway has been in contact with the
// store. Its zero value is empty.
type peerStoreContacts struct {
	mu    sync.Mutex
	peers map[string]storeContact
}

// storeContact is the last report of one gateway.
type storeContact struct{ since, reported time.Time }

// record stores a report, which replaces the last one of the peer.
func (c *peerStoreContacts) record(peer string, uninterrupted time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if uninterrupted <= 0 {
		delete(c.peers, peer)
		return
	}
	if c.peers == nil {
		c.peers = make(map[string]storeContact)
	}
	c.peers[peer] = storeContact{since: now.Add(-uninterrupted), reported: now}
}

// StorePresentSince reports whether another gateway has been in contact with the store
// without a gap since the given time. The store was then not absent, even if this gateway
// did not reach it.
func (g *Gateway) StorePresentSince(t time.Time) bool {
	now := time.Now()
	c := &g.storeContacts
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, report := range c.peers {
		if now.Sub(report.reported) > storeContactValidity {
			delete(c.peers, peer)
			continue
		}
		if report.since.Before(t) {
			return true
		}
	}
	return false
}
