package routing

import (
	"sync"
	"sync/atomic"
)

// Holder holds the current table. Requests read it without a lock.
type Holder struct {
	current atomic.Pointer[Table]

	mu        sync.Mutex // serializes Replace and OnReplace
	listeners []func(*Table)
}

// Table returns the current table, or nil if there has been none yet.
func (h *Holder) Table() *Table { return h.current.Load() }

// Replace makes t the current table unless the current one has the same or a
// newer version: a read that arrives late must not restore a withdrawn route.
// It reports whether t became the current table.
func (h *Holder) Replace(t *Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version >= t.Version {
		return false
	}
	h.current.Store(t)
	for _, listen := range h.listeners {
		listen(t)
	}
	return true
}

// OnReplace registers a function that is called with each new table, and at
// once with the current one if there is one. Calls do not overlap.
func (h *Holder) OnReplace(listen func(*Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, listen)
	if t := h.current.Load(); t != nil {
		listen(t)
	}
}
