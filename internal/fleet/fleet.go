package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// Fleet is the set of known upstreams. Readers take a snapshot without a lock;
// writers replace the snapshot as a whole.
type Fleet struct {
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
}

// Snapshot is the set of upstreams at one moment. The set is immutable; the
// observations of its upstreams are not.
type Snapshot struct {
	// Revision is the revision of the instance list that the snapshot was built
	// from.
	Revision  revision.Revision
	byService map[string][]*Upstream
	byKey     map[instanceKey]*Upstream
	// versions lists the software versions of each service's upstreams, sorted.
	versions map[string][]string
}

// New returns a fleet without upstreams.
func New() *Fleet {
	f := &Fleet{}
	f.snapshot.Store(&Snapshot{})
	return f
}

// Snapshot returns the current set of upstreams.
func (f *Fleet) Snapshot() *Snapshot { return f.snapshot.Load() }

// Service returns the upstreams of a service, including those that are leaving.
func (s *Snapshot) Service(name string) []*Upstream { return s.byService[name] }

// SoftwareVersions returns the software versions of a service's upstreams, including those
// that are leaving, sorted. It must not be modified.
func (s *Snapshot) SoftwareVersions(service string) []string { return s.versions[service] }

// addVersion adds the software version of an upstream of the service.
func (s *Snapshot) addVersion(service, version string) {
	list := s.versions[service]
	if i, found := slices.BinarySearch(list, version); !found {
		s.versions[service] = slices.Insert(list, i, version)
	}
}

// Find returns the upstream with this id and incarnation, or nil.
func (s *Snapshot) Find(id string, incarnation int64) *Upstream {
	return s.byKey[instanceKey{id: id, incarnation: incarnation}]
}

// Len returns the number of upstreams.
func (s *Snapshot) Len() int { return len(s.byKey) }

// All returns all upstreams, sorted by id.
func (s *Snapshot) All() []*Upstream {
	out := make([]*Upstream, 0, len(s.byKey))
	for _, u := range s.byKey {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return strings.Compare(a.Instance().ID, b.Instance().ID) })
	return out
}

// Each calls f for all upstreams, in no particular order.
func (s *Snapshot) Each(f func(*Upstream)) {
	for _, u := range s.byKey {
		f(u)
	}
}

// Change lists the instances that one call of Replace added, removed, or found
// to be leaving.
type Change struct {
	Added, Removed, Leaving []Instance
}

// Empty reports whether nothing changed that affects placement.
func (c Change) Empty() bool { return len(c.Added)+len(c.Removed)+len(c.Leaving) == 0 }

// Replace sets the instances of the fleet. The upstream of an instance that was
// already in the fleet keeps its observations; a known id with a new
// incarnation is a new upstream.
func (f *Fleet) Replace(instances []Instance, listed revision.Revision) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	next := &Snapshot{
		Revision:  listed,
		byService: make(map[string][]*Upstream),
		byKey:     make(map[instanceKey]*Upstream, len(instances)),
		versions:  make(map[string][]string),
	}
	var change Change
	for _, instance := range instances {
		u, known := old.byKey[instance.key()]
		if !known {
			u = &Upstream{}
			change.Added = append(change.Added, instance)
		} else if instance.Leaving && !u.Instance().Leaving {
			change.Leaving = append(change.Leaving, instance)
		}
		u.instance.Store(&instance)
		next.byKey[instance.key()] = u
		next.byService[instance.Service] = append(next.byService[instance.Service], u)
		next.addVersion(instance.Service, instance.SoftwareVersion)
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
