package config

import (
	"context"
	"sync"
	"sync/atomic"
)

// Holder holds the current snapshot of a process and implements Source. Readers
// load the snapshot from an atomic pointer without locking. Holder never replaces a
// snapshot with one of an older revision, so a delayed response from a peer or from
// the key-value service cannot revert the configuration.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu sync.Mutex
	// changed is closed and replaced at each update.
	changed chan struct{}
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Snapshot implements Source. It returns nil before the first update.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Revision returns the revision of the current snapshot, or 0 before the first
// update.
func (h *Holder) Revision() uint64 {
	if s := h.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// UpdateIfNewer makes s the current snapshot if its revision is higher than that of
// the current one. It reports whether it replaced the snapshot.
func (h *Holder) UpdateIfNewer(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && current.Revision >= s.Revision {
		return false
	}
	h.current.Store(s)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// SnapshotAndChange returns the current snapshot and a channel that is closed when a
// newer snapshot replaces it.
func (h *Holder) SnapshotAndChange() (*Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.changed
}

// WaitForRevision blocks until the revision of the current snapshot is at least
// revision and returns that snapshot. It returns the error of ctx if ctx ends first.
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
