// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/server"
)

// Defaults of Options. One reader loads a model in one second.
const (
	DefaultModelBytes     = 32 << 20
	DefaultBytesPerSecond = 32 << 20
)

// sliceBytes is the number of bytes that are sent before the rate is adapted to
// the number of readers.
const sliceBytes = 256 << 10

// Options configures a Store. Zero values select the defaults.
type Options struct {
	Listener net.Listener
	// ModelBytes is the size of every model.
	ModelBytes int64
	// BytesPerSecond is the total send rate, which the readers share equally.
	BytesPerSecond float64
	// Versions lists the versions of each model. When it is nil, every version of
	// every model exists.
	Versions map[string][]string
}

// Store is an HTTP server of model weights.
type Store struct {
	opts Options
	http *server.Server

	mu      sync.Mutex
	readers int
}

// Serve starts a weight store on opts.Listener. It runs until Close.
func Serve(opts Options) *Store {
	if opts.ModelBytes == 0 {
		opts.ModelBytes = DefaultModelBytes
	}
	if opts.BytesPerSecond == 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	s := &Store{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.handleGet)
	s.http = server.New(server.Options{Listener: opts.Listener, Handler: mux})
	return s
}

// Addr returns the address of the listener.
func (s *Store) Addr() net.Addr { return s.http.Addr() }

// Close stops the store.
func (s *Store) Close() error { return s.http.Close() }

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	if !s.hasVersion(r.PathValue("model"), r.PathValue("version")) {
		http.NotFound(w, r)
		return
	}
	s.addReaders(1)
	defer s.addReaders(-1)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.opts.ModelBytes, 10))
	buf := make([]byte, sliceBytes)
	for remaining := s.opts.ModelBytes; remaining > 0; {
		n := min(sliceBytes, remaining)
		select {
		case <-time.After(s.sliceTime(n)):
		case <-r.Context().Done():
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

func (s *Store) hasVersion(model, version string) bool {
	if s.opts.Versions == nil {
		return true
	}
	for _, v := range s.opts.Versions[model] {
		if v == version {
			return true
		}
	}
	return false
}

func (s *Store) addReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
}

// sliceTime returns how long sending n bytes takes at the present number of
// readers.
func (s *Store) sliceTime(n int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(n) / s.opts.BytesPerSecond * float64(s.readers) * float64(time.Second))
}
