package app

import (
	"net"
	"sync"
)

// limitPerAddress closes connections of a remote address that already has
// limit of them, so that one caller cannot use up the process's descriptors.
func limitPerAddress(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, limit: limit, open: make(map[string]int)}
}

type limitedListener struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open map[string]int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := hostOf(c.RemoteAddr())
		if l.acquire(address) {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.release(address) })}, nil
		}
		_ = c.Close()
	}
}

func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

func (l *limitedListener) acquire(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address] >= l.limit {
		return false
	}
	l.open[address]++
	return true
}

func (l *limitedListener) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address]--; l.open[address] <= 0 {
		delete(l.open, address)
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
