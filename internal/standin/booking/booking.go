// Package booking is a stand-in for a plain HTTP service whose calls are not
// idempotent. It books orders and counts how often each booking was executed,
// so that tests can detect duplicate executions.
package booking

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/server"
)

// Defaults of Options.
const (
	DefaultBookingDuration = 20 * time.Millisecond
	DefaultLookupDuration  = 5 * time.Millisecond
	DefaultCrashDowntime   = 2 * time.Second
)

// SlowDelay is the latency that the fault kind "slow" adds to every call.
const SlowDelay = time.Second

// maxBodyBytes bounds the body of a booking request.
const maxBodyBytes = 64 << 10

// ExecutionLog counts the executions of bookings. The servers of one service
// share it.
type ExecutionLog struct {
	mu         sync.Mutex
	executions map[string]int
	lookups    int
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{executions: make(map[string]int)} }

// Executions returns the number of executions of each booking, by ID.
func (o *ExecutionLog) Executions() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.executions)
}

// Count returns the number of executions of the booking with the given ID.
func (o *ExecutionLog) Count(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.executions[id]
}

// Lookups returns the number of status calls that were processed.
func (o *ExecutionLog) Lookups() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lookups
}

// recordExecution adds one execution and returns their number.
func (o *ExecutionLog) recordExecution(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions[id]++
	return o.executions[id]
}

// recordLookup counts a status call and returns the number of executions.
func (o *ExecutionLog) recordLookup(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lookups++
	return o.executions[id]
}

// Options configures a Server. Zero values select the defaults.
type Options struct {
	Name     string
	Listener net.Listener
	// Relisten reopens the listener after a crash; see server.Options.
	Relisten func() (net.Listener, error)
	// ExecutionLog is shared by the servers of a service; nil selects a new log.
	ExecutionLog *ExecutionLog
	// BookingDuration is how long the execution of a booking takes, and LookupDuration
	// how long a status call or an echo call takes.
	BookingDuration time.Duration
	LookupDuration  time.Duration
}

// crashPoint is the point of the next booking at which the server crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBefore
	crashAfter
)

// Server is one server of the booking service.
type Server struct {
	opts         Options
	executionLog *ExecutionLog
	http         *server.Server

	mu            sync.Mutex
	addedLatency  time.Duration
	slowTimer     *time.Timer
	armedCrash    crashPoint
	crashDowntime time.Duration
}

// Serve starts a booking server on opts.Listener. It runs until Close.
func Serve(opts Options) *Server {
	if opts.ExecutionLog == nil {
		opts.ExecutionLog = NewExecutionLog()
	}
	if opts.BookingDuration == 0 {
		opts.BookingDuration = DefaultBookingDuration
	}
	if opts.LookupDuration == 0 {
		opts.LookupDuration = DefaultLookupDuration
	}
	s := &Server{opts: opts, executionLog: opts.ExecutionLog}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http = server.New(server.Options{Listener: opts.Listener, Relisten: opts.Relisten, Handler: s.routes()})
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /orders/book", s.handleBook)
	mux.HandleFunc("GET /orders/status/{id}", s.handleStatus)
	mux.HandleFunc("/orders/echo", s.handleEcho)
	mux.HandleFunc("GET /orders/stream", s.handleStream)
	return mux
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.http.Addr() }

// Name returns the server's name.
func (s *Server) Name() string { return s.opts.Name }

// Close stops the server.
func (s *Server) Close() error {
	s.Slow(0, 0)
	return s.http.Close()
}

// bookingStatus is the response body of a booking or a status call.
type bookingStatus struct {
	ID         string `json:"id"`
	State      string `json:"state"` // "booked" or "not_booked"
	Executions int    `json:"executions"`
}

func newBookingStatus(id string, executions int) bookingStatus {
	if executions == 0 {
		return bookingStatus{ID: id, State: "not_booked"}
	}
	return bookingStatus{ID: id, State: "booked", Executions: executions}
}

// handleBook executes a booking. It does so even when the caller disconnects
// before the execution.
func (s *Server) handleBook(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID string `json:"id"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in)
	if err != nil || in.ID == "" {
		http.Error(w, `the body must be {"id":"…"}`, http.StatusBadRequest)
		return
	}
	if !s.simulateWork(server.ProcessContext(r.Context()), s.opts.BookingDuration) || s.crashIfArmed(crashBefore) {
		panic(http.ErrAbortHandler)
	}
	n := s.executionLog.recordExecution(in.ID)
	if s.crashIfArmed(crashAfter) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, newBookingStatus(in.ID, n))
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	if !s.simulateWork(r.Context(), s.opts.LookupDuration) {
		panic(http.ErrAbortHandler)
	}
	id := r.PathValue("id")
	writeJSON(w, http.StatusOK, newBookingStatus(id, s.executionLog.recordLookup(id)))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// simulateWork waits for d plus the latency of the fault "slow", and while the
// server is paused. It reports false when ctx ends first.
func (s *Server) simulateWork(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	d += s.addedLatency
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return s.http.WaitWhilePaused(ctx) == nil
	case <-ctx.Done():
		return false
	}
}

// crashIfArmed crashes the server when a crash was armed for this point of a
// booking, and reports whether it did so.
func (s *Server) crashIfArmed(point crashPoint) bool {
	s.mu.Lock()
	armed := s.armedCrash == point
	downtime := s.crashDowntime
	if armed {
		s.armedCrash = noCrash
	}
	s.mu.Unlock()
	if armed {
		s.http.StartOutage(downtime)
	}
	return armed
}
