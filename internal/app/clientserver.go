package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/routing"
)

// clientServer serves the client port of a gateway. The limits of net/http are
// fixed for the life of a server, so new limits start a new server on the same
// listener; connections that are open keep the limits that they began with.
type clientServer struct {
	listener net.Listener
	handler  http.Handler
	log      *log.Logger

	current atomic.Pointer[limitedServer]
	mu      sync.Mutex
	servers []*limitedServer
	closed  atomic.Bool
}

// limitedServer is one http.Server and the connections handed to it.
type limitedServer struct {
	*http.Server
	limits routing.Limits
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
}

func newClientServer(l net.Listener, h http.Handler, logger *log.Logger) *clientServer {
	s := &clientServer{listener: l, handler: h, log: logger}
	s.setLimits(routing.DefaultLimits())
	return s
}

// setLimits applies the limits to connections that begin from now on.
func (s *clientServer) setLimits(limits routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.current.Load(); old != nil && old.limits == limits {
		return
	}
	next := &limitedServer{
		Server: &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
			ErrorLog:          s.log.StandardLog(),
		},
		limits: limits,
		conns:  make(chan net.Conn),
		done:   make(chan struct{}),
		addr:   s.listener.Addr(),
	}
	s.servers = append(s.servers, next)
	s.current.Store(next)
	go func() {
		if err := next.Serve(next); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("client server ended", "err", err)
		}
	}()
}

// Accept implements net.Listener.
func (l *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *limitedServer) Close() error {
	return nil
}

// Addr implements net.Listener.
func (l *limitedServer) Addr() net.Addr { return l.addr }

// acceptPause is the pause after a failed accept, such as for lack of descriptors.
const acceptPause = 20 * time.Millisecond

// run accepts connections until the listener is closed.
func (s *clientServer) run(context.Context) error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.closed.Load() {
				return nil
			}
			s.log.Warn("accept failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		server := s.current.Load()
		select {
		case server.conns <- c:
		case <-server.done:
			_ = c.Close()
		}
	}
}

// close ends everything at once.
func (s *clientServer) close() {
	s.closed.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		close(server.done)
		_ = server.Server.Close()
	}
}
