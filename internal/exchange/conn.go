package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// exchangeState is the state of a connection that belongs to the exchange in
// progress.
type exchangeState struct {
	bytesSent  atomic.Bool
	stopCancel func() bool

	mu       sync.Mutex
	canceled bool
	closed   bool
}

// bindContext starts an exchange and cancels it when ctx ends.
func (c *conn) bindContext(ctx context.Context) {
	c.requestCount++
	c.bytesSent.Store(false)
	c.mu.Lock()
	c.canceled = false
	c.mu.Unlock()
	c.stopCancel = context.AfterFunc(ctx, c.cancel)
}

// cancel closes the connection during an exchange, so that the upstream learns at
// once that the result is no longer wanted.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	// An expired deadline unblocks pending reads and writes.
	_ = c.SetDeadline(time.Now())
	c.closeLocked()
}

// closeLocked closes the connection and gives up its slot in the pool, once. The
// caller holds c.mu.
func (c *conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	// An error from Close changes nothing: the connection is not used again.
	_ = c.Close()
	c.pool.releaseSlot(c.address)
}

// discard closes the connection and ends its dependency on the context.
func (c *conn) discard() {
	if c.stopCancel != nil {
		c.stopCancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// release ends an exchange. It keeps the connection for reuse if possible and closes
// it otherwise.
func (c *conn) release(reusable bool, keepAlive time.Duration) {
	if !reusable || !c.stopCancel() {
		c.discard()
		return
	}
	if c.setReadDeadline(time.Time{}) != nil {
		c.discard()
		return
	}
	c.pool.putIdle(c, keepAlive)
}

// setReadDeadline sets the read deadline, unless cancel has set one, which must
// stay in force.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return net.ErrClosed
	}
	return c.SetReadDeadline(t)
}

// write sends the request and records whether any byte reached the kernel. A request
// of which the kernel took no byte counts as not sent.
func (c *conn) write(head, body []byte) error {
	if len(head)+len(body) <= inlineWriteBytes {
		n, err := c.Write(append(head, body...))
		c.bytesSent.Store(n > 0)
		return err
	}
	c.bytesSent.Store(true)
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// usable reports whether the idle connection is still open and has no unread bytes.
// A connection that received bytes or was closed while idle must not be reused.
func (c *conn) usable() bool {
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
