package harness

import (
	"context"
	"net/http"
	"sync"
)

// CutStore is the store behind a handler that can cut the watches that are waiting.
type CutStore struct {
	store http.Handler
	mu    sync.Mutex
	cut   chan struct{}
}

// NewCutStore returns a handler that passes all calls to the store of the case.
func (c *Case) NewCutStore() *CutStore {
	return &CutStore{store: c.Store, cut: make(chan struct{})}
}

// CutWatches closes the connections of the watches that are waiting now, without an answer.
func (s *CutStore) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *CutStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != Names.WatchPath {
		s.store.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	ctx, end := context.WithCancel(r.Context())
	defer end()
	done := make(chan struct{})
	go func() {
		select {
		case <-cut:
			end()
		case <-done:
		}
	}()
	s.store.ServeHTTP(w, r.WithContext(ctx))
	close(done)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
