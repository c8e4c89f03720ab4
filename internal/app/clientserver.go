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

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/outbuf"
	"github.com/fescueslip/fescueslip/internal/reqhead"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// clientServer serves the client port of a gateway. The limits of an http.Server
// cannot change while it serves, so new limits start a new server on the same
// listener; open connections keep the limits that they started with.
type clientServer struct {
	listener net.Listener
	gateway  *gateway.Gateway
	log      *log.Logger

	current atomic.Pointer[limitedServer]
	mu      sync.Mutex
	servers []*limitedServer
	closed  atomic.Bool
}

// limitedServer is an http.Server with fixed limits. It is also the listener of that
// server and hands it the connections that clientServer accepts.
type limitedServer struct {
	*http.Server
	limits routing.Limits
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
}

func newClientServer(l net.Listener, g *gateway.Gateway, logger *log.Logger) *clientServer {
	s := &clientServer{listener: l, gateway: g, log: logger}
	s.setLimits(routing.DefaultLimits())
	return s
}

// setLimits applies the limits to new connections, unless the port is closed.
func (s *clientServer) setLimits(limits routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return // nothing would ever close another server
	}
	if old := s.current.Load(); old != nil && old.limits == limits {
		return
	}
	next := &limitedServer{
		Server: &http.Server{
			Handler:           reqhead.Handler(s.gateway),
			BaseContext:       func(net.Listener) context.Context { return s.gateway.Shutdown.Service() },
			ConnContext:       reqhead.ConnContext,
			ConnState:         reqhead.ConnState,
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
		// Once the port is closed, its listener ends before the server is told to.
		if err := next.Serve(next); !errors.Is(err, http.ErrServerClosed) && !s.closed.Load() {
			s.log.Error("client server stopped unexpectedly", "err", err)
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

// Close implements net.Listener. It does nothing: closing done ends Accept.
func (l *limitedServer) Close() error {
	return nil
}

// Addr implements net.Listener.
func (l *limitedServer) Addr() net.Addr { return l.addr }

// acceptRetryDelay is the delay after Accept fails, for example because the process
// has no free file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// run accepts connections and passes them to the current server until the listener
// is closed.
func (s *clientServer) run(context.Context) error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.closed.Load() {
				return nil
			}
			s.log.Warn("accepting a client connection failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		server := s.current.Load()
		c = s.newConn(c, server.limits)
		select {
		case server.conns <- c:
		case <-server.done:
			_ = c.Close()
		}
	}
}

// newConn returns the connection of a client. Without accounts no key is refused, so the heads
// of its requests are not followed.
func (s *clientServer) newConn(c net.Conn, limits routing.Limits) net.Conn {
	conn := outbuf.NewConn(c, s.gateway)
	if t := s.gateway.Tables.Table(); t == nil || t.Accounts == nil {
		return conn
	}
	return reqhead.NewConn(conn, s.gateway, s.gateway.Protocol.KeyHeader(), limits.HeaderBytes)
}

// close closes the listener and all servers with their open connections.
func (s *clientServer) close() {
	for _, server := range s.stopAccepting() {
		_ = server.Server.Close()
	}
}

// shutdown closes the listener and then each connection once the response on it has been
// sent. Those that are still open when the context ends are closed as they are.
func (s *clientServer) shutdown(ctx context.Context) {
	var closing sync.WaitGroup
	for _, server := range s.stopAccepting() {
		closing.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				s.log.Info("connections were still open at the end of the shutdown", "err", err)
				_ = server.Server.Close()
			}
		})
	}
	closing.Wait()
}

// stopAccepting closes the listener and returns the servers.
func (s *clientServer) stopAccepting() []*limitedServer {
	s.closed.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		close(server.done)
	}
	return s.servers
}
