package harness

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to the store. While it is cut, it carries nothing: what was
// open stays silent for good, as a connection does whose packets were lost for long, and a
// new connection gets no answer.
type Proxy struct {
	target string
	mu     sync.Mutex
	cut    bool
	conns  map[net.Conn]*silence
	addr   string
}

// silence is closed when a connection becomes silent.
type silence struct {
	once sync.Once
	done chan struct{}
}

func (s *silence) set() { s.once.Do(func() { close(s.done) }) }

// StartProxy starts a proxy to the target.
func StartProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, conns: make(map[net.Conn]*silence), addr: l.Addr().String()}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.addr }

// SetCut cuts the connections, or lets new ones through again.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for _, s := range p.conns {
		s.set()
	}
}

func (p *Proxy) serve(client net.Conn) {
	s := &silence{done: make(chan struct{})}
	p.mu.Lock()
	p.conns[client] = s
	if p.cut {
		s.set()
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		p.mu.Unlock()
		_ = client.Close()
	}()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	var both sync.WaitGroup
	both.Go(func() { pass(server, client, s) })
	both.Go(func() { pass(client, server, s) })
	both.Wait()
}

// pass copies from src to dst until either ends. Once silent, it reads src and drops it.
func pass(dst, src net.Conn, s *silence) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-s.done:
			if err != nil {
				_ = dst.Close()
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				time.Sleep(time.Millisecond)
			}
			_ = dst.Close()
			return
		}
	}
}
