package config

import (
	"slices"
	"strings"

	"github.com/fescueslip/fescueslip/internal/account"
)

// DecodedObjects holds the decoded objects of a configuration, grouped by kind.
type DecodedObjects struct {
	Pools     []*Pool
	Upstreams []*Upstream
	Models    []*Model
	Routes    []*Route
	Callers   []*Caller
	Policy    *Policy
}

// BuildSnapshot builds a Snapshot with lookup tables from the objects. The caller
// must have validated the objects and must not change them afterwards, because the
// snapshot shares them.
func BuildSnapshot(revision uint64, o DecodedObjects) *Snapshot {
	s := &Snapshot{
		Revision:    revision,
		Pools:       make(map[string]*Pool, len(o.Pools)),
		Upstreams:   make(map[string]*Upstream, len(o.Upstreams)),
		Models:      make(map[string]*Model, len(o.Models)),
		Routes:      slices.Clone(o.Routes),
		Callers:     make(map[string]*Caller, len(o.Callers)),
		Policy:      DefaultPolicy(),
		poolMembers: make(map[string][]*Upstream),
	}
	for _, p := range o.Pools {
		s.Pools[p.Name] = p
	}
	for _, u := range o.Upstreams {
		s.Upstreams[u.Name] = u
		s.poolMembers[u.Pool] = append(s.poolMembers[u.Pool], u)
	}
	for _, m := range o.Models {
		s.Models[m.Name] = m
	}
	for _, c := range o.Callers {
		s.addCaller(c)
	}
	if o.Policy != nil {
		s.Policy = *o.Policy
	}
	s.sort()
	return s
}

// addCaller adds c to the lookup tables. A caller whose key hash is malformed is
// not indexed by key, so no request can authenticate as it.
func (s *Snapshot) addCaller(c *Caller) {
	s.Callers[c.Name] = c
	if key, err := account.ParseDigest(c.KeySHA256); err == nil {
		s.callersByKey.Add(key, c)
	}
}

// sort orders routes by descending prefix length, so that the first matching route
// is the most specific one, and pool members by name.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Routes, func(a, b *Route) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, members := range s.poolMembers {
		slices.SortFunc(members, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	}
}
