// Package server runs an HTTP handler whose process and connections can fail:
// the common ground of the stand-ins for outside systems.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// relistenDelay spaces the attempts to open a listener again after an outage.
const relistenDelay = 50 * time.Millisecond

// Options configure a Server.
type Options struct {
	Listener net.Listener
	// Relisten opens the listener again after an outage. When it is set, dials
	// are refused during an outage; otherwise connections are accepted and
	// closed at once.
	Relisten func() (net.Listener, error)
	Handler  http.Handler
}

// Server is an HTTP server with faults. New starts it.
type Server struct {
	opts Options
	http *http.Server
	addr net.Addr
	// work counts connections, handlers and the accept loop.
	work sync.WaitGroup

	mu        sync.Mutex
	listener  net.Listener // nil while closed by an outage
	conns     map[*conn]struct{}
	boot      context.Context
	kill      context.CancelFunc
	down      *outage
	paused    *outage
	silentNew *outage
	// abandoned are silent connections that the server has closed on its side.
	abandoned []net.Conn
	closed    bool
	done      chan struct{}
}

// outage is a condition that lasts until ended is closed.
type outage struct {
	until time.Time // zero when it has no end of its own
	timer *time.Timer
	ended chan struct{}
}

// New starts serving on the listener.
func New(opts Options) *Server {
	s := &Server{
		opts:     opts,
		addr:     opts.Listener.Addr(),
		listener: opts.Listener,
		conns:    make(map[*conn]struct{}),
		done:     make(chan struct{}),
	}
	s.boot, s.kill = context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve),
		ConnContext: func(_ context.Context, c net.Conn) context.Context {
			boot := c.(*conn).boot
			return context.WithValue(boot, lifeKey{}, boot)
		},
		ConnState: s.trackConn,
		// Dropped connections are part of the faults, not worth a log line.
		ErrorLog: discardLog,
	}
	s.work.Go(func() { _ = s.http.Serve(acceptor{s}) })
	return s
}

type lifeKey struct{}

// Life returns, from the context of a request, one that ends only when the
// server goes down or is closed. It is for work that goes on when the
// connection that asked for it ends.
func Life(ctx context.Context) context.Context {
	return ctx.Value(lifeKey{}).(context.Context)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.work.Add(1)
	defer s.work.Done()
	s.opts.Handler.ServeHTTP(w, r)
}

func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.work.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.work.Done()
	}
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.addr }

// Close stops the server and returns when its handlers and connections have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.done)
	s.endLocked(&s.down)
	s.endLocked(&s.paused)
	s.endLocked(&s.silentNew)
	s.dropLocked()
	s.closeListenerLocked()
	s.mu.Unlock()
	err := s.http.Close()
	s.work.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.abandoned {
		_ = c.Close()
	}
	return err
}

// StartOutage drops every connection, cancels the context of every request and
// refuses new connections for d, or until Up when d is 0.
func (s *Server) StartOutage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.startLocked(&s.down, d)
	s.dropLocked()
	if s.opts.Relisten != nil {
		s.closeListenerLocked()
	}
}

// EndOutage ends an outage that Down started.
func (s *Server) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(&s.down)
}

// Pause stops all traffic for d, or until Resume when d is 0: connections are
// accepted by the network but nothing is read or answered.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.startLocked(&s.paused, d)
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(&s.paused)
}

// Blackhole makes the connections that are open now pass nothing for good. When
// all is true, so do those opened within d, or until Unsilence when d is 0.
func (s *Server) Blackhole(d time.Duration, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for c := range s.conns {
		c.silent.Store(true)
	}
	if all {
		s.startLocked(&s.silentNew, d)
	}
}

// Unsilence lets new connections work again.
func (s *Server) Unsilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(&s.silentNew)
}

// Gate returns when the server isn't paused, or with the error of ctx.
func (s *Server) Gate(ctx context.Context) error {
	for {
		s.mu.Lock()
		p := s.paused
		s.mu.Unlock()
		if p == nil {
			return ctx.Err()
		}
		select {
		case <-p.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Paused reports whether the server is paused.
func (s *Server) Paused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paused != nil
}

// startLocked starts an outage, or extends the one in place.
func (s *Server) startLocked(slot **outage, d time.Duration) {
	o := *slot
	if o == nil {
		o = &outage{ended: make(chan struct{})}
		*slot = o
	} else if d > 0 && (o.until.IsZero() || time.Until(o.until) >= d) {
		return
	}
	if o.timer != nil {
		o.timer.Stop()
		o.timer = nil
	}
	if d <= 0 {
		o.until = time.Time{}
		return
	}
	o.until = time.Now().Add(d)
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if *slot == o && o.timer == t {
			s.endLocked(slot)
		}
	})
	o.timer = t
}

func (s *Server) endLocked(slot **outage) {
	o := *slot
	if o == nil {
		return
	}
	if o.timer != nil {
		o.timer.Stop()
	}
	close(o.ended)
	*slot = nil
}

func (s *Server) dropLocked() {
	s.kill()
	s.boot, s.kill = context.WithCancel(context.Background())
	if s.closed {
		s.kill()
	}
	for c := range s.conns {
		c.closeLocked(true)
	}
	clear(s.conns)
}

func (s *Server) closeListenerLocked() {
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// acceptor is the listener that http.Server sees; it outlives outages.
type acceptor struct{ s *Server }

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	for {
		l, err := a.s.openListener()
		if err != nil {
			return nil, err
		}
		c, err := l.Accept()
		if err != nil {
			if !a.s.isOpen(l) {
				continue
			}
			// Unwrapped, so that http.Server recognizes temporary errors.
			return nil, err
		}
		if wrapped := a.s.adopt(c); wrapped != nil {
			return wrapped, nil
		}
	}
}

// Close implements net.Listener.
func (a acceptor) Close() error { return nil }

// Addr implements net.Listener.
func (a acceptor) Addr() net.Addr { return a.s.addr }

func (s *Server) isOpen(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == l
}

// openListener returns the listener, after an outage that closed it a new one.
func (s *Server) openListener() (net.Listener, error) {
	for {
		s.mu.Lock()
		l, down, closed := s.listener, s.down, s.closed
		s.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case l != nil:
			return l, nil
		case down != nil:
			<-down.ended
		default:
			s.relisten()
		}
	}
}

func (s *Server) relisten() {
	l, err := s.opts.Relisten()
	if err != nil {
		// The port may still be taken for a moment; try again.
		select {
		case <-time.After(relistenDelay):
		case <-s.done:
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.down != nil {
		_ = l.Close()
		return
	}
	s.listener = l
}

// adopt registers a connection; it returns nil when the server is down.
func (s *Server) adopt(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &conn{Conn: c, server: s, boot: s.boot, closed: make(chan struct{})}
	if s.down != nil || s.closed {
		w.closeLocked(true)
		return nil
	}
	w.silent.Store(s.silentNew != nil)
	s.conns[w] = struct{}{}
	return w
}
