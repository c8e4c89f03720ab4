package exchange

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// connectTimeout limits the time for opening a connection.
	connectTimeout = time.Second
	// ackTimeout is how long sent bytes may remain unacknowledged before the kernel
	// closes the connection.
	ackTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not announce its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's idle timeout a connection is
	// dropped, so that no request is sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds open connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dial DialFunc

	mu   sync.Mutex
	idle map[string][]*conn
	// open is the number of open connections by address.
	open   map[string]int
	opened atomic.Int64
}

// NewPool returns an empty pool. If dial is nil, it opens TCP connections.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn), open: make(map[string]int)}
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	return d.DialContext(ctx, network, address)
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall
// does not define.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// OpenedTotal returns the number of connections opened since the pool was created.
func (p *Pool) OpenedTotal() int64 { return p.opened.Load() }

// acquire returns a reusable idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	if c := p.reuseIdle(r); c != nil {
		return c, nil
	}
	return p.connect(ctx, r.Address, r.MaxConns)
}

// connect opens a connection to the address, unless maxConns are open; 0 means no limit.
func (p *Pool) connect(ctx context.Context, address string, maxConns int) (*conn, error) {
	if err := p.reserveSlot(address, maxConns); err != nil {
		return nil, err
	}
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, errors.Wrap(err, "connect")
	}
	source := &headLimiter{source: nc}
	return &conn{Conn: nc, pool: p, address: address, serial: uint64(p.opened.Add(1)), source: source, reader: bufio.NewReaderSize(source, readBufferSize)}, nil
}

// reuseIdle returns the most recently used idle connection, because the upstream is
// least likely to have closed it. It returns nil if there is none.
func (p *Pool) reuseIdle(r *Request) *conn {
	if r.MaxIdle <= 0 {
		return nil
	}
	now := time.Now()
	for {
		c := p.popIdle(r.Address, r.Carried)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= r.MaxIdle && c.usable() {
			return c
		}
		c.discard()
	}
}

// popIdle removes and returns the idle connection to the address that was used last and
// is not among the carried ones, or nil.
func (p *Pool) popIdle(address string, carried *Carried) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !carried.has(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// reserveSlot counts a connection that is about to be opened, unless maxConns are open
// already; 0 means no limit.
func (p *Pool) reserveSlot(address string, maxConns int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxConns > 0 && p.open[address] >= maxConns {
		return ErrTooManyConns
	}
	p.open[address]++
	return nil
}

// releaseSlot decrements the number of open connections to the address.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// putIdle keeps the connection for reuse. keepAlive is how long the upstream keeps
// it open, or 0 if unknown.
func (p *Pool) putIdle(c *conn, keepAlive time.Duration) {
	idle := defaultIdleTimeout
	if keepAlive > 0 {
		idle = keepAlive - idleMargin
	}
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address, or all of them if address is
// empty.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var drop []*conn
	for a, list := range p.idle {
		if address == "" || a == address {
			drop = append(drop, list...)
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.discard()
	}
}

// CloseExpired closes idle connections whose idle time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var drop []*conn
	for a, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				keep = append(keep, c)
			} else {
				drop = append(drop, c)
			}
		}
		clear(list[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, a)
		} else {
			p.idle[a] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.discard()
	}
}
