package demo

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Network opens listeners and connections: TCP on loopback in the demo, an
// in-memory network in tests.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// TCPNetwork is the Network of the demo.
type TCPNetwork struct{ net.Dialer }

// Listen implements Network.
func (*TCPNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (t *TCPNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.DialContext(ctx, network, addr)
}

// errDead reports the use of a host after Kill.
var errDead = errors.New("the instance was killed")

// host is the network of one instance. It can be killed, which closes every
// connection at once, and silenced, after which its open connections stay open
// and pass nothing.
type host struct {
	network Network

	mu        sync.Mutex
	dead      bool
	listeners []net.Listener
	conns     map[*hostConn]struct{}
}

func newHost(n Network) *host { return &host{network: n, conns: make(map[*hostConn]struct{})} }

func (h *host) listen(addr string) (net.Listener, error) {
	l, err := h.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, l)
	return &hostListener{Listener: l, host: h}, nil
}

func (h *host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := h.network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return h.track(c)
}

func (h *host) track(c net.Conn) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		_ = c.Close()
		return nil, errDead
	}
	hc := &hostConn{Conn: c, host: h, closed: make(chan struct{})}
	h.conns[hc] = struct{}{}
	return hc, nil
}

func (h *host) forget(c *hostConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// kill closes the listeners and every connection of the instance.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	listeners, conns := h.listeners, h.list()
	h.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// silence makes the connections that are open now pass nothing for good.
func (h *host) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.list() {
		c.setSilent()
	}
}

func (h *host) list() []*hostConn {
	var list []*hostConn
	for c := range h.conns {
		list = append(list, c)
	}
	return list
}

type hostListener struct {
	net.Listener
	host *host
}

// Accept implements net.Listener.
func (l *hostListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked, err := l.host.track(c)
	if err != nil {
		return nil, net.ErrClosed
	}
	return tracked, nil
}

type hostConn struct {
	net.Conn
	host   *host
	once   sync.Once
	closed chan struct{}

	mu     sync.Mutex
	silent bool
}

func (c *hostConn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *hostConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. A silenced connection drops what arrives, its end
// included; deadlines still work.
func (c *hostConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isSilent() {
			return n, err
		}
		if err == nil {
			continue
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return 0, err
		}
		<-c.closed
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn. A silenced connection takes bytes and drops them.
func (c *hostConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *hostConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.host.forget(c)
	})
	return c.Conn.Close()
}
