// Package routing holds the routes and services that a gateway serves.
//
// A Table is one immutable version of them. Requests read the current table
// from a Holder, which replaces the table as a whole and never returns to an
// older version.
package routing

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fescueslip/fescueslip/internal/account"
)

// Kind determines whether the requests of a route may be repeated and how their
// responses are sent.
type Kind int

// The kinds of requests.
const (
	// Once is the kind of requests that run at most once for each attempt of
	// the client.
	Once Kind = iota
	// Idempotent is the kind of requests that may run more than once.
	Idempotent
	// Stream is the kind of requests whose response is a stream of events. They
	// run at most once unless the route is resumable.
	Stream
)

// String returns the name of the kind in logs and metrics.
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

// WeightedService is a service that receives a part of the requests of a route.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the route.
	Weight float64
}

// Route directs the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable reports whether a stream may continue at another upstream.
	Resumable bool
	// Public reports whether requests need no key of a client account.
	Public bool
	// UsesModelEngines reports whether the requests run on model engines.
	UsesModelEngines bool
	// Timeout is the longest time that a request may be kept waiting; 0 means no
	// limit.
	Timeout time.Duration
	// LatencyTarget is the operator's target for the time to the answer, or to
	// the first event of a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the operator's target for the longest pause between two
	// events of a stream.
	EventGapTarget time.Duration
	// ClientEventTimeout is how long clients wait for the next event of a
	// stream, including the first one, before they disconnect; 0 if unknown.
	ClientEventTimeout time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of upstreams that one request may be sent
	// to.
	MaxAttempts      int
	WeightedServices []WeightedService
}

// Repeatable reports whether a request may run again from its start.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// SelectService returns the service for one request, in proportion to the
// weights. draw is a uniform random number in [0, 1). The result is empty if
// the route has no services.
func (r *Route) SelectService(draw float64) string {
	if len(r.WeightedServices) == 0 {
		return ""
	}
	var total float64
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.WeightedServices {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// SelectRandomService returns the service for one request, selected at random
// by weight.
func (r *Route) SelectRandomService() string { return r.SelectService(rand.Float64()) }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine can decode at once.
	Slots int
	// MemoryTokens is the size of the KV cache of one engine, in tokens.
	MemoryTokens int
	// TokensPerEvent is the largest number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleLifetime is how long a prefill engine keeps its result for the
	// decode engine to import.
	HandleLifetime time.Duration
	// MaxReservationLease is the longest lease of a reservation.
	MaxReservationLease time.Duration
	// RoleChangeTime is how long an engine takes to change its role.
	RoleChangeTime time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path that answers with status 200 while an upstream
	// considers itself healthy.
	HealthPath string
	// MaxConns limits the connections of all processes together to one
	// upstream.
	MaxConns int
	// Engine describes the model engines; it is nil for other services.
	Engine *Engine
}

// Limits restrict the size and the timing of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits returns the limits that apply until a table is known.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Table is one version of all routes and services. It is immutable after New.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// Accounts holds the client accounts; nil means that requests need no account.
	Accounts   *account.Directory
	byHost     map[string][]*Route // longest prefix first
	resumable  []string            // see ResumableServices
	routeCount int
}

// New returns a table of the routes and services.
func New(version uint64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version:    version,
		Services:   make(map[string]*Service, len(services)),
		Limits:     limits,
		byHost:     make(map[string][]*Route),
		routeCount: len(routes),
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
	t.resumable = resumableServices(routes)
	return t
}

// ResumableServices returns the names of the services whose streams may continue at another
// upstream, sorted.
func (t *Table) ResumableServices() []string { return t.resumable }

func resumableServices(routes []*Route) []string {
	names := make(map[string]bool)
	for _, r := range routes {
		for _, s := range r.WeightedServices {
			if r.Resumable {
				names[s.Service] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// WithAccounts returns a copy of the table that has the accounts.
func (t *Table) WithAccounts(d *account.Directory) *Table {
	c := *t
	c.Accounts = d
	return &c
}

// RouteCount returns the number of routes that the table was built from, over all
// hosts.
func (t *Table) RouteCount() int { return t.routeCount }

// Match returns the route of the host with the longest prefix that matches the
// path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost removes the port from a host name and converts it to lower
// case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
