// Package relay spreads the configuration and the membership between the
// processes of the system without loading the key-value service.
//
// In each failure domain two processes, chosen by rendezvous hashing over the
// members, watch the configuration's head in the key-value service. A process
// that receives a newer revision immediately tells a few random peers. In
// addition, every process exchanges its revision with a random peer each second,
// so that a process that was cut off catches up without help.
package relay

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
)

// Cache holds the newest configuration of a process in the encoding in which
// peers exchange it. It offers each newer configuration to the holder.
type Cache struct {
	holder *config.Holder

	mu          sync.Mutex
	head        *configstore.Head
	encodedHead []byte

	// assemblerMu guards assembler, which keeps decoded pages: the next snapshot
	// of a large configuration then costs only the pages that changed.
	assemblerMu sync.Mutex
	assembler   *configstore.Assembler

	pages map[string][]byte
}

// NewCache returns an empty cache that offers snapshots to holder.
func NewCache(holder *config.Holder) *Cache {
	return &Cache{holder: holder, assembler: configstore.NewAssembler(), pages: make(map[string][]byte)}
}

// Revision returns the revision of the cached head, or 0 if there is none.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return 0
	}
	return c.head.Revision
}

// NewerHead returns the cached head and its revision, or have and nil if the
// cached head is not newer than revision have.
func (c *Cache) NewerHead(have uint64) (revision uint64, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil || c.head.Revision <= have {
		return have, nil
	}
	return c.head.Revision, c.encodedHead
}

// Page returns the content of the page with the given hash.
func (c *Cache) Page(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	content, ok := c.pages[hash]
	return content, ok
}

// Pages returns the pages of the cached head. The caller must not change the
// map.
func (c *Cache) Pages() map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pages
}

// MissingPages returns the hashes of the pages of head that are not in the
// cache.
func (c *Cache) MissingPages(head *configstore.Head) []string {
	return configstore.MissingPages(head, func(hash string) bool {
		_, ok := c.Page(hash)
		return ok
	})
}

// ApplyHead replaces the cached configuration by the one of an encoded head
// whose pages are in the cache or in fetched. It reports whether the head was
// newer; an older head never replaces a newer one.
func (c *Cache) ApplyHead(encoded []byte, fetched map[string][]byte) (bool, error) {
	head, err := configstore.DecodeHead(encoded)
	if err != nil {
		return false, err
	}
	if head.Revision <= c.Revision() {
		return false, nil
	}
	pages := c.pagesOf(head, fetched)
	snapshot, err := c.assemble(head, pages)
	if err != nil {
		return false, errors.Wrapf(err, "assemble configuration revision %d", head.Revision)
	}
	c.mu.Lock()
	if c.head != nil && head.Revision <= c.head.Revision {
		c.mu.Unlock()
		return false, nil
	}
	c.head, c.encodedHead, c.pages = head, encoded, pages
	c.mu.Unlock()
	return c.holder.UpdateIfNewer(snapshot), nil
}

// assemble builds the snapshot of a revision. Only one call at a time uses the
// assembler.
func (c *Cache) assemble(head *configstore.Head, pages map[string][]byte) (*config.Snapshot, error) {
	c.assemblerMu.Lock()
	defer c.assemblerMu.Unlock()
	return c.assembler.Assemble(head, pages)
}

// pagesOf returns the pages of head and no others, so that the cache does not
// grow with every revision.
func (c *Cache) pagesOf(head *configstore.Head, fetched map[string][]byte) map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	pages := make(map[string][]byte, len(head.Pages))
	for _, hash := range head.Pages {
		if content, ok := fetched[hash]; ok {
			pages[hash] = content
		} else if content, ok := c.pages[hash]; ok {
			pages[hash] = content
		}
	}
	return pages
}
