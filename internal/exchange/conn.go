package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// exchangeState is the part of a connection that belongs to one exchange.
type exchangeState struct {
	sent atomic.Bool
	stop func() bool

	mu       sync.Mutex
	canceled bool
	closed   bool
}

// begin ties the connection to the context of one exchange.
func (c *conn) begin(ctx context.Context) {
	c.uses++
	c.sent.Store(false)
	c.mu.Lock()
	c.canceled = false
	c.mu.Unlock()
	c.stop = context.AfterFunc(ctx, c.cancel)
}

// cancel closes the connection under a blocked exchange, so that the upstream
// sees at once that nobody waits any more.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	// A deadline that has passed ends blocked reads and writes.
	_ = c.SetDeadline(time.Now())
	c.closeLocked()
}

func (c *conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	// The result of closing tells nothing that matters here.
	_ = c.Close()
	c.pool.forget(c.address)
}

func (c *conn) discard() {
	if c.stop != nil {
		c.stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// end finishes an exchange and keeps the connection if it can be used again.
func (c *conn) end(keep bool, keepAlive time.Duration) {
	if !keep || !c.stop() {
		c.discard()
		return
	}
	if c.setReadDeadline(time.Time{}) != nil {
		c.discard()
		return
	}
	c.pool.put(c, keepAlive)
}

func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return net.ErrClosed
	}
	return c.SetReadDeadline(t)
}

// write sends the request. Bytes that the kernel did not take were not sent.
func (c *conn) write(head, body []byte) error {
	if len(head)+len(body) <= inlineWriteBytes {
		n, err := c.Write(append(head, body...))
		c.sent.Store(n > 0)
		return err
	}
	c.sent.Store(true)
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// quiet reports whether the idle connection is open and carries no bytes. Bytes
// or an end that arrived while it was idle make it unusable.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
