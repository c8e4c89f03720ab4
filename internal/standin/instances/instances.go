// Package instances is a small stand-in for the platform's list of live and
// leaving instances: the health part of the Consul HTTP API, behind the truth
// by a configurable lag.
package instances

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/server"
)

// ServiceName is the service under which the instances are listed.
const ServiceName = "fescueslip"

// Statuses of an instance on the list.
const (
	StatusPassing = "passing"
	StatusLeaving = "leaving"
)

// Instance is one process on the list.
type Instance struct {
	Name          string
	Role          string
	Upstream      string
	FailureDomain string
	Region        string
	PeerAddress   string // host:port
	AdminAddress  string
	Incarnation   uint64
	Leaving       bool
}

// version is the list as it was from a moment on.
type version struct {
	since time.Time
	list  []Instance
}

// List is the list without HTTP. All methods are safe for concurrent use.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []version // ascending; the last is the truth
	stuckAt  time.Time // zero when not stuck
	unstick  *time.Timer
}

// NewList returns an empty list whose readers see the state of lag ago.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{}}}
}

// Register adds an instance, or replaces the one of the same name.
func (l *List) Register(in Instance) {
	l.change(func(list []Instance) []Instance {
		return append(without(list, in.Name), in)
	})
}

// MarkLeaving marks an instance as leaving.
func (l *List) MarkLeaving(name string) {
	l.change(func(list []Instance) []Instance {
		for i := range list {
			list[i].Leaving = list[i].Leaving || list[i].Name == name
		}
		return list
	})
}

// Remove takes an instance off the list.
func (l *List) Remove(name string) {
	l.change(func(list []Instance) []Instance { return without(list, name) })
}

func without(list []Instance, name string) []Instance {
	return slices.DeleteFunc(list, func(in Instance) bool { return in.Name == name })
}

func (l *List) change(f func([]Instance) []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.pruneLocked(now)
	last := l.versions[len(l.versions)-1]
	l.versions = append(l.versions, version{since: now, list: f(slices.Clone(last.list))})
}

// pruneLocked forgets the versions that nobody can see any more.
func (l *List) pruneLocked(now time.Time) {
	i := l.visibleLocked(now)
	l.versions = l.versions[i:]
}

func (l *List) visibleLocked(now time.Time) int {
	if !l.stuckAt.IsZero() {
		now = l.stuckAt
	}
	horizon := now.Add(-l.lag)
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].since.After(horizon) {
			return i
		}
	}
	return 0
}

// Visible returns the list as its readers see it now, ordered by name.
func (l *List) Visible() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.versions[l.visibleLocked(time.Now())].list)
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Freeze freezes what readers see for d, or until Unstick when d is 0.
func (l *List) Freeze(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stuckAt.IsZero() {
		l.stuckAt = time.Now()
	}
	l.stopTimerLocked()
	if d > 0 {
		l.unstick = time.AfterFunc(d, l.Unstick)
	}
}

// Unstick lets readers see the list with its usual lag again.
func (l *List) Unstick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stuckAt = time.Time{}
	l.stopTimerLocked()
}

func (l *List) stopTimerLocked() {
	if l.unstick != nil {
		l.unstick.Stop()
		l.unstick = nil
	}
}

// Server serves a List over HTTP.
type Server struct {
	*List
	http *server.Server
}

// Serve serves list on the listener until Close.
func Serve(list *List, l net.Listener) *Server {
	s := &Server{List: list}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/"+ServiceName, s.get)
	s.http = server.New(server.Options{Listener: l, Handler: mux})
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() error {
	s.Unstick()
	return s.http.Close()
}

// Faults returns the kinds of faults with the functions that start them.
// "pause" is the stuck list: it answers, but shows no change.
func (s *Server) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"pause":   func(d time.Duration) error { s.Freeze(d); return nil },
		"down":    func(d time.Duration) error { s.http.StartOutage(d); return nil },
		"silence": func(d time.Duration) error { s.http.Blackhole(d, false); return nil },
	}
}

type healthEntry struct {
	Node    node
	Service service
	Checks  []check
}

type node struct{ Datacenter string }

type service struct {
	ID      string
	Address string
	Port    int
	Meta    meta
}

// meta holds strings only, as the published protocol has it.
type meta struct {
	Role          string `json:"role"`
	Upstream      string `json:"upstream"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	AdminAddress  string `json:"admin_address"`
	Incarnation   string `json:"incarnation"`
}

type check struct{ Status string }

func (s *Server) get(w http.ResponseWriter, _ *http.Request) {
	visible := s.Visible()
	entries := make([]healthEntry, 0, len(visible))
	for _, in := range visible {
		entries = append(entries, in.entry())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}

func (in Instance) entry() healthEntry {
	status := StatusPassing
	if in.Leaving {
		status = StatusLeaving
	}
	e := healthEntry{
		Node:    node{Datacenter: in.Region},
		Service: service{ID: in.Name, Address: in.PeerAddress},
		Checks:  []check{{Status: status}},
	}
	if host, port, err := net.SplitHostPort(in.PeerAddress); err == nil {
		e.Service.Address = host
		e.Service.Port, _ = strconv.Atoi(port)
	}
	e.Service.Meta = meta{
		Role:          in.Role,
		Upstream:      in.Upstream,
		FailureDomain: in.FailureDomain,
		Region:        in.Region,
		AdminAddress:  in.AdminAddress,
		Incarnation:   strconv.FormatUint(in.Incarnation, 10),
	}
	return e
}
