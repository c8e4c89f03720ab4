// Package mirror keeps a local copy of a revisioned key-value store.
//
// A Mirror lists all items once and then watches for changes. It lists all items
// again if the store no longer has the history that it needs, if a watch was
// interrupted, or if the store was restored from an older copy. The copy remains valid
// while the store is unavailable, so that an outage of the store does not stop the
// processes that read it.
//
// After a restoration, revision numbers are given out again. Numbers are therefore
// compared within one generation of the store only; see package revision.
package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/contact"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// ErrCompacted is returned by Store.Watch if the history after the given revision is
// no longer available.
var ErrCompacted = errors.New("the store no longer has the history after the requested revision")

// ErrRestored is returned by Store.Watch if the store was restored from an older copy since
// the given revision.
var ErrRestored = errors.New("the store was restored from an older copy since the requested revision")

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision revision.Revision
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool
}

// Page is one part of a listing.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision when the page was read.
	Revision revision.Revision
}

// Store is the part of a key-value store that a mirror needs.
type Store interface {
	// List returns items under the prefix whose keys come after the given key.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes under the prefix that are newer than the given
	// revision. It returns the changes, or none if the wait ends first, and the
	// revision from which to continue, which is of the same generation. It returns
	// ErrRestored as soon as it knows that the store is of another generation.
	Watch(ctx context.Context, prefix string, after revision.Revision, wait time.Duration) ([]Event, revision.Revision, error)
}

// Entry is an item of the local copy.
type Entry struct {
	Item
	// Unconfirmed means that the store no longer has the item, or has not listed it
	// yet, but that an outage may be the reason. The entry is kept until its owner
	// has had time to write it again.
	Unconfirmed bool
}

// View is the content of the store at one revision, as far as this process knows it.
type View struct {
	// Entries must not be modified.
	Entries  map[string]Entry
	Revision revision.Revision
	// Current means that the process can read the store now. Otherwise the view may
	// be out of date or come from another process.
	Current bool
}

const (
	// minWatchWait is the least time for which the store may block a watch.
	minWatchWait = 1500 * time.Millisecond
	// callTimeout limits a call, in addition to the time that the store may block
	// it.
	callTimeout = 700 * time.Millisecond
	// slowCallTimeout replaces callTimeout after a call timed out, so that a slow
	// store can still answer.
	slowCallTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed call.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// immediateRelists is how often in a row all entries are listed again without a delay.
	immediateRelists = 2
	// unconfirmedGrace is how long an item that vanished during an outage is kept
	// after its end. Live owners write it again within that time.
	unconfirmedGrace = 2200 * time.Millisecond
	// reconnectWindow is how long after the end of an outage it counts as the reason
	// why an item vanished.
	reconnectWindow = 1500 * time.Millisecond
)

// Options configure a mirror.
type Options struct {
	Store Store
	// Prefixes are listed one after the other. WatchPrefix covers all of them.
	Prefixes    []string
	WatchPrefix string
	// Ephemeral reports whether the store deletes the key when its owner is gone, so
	// that the key may also vanish in an outage of the store.
	Ephemeral func(key string) bool
	// VersionOf returns the version that the value of a key names itself; ok is false if
	// it names none. After a restoration of the store, an entry of the copy yields only to
	// a value whose version is at least as high. VersionOf may be nil.
	VersionOf func(key string, value []byte) (v Version, ok bool)
	// Keep reports whether the entry of a key outlasts a restoration that undid it. Keep
	// may be nil.
	Keep func(key string) bool
	// OnKept is called when an entry is kept although the restored store shows another
	// value, at the given revision. OnKept may be nil.
	OnKept func(kept Item, shown revision.Revision)
	// Apply is called with each new view, always from the same goroutine.
	Apply func(View)
	// OnConnectionChange is called when the connection to the store is lost or
	// restored.
	OnConnectionChange func(lost bool, err error)
	// FetchFromPeer returns the view of another process while this process cannot
	// read the store. The view must be newer than the given revision; the zero
	// revision accepts any view. FetchFromPeer may be nil.
	FetchFromPeer func(ctx context.Context, after revision.Revision) (View, error)
	// Contact records when the store answered. Other users of the store may report their
	// answers to it, too. Nil means a tracker of the mirror's own.
	Contact *contact.Tracker
	// PresentSince reports whether another process has read the store without a gap since
	// the given time. PresentSince may be nil.
	PresentSince func(t time.Time) bool
	// MinInterval is the minimum time between two watches. Changes within that time
	// are read together.
	MinInterval time.Duration
	// MaxSilence is the time after which a connection that carries nothing has been
	// replaced. The store may block a watch for most of it.
	MaxSilence time.Duration
}

// watchWait returns how long the store may block a watch. A watch on a connection
// that became silent fails callTimeout later, and the next one has the same time.
func (o Options) watchWait() time.Duration {
	return max(minWatchWait, o.MaxSilence-2*callTimeout)
}

// Mirror keeps the copy of a store.
type Mirror struct {
	options Options
	entries map[string]Entry
	// unconfirmedUntil is the time at which each unconfirmed entry is dropped.
	unconfirmedUntil map[string]time.Time
	// revision is that of the last listing or watch; zero before the first.
	revision     revision.Revision
	synced       bool
	disconnected bool
	slow         bool
	backoff      time.Duration
	// relists is the number of times in a row that all entries had to be listed again
	// because the store had compacted its history or was restored.
	relists int
	// restoredAt is the time of the last restoration of the store.
	restoredAt time.Time
	// listAgain is set after a call failed on a store that was in contact before, until the
	// list has been read once more.
	listAgain bool
	// initialViews receives the view of another process at the start.
	initialViews <-chan View
	// gone holds the entries that were removed lately.
	gone map[string]goneEntry
	// relistAt is when all entries are to be listed again; zero if no time is set.
	relistAt time.Time
	// reported maps the keys of entries that are kept although the store shows another
	// value to the revision of that value.
	reported map[string]revision.Revision

	// peerRevision is the newest revision received from another process. It is ahead
	// of revision while the store is unavailable.
	peerRevision revision.Revision

	mu sync.Mutex
	// lastView is the most recent view.
	lastView View
}

// New returns an empty mirror. Run fills it.
func New(o Options) *Mirror {
	if o.Contact == nil {
		o.Contact = new(contact.Tracker)
	}
	return &Mirror{
		options:          o,
		entries:          make(map[string]Entry),
		unconfirmedUntil: make(map[string]time.Time),
		gone:             make(map[string]goneEntry),
		reported:         make(map[string]revision.Revision),
	}
}

// Run keeps the copy up to date until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.initialViews = m.fetchAtStart(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		err := m.step(ctx)
		if ctx.Err() != nil {
			break
		}
		m.dropExpired(time.Now())
		m.forgetGone(time.Now())
		if err != nil {
			m.handleFailure(ctx, err)
			continue
		}
		if remaining := m.options.MinInterval - time.Since(began); remaining > 0 {
			wait.For(ctx, remaining)
		}
	}
	return nil
}

// step lists all entries if the copy is not in sync with the store, and otherwise
// waits for changes.
func (m *Mirror) step(ctx context.Context) error {
	if !m.synced {
		return m.list(ctx)
	}
	return m.watch(ctx)
}

// timeout returns the time limit of a call, which is longer after a call has timed
// out.
func (m *Mirror) timeout() time.Duration {
	if m.slow {
		return slowCallTimeout
	}
	return callTimeout
}

// markConnected records that the store answered.
func (m *Mirror) markConnected(now time.Time) {
	m.backoff, m.slow, m.listAgain = 0, false, false
	m.options.Contact.Observe(now)
	if m.disconnected {
		m.disconnected = false
		m.options.OnConnectionChange(false, nil)
	}
}

// handleFailure makes the next step list all entries if the store has compacted the
// changes or was restored, and waits only if that goes on. The first other error may be
// that of one connection, so all entries are listed again at once. If that fails, too, it
// marks the store as disconnected, updates the copy from another process if possible, and
// waits.
func (m *Mirror) handleFailure(ctx context.Context, err error) {
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
		m.synced = false
		if m.relists++; m.relists > immediateRelists {
			wait.For(ctx, maxBackoff)
		}
		return
	}
	if !m.disconnected && !m.listAgain && !m.revision.IsZero() {
		m.listAgain, m.synced = true, false
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		m.slow = true
	}
	if !m.disconnected {
		m.disconnected = true
		m.updateView(nil)
		m.options.OnConnectionChange(true, err)
	}
	if m.options.FetchFromPeer != nil {
		m.applyPeerView(ctx)
	}
	m.backoff = min(maxBackoff, max(minBackoff, m.backoff*2))
	wait.For(ctx, m.backoff)
}

// LastView returns the most recent view.
func (m *Mirror) LastView() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastView
}

func (m *Mirror) list(ctx context.Context) error {
	found := make(map[string]Item)
	var listed revision.Revision
	for _, prefix := range m.options.Prefixes {
		after := ""
		for {
			page, err := m.listPage(ctx, prefix, after)
			if err != nil {
				return err
			}
			// The pages are not one snapshot. Watching from the revision of the
			// first page repeats all changes between the pages.
			if listed.IsZero() {
				listed = page.Revision
			}
			if !page.Revision.SameGeneration(listed) {
				return ErrRestored
			}
			for _, item := range page.Items {
				found[item.Key] = item
				after = item.Key
			}
			if !page.More || len(page.Items) == 0 {
				break
			}
		}
	}
	m.adoptAtStart(ctx)
	m.markConnected(time.Now())
	m.synced = true
	m.replaceAll(found, listed)
	return nil
}

func (m *Mirror) listPage(ctx context.Context, prefix, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	return m.options.Store.List(ctx, prefix, after)
}

func (m *Mirror) watch(ctx context.Context) error {
	limit := m.options.watchWait()
	// A shorter wait lets unconfirmed entries be dropped on time even if nothing
	// changes.
	if len(m.unconfirmedUntil) > 0 {
		limit = min(limit, reconnectWindow/4)
	}
	if !m.relistAt.IsZero() {
		limit = min(limit, max(minWatchWait/4, time.Until(m.relistAt)))
	}
	callCtx, cancel := context.WithTimeout(ctx, limit+m.timeout())
	defer cancel()
	events, next, err := m.options.Store.Watch(callCtx, m.options.WatchPrefix, m.revision, limit)
	if err == nil && !next.SameGeneration(m.revision) {
		err = ErrRestored
	}
	if err != nil {
		if !errors.Is(err, ErrCompacted) {
			// An interrupted watch may have missed changes that the store compacts
			// before the next watch. Listing again avoids that.
			m.synced = false
		}
		return err
	}
	m.relists = 0
	m.markConnected(time.Now())
	m.applyEvents(events, next)
	return nil
}

// replaceAll updates the copy from a complete listing.
func (m *Mirror) replaceAll(found map[string]Item, listed revision.Revision) {
	now := time.Now()
	m.noteGeneration(listed, now)
	changed := false
	for k, item := range found {
		old, ok := m.entries[k]
		if ok && !m.supersedes(item, old) {
			changed = m.confirm(old) || changed
			m.noteKept(item, old)
			continue
		}
		if !ok && m.isGone(item, now) {
			continue
		}
		m.put(item)
		changed = true
	}
	for k, old := range m.entries {
		_, inGrace := m.unconfirmedUntil[k]
		if _, ok := found[k]; ok || (old.Unconfirmed && inGrace) {
			continue
		}
		if m.outlasts(old, listed) {
			changed = m.confirm(old) || changed
			continue
		}
		m.remove(k, now)
		changed = true
	}
	m.revision, m.peerRevision = m.later(listed), revision.Revision{}
	m.publish(changed)
}

// later returns r, unless the copy is ahead of it in the same generation.
func (m *Mirror) later(r revision.Revision) revision.Revision {
	if r.SameGeneration(m.revision) && m.revision.After(r) {
		return m.revision
	}
	return r
}

// applyEvents updates the copy from the changes up to a revision of the generation of the
// copy.
func (m *Mirror) applyEvents(events []Event, next revision.Revision) {
	now := time.Now()
	changed := false
	for _, e := range events {
		old, ok := m.entries[e.Key]
		switch {
		case !e.Deleted && (!ok || m.supersedes(e.Item, old)):
			m.put(e.Item)
			changed = true
		case e.Deleted && ok && !old.Unconfirmed && m.supersedes(e.Item, old) && !m.outlasts(old, next):
			m.remove(e.Key, now)
			changed = true
		}
	}
	m.revision = m.later(next)
	m.publish(changed)
}

// put stores an entry, which is then confirmed.
func (m *Mirror) put(item Item) {
	m.entries[item.Key] = Entry{Item: item}
	delete(m.unconfirmedUntil, item.Key)
	delete(m.gone, item.Key)
	delete(m.reported, item.Key)
}

// publish updates the view and, if the entries changed, passes it to Apply.
func (m *Mirror) publish(changed bool) {
	if !changed {
		m.updateView(nil)
		return
	}
	m.options.Apply(m.updateView(maps.Clone(m.entries)))
}

// updateView updates and returns the view that LastView returns. If entries is nil,
// the previous entries are kept.
func (m *Mirror) updateView(entries map[string]Entry) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastView.Revision, m.lastView.Current = m.newestRevision(), !m.disconnected
	if entries != nil {
		m.lastView.Entries = entries
	}
	return m.lastView
}
