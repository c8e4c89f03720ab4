// Package memnet is an in-memory network for tests. Its connections block on
// condition variables only, so that testing/synctest can run real HTTP servers
// and clients in virtual time. Addresses can be silenced (connections stay open
// and pass nothing) or cut (connections close, dials fail).
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
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[string][]*conn
	cut       map[string]bool
	silent    map[string]bool
	delay     time.Duration
}

// New returns a network in which each dial takes delay.
func New(delay time.Duration) *Network {
	return &Network{
		listeners: make(map[string]*listener),
		links:     make(map[string][]*conn),
		cut:       make(map[string]bool),
		silent:    make(map[string]bool),
		delay:     delay,
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
	if n.delay > 0 {
		t := time.NewTimer(n.delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.C:
		}
	}
	n.mu.Lock()
	l, ok := n.listeners[addr]
	if !ok || n.cut[addr] {
		n.mu.Unlock()
		return nil, errors.Errorf("memnet: connection to %s refused", addr)
	}
	client, server := newPair(addr)
	client.setSilent(n.silent[addr])
	server.setSilent(n.silent[addr])
	n.links[addr] = append(withoutClosed(n.links[addr]), client, server)
	n.mu.Unlock()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
		return nil, errors.Errorf("memnet: connection to %s refused", addr)
	}
}

// withoutClosed drops the pairs of which both ends are closed, so that an address
// that is dialled every second does not collect them.
func withoutClosed(links []*conn) []*conn {
	open := links[:0]
	for i := 0; i < len(links); i += 2 {
		if !links[i].isClosed() || !links[i+1].isClosed() {
			open = append(open, links[i], links[i+1])
		}
	}
	clear(links[len(open):])
	return open
}

// Disconnect closes all connections to addr and refuses new ones until Restore.
func (n *Network) Disconnect(addr string) {
	n.mu.Lock()
	links := n.links[addr]
	n.links[addr] = nil
	n.cut[addr] = true
	n.mu.Unlock()
	for _, c := range links {
		_ = c.Close()
	}
}

// Blackhole makes the connections to addr that are open now pass nothing for
// good. New connections work unless all is true.
func (n *Network) Blackhole(addr string, all bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[addr] = all
	for _, c := range n.links[addr] {
		c.setSilent(true)
	}
}

// BlackholeReplies is Silence in one direction: what the listening side sends is lost.
func (n *Network) BlackholeReplies(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, c := range n.links[addr] {
		if i%2 == 1 {
			c.setSilent(true)
		}
	}
}

// Restore lets new connections to addr work again.
func (n *Network) Restore(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, addr)
	delete(n.silent, addr)
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
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "mem" }
func (a address) String() string { return string(a) }
