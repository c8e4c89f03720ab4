package mirror

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// startPeerTimeout limits how long the first listing waits for the views of other
// processes.
const startPeerTimeout = 400 * time.Millisecond

// fetchAtStart asks other processes for their view. The channel receives it, or is closed
// if there is none. A process that starts just after the store was restored would take the
// older state for the newest otherwise.
func (m *Mirror) fetchAtStart(ctx context.Context) <-chan View {
	views := make(chan View, 1)
	if m.options.FetchFromPeer == nil {
		close(views)
		return views
	}
	go func() {
		defer close(views)
		ctx, cancel := context.WithTimeout(ctx, startPeerTimeout)
		defer cancel()
		if v, err := m.options.FetchFromPeer(ctx, revision.Revision{}); err == nil {
			views <- v
		}
	}()
	return views
}

// adoptAtStart puts what other processes know into the empty copy. The first listing
// decides which of the entries exist.
func (m *Mirror) adoptAtStart(ctx context.Context) {
	if !m.revision.IsZero() || m.initialViews == nil {
		return
	}
	select {
	case v := <-m.initialViews:
		for k, e := range v.Entries {
			if _, known := m.entries[k]; !known {
				e.Unconfirmed = true
				m.entries[k] = e
			}
		}
	case <-ctx.Done():
	}
	m.initialViews = nil
}

// applyPeerView updates the copy from another process while the store is
// unavailable.
func (m *Mirror) applyPeerView(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := m.newestRevision()
	v, err := m.options.FetchFromPeer(callCtx, after)
	if err != nil {
		return // the store is retried soon, and the other processes after it
	}
	// A starting process accepts any view. The entries are marked as unconfirmed,
	// since the first listing decides which of them exist.
	starting := m.revision.IsZero()
	if !starting && (!v.Current || !v.Revision.After(after)) {
		return
	}
	changed := false
	for k, e := range v.Entries {
		if old, ok := m.entries[k]; !ok || m.isNewerAtPeer(e.Item, old) {
			e.Unconfirmed = starting
			m.entries[k] = e
			changed = true
		}
	}
	if !starting {
		m.peerRevision = v.Revision
		changed = m.dropAbsent(v) || changed
	}
	m.publish(changed)
}

// isNewerAtPeer reports whether an item of another process replaces an entry of the copy.
func (m *Mirror) isNewerAtPeer(item Item, old Entry) bool {
	if item.Revision.SameGeneration(old.Revision) {
		return item.Revision.After(old.Revision)
	}
	return m.supersedes(item, old)
}

// newestRevision returns the revision up to which this process knows the store.
func (m *Mirror) newestRevision() revision.Revision {
	if m.peerRevision.After(m.revision) {
		return m.peerRevision
	}
	return m.revision
}

// dropAbsent drops the entries that no longer existed at the view's revision. It
// reports whether there were any.
func (m *Mirror) dropAbsent(v View) (dropped bool) {
	for k, e := range m.entries {
		if _, found := v.Entries[k]; !found && !e.Revision.After(v.Revision) && !m.outlasts(e, v.Revision) {
			m.drop(k)
			dropped = true
		}
	}
	return dropped
}
