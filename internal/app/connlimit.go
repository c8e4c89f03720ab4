package app

import (
	"net"
	"sync"
)

// limitConnsPerAddress closes new connections from a remote address that already has
// limit open connections, so that one caller cannot use up the process's file
// descriptors.
func limitConnsPerAddress(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, maxPerAddress: limit, openConns: make(map[string]int)}
}

type limitedListener struct {
	net.Listener
	maxPerAddress int

	mu        sync.Mutex
	openConns map[string]int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := hostPart(c.RemoteAddr())
		if l.acquire(address) {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.release(address) })}, nil
		}
		_ = c.Close()
	}
}

func hostPart(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// acquire counts a connection from the address. It reports false if the address
// already has maxPerAddress connections.
func (l *limitedListener) acquire(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openConns[address] >= l.maxPerAddress {
		return false
	}
	l.openConns[address]++
	return true
}

func (l *limitedListener) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openConns[address]--; l.openConns[address] <= 0 {
		delete(l.openConns, address)
	}
}

// limitedConn is a connection that is counted by a limitedListener until it is
// closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
