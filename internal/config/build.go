package config

import (
	"encoding/hex"
	"slices"
	"strings"
)

// DecodedObjects is the plain content of a configuration, from which a Snapshot is built.
type DecodedObjects struct {
	Pools     []*Pool
	Upstreams []*Upstream
	Models    []*Model
	Routes    []*Route
	Callers   []*Caller
	Policy    *Policy
}

// BuildSnapshot indexes the objects into a Snapshot. The objects must have been
// validated and must not be changed afterwards.
func BuildSnapshot(revision uint64, o DecodedObjects) *Snapshot {
	s := &Snapshot{
		Revision:     revision,
		Pools:        make(map[string]*Pool, len(o.Pools)),
		Upstreams:    make(map[string]*Upstream, len(o.Upstreams)),
		Models:       make(map[string]*Model, len(o.Models)),
		Routes:       slices.Clone(o.Routes),
		Callers:      make(map[string]*Caller, len(o.Callers)),
		Policy:       DefaultPolicy(),
		callersByKey: make(map[[32]byte]*Caller, len(o.Callers)),
		poolMembers:  make(map[string][]*Upstream),
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

func (s *Snapshot) addCaller(c *Caller) {
	s.Callers[c.Name] = c
	sum, err := hex.DecodeString(c.KeySHA256)
	if err != nil || len(sum) != 32 {
		return
	}
	s.callersByKey[[32]byte(sum)] = c
}

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
