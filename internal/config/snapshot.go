// Package config defines the configuration of the system: the objects that operators
// set with tickets, the rules by which a ticket is accepted, and the immutable
// Snapshot that every process reads. A ticket is a numbered change of one or more
// objects.
package config

import (
	"strings"

	"github.com/fescueslip/fescueslip/internal/account"
)

// Snapshot is one revision of the whole configuration, with lookup tables. It is
// immutable: a reader loads it from a Source and may use it for as long as a request
// lasts.
type Snapshot struct {
	Revision  uint64
	Pools     map[string]*Pool
	Upstreams map[string]*Upstream
	Models    map[string]*Model
	Routes    []*Route // sorted by descending prefix length
	Callers   map[string]*Caller
	Policy    Policy

	callersByKey account.Index[*Caller]
	poolMembers  map[string][]*Upstream
}

// Source provides the current snapshot.
type Source interface {
	Snapshot() *Snapshot
}

// StaticSource is a Source that always returns the same snapshot.
type StaticSource struct{ Fixed *Snapshot }

// Snapshot implements Source.
func (s StaticSource) Snapshot() *Snapshot { return s.Fixed }

// CallerByKey returns the caller whose key has the given digest.
func (s *Snapshot) CallerByKey(key account.KeyDigest) (*Caller, bool) {
	return s.callersByKey.Find(key)
}

// PoolMembers returns the upstreams of a pool, sorted by name.
func (s *Snapshot) PoolMembers(pool string) []*Upstream { return s.poolMembers[pool] }

// RouteFor returns the route with the longest matching prefix.
func (s *Snapshot) RouteFor(path string) (*Route, bool) {
	for _, r := range s.Routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
