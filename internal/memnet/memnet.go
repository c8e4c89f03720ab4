// Package memnet implements an in-memory network for tests. Its connections block
// only on condition variables, so that testing/synctest can run real HTTP servers
// and clients in virtual time. An address can be blackholed (its connections stay
// open but drop all data) or disconnected (its connections are closed and dials
// fail).
package memnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Network connects listeners and dialers by address.
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*listener
	conns        map[string][]*conn // by address; client and server ends alternate
	disconnected map[string]bool
	blackholed   map[string]bool
	dialDelay    time.Duration
}

// New returns a network on which each dial takes dialDelay.
func New(dialDelay time.Duration) *Network {
	return &Network{
		listeners:    make(map[string]*listener),
		conns:        make(map[string][]*conn),
		disconnected: make(map[string]bool),
		blackholed:   make(map[string]bool),
		dialDelay:    dialDelay,
	}
}

// Listen opens a listener on addr.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, errors.Errorf("memnet: address %s in use", addr)
	}
	l := &listener{network: n, addr: addr, accept: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial opens a connection to addr.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	if n.dialDelay > 0 {
		timer := time.NewTimer(n.dialDelay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
		}
	}
	n.mu.Lock()
	l, ok := n.listeners[addr]
	if !ok || n.disconnected[addr] {
		n.mu.Unlock()
		return nil, errors.Errorf("memnet: connection to %s refused", addr)
	}
	client, server := newPair(addr)
	client.setBlackholed(n.blackholed[addr])
	server.setBlackholed(n.blackholed[addr])
	n.conns[addr] = append(withoutClosed(n.conns[addr]), client, server)
	n.mu.Unlock()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
		return nil, errors.Errorf("memnet: connection to %s refused", addr)
	}
}

// withoutClosed removes the pairs of which both ends are closed, so that they do
// not accumulate for an address that is dialed every second.
func withoutClosed(conns []*conn) []*conn {
	open := conns[:0]
	for i := 0; i < len(conns); i += 2 {
		if !conns[i].isClosed() || !conns[i+1].isClosed() {
			open = append(open, conns[i], conns[i+1])
		}
	}
	clear(conns[len(open):])
	return open
}

// Disconnect closes all connections to addr and makes new dials fail until
// Restore.
func (n *Network) Disconnect(addr string) {
	n.mu.Lock()
	conns := n.conns[addr]
	n.conns[addr] = nil
	n.disconnected[addr] = true
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Blackhole makes the open connections to addr drop all data permanently. With
// includeNew, the same applies to connections that are opened before the next
// Restore.
func (n *Network) Blackhole(addr string, includeNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholed[addr] = includeNew
	for _, c := range n.conns[addr] {
		c.setBlackholed(true)
	}
}

// BlackholeReplies makes the open connections to addr drop the data that the
// listening side sends. The other direction keeps working.
func (n *Network) BlackholeReplies(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, c := range n.conns[addr] {
		if i%2 == 1 {
			c.setBlackholed(true)
		}
	}
}

// Restore makes new connections to addr work again.
func (n *Network) Restore(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.disconnected, addr)
	delete(n.blackholed, addr)
}

type listener struct {
	network *Network
	addr    string
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		l.resetPending()
	})
	return nil
}

// resetPending resets the connections that were not accepted.
func (l *listener) resetPending() {
	for {
		select {
		case c := <-l.accept:
			_ = c.(*conn).SetLinger(0)
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "mem" }
func (a address) String() string { return string(a) }
