// Package mirror keeps a local copy of a revisioned key-value store.
//
// A Mirror reads everything once and then follows changes. When the history
// that it needs is gone, or a watch was cut, it reads everything again. While
// the store is away the copy stays in force: a store that is down must not stop
// the work of those who read it.
package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/wait"
)

// ErrCompacted is returned by Store.Watch when the history after the given
// revision is no longer available.
var ErrCompacted = errors.New("history of the store no longer available")

// Item is one key and its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a listing.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision at the time of the reading.
	Revision uint64
}

// Store is the part of a key-value store that a mirror needs.
type Store interface {
	// List returns the items under the prefix whose keys come after the given one.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes under the prefix after a revision as soon as there
	// are any, or none when the wait is over, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
}

// Entry is an item as the mirror shows it.
type Entry struct {
	Item
	// Lapsed tells that the store no longer has the item, but may only have lost
	// it during an outage; the entry is kept until its owner had time to return.
	Unconfirmed bool
}

// View is the content of the store at one revision, as far as a process knows.
type View struct {
	// Entries must not be changed.
	Entries  map[string]Entry
	Revision uint64
	// Current tells that the process reads the store at the moment; else the view
	// is old, or that of another process.
	Current bool
}

const (
	// watchWait is how long the store may block a watch. A connection that went
	// silent is found after watchWait + callTimeout.
	watchWait = 1500 * time.Millisecond
	// callTimeout bounds a call beyond the time that the store may block it.
	callTimeout = 700 * time.Millisecond
	// slowCallTimeout bounds calls after one timed out: a slow store still answers.
	slowCallTimeout = 1500 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 60 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// lapseGrace is how long an item that vanished around an outage is kept after
	// the store's return: owners that live write it again within that time.
	lapseGrace = 2200 * time.Millisecond
	// settleTime is how long after an outage vanished items count as lapsed by it.
	settleTime = 1500 * time.Millisecond
)

// Options configure a mirror.
type Options struct {
	Store Store
	// Prefixes are listed one after the other; WatchPrefix covers them all.
	Prefixes    []string
	WatchPrefix string
	// Lapses reports whether a key is bound to the life of its owner and may
	// vanish in an outage of the store.
	Ephemeral func(key string) bool
	// Apply is called with each new view, by one goroutine.
	Apply func(View)
	// Contact is called when the store is lost or regained.
	OnConnectionChange func(lost bool, err error)
	// Fallback returns what another process knows that goes beyond the revision,
	// for the time in which this one cannot read the store; nil: there is nobody to
	// ask. Revision 0 asks for whatever another process knows.
	FetchFromPeer func(ctx context.Context, after uint64) (View, error)
	// MinInterval is the shortest time between two watches; changes that come
	// in quick succession are then read together.
	MinInterval time.Duration
}

// Mirror follows a store.
type Mirror struct {
	o       Options
	entries map[string]Entry
	// lapseEnd is when each lapsed entry is dropped.
	lapseEnd map[string]time.Time
	revision uint64
	listed   bool
	lost     bool
	slow     bool
	pause    time.Duration
	// regained is when the store was reached again after an outage.
	regained time.Time

	// borrowed is the newest revision that another process told; it is ahead of
	// revision while the store cannot be read.
	borrowed uint64

	mu sync.Mutex
	// known is the last view.
	known View
}

// New returns a mirror that has read nothing yet.
func New(o Options) *Mirror {
	return &Mirror{o: o, entries: make(map[string]Entry), lapseEnd: make(map[string]time.Time)}
}

// Run follows the store until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		err := m.step(ctx)
		if ctx.Err() != nil {
			break
		}
		m.dropLapsed(time.Now())
		if err != nil {
			m.failed(ctx, err)
			continue
		}
		if rest := m.o.MinInterval - time.Since(began); rest > 0 {
			wait.For(ctx, rest)
		}
	}
	return nil
}

func (m *Mirror) step(ctx context.Context) error {
	if !m.listed {
		return m.list(ctx)
	}
	return m.watch(ctx)
}

func (m *Mirror) timeout() time.Duration {
	if m.slow {
		return slowCallTimeout
	}
	return callTimeout
}

// answered notes that the store is reached.
func (m *Mirror) answered(now time.Time) {
	m.pause, m.slow = 0, false
	if m.lost {
		m.lost = false
		m.regained = now
		m.o.OnConnectionChange(false, nil)
	}
}

func (m *Mirror) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrCompacted) {
		m.listed = false
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		m.slow = true
	}
	if !m.lost {
		m.lost = true
		m.tell(nil)
		m.o.OnConnectionChange(true, err)
	}
	if m.o.FetchFromPeer != nil {
		m.borrow(ctx)
	}
	m.pause = min(maxPause, max(firstPause, m.pause*2))
	wait.For(ctx, m.pause)
}

// borrow takes over what another process knows until the store can be read.
func (m *Mirror) borrow(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := max(m.revision, m.borrowed)
	v, err := m.o.FetchFromPeer(callCtx, after)
	if err != nil {
		return // the store is asked again soon, and then the others once more
	}
	// A process that starts takes whatever others know; the entries count as
	// lapsed, since the first listing decides which of them exist.
	starts := m.revision == 0
	if !starts && (!v.Current || v.Revision <= after) {
		return
	}
	changed := false
	for k, e := range v.Entries {
		if old, ok := m.entries[k]; !ok || old.Revision < e.Revision {
			e.Unconfirmed = starts
			m.entries[k] = e
			changed = true
		}
	}
	if !starts {
		m.borrowed = v.Revision
		changed = m.dropAbsent(v) || changed
	}
	m.publish(changed)
}

// dropAbsent drops the entries that did not exist any more at the view's
// revision; it reports whether there were any.
func (m *Mirror) dropAbsent(v View) (dropped bool) {
	for k, e := range m.entries {
		if _, found := v.Entries[k]; !found && e.Revision <= v.Revision {
			m.drop(k)
			dropped = true
		}
	}
	return dropped
}

// LastView returns the last view.
func (m *Mirror) LastView() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

func (m *Mirror) list(ctx context.Context) error {
	found := make(map[string]Item)
	var revision uint64
	for _, prefix := range m.o.Prefixes {
		after := ""
		for {
			page, err := m.listPage(ctx, prefix, after)
			if err != nil {
				return err
			}
			// Pages are not one snapshot: watching from the oldest reading sees
			// again whatever changed between them.
			if revision == 0 {
				revision = page.Revision
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
	m.answered(time.Now())
	m.listed = true
	m.replaceAll(found, revision)
	return nil
}

func (m *Mirror) listPage(ctx context.Context, prefix, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	return m.o.Store.List(ctx, prefix, after)
}

func (m *Mirror) watch(ctx context.Context) error {
	limit := watchWait
	// A lapsed entry is dropped in time although nothing changes.
	if len(m.lapseEnd) > 0 {
		limit = min(limit, settleTime/4)
	}
	callCtx, cancel := context.WithTimeout(ctx, limit+m.timeout())
	defer cancel()
	events, revision, err := m.o.Store.Watch(callCtx, m.o.WatchPrefix, m.revision, limit)
	if err != nil {
		if !errors.Is(err, ErrCompacted) {
			// A cut watch may have missed changes that the store drops before the
			// next one; a new listing is certain.
			m.listed = false
		}
		return err
	}
	m.answered(time.Now())
	m.applyEvents(events, revision)
	return nil
}

func (m *Mirror) replaceAll(found map[string]Item, revision uint64) {
	now := time.Now()
	changed := false
	for k, item := range found {
		old, ok := m.entries[k]
		if ok && old.Revision >= item.Revision && !old.Unconfirmed {
			continue
		}
		m.put(item)
		changed = true
	}
	for k, old := range m.entries {
		_, waits := m.lapseEnd[k]
		if _, ok := found[k]; ok || (old.Unconfirmed && waits) {
			continue
		}
		m.remove(k, now)
		changed = true
	}
	m.revision = max(m.revision, revision)
	m.publish(changed)
}

func (m *Mirror) applyEvents(events []Event, revision uint64) {
	now := time.Now()
	changed := false
	for _, e := range events {
		old, ok := m.entries[e.Key]
		if ok && old.Revision >= e.Revision && !(old.Unconfirmed && !e.Deleted) {
			continue
		}
		switch {
		case !e.Deleted:
			m.put(e.Item)
			changed = true
		case ok && !old.Unconfirmed:
			m.remove(e.Key, now)
			changed = true
		}
	}
	m.revision = max(m.revision, revision)
	m.publish(changed)
}

func (m *Mirror) put(item Item) {
	m.entries[item.Key] = Entry{Item: item}
	delete(m.lapseEnd, item.Key)
}

// remove drops an entry, or marks it as lapsed if an outage may be the reason.
func (m *Mirror) remove(k string, now time.Time) {
	e := m.entries[k]
	if m.o.Ephemeral != nil && m.o.Ephemeral(k) && !m.regained.IsZero() && now.Sub(m.regained) < settleTime {
		e.Unconfirmed = true
		m.entries[k] = e
		m.lapseEnd[k] = m.regained.Add(lapseGrace)
		return
	}
	m.drop(k)
}

func (m *Mirror) drop(k string) {
	delete(m.entries, k)
	delete(m.lapseEnd, k)
}

func (m *Mirror) dropLapsed(now time.Time) {
	// While the store is away nobody can write an entry again.
	if m.lost {
		return
	}
	changed := false
	for k, end := range m.lapseEnd {
		if now.After(end) {
			m.drop(k)
			changed = true
		}
	}
	if changed {
		m.publish(changed)
	}
}

func (m *Mirror) publish(changed bool) {
	if !changed {
		m.tell(nil)
		return
	}
	m.o.Apply(m.tell(maps.Clone(m.entries)))
}

// tell updates what others may ask for and returns it; without entries those
// told last stay.
func (m *Mirror) tell(entries map[string]Entry) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known.Revision, m.known.Current = max(m.revision, m.borrowed), !m.lost
	if entries != nil {
		m.known.Entries = entries
	}
	return m.known
}
