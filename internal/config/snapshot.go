// Package config holds the configuration aggregate: the objects that operators
// set by tickets, the rules by which a ticket is accepted, and the immutable
// Snapshot that every process reads.
package config

import (
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// Snapshot is one revision of the whole configuration. It is immutable: readers
// load it from a Source and may keep it for the length of a request.
type Snapshot struct {
	Revision  uint64
	Pools     map[string]*Pool
	Upstreams map[string]*Upstream
	Models    map[string]*Model
	Routes    []*Route // longest prefix first
	Callers   map[string]*Caller
	Policy    Policy

	callersByKey map[[32]byte]*Caller
	poolMembers  map[string][]*Upstream
}

// Source gives the snapshot in force.
type Source interface {
	Snapshot() *Snapshot
}

// StaticSource is a Source that never changes.
type StaticSource struct{ Fixed *Snapshot }

// Snapshot implements Source.
func (s StaticSource) Snapshot() *Snapshot { return s.Fixed }

// CallerByKeyHash finds the caller whose key has the given SHA-256. The map
// lookup is on a hash of the key, and the final comparison takes constant time,
// so that timing reveals nothing about a key.
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
