// Package control provides the HTTP control port of the stand-ins. It reports
// their state and injects faults into them and into any other registered target.
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

// DefaultFaultDuration is the duration of a fault whose request names none.
// MaxFaultDuration is the longest duration that a request can set.
const (
	DefaultFaultDuration = 5 * time.Second
	MaxFaultDuration     = time.Hour
)

// maxBodyBytes bounds the body of a fault request.
const maxBodyBytes = 64 << 10

// FaultFunc starts a fault that lasts for d.
type FaultFunc = func(d time.Duration) error

// Registry holds the fault targets and the sections of the reported state.
type Registry struct {
	mu            sync.RWMutex
	targets       map[string]map[string]FaultFunc
	engines       map[string]*engine.Engine
	executionLogs []*booking.ExecutionLog
	stateSections map[string]func() any
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets:       make(map[string]map[string]FaultFunc),
		engines:       make(map[string]*engine.Engine),
		stateSections: make(map[string]func() any),
	}
}

// AddTarget registers a target with its fault kinds. A kind that the target
// already has is replaced.
func (r *Registry) AddTarget(name string, faults map[string]FaultFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[name] == nil {
		r.targets[name] = make(map[string]FaultFunc)
	}
	maps.Copy(r.targets[name], faults)
}

// AddEngine registers an engine as a fault target and adds its counters to the
// state.
func (r *Registry) AddEngine(e *engine.Engine) {
	r.AddTarget(e.Name(), e.Faults())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[e.Name()] = e
}

// AddBookings adds the execution counts of a booking service to the state.
func (r *Registry) AddBookings(o *booking.ExecutionLog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executionLogs = append(r.executionLogs, o)
}

// AddState adds a section to the state; f returns its current value.
func (r *Registry) AddState(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateSections[name] = f
}

// Targets returns the targets and their fault kinds, both sorted by name.
func (r *Registry) Targets() []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Target, 0, len(r.targets))
	for _, name := range slices.Sorted(maps.Keys(r.targets)) {
		list = append(list, Target{Name: name, Kinds: slices.Sorted(maps.Keys(r.targets[name]))})
	}
	return list
}

// Target is a process or link that faults can be injected into.
type Target struct {
	Name  string   `json:"target"`
	Kinds []string `json:"kinds"`
}

// Handler returns the control port's handler: GET /state, GET /faults and
// POST /faults.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", r.handleState)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, faultsResponse{Targets: r.Targets()})
	})
	mux.HandleFunc("POST /faults", r.handleStartFault)
	return mux
}

// faultsResponse is the response body of GET /faults.
type faultsResponse struct {
	Targets []Target `json:"targets"`
}

// State returns the counters of the engines by name, the number of executions of
// each booking by ID, and the sections that were added with AddState.
func (r *Registry) State() map[string]any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	engines := make(map[string]engine.Counters)
	for name, e := range r.engines {
		engines[name] = e.Counters()
	}
	bookings := make(map[string]int)
	for _, o := range r.executionLogs {
		for id, n := range o.Executions() {
			bookings[id] += n
		}
	}
	state := map[string]any{"engines": engines, "bookings": bookings}
	for name, f := range r.stateSections {
		state[name] = f()
	}
	return state
}

func (r *Registry) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.State())
}

type faultRequest struct {
	Target string `json:"target"`
	Kind   string `json:"kind"`
	For    string `json:"for"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

func (r *Registry) handleStartFault(w http.ResponseWriter, req *http.Request) {
	in := faultRequest{}
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error(), `send {"target","kind","for":"5s"}`)
		return
	}
	d, err := parseFaultDuration(in.For)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error(), fmt.Sprintf("send a duration from 1ms to %v, such as 5s", MaxFaultDuration))
		return
	}
	start, notFound := r.findFault(in)
	if notFound != nil {
		writeJSON(w, http.StatusNotFound, errorBody{Error: *notFound})
		return
	}
	if err := start(d); err != nil {
		writeError(w, http.StatusConflict, "fault_failed", err.Error(), "see the state of the target at GET /state")
		return
	}
	in.For = d.String()
	writeJSON(w, http.StatusOK, in)
}

// StartFault starts a fault in the target for d, as POST /faults does.
func (r *Registry) StartFault(target, kind string, d time.Duration) error {
	start, notFound := r.findFault(faultRequest{Target: target, Kind: kind})
	if notFound != nil {
		return fmt.Errorf("%s: %s", notFound.Message, notFound.Remedy)
	}
	return start(d)
}

// parseFaultDuration parses the duration of a fault request; empty selects
// DefaultFaultDuration.
func parseFaultDuration(s string) (time.Duration, error) {
	if s == "" {
		return DefaultFaultDuration, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, err
	}
	if d < time.Millisecond || d > MaxFaultDuration {
		return 0, fmt.Errorf("duration %v is out of range", d)
	}
	return d, nil
}

// findFault returns the function that starts the requested fault, or the error
// to report when the target or the kind is unknown.
func (r *Registry) findFault(in faultRequest) (FaultFunc, *errorDetail) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	faults, ok := r.targets[in.Target]
	if !ok {
		return nil, &errorDetail{
			Code: "unknown_target", Message: fmt.Sprintf("no target %q", in.Target),
			Remedy: "use one of " + strings.Join(slices.Sorted(maps.Keys(r.targets)), ", "),
		}
	}
	start, ok := faults[in.Kind]
	if !ok {
		return nil, &errorDetail{
			Code: "unknown_kind", Message: fmt.Sprintf("target %q has no fault %q", in.Target, in.Kind),
			Remedy: "use one of " + strings.Join(slices.Sorted(maps.Keys(faults)), ", "),
		}
	}
	return start, nil
}

func writeError(w http.ResponseWriter, status int, code, message, remedy string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message, Remedy: remedy}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
