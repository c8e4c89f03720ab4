package plain

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// serviceConn is a connection to the service that remembers whether sending on it failed. The
// kernel reports a reset only once: if a write gets it, the next read sees an orderly end.
type serviceConn struct {
	net.Conn
	mu  sync.Mutex
	err error
}

// Write implements net.Conn.
func (c *serviceConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.err = err
	}
	return n, err
}

// endSending stops a write in progress and returns the error of the last one that failed.
func (c *serviceConn) endSending() error {
	_ = c.SetWriteDeadline(time.Now()) // the write that it unblocks reports the error
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// upload follows how the request of a call is sent to the service.
type upload struct {
	// begun is set when a byte of the request may have been sent, and written when all of it
	// was handed to the connection.
	begun, written atomic.Bool
	conn           atomic.Pointer[serviceConn]
}

// trace returns the hooks that follow the upload.
func (u *upload) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*serviceConn); ok {
				u.conn.Store(c)
			}
		},
		WroteHeaderField: func(string, []string) { u.begun.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				u.written.Store(true)
			}
		},
	}
}

// errNotSent means that a response ended before its request had been sent.
var errNotSent = errors.New("the response ended with its connection while the request was still being sent")

// end returns an error unless the whole request was sent.
func (u *upload) end() error {
	if c := u.conn.Load(); c != nil {
		if err := c.endSending(); err != nil {
			return errors.Wrap(errNotSent, err.Error())
		}
	}
	if !u.written.Load() {
		return errNotSent
	}
	return nil
}
