package outbuf

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// StallTimeout is how long a client may take nothing while data waits for it and an
	// upstream waits too. Engines abort a response that stays unread for some seconds.
	StallTimeout = 2 * time.Second
	// BufferedStallTimeout is the same for a stream that is buffered, so that its upstream
	// does not wait. TCP reports what a client took only when much of the client's receive
	// buffer is free: on loopback, a client that took 13 KB/s seemed to take nothing for
	// more than 2 s.
	BufferedStallTimeout = 3 * StallTimeout
	// progressInterval is how often a blocked write checks whether the client takes
	// data.
	progressInterval = 250 * time.Millisecond
	// firstWait is how long a write may take before it counts as blocked, on a
	// connection that cannot be written to without blocking.
	firstWait = 5 * time.Millisecond
	// socketBufferBytes is the send buffer of a connection. The system lets it grow to
	// several megabytes otherwise, which count towards the memory of the process too.
	socketBufferBytes = 256 << 10
)

// Owner names the request whose response a connection carries.
type Owner struct {
	Request, Account string
}

// StalledError is the error of a write to a client that takes nothing.
type StalledError struct {
	// Waiting is the number of bytes that wait for the client outside of the system's
	// buffers, and Idle for how long it has taken nothing.
	Waiting int
	Idle    time.Duration
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("the client took nothing for %v while %d bytes waited; read the response without such pauses", e.Idle.Round(time.Millisecond), e.Waiting)
}

// Monitor is told of clients that are disconnected because they take nothing.
type Monitor interface {
	ClientStalled(o Owner, e *StalledError)
}

// Conn is the connection of a client. A write that takes effect at once costs no more than
// one to the connection itself. A write that does not is ended with a *StalledError when
// the client has taken nothing for StallTimeout, or for BufferedStallTimeout while the
// upstream of an attached stream does not wait. A client that takes any data in that time
// is never disconnected.
//
// Write, Begin, Attach and Blocked must not be called concurrently.
type Conn struct {
	net.Conn
	monitor Monitor
	// raw is nil if the connection is not a socket.
	raw syscall.RawConn
	// attempt is the function value of writeAtOnce, whose argument is data and whose
	// results are written and err.
	attempt func(fd uintptr) bool
	data    []byte
	written int
	err     error

	owner Owner
	ahead *ReadAhead
	// blocked is for how long writes of the current response have been blocked.
	blocked time.Duration
}

// NewConn returns the connection c of a client.
func NewConn(c net.Conn, m Monitor) *Conn {
	out := &Conn{Conn: c, monitor: m}
	out.attempt = out.writeAtOnce
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			out.raw = raw
		}
	}
	if s, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = s.SetWriteBuffer(socketBufferBytes) // without it, only the limit of the system applies
	}
	return out
}

// Begin starts a response. c may be nil.
func (c *Conn) Begin(o Owner) {
	if c != nil {
		c.owner, c.blocked = o, 0
	}
}

// Attach makes a blocked write begin to read the stream ahead. A nil stream undoes that.
// c may be nil.
func (c *Conn) Attach(a *ReadAhead) {
	if c != nil {
		c.ahead = a
	}
}

// Blocked returns for how long the writes of the current response have been blocked. c
// may be nil.
func (c *Conn) Blocked() time.Duration {
	if c == nil {
		return 0
	}
	return c.blocked
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n := 0
	if c.raw != nil {
		var err error
		if n, err = c.tryWrite(b); err != nil || n == len(b) {
			return n, err
		}
	}
	rest, err := c.writeBlocking(b[n:])
	return n + rest, err
}

// tryWrite writes what the socket takes without blocking.
func (c *Conn) tryWrite(b []byte) (int, error) {
	c.data, c.written, c.err = b, 0, nil
	err := c.raw.Write(c.attempt)
	c.data = nil
	if err == nil {
		err = c.err
	}
	return c.written, err
}

// writeAtOnce writes c.data once. It returns true, so that the caller does not wait.
func (c *Conn) writeAtOnce(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), c.data)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
		case err != nil:
			c.err = os.NewSyscallError("write", err)
		default:
			c.written = n
		}
		return true
	}
}

// writeBlocking writes b and waits for the client as long as it takes data.
func (c *Conn) writeBlocking(b []byte) (int, error) {
	began, wait := time.Now(), progressInterval
	if c.raw == nil {
		wait = firstWait
	} else {
		c.beginReadAhead()
	}
	p := progress{last: began, unsent: c.unsent()}
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(wait)) // an error is repeated by Write
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if wait == progressInterval {
				c.blocked += time.Since(began)
			}
			_ = c.SetWriteDeadline(time.Time{})
			return written, err
		}
		c.beginReadAhead()
		wait = progressInterval
		if idle := p.observe(n, c.unsent(), time.Now()); idle >= c.stallTimeout() {
			c.blocked += time.Since(began)
			return written, c.stalled(len(b)-written, idle)
		}
	}
}

// stallTimeout returns for how long the client may take nothing now.
func (c *Conn) stallTimeout() time.Duration {
	if c.ahead != nil && c.ahead.HeldBack() < StallTimeout {
		return BufferedStallTimeout
	}
	return StallTimeout
}

// beginReadAhead begins to read the attached stream ahead, if there is one.
func (c *Conn) beginReadAhead() {
	if c.ahead != nil {
		c.ahead.Begin()
	}
}

// stalled makes the connection end with a reset, which frees the system's buffer, and
// reports the client.
func (c *Conn) stalled(rest int, idle time.Duration) error {
	e := &StalledError{Waiting: rest, Idle: idle}
	if c.ahead != nil {
		e.Waiting += c.ahead.Waiting()
	}
	_ = c.SetLinger(0) // without it, the system frees its buffer later
	c.monitor.ClientStalled(c.owner, e)
	return e
}

// unsent returns the number of bytes that the client's system has not acknowledged, or -1
// if it is not known.
func (c *Conn) unsent() int {
	if c.raw == nil {
		return -1
	}
	n := -1
	err := c.raw.Control(func(fd uintptr) {
		var err error
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			n = -1
		}
	})
	if err != nil {
		return -1
	}
	return n
}

// SetLinger sets what happens to unsent data when the connection is closed, if the
// connection has such an option.
func (c *Conn) SetLinger(seconds int) error {
	if s, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return s.SetLinger(seconds)
	}
	return nil
}

// CloseWrite shuts down the writing side, if the connection has two.
func (c *Conn) CloseWrite() error {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return s.CloseWrite()
	}
	return nil
}

// progress follows whether a client takes data.
type progress struct {
	// last is the time at which it was seen to, and unsent the number of bytes in the
	// system's buffer then.
	last   time.Time
	unsent int
}

// observe records that the system took n bytes since the last call, and that unsent bytes
// are in its buffer. It returns for how long the client has taken nothing. A socket
// accepts new bytes only when much of its buffer is free, so a client that reads slowly is
// first seen in the number of unsent bytes.
func (p *progress) observe(n, unsent int, now time.Time) time.Duration {
	if n > 0 || unsent < p.unsent {
		p.last = now
	}
	p.unsent = unsent
	return now.Sub(p.last)
}

// connKey is the key of a Conn in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose connections may be of type Conn.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if client, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, client)
	}
	return ctx
}

// FromContext returns the connection of the client, or nil if it is not known.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
