// Package config defines the configuration of the system: the objects that operators
// set with tickets, the rules by which a ticket is accepted, and the immutable
// Snapshot that every process reads. A ticket is a numbered change of one or more
// objects.
package config

import (
	"crypto/subtle"
	"encoding/hex"
	"strings"
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

	callersByKey map[[32]byte]*Caller
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

// CallerByKeyHash returns the caller whose key has the given SHA-256 hash. The map
// lookup uses the hash of the key, and the final comparison takes constant time, so
// that response times reveal nothing about a key.
func (s *Snapshot) CallerByKeyHash(sum [32]byte) (*Caller, bool) {
	c, ok := s.callersByKey[sum]
	if !ok {
		return nil, false
	}
	want, err := hex.DecodeString(c.KeySHA256)
	if err != nil || subtle.ConstantTimeCompare(want, sum[:]) != 1 {
		return nil, false
	}
	return c, true
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
