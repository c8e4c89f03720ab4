package exchange

import (
	"slices"
	"sync"
)

// Carried is the set of connections that have carried requests with one EchoID. A
// connection must carry only one of them: a late copy of the response to the first could
// not be told from the response to the second. Its zero value is empty, and it is safe for
// concurrent use.
type Carried struct {
	mu sync.Mutex
	// serials are the serial numbers of the connections.
	serials []uint64
}

// has reports whether the connection has carried such a request. s may be nil.
func (s *Carried) has(c *conn) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.serials, c.serial)
}

// add records that the connection carries such a request. s may be nil.
func (s *Carried) add(c *conn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serials = append(s.serials, c.serial)
}
