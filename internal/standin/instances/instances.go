// Package instances is a stand-in for the platform's list of running and leaving
// instances. It serves the health endpoint of the Consul HTTP API and shows
// changes after a configurable lag.
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

// The statuses of an instance on the list.
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

// snapshot is the content of the list from a point in time on.
type snapshot struct {
	since time.Time
	list  []Instance
}

// List is the list of instances, without HTTP. All methods are safe for
// concurrent use.
type List struct {
	mu            sync.Mutex
	lag           time.Duration
	snapshots     []snapshot // ascending by since; the last is the actual content
	frozenAt      time.Time  // zero when not frozen
	unfreezeTimer *time.Timer
}

// NewList returns an empty list whose readers see every change after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, snapshots: []snapshot{{}}}
}

// Register adds an instance, or replaces the one of the same name.
func (l *List) Register(instance Instance) {
	l.update(func(list []Instance) []Instance {
		return append(removeByName(list, instance.Name), instance)
	})
}

// MarkLeaving marks an instance as leaving.
func (l *List) MarkLeaving(name string) {
	l.update(func(list []Instance) []Instance {
		for i := range list {
			list[i].Leaving = list[i].Leaving || list[i].Name == name
		}
		return list
	})
}

// Remove removes an instance from the list.
func (l *List) Remove(name string) {
	l.update(func(list []Instance) []Instance { return removeByName(list, name) })
}

func removeByName(list []Instance, name string) []Instance {
	return slices.DeleteFunc(list, func(instance Instance) bool { return instance.Name == name })
}

// update appends a snapshot with the content that modify returns.
func (l *List) update(modify func([]Instance) []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.pruneLocked(now)
	latest := l.snapshots[len(l.snapshots)-1]
	l.snapshots = append(l.snapshots, snapshot{since: now, list: modify(slices.Clone(latest.list))})
}

// pruneLocked drops the snapshots that are older than the visible one.
func (l *List) pruneLocked(now time.Time) {
	i := l.visibleIndexLocked(now)
	l.snapshots = l.snapshots[i:]
}

// visibleIndexLocked returns the index of the snapshot that readers see at now.
func (l *List) visibleIndexLocked(now time.Time) int {
	if !l.frozenAt.IsZero() {
		now = l.frozenAt
	}
	cutoff := now.Add(-l.lag)
	for i := len(l.snapshots) - 1; i > 0; i-- {
		if !l.snapshots[i].since.After(cutoff) {
			return i
		}
	}
	return 0
}

// Visible returns the list as its readers see it now, sorted by name.
func (l *List) Visible() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.snapshots[l.visibleIndexLocked(time.Now())].list)
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Freeze freezes what readers see for d, or until Unfreeze when d is 0.
func (l *List) Freeze(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozenAt.IsZero() {
		l.frozenAt = time.Now()
	}
	l.stopTimerLocked()
	if d > 0 {
		l.unfreezeTimer = time.AfterFunc(d, l.Unfreeze)
	}
}

// Unfreeze ends Freeze: readers see the list with its usual lag again.
func (l *List) Unfreeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozenAt = time.Time{}
	l.stopTimerLocked()
}

func (l *List) stopTimerLocked() {
	if l.unfreezeTimer != nil {
		l.unfreezeTimer.Stop()
		l.unfreezeTimer = nil
	}
}

// Server serves a List over HTTP.
type Server struct {
	*List
	http *server.Server
}

// Serve starts a server of list on l. It runs until Close.
func Serve(list *List, l net.Listener) *Server {
	s := &Server{List: list}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/"+ServiceName, s.handleHealth)
	s.http = server.New(server.Options{Listener: l, Handler: mux})
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() error {
	s.Unfreeze()
	return s.http.Close()
}

// Faults returns the fault kinds of the server and the functions that start them.
// "pause" freezes the list: the server responds but shows no changes.
func (s *Server) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"pause":   func(d time.Duration) error { s.Freeze(d); return nil },
		"down":    func(d time.Duration) error { s.http.StartOutage(d); return nil },
		"silence": func(d time.Duration) error { s.http.Blackhole(d, false); return nil },
	}
}

// healthEntry is one instance in the response of the health endpoint.
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

// meta is the metadata of a service. All values are strings because the Consul
// API defines them so.
type meta struct {
	Role          string `json:"role"`
	Upstream      string `json:"upstream"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	AdminAddress  string `json:"admin_address"`
	Incarnation   string `json:"incarnation"`
}

type check struct{ Status string }

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	visible := s.Visible()
	entries := make([]healthEntry, 0, len(visible))
	for _, instance := range visible {
		entries = append(entries, instance.toHealthEntry())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}

func (instance Instance) toHealthEntry() healthEntry {
	status := StatusPassing
	if instance.Leaving {
		status = StatusLeaving
	}
	e := healthEntry{
		Node:    node{Datacenter: instance.Region},
		Service: service{ID: instance.Name, Address: instance.PeerAddress},
		Checks:  []check{{Status: status}},
	}
	if host, port, err := net.SplitHostPort(instance.PeerAddress); err == nil {
		e.Service.Address = host
		e.Service.Port, _ = strconv.Atoi(port)
	}
	e.Service.Meta = meta{
		Role:          instance.Role,
		Upstream:      instance.Upstream,
		FailureDomain: instance.FailureDomain,
		Region:        instance.Region,
		AdminAddress:  instance.AdminAddress,
		Incarnation:   strconv.FormatUint(instance.Incarnation, 10),
	}
	return e
}
