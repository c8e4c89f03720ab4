package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxBufferedBytes limits the bytes in flight in one direction, like a socket
// buffer.
const maxBufferedBytes = 256 << 10

// pipe is one direction of a connection.
type pipe struct {
	mu            sync.Mutex
	cond          *sync.Cond
	buf           []byte
	blackholed    bool
	closed        bool
	readerReset   *resetNotice
	writerReset   *resetNotice
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is a read or write deadline of a pipe.
type deadline struct {
	timer   *time.Timer
	expired bool
}

// resetNotice tells one end of a connection that the other end has reset it. Like a kernel,
// it does so once: either to a read or to a write.
type resetNotice struct{ pending atomic.Bool }

// take returns the error of a connection that was reset, once, and otherwise err.
func (r *resetNotice) take(err error) error {
	if r.pending.CompareAndSwap(true, false) {
		return syscall.ECONNRESET
	}
	return err
}

func newPipe(reader, writer *resetNotice) *pipe {
	p := &pipe{readerReset: reader, writerReset: writer}
	p.cond = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readDeadline.expired:
			return 0, os.ErrDeadlineExceeded
		case len(p.buf) > 0:
			n := copy(b, p.buf)
			p.buf = p.buf[n:]
			p.cond.Broadcast()
			return n, nil
		case p.closed:
			return 0, p.readerReset.take(io.EOF)
		}
		p.cond.Wait()
	}
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for len(b) > 0 {
		switch {
		case p.closed:
			return written, p.writerReset.take(io.ErrClosedPipe)
		case p.writeDeadline.expired:
			return written, os.ErrDeadlineExceeded
		case p.blackholed:
			return written + len(b), nil
		case len(p.buf) < maxBufferedBytes:
			n := min(len(b), maxBufferedBytes-len(p.buf))
			p.buf = append(p.buf, b[:n]...)
			b, written = b[n:], written+n
			p.cond.Broadcast()
		default:
			p.cond.Wait()
		}
	}
	return written, nil
}

// hasUnread reports whether data has arrived that was not read.
func (p *pipe) hasUnread() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.buf) > 0
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cond.Broadcast()
}

func (p *pipe) setBlackholed(v bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = v
	p.cond.Broadcast()
}

func (p *pipe) setDeadline(d *deadline, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.expired = false
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		d.expired = true
		p.cond.Broadcast()
		return
	}
	d.timer = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		d.expired = true
		p.cond.Broadcast()
	})
}

type conn struct {
	in, out *pipe
	// peerReset tells the other end of a reset.
	peerReset     *resetNotice
	abortive      atomic.Bool
	local, remote address
}

func newPair(addr string) (client, server *conn) {
	toClient, toServer := new(resetNotice), new(resetNotice)
	a, b := newPipe(toClient, toServer), newPipe(toServer, toClient)
	client = &conn{in: a, out: b, peerReset: toServer, local: "client", remote: address(addr)}
	server = &conn{in: b, out: a, peerReset: toClient, local: address(addr), remote: "client"}
	return client, server
}

// setBlackholed makes the bytes that this end sends from now on get lost, or arrive
// again.
func (c *conn) setBlackholed(v bool) { c.out.setBlackholed(v) }

// isClosed reports whether this end of the connection was closed.
func (c *conn) isClosed() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.closed
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// SetLinger makes Close reset the connection if seconds is 0, like that of a net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.abortive.Store(seconds == 0)
	return nil
}

// Close implements net.Conn. The other end reads the buffered data and then EOF, or one
// error in its place if the connection is reset. Like a kernel, it resets a connection with
// data that was not read.
// On a blackholed connection, the other end is not notified.
func (c *conn) Close() error {
	c.out.mu.Lock()
	blackholed, closed := c.out.blackholed, c.out.closed
	c.out.mu.Unlock()
	if !blackholed {
		if !closed && (c.abortive.Load() || c.in.hasUnread()) {
			c.peerReset.pending.Store(true)
		}
		c.out.close()
	}
	c.in.close()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}
