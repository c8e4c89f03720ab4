// Package control is the control port of the stand-ins: it shows their state
// and starts faults in them and in whatever else is registered as a target.
package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/booking"
	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// DefaultFor is how long a fault lasts when the request doesn't say, and MaxFor
// is the longest that a request can ask for.
const (
	DefaultFor = 5 * time.Second
	MaxFor     = time.Hour
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 10

// FaultFunc starts a fault that lasts for d.
type FaultFunc = func(d time.Duration) error

// Registry holds the targets of faults and the parts of the state.
type Registry struct {
	mu      sync.RWMutex
	targets map[string]map[string]FaultFunc
	engines map[string]*engine.Engine
	orders  []*booking.ExecutionLog
	state   map[string]func() any
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets: make(map[string]map[string]FaultFunc),
		engines: make(map[string]*engine.Engine),
		state:   make(map[string]func() any),
	}
}

// AddTarget registers a target with its kinds of faults. Kinds that the target
// has already are replaced.
func (r *Registry) AddTarget(name string, faults map[string]FaultFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[name] == nil {
		r.targets[name] = make(map[string]FaultFunc)
	}
	maps.Copy(r.targets[name], faults)
}

// AddEngine registers an engine as a target and in the state.
func (r *Registry) AddEngine(e *engine.Engine) {
	r.AddTarget(e.Name(), e.Faults())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[e.Name()] = e
}

// AddBookings adds the bookings of a service to the state.
func (r *Registry) AddBookings(o *booking.ExecutionLog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// AddState adds a further part to the state.
func (r *Registry) AddState(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state[name] = f
}

// Targets returns the kinds of faults by target, both in order of name.
func (r *Registry) Targets() []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Target, 0, len(r.targets))
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		list = append(list, Target{Name: name, Kinds: slices.Sorted(maps.Keys(r.targets[name]))})
	}
	return list
}

// Target is a target of faults with its kinds.
type Target struct {
	Name  string   `json:"target"`
	Kinds []string `json:"kinds"`
}

// Handler returns the control port's handler: GET /state, GET /faults and
// POST /faults.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", r.getState)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, faultsReply{Targets: r.Targets()})
	})
	mux.HandleFunc("POST /faults", r.postFault)
	return mux
}

type faultsReply struct {
	Targets []Target `json:"targets"`
}

// State returns engines.<name>, bookings.<id> and the further parts.
func (r *Registry) State() map[string]any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	engines := make(map[string]engine.Counters)
	for name, e := range r.engines {
		engines[name] = e.Counters()
	}
	bookings := make(map[string]int)
	for _, o := range r.orders {
		for id, n := range o.Executions() {
			bookings[id] += n
		}
	}
	state := map[string]any{"engines": engines, "bookings": bookings}
	for name, f := range r.state {
		state[name] = f()
	}
	return state
}

func (r *Registry) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.State())
}

type faultCall struct {
	Target string `json:"target"`
	Kind   string `json:"kind"`
	For    string `json:"for"`
}

type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

type problemBody struct {
	Error problem `json:"error"`
}

func (r *Registry) postFault(w http.ResponseWriter, req *http.Request) {
	in := faultCall{}
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error(), `send {"target","kind","for":"5s"}`)
		return
	}
	d, err := parseFor(in.For)
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error(), fmt.Sprintf("send a duration from 1ms to %v, such as 5s", MaxFor))
		return
	}
	start, p := r.find(in)
	if p != nil {
		writeJSON(w, http.StatusNotFound, problemBody{Error: *p})
		return
	}
	if err := start(d); err != nil {
		refuse(w, http.StatusConflict, "fault_failed", err.Error(), "see the state of the target at GET /state")
		return
	}
	in.For = d.String()
	writeJSON(w, http.StatusOK, in)
}

// StartFault starts a fault as POST /faults does.
func (r *Registry) StartFault(target, kind string, d time.Duration) error {
	start, p := r.find(faultCall{Target: target, Kind: kind})
	if p != nil {
		return fmt.Errorf("%s: %s", p.Message, p.Remedy)
	}
	return start(d)
}

func parseFor(s string) (time.Duration, error) {
	if s == "" {
		return DefaultFor, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, err
	}
	if d < time.Millisecond || d > MaxFor {
		return 0, fmt.Errorf("duration %v is out of range", d)
	}
	return d, nil
}

func (r *Registry) find(in faultCall) (FaultFunc, *problem) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	faults, ok := r.targets[in.Target]
	if !ok {
		return nil, &problem{
			Code: "unknown_target", Message: fmt.Sprintf("no target %q", in.Target),
			Remedy: "use one of " + strings.Join(slices.Sorted(maps.Keys(r.targets)), ", "),
		}
	}
	start, ok := faults[in.Kind]
	if !ok {
		return nil, &problem{
			Code: "unknown_kind", Message: fmt.Sprintf("target %q has no fault %q", in.Target, in.Kind),
			Remedy: "use one of " + strings.Join(slices.Sorted(maps.Keys(faults)), ", "),
		}
	}
	return start, nil
}

func refuse(w http.ResponseWriter, status int, code, message, remedy string) {
	writeJSON(w, status, problemBody{Error: problem{Code: code, Message: message, Remedy: remedy}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
