// Package booking is a stand-in for a plain HTTP service whose calls must not
// be repeated: it books orders and counts how often each was executed.
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
	DefaultBookTime      = 20 * time.Millisecond
	DefaultLookupTime    = 5 * time.Millisecond
	DefaultCrashDowntime = 2 * time.Second
)

// SlowDelay is added to every call by the fault kind slow.
const SlowDelay = time.Second

// maxBodyBytes bounds the body of a booking.
const maxBodyBytes = 64 << 10

// ExecutionLog records the executions of bookings. The servers of one service share it.
type ExecutionLog struct {
	mu         sync.Mutex
	executions map[string]int
	lookups    int
}

// NewExecutionLog returns an empty record.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{executions: make(map[string]int)} }

// Executions returns how often each booking was executed, by id.
func (o *ExecutionLog) Executions() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.executions)
}

// Count returns how often the booking id was executed.
func (o *ExecutionLog) Count(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.executions[id]
}

// Lookups returns the number of status calls that were answered.
func (o *ExecutionLog) Lookups() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lookups
}

func (o *ExecutionLog) execute(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions[id]++
	return o.executions[id]
}

func (o *ExecutionLog) lookup(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lookups++
	return o.executions[id]
}

// Options configure a Server. Zero values select the defaults.
type Options struct {
	Name     string
	Listener net.Listener
	// Relisten opens the listener again after a crash; see server.Options.
	Relisten func() (net.Listener, error)
	// Orders is shared by the servers of a service.
	ExecutionLog *ExecutionLog
	BookTime     time.Duration
	LookupTime   time.Duration
}

// crashPoint tells at which moment of the next booking the server crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBefore
	crashAfter
)

// Server is one server of the booking service.
type Server struct {
	opts   Options
	orders *ExecutionLog
	http   *server.Server

	mu        sync.Mutex
	delay     time.Duration
	slowTimer *time.Timer
	crash     crashPoint
	crashDown time.Duration
}

// Serve serves the booking service on the listener until Close.
func Serve(opts Options) *Server {
	if opts.ExecutionLog == nil {
		opts.ExecutionLog = NewExecutionLog()
	}
	if opts.BookTime == 0 {
		opts.BookTime = DefaultBookTime
	}
	if opts.LookupTime == 0 {
		opts.LookupTime = DefaultLookupTime
	}
	s := &Server{opts: opts, orders: opts.ExecutionLog}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http = server.New(server.Options{Listener: opts.Listener, Relisten: opts.Relisten, Handler: s.routes()})
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /orders/book", s.book)
	mux.HandleFunc("GET /orders/status/{id}", s.status)
	mux.HandleFunc("/orders/echo", s.echo)
	mux.HandleFunc("GET /orders/stream", s.stream)
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

// order is the reply about a booking.
type order struct {
	ID         string `json:"id"`
	State      string `json:"state"` // "booked" or "not_booked"
	Executions int    `json:"executions"`
}

func newOrder(id string, executions int) order {
	if executions == 0 {
		return order{ID: id, State: "not_booked"}
	}
	return order{ID: id, State: "booked", Executions: executions}
}

// book executes the booking even if its caller leaves meanwhile.
func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID string `json:"id"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in)
	if err != nil || in.ID == "" {
		http.Error(w, `the body must be {"id":"…"}`, http.StatusBadRequest)
		return
	}
	if !s.spend(server.Life(r.Context()), s.opts.BookTime) || s.crashAt(crashBefore) {
		panic(http.ErrAbortHandler)
	}
	n := s.orders.execute(in.ID)
	if s.crashAt(crashAfter) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, newOrder(in.ID, n))
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if !s.spend(r.Context(), s.opts.LookupTime) {
		panic(http.ErrAbortHandler)
	}
	id := r.PathValue("id")
	writeJSON(w, http.StatusOK, newOrder(id, s.orders.lookup(id)))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// spend takes the time of a call; it reports false when ctx ends first.
func (s *Server) spend(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	d += s.delay
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return s.http.Gate(ctx) == nil
	case <-ctx.Done():
		return false
	}
}

// crashAt crashes the server if that was asked for at this point of a booking.
func (s *Server) crashAt(point crashPoint) bool {
	s.mu.Lock()
	due := s.crash == point
	down := s.crashDown
	if due {
		s.crash = noCrash
	}
	s.mu.Unlock()
	if due {
		s.http.StartOutage(down)
	}
	return due
}
