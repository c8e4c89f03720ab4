package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// drainCheckInterval is how often Drain checks for live claims while no session
// ends.
const drainCheckInterval = 20 * time.Millisecond

// sessionRegistry tracks the open streams whose work was admitted.
type sessionRegistry struct {
	mu      sync.Mutex
	open    map[*claim]func() // each function starts sending a heartbeat on the stream
	changed chan struct{}     // closed when a session ends
}

func (s *sessionRegistry) init() {
	s.open = make(map[*claim]func())
	s.changed = make(chan struct{})
}

func (s *sessionRegistry) add(c *claim, sendHeartbeat func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = sendHeartbeat
}

func (s *sessionRegistry) remove(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// openCount returns the number of open streams and a channel that is closed when
// one ends.
func (s *sessionRegistry) openCount() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.changed
}

// sendHeartbeats sends a heartbeat on every stream. It starts the writes under the
// lock, so that none starts after remove.
func (s *sessionRegistry) sendHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, startHeartbeat := range s.open {
		startHeartbeat()
	}
}

// Leave refuses new and queued work and announces on every open stream at once that
// the upstream is leaving. Granted and running work continues.
func (s *Sidecar) Leave() {
	s.scheduler.leave()
	s.sessions.sendHeartbeats()
}

// Drain calls Leave and then waits until no request is left.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.Leave()
	for {
		n, changed := s.sessions.openCount()
		if n == 0 && !s.scheduler.busy() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(context.Cause(ctx), "drain: %d requests are still running", n)
		case <-changed:
		case <-time.After(drainCheckInterval): // a claim may be admitted whose session is not registered yet
		}
	}
}
