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

// SlowDelay is the delay per call of the fault kind slow.
const SlowDelay = 400 * time.Millisecond

// indexHeader carries the index to watch from.
const indexHeader = "X-Consul-Index"

// Server serves a Store over HTTP.
type Server struct {
	*Store
	http *server.Server
}

// Serve serves store on the listener until Close. relisten may be nil; see server.Options.
func Serve(store *Store, l net.Listener, relisten func() (net.Listener, error)) *Server {
	s := &Server{Store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
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

// Faults returns the kinds of faults with the functions that start them.
func (s *Server) Faults() map[string]func(time.Duration) error {
	return map[string]func(time.Duration) error{
		"down": func(d time.Duration) error {
			s.StartOutage(d)
			s.http.StartOutage(d)
			return nil
		},
		"slow":     func(d time.Duration) error { s.Slow(SlowDelay, d); return nil },
		"lost_ack": func(d time.Duration) error { s.LoseAllAcks(d); return nil },
		// One write takes effect only when the fault ends; its answer is lost.
		"late_write": func(d time.Duration) error { s.DelayWrites(1, d); return nil },
		"pause":      func(d time.Duration) error { s.http.Pause(d); return nil },
		"silence":    func(d time.Duration) error { s.http.Blackhole(d, false); return nil },
	}
}

type kvPair struct {
	Key         string
	Value       string // base64
	ModifyIndex uint64
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, err := parseIndex(query.Get("index"))
	if err != nil {
		http.Error(w, "invalid index", http.StatusBadRequest)
		return
	}
	var e Entry
	if after > 0 {
		// Consul ignores an unreadable wait; so does this.
		wait, _ := time.ParseDuration(query.Get("wait"))
		e, err = s.Watch(r.Context(), key, after, wait)
	} else {
		e, err = s.Get(r.Context(), key)
	}
	if err != nil {
		fail(w, err)
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

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
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
		fail(w, err)
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

func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
}
