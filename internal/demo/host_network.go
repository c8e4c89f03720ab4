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

// TCPNetwork is the Network of the demo command.
type TCPNetwork struct{ net.Dialer }

// Listen implements Network.
func (*TCPNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (t *TCPNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.DialContext(ctx, network, addr)
}

// errHostKilled is returned when a killed instance opens a connection.
var errHostKilled = errors.New("open connection: the instance was killed")

// hostNetwork is the network access of one instance and tracks its listeners and
// connections. kill closes all of them at once; blackhole keeps the current
// connections open but drops all their data.
type hostNetwork struct {
	network Network

	mu        sync.Mutex
	killed    bool
	listeners []net.Listener
	conns     map[*hostConn]struct{}
}

func newHostNetwork(n Network) *hostNetwork {
	return &hostNetwork{network: n, conns: make(map[*hostConn]struct{})}
}

func (h *hostNetwork) listen(addr string) (net.Listener, error) {
	l, err := h.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, l)
	return &hostListener{Listener: l, host: h}, nil
}

func (h *hostNetwork) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := h.network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return h.track(c)
}

func (h *hostNetwork) track(c net.Conn) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		_ = c.Close()
		return nil, errHostKilled
	}
	hc := &hostConn{Conn: c, host: h, closed: make(chan struct{})}
	h.conns[hc] = struct{}{}
	return hc, nil
}

func (h *hostNetwork) untrack(c *hostConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// kill closes the listeners and every connection of the instance.
func (h *hostNetwork) kill() {
	h.mu.Lock()
	h.killed = true
	listeners, conns := h.listeners, h.openConns()
	h.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// blackhole permanently drops all data on the connections that are open now.
// Connections opened later are not affected.
func (h *hostNetwork) blackhole() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.openConns() {
		c.blackhole()
	}
}

func (h *hostNetwork) openConns() []*hostConn {
	var conns []*hostConn
	for c := range h.conns {
		conns = append(conns, c)
	}
	return conns
}

// hostListener registers the connections that it accepts with the host network.
type hostListener struct {
	net.Listener
	host *hostNetwork
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

// hostConn is a connection of a host network. Once it is blackholed, it passes no
// data.
type hostConn struct {
	net.Conn
	host   *hostNetwork
	once   sync.Once
	closed chan struct{}

	mu         sync.Mutex
	blackholed bool
}

func (c *hostConn) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
}

func (c *hostConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

// Read implements net.Conn. A blackholed connection discards incoming data and
// hides that the peer closed; deadlines still apply.
func (c *hostConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isBlackholed() {
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

// Write implements net.Conn. A blackholed connection reports success and
// discards the data.
func (c *hostConn) Write(b []byte) (int, error) {
	if c.isBlackholed() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *hostConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.host.untrack(c)
	})
	return c.Conn.Close()
}
