package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// connectTimeout bounds the set-up of a connection.
	connectTimeout = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives a connection up.
	userTimeout = 3 * time.Second
	// defaultIdle is how long an idle connection is kept when the upstream does
	// not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the upstream a connection is given up,
	// so that no request crosses the upstream's close.
	idleMargin = 500 * time.Millisecond
	// readerBytes is the read buffer of a connection.
	readerBytes = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps connections to upstreams.
type Pool struct {
	dial DialFunc

	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	opened atomic.Int64
}

// NewPool returns an empty pool; a nil dial means TCP.
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

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// OpenedTotal returns how many connections were opened in all.
func (p *Pool) OpenedTotal() int64 { return p.opened.Load() }

// get returns a kept connection that is fresh enough, or a new one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	if c := p.kept(r); c != nil {
		return c, nil
	}
	if err := p.reserve(r); err != nil {
		return nil, err
	}
	nc, err := p.dial(ctx, "tcp", r.Address)
	if err != nil {
		p.forget(r.Address)
		return nil, errors.Wrap(err, "connect")
	}
	p.opened.Add(1)
	return &conn{Conn: nc, pool: p, address: r.Address, reader: bufio.NewReaderSize(nc, readerBytes)}, nil
}

// kept takes the connection that was used last, which is the least likely to
// have been closed by the other side.
func (p *Pool) kept(r *Request) *conn {
	if r.MaxIdle <= 0 {
		return nil
	}
	now := time.Now()
	for {
		c := p.pop(r.Address)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= r.MaxIdle && c.quiet() {
			return c
		}
		c.discard()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) reserve(r *Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.MaxConns > 0 && p.open[r.Address] >= r.MaxConns {
		return ErrTooManyConns
	}
	p.open[r.Address]++
	return nil
}

// forget ends the count of one open connection.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) put(c *conn, keepAlive time.Duration) {
	idle := defaultIdle
	if keepAlive > 0 {
		idle = keepAlive - idleMargin
	}
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the kept connections to an address, or all if it is empty.
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

// CloseExpired closes kept connections that are past their time.
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
