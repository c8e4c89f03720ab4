package kvstore

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/standin/server"
)

// SlowDelay is the latency that the fault kind "slow" adds to every call.
const SlowDelay = 400 * time.Millisecond

// indexHeader is the response header with the index from which to watch.
const indexHeader = "X-Consul-Index"

// Server serves a Store over HTTP.
type Server struct {
	*Store
	http *server.Server
}

// Serve starts a server of store on l. It runs until Close. relisten may be nil;
// see server.Options.
func Serve(store *Store, l net.Listener, relisten func() (net.Listener, error)) *Server {
	s := &Server{Store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	s.http = server.New(server.Options{Listener: l, Relisten: relisten, Handler: mux})
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.http.Addr() }

// Close stops the server and the store.
func (s *Server) Close() error {
	s.Store.Close()
	return s.http.Close()
}

// Faults returns the fault kinds of the server and the functions that start them.
// The kind "silence" blackholes the open connections for the rest of their
// lifetime, whatever the duration.
func (s *Server) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"down": func(d time.Duration) error {
			s.StartOutage(d)
			s.http.StartOutage(d)
			return nil
		},
		"slow":     func(d time.Duration) error { s.Slow(SlowDelay, d); return nil },
		"lost_ack": func(d time.Duration) error { s.LoseAllAcks(d); return nil },
		// Delays one write by the duration of the fault and drops its response.
		"late_write": func(d time.Duration) error { s.DelayWrites(1, d); return nil },
		"pause":      func(d time.Duration) error { s.http.Pause(d); return nil },
		"silence":    func(d time.Duration) error { s.http.Blackhole(d, false); return nil },
	}
}

// kvPair is one entry of a response body, as Consul encodes it.
type kvPair struct {
	Key         string
	Value       string // base64
	ModifyIndex uint64
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, err := parseIndex(query.Get("index"))
	if err != nil {
		http.Error(w, "invalid index", http.StatusBadRequest)
		return
	}
	var e Entry
	if after > 0 {
		// An unparsable wait is ignored, as Consul does.
		wait, _ := time.ParseDuration(query.Get("wait"))
		e, err = s.Watch(r.Context(), key, after, wait)
	} else {
		e, err = s.Get(r.Context(), key)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeEntry(w, e, s.Index())
}

func writeEntry(w http.ResponseWriter, e Entry, index uint64) {
	if e.Index == 0 {
		w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(e.Index, 10))
	w.Header().Set("Content-Type", "application/json")
	pair := kvPair{Key: e.Key, Value: base64.StdEncoding.EncodeToString(e.Value), ModifyIndex: e.Index}
	_ = json.NewEncoder(w).Encode([]kvPair{pair})
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	cas := r.URL.Query().Get("cas")
	index, err := parseIndex(cas)
	if err != nil || cas == "" {
		http.Error(w, "this service writes with ?cas=INDEX only", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, "cannot read the value: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ok, err := s.CompareAndSwap(r.Context(), r.PathValue("key"), value, index)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, strconv.FormatBool(ok))
}

func parseIndex(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
}
