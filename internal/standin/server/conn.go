package server

import (
	"context"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

var discardLogger = log.New(io.Discard, "", 0)

// conn is a server-side connection that can be paused, blackholed or reset.
type conn struct {
	net.Conn
	server     *Server
	processCtx context.Context
	blackholed atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
}

// Read implements net.Conn. On a blackholed connection it discards what arrives,
// including the end of the stream, because the server must not learn that the
// peer has closed the connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.waitWhilePaused() {
			return 0, net.ErrClosed
		}
		if !c.blackholed.Load() {
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

// Write implements net.Conn. On a blackholed connection it discards b.
func (c *conn) Write(b []byte) (int, error) {
	if !c.waitWhilePaused() {
		return 0, net.ErrClosed
	}
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// waitWhilePaused blocks while the server is paused. It returns false once the
// connection is closed.
func (c *conn) waitWhilePaused() bool {
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
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
	c.closeLocked(false)
	return nil
}

// closeLocked closes the server's side of the connection. With reset, a TCP
// connection is reset, as happens when a process crashes. The peer of a blackholed
// connection is not notified: its connection stays open until Server.Close.
func (c *conn) closeLocked(reset bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		if c.blackholed.Load() {
			// A deadline in the past ends the reads and writes in progress.
			_ = c.SetDeadline(time.Unix(1, 0))
			c.server.abandoned = append(c.server.abandoned, c.Conn)
			return
		}
		if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	})
}
