package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Fleet is the set of known upstreams. Readers take a snapshot without a lock;
// writers replace it as a whole.
type Fleet struct {
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
}

// Snapshot is the set of upstreams at one moment. It does not change.
type Snapshot struct {
	// Revision is the revision of the list that the snapshot was built from.
	Revision  uint64
	byService map[string][]*Upstream
	byKey     map[key]*Upstream
}

// New returns a fleet that knows no upstream.
func New() *Fleet {
	f := &Fleet{}
	f.snapshot.Store(&Snapshot{})
	return f
}

// Snapshot returns the current set.
func (f *Fleet) Snapshot() *Snapshot { return f.snapshot.Load() }

// Service returns the upstreams of a service, leaving ones included.
func (s *Snapshot) Service(name string) []*Upstream { return s.byService[name] }

// Find returns the upstream of this life of an instance, or nil.
func (s *Snapshot) Find(id string, incarnation int64) *Upstream {
	return s.byKey[key{id: id, incarnation: incarnation}]
}

// Len returns the number of upstreams.
func (s *Snapshot) Len() int { return len(s.byKey) }

// All returns every upstream, sorted by id.
func (s *Snapshot) All() []*Upstream {
	out := make([]*Upstream, 0, len(s.byKey))
	for _, u := range s.byKey {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return strings.Compare(a.Instance().ID, b.Instance().ID) })
	return out
}

// Change tells how one replacement changed the fleet.
type Change struct {
	Added, Removed, Leaving []Instance
}

// Empty reports whether nothing changed that matters for placement.
func (c Change) Empty() bool { return len(c.Added)+len(c.Removed)+len(c.Leaving) == 0 }

// Replace makes the instances the whole fleet. Observations of those that stay
// are kept; the same id with another incarnation is a new upstream.
func (f *Fleet) Replace(instances []Instance, revision uint64) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	next := &Snapshot{
		Revision:  revision,
		byService: make(map[string][]*Upstream),
		byKey:     make(map[key]*Upstream, len(instances)),
	}
	var change Change
	for _, in := range instances {
		u, known := old.byKey[in.key()]
		if !known {
			u = &Upstream{}
			change.Added = append(change.Added, in)
		} else if in.Leaving && !u.Instance().Leaving {
			change.Leaving = append(change.Leaving, in)
		}
		u.facts.Store(&in)
		next.byKey[in.key()] = u
		next.byService[in.Service] = append(next.byService[in.Service], u)
	}
	for k, u := range old.byKey {
		if _, stays := next.byKey[k]; !stays {
			u.removed.Store(true)
			change.Removed = append(change.Removed, *u.Instance())
		}
	}
	f.snapshot.Store(next)
	return change
}
