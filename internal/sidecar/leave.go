package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// drainRecheck spaces the looks of a drain when no session ends.
const drainRecheck = 20 * time.Millisecond

// sessions are the open streams whose work was taken.
type sessions struct {
	mu      sync.Mutex
	open    map[*claim]func() // starts to send a heartbeat
	changed chan struct{}     // closed when a session ends
}

func (s *sessions) init() {
	s.open = make(map[*claim]func())
	s.changed = make(chan struct{})
}

func (s *sessions) add(c *claim, announce func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = announce
}

func (s *sessions) remove(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sessions) left() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.changed
}

// announce sends a heartbeat on every stream. It starts them under the lock, so
// that none begins after remove.
func (s *sessions) announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range s.open {
		start()
	}
}

// Leave refuses new and waiting work, announces the leaving on every open
// stream at once and goes on with granted and running work.
func (s *Sidecar) Leave() {
	s.desk.leave()
	s.sessions.announce()
}

// Drain is Leave, and then waits until no request is left.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.Leave()
	for {
		n, changed := s.sessions.left()
		if n == 0 && !s.desk.busy() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(context.Cause(ctx), "drain: %d requests are still running", n)
		case <-changed:
		case <-time.After(drainRecheck): // a claim whose session is about to open
		}
	}
}
