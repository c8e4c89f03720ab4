// Package routing holds the routes and services that a gateway serves.
//
// A Table is one immutable version of them. Requests read the current table
// through a Holder, which replaces it as a whole and never goes back to an
// older version.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done with a request beside sending it once.
type Kind int

// The kinds of requests.
const (
	// Once marks requests that run at most once for each attempt of the client.
	Once Kind = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Stream marks requests whose response is a stream of events. They run at
	// most once unless the route is resumable.
	Stream
)

// String returns the name that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// WeightedService is a service that takes a part of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route directs requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable tells that a stream may continue at another upstream.
	Resumable bool
	// Model tells that the requests run on model engines.
	UsesModelEngines bool
	// Timeout is the longest time that a request may be kept waiting; 0: no limit.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event,
	// that the operator aims for.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events that the operator aims for.
	EventGapTarget time.Duration
	// SilenceLimit is how long clients wait for the next event of a stream, the
	// first included, before they leave; 0: unknown.
	ClientEventTimeout time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts      int
	WeightedServices []WeightedService
}

// Repeatable reports whether a request may run a second time from its start.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// SelectService selects the service of one request; draw is uniform in [0, 1).
func (r *Route) SelectService(draw float64) string {
	if len(r.WeightedServices) == 0 {
		return ""
	}
	var total float64
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	rest := draw * total
	for _, s := range r.WeightedServices {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// SelectRandomService selects the service of one request at random by weight.
func (r *Route) SelectRandomService() string { return r.SelectService(rand.Float64()) }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine decodes at once.
	Slots int
	// MemoryTokens is the KV cache of one engine.
	MemoryTokens int
	// TokensPerEvent is how many tokens one event of a stream may carry.
	TokensPerEvent int
	// HandleLife is how long the result of a prefill waits for its decode engine.
	HandleLifetime time.Duration
	// HoldLife is the longest lease of a reservation.
	MaxReservationLease time.Duration
	// SwitchTime is how long an engine takes to change its role.
	RoleChangeTime time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath answers 200 while an upstream considers itself healthy.
	HealthPath string
	// MaxConns bounds the connections to one upstream from all processes together.
	MaxConns int
	// Engine is nil for services that are no model engines.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold until a table is known.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Table is one version of all routes and services. It does not change after New.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	byHost   map[string][]*Route
	routes   int
}

// New returns a table of the routes and services.
func New(version uint64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		routes:   len(routes),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routes }

// Match returns the route of the host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost removes the port and the case of a host name.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
