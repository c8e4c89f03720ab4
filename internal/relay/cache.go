// Package relay spreads the configuration and the membership between the
// processes of the system without loading the key-value service.
//
// In each failure domain two processes, chosen by rendezvous hashing over the
// members, watch the configuration's head. Whoever takes a newer revision tells
// a few random peers at once, and every process exchanges its revision with a
// random peer each second, so a process that was cut off catches up by itself.
package relay

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
)

// Cache holds the newest configuration of a process in the form in which peers
// exchange it, and offers each newer one to the holder.
type Cache struct {
	holder *config.Holder

	mu    sync.Mutex
	head  *configstore.Head
	bytes []byte

	// assembling guards the assembler, which keeps decoded pages: the next
	// snapshot of a large configuration then costs only the pages that changed.
	assembling sync.Mutex
	assembler  *configstore.Assembler

	pages map[string][]byte
}

// NewCache returns an empty cache that offers snapshots to holder.
func NewCache(holder *config.Holder) *Cache {
	return &Cache{holder: holder, assembler: configstore.NewAssembler(), pages: make(map[string][]byte)}
}

// Revision returns the revision of the cached head, or 0.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return 0
	}
	return c.head.Revision
}

// Head returns the encoded head, or nil when the cache is not newer than have.
func (c *Cache) Head(have uint64) (revision uint64, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil || c.head.Revision <= have {
		return have, nil
	}
	return c.head.Revision, c.bytes
}

// Page returns the content of a page.
func (c *Cache) Page(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	content, ok := c.pages[hash]
	return content, ok
}

// Pages returns the pages of the cached head; the map must not be changed.
func (c *Cache) Pages() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pages
}

// Missing lists the pages of head that the cache lacks.
func (c *Cache) Missing(head *configstore.Head) []string {
	return configstore.MissingPages(head, func(hash string) bool {
		_, ok := c.Page(hash)
		return ok
	})
}

// ApplyHead takes a head whose pages are in the cache or in fresh. It reports
// whether the head was newer; an older one never replaces a newer one.
func (c *Cache) ApplyHead(encoded []byte, fresh map[string][]byte) (bool, error) {
	head, err := configstore.DecodeHead(encoded)
	if err != nil {
		return false, err
	}
	if head.Revision <= c.Revision() {
		return false, nil
	}
	pages := c.collect(head, fresh)
	snapshot, err := c.assemble(head, pages)
	if err != nil {
		return false, errors.Wrap(err, "assemble configuration from a peer")
	}
	c.mu.Lock()
	if c.head != nil && head.Revision <= c.head.Revision {
		c.mu.Unlock()
		return false, nil
	}
	c.head, c.bytes, c.pages = head, encoded, pages
	c.mu.Unlock()
	return c.holder.UpdateIfNewer(snapshot), nil
}

func (c *Cache) assemble(head *configstore.Head, pages map[string][]byte) (*config.Snapshot, error) {
	c.assembling.Lock()
	defer c.assembling.Unlock()
	return c.assembler.Assemble(head, pages)
}

// collect returns the pages of head, and only those, so that the cache does not
// grow with every revision.
func (c *Cache) collect(head *configstore.Head, fresh map[string][]byte) map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	pages := make(map[string][]byte, len(head.Pages))
	for _, hash := range head.Pages {
		if content, ok := fresh[hash]; ok {
			pages[hash] = content
		} else if content, ok := c.pages[hash]; ok {
			pages[hash] = content
		}
	}
	return pages
}
