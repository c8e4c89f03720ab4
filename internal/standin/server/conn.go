package server

import (
	"context"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var discardLog = log.New(io.Discard, "", 0)

// conn is a server-side connection that can pause, go silent or be reset.
type conn struct {
	net.Conn
	server *Server
	boot   context.Context
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn. On a silent connection what arrives is lost, the
// end of the stream included: the server must not learn that the peer left.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.gate() {
			return 0, net.ErrClosed
		}
		if !c.silent.Load() {
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if !c.gate() {
		return 0, net.ErrClosed
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// gate waits while the server is paused; it returns false once the connection is closed.
func (c *conn) gate() bool {
	for {
		c.server.mu.Lock()
		p := c.server.paused
		c.server.mu.Unlock()
		if p == nil {
			return true
		}
		select {
		case <-p.ended:
		case <-c.closed:
			return false
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.forget(c)
	var err error
	c.once.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
	})
	return err
}

// abort resets the connection, as the death of the process does. The caller
// holds the server's lock.
func (c *conn) abort() {
	c.once.Do(func() {
		close(c.closed)
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	})
}
