package routing

import (
	"sync"
	"sync/atomic"
)

// Holder gives requests the current table without a lock.
type Holder struct {
	current atomic.Pointer[Table]

	mu        sync.Mutex
	listeners []func(*Table)
}

// Table returns the current table, or nil before the first one.
func (h *Holder) Table() *Table { return h.current.Load() }

// Replace makes t the current table unless the current one is as new or newer:
// a late read must not bring a withdrawn route back. It reports whether t took effect.
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

// OnReplace registers a function that is called with each new table, one at a time.
func (h *Holder) OnReplace(listen func(*Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, listen)
	if t := h.current.Load(); t != nil {
		listen(t)
	}
}
