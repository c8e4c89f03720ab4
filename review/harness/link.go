package harness

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Link is the network path to a server. While it is cut it holds back what is sent, in both
// directions, and delivers it in order afterwards, as TCP does after a partition.
type Link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     chan struct{}
}

// StartLink starts a link to the target.
func StartLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{target: target, listener: l, open: make(chan struct{})}
	close(link.open)
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go link.serve(client.(*net.TCPConn))
		}
	}()
	return link, nil
}

// Address returns the address at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds back what is sent from now on.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

// Heal delivers what was held back.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

func (l *Link) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *Link) serve(client *net.TCPConn) {
	l.wait()
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	server := c.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { l.pass(server, client) })
	both.Go(func() { l.pass(client, server) })
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

// pass copies from src to dst. An end in order is passed on as one, a reset as a reset.
func (l *Link) pass(dst, src *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.CloseWrite()
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
