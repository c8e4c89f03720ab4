package mirror

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// Version orders the values of one key by what their writer says in them, whatever the
// store's revisions are. The first elements count most.
type Version [3]uint64

// Compare returns -1, 0 or 1.
func (v Version) Compare(o Version) int { return slices.Compare(v[:], o[:]) }

const (
	// goneGrace is how long an entry that was removed before a restoration stays removed,
	// although the restored store lists it. If its owner is gone, the entry expires in
	// that time; if it lives, the entry is still there afterwards.
	goneGrace = 4500 * time.Millisecond
	// goneMemory is how long a removed entry is remembered. Restorations go back by less.
	goneMemory = time.Minute
)

// goneEntry is an entry that was removed.
type goneEntry struct {
	version Version
	// generation is that of the store in which the entry was removed.
	generation uint64
	at         time.Time
}

// noteGeneration treats a restoration of the store like the end of an outage: owners need
// time to write again what was lost.
func (m *Mirror) noteGeneration(listed revision.Revision, now time.Time) {
	if !m.revision.IsZero() && !listed.SameGeneration(m.revision) {
		m.restoredAt = now
	}
}

// versionOf returns the version that an item names itself.
func (m *Mirror) versionOf(item Item) (Version, bool) {
	if m.options.VersionOf == nil {
		return Version{}, false
	}
	return m.options.VersionOf(item.Key, item.Value)
}

// supersedes reports whether an item of the store replaces an entry of the copy. Within a
// generation the later one counts. After a restoration the store may show an older value
// than the copy has, and only the values tell; where they do not, the store has the say.
func (m *Mirror) supersedes(item Item, old Entry) bool {
	if item.Revision.SameGeneration(old.Revision) {
		return old.Unconfirmed || item.Revision.After(old.Revision)
	}
	shown, ok := m.versionOf(item)
	known, versioned := m.versionOf(old.Item)
	return !ok || !versioned || shown.Compare(known) >= 0
}

// outlasts reports whether an entry that a restoration undid stays in the copy until it is
// written again.
func (m *Mirror) outlasts(old Entry, now revision.Revision) bool {
	return m.options.Keep != nil && !old.Revision.SameGeneration(now) && m.options.Keep(old.Key)
}

// noteKept reports once for each revision that an entry of the copy is kept although the
// store shows another value.
func (m *Mirror) noteKept(item Item, old Entry) {
	if item.Revision.SameGeneration(old.Revision) || m.reported[item.Key] == item.Revision {
		return
	}
	m.reported[item.Key] = item.Revision
	if m.options.OnKept != nil {
		m.options.OnKept(old.Item, item.Revision)
	}
}

// rememberGone records that an entry was removed.
func (m *Mirror) rememberGone(e Entry) {
	if version, ok := m.versionOf(e.Item); ok {
		m.gone[e.Key] = goneEntry{version: version, generation: m.revision.Generation, at: time.Now()}
	}
}

// isGone reports whether a listed item is that of an owner which was gone before the store
// was restored. After goneGrace the store has the say.
func (m *Mirror) isGone(item Item, now time.Time) bool {
	g, ok := m.gone[item.Key]
	if !ok || g.generation == item.Revision.Generation || !now.Before(m.restoredAt.Add(goneGrace)) {
		return false
	}
	version, ok := m.versionOf(item)
	if !ok || version.Compare(g.version) > 0 {
		return false
	}
	m.relistAt = m.restoredAt.Add(goneGrace)
	return true
}

// forgetGone forgets entries that were removed long ago, and makes the next step list all
// entries once those that were taken for gone may be used again.
func (m *Mirror) forgetGone(now time.Time) {
	for key, g := range m.gone {
		if now.Sub(g.at) > goneMemory {
			delete(m.gone, key)
		}
	}
	if !m.relistAt.IsZero() && !now.Before(m.relistAt) {
		m.relistAt = time.Time{}
		m.synced = false
	}
}
