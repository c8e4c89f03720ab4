package memnet

import (
	"io"
	"net"
	"os"
	"sync"
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
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is a read or write deadline of a pipe.
type deadline struct {
	timer   *time.Timer
	expired bool
}

func newPipe() *pipe {
	p := &pipe{}
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
			return 0, io.EOF
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
			return written, io.ErrClosedPipe
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
	in, out       *pipe
	local, remote address
}

func newPair(addr string) (client, server *conn) {
	a, b := newPipe(), newPipe()
	client = &conn{in: a, out: b, local: "client", remote: address(addr)}
	server = &conn{in: b, out: a, local: address(addr), remote: "client"}
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

// Close implements net.Conn. The other end reads the buffered data and then EOF.
// On a blackholed connection, the other end is not notified.
func (c *conn) Close() error {
	c.out.mu.Lock()
	blackholed := c.out.blackholed
	c.out.mu.Unlock()
	if !blackholed {
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
