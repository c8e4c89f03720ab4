package config

import (
	"context"
	"sync"
	"sync/atomic"
)

// Holder is the Source of a process. Readers load the snapshot through an atomic
// pointer. It never replaces a newer revision with an older one, so an answer
// that arrives late cannot revert the configuration.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Snapshot implements Source. It returns nil until the first Offer.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Revision returns the revision in force, or 0 before the first Offer.
func (h *Holder) Revision() uint64 {
	if s := h.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// UpdateIfNewer puts s in force if it is newer than the snapshot in force, and reports
// whether it did.
func (h *Holder) UpdateIfNewer(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if have := h.current.Load(); have != nil && have.Revision >= s.Revision {
		return false
	}
	h.current.Store(s)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// SnapshotAndChange returns the snapshot in force and a channel that is closed when a
// newer one takes its place.
func (h *Holder) SnapshotAndChange() (*Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.changed
}

// WaitForRevision returns the first snapshot whose revision is at least revision.
func (h *Holder) WaitForRevision(ctx context.Context, revision uint64) (*Snapshot, error) {
	for {
		s, changed := h.SnapshotAndChange()
		if s != nil && s.Revision >= revision {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
