package entry

import (
	"context"
	"sync"
)

// inFlight counts the requests in progress and lets a drain wait until there are
// none. Unlike sync.WaitGroup, it allows a request to begin while a drain waits.
type inFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count reaches 0; nil if no drain waits
}

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns when no request is in progress, or the context's error if ctx ends
// first.
func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}
