// Package server provides the HTTP server that the stand-ins for external
// systems share. It can simulate a crash of the process, a pause of the process
// and connections that pass no data.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// relistenDelay is the delay between attempts to reopen the listener after an
// outage.
const relistenDelay = 50 * time.Millisecond

// Options configures a Server.
type Options struct {
	Listener net.Listener
	// Relisten reopens the listener after an outage. When it is set, the listener
	// is closed during an outage and dials are refused; otherwise connections are
	// accepted and closed at once.
	Relisten func() (net.Listener, error)
	Handler  http.Handler
}

// Server is an HTTP server with fault injection. New starts it.
type Server struct {
	opts Options
	http *http.Server
	addr net.Addr
	// active counts connections, handlers and the accept loop.
	active sync.WaitGroup

	mu            sync.Mutex
	listener      net.Listener // nil while closed by an outage
	conns         map[*conn]struct{}
	processCtx    context.Context
	cancelProcess context.CancelFunc
	down          *timedFault
	paused        *timedFault
	blackholeNew  *timedFault
	// abandoned holds the blackholed connections that the server has closed on its
	// side; Close closes them for the peer.
	abandoned []net.Conn
	closed    bool
	done      chan struct{}
}

// timedFault is a fault that lasts until ended is closed.
type timedFault struct {
	until time.Time // zero when the fault has no scheduled end
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
	s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve),
		ConnContext: func(_ context.Context, c net.Conn) context.Context {
			processCtx := c.(*conn).processCtx
			return context.WithValue(processCtx, processContextKey{}, processCtx)
		},
		ConnState: s.trackConn,
		// The injected faults drop connections, which would fill the log with errors.
		ErrorLog: discardLogger,
	}
	s.active.Go(func() { _ = s.http.Serve(reopeningListener{s}) })
	return s
}

type processContextKey struct{}

// ProcessContext returns, from the context of a request, the context of the
// simulated process, which ends when an outage starts or the server is closed. It
// is for work that continues after the connection of its request has ended.
func ProcessContext(ctx context.Context) context.Context {
	return ctx.Value(processContextKey{}).(context.Context)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Done()
	s.opts.Handler.ServeHTTP(w, r)
}

// trackConn counts the open connections, so that Close can wait for them.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.active.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.active.Done()
	}
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.addr }

// Close stops the server and waits until its handlers and connections have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.done)
	s.endFaultLocked(&s.down)
	s.endFaultLocked(&s.paused)
	s.endFaultLocked(&s.blackholeNew)
	s.dropConnsLocked()
	s.closeListenerLocked()
	s.mu.Unlock()
	err := s.http.Close()
	s.active.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.abandoned {
		_ = c.Close()
	}
	return err
}

// StartOutage drops every connection, cancels the context of every request and
// refuses new connections for d, or until EndOutage when d is 0.
func (s *Server) StartOutage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.startFaultLocked(&s.down, d)
	s.dropConnsLocked()
	if s.opts.Relisten != nil {
		s.closeListenerLocked()
	}
}

// EndOutage ends an outage that StartOutage started.
func (s *Server) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endFaultLocked(&s.down)
}

// Pause stops all traffic for d, or until Resume when d is 0. The operating
// system still accepts connections, but the server reads and writes nothing.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.startFaultLocked(&s.paused, d)
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endFaultLocked(&s.paused)
}

// Blackhole makes the open connections pass no data for the rest of their
// lifetime, without closing them. When all is true, the same happens to
// connections that are opened within d, or until EndBlackhole when d is 0.
func (s *Server) Blackhole(d time.Duration, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for c := range s.conns {
		c.blackholed.Store(true)
	}
	if all {
		s.startFaultLocked(&s.blackholeNew, d)
	}
}

// EndBlackhole makes new connections pass data again. Connections that were
// opened before stay blackholed.
func (s *Server) EndBlackhole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endFaultLocked(&s.blackholeNew)
}

// WaitWhilePaused blocks while the server is paused. It returns the error of ctx
// when ctx ends first or has ended.
func (s *Server) WaitWhilePaused(ctx context.Context) error {
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

// startFaultLocked starts the fault in *slot for d, without a scheduled end when
// d is 0. A fault that is in force already is extended, never shortened.
func (s *Server) startFaultLocked(slot **timedFault, d time.Duration) {
	fault := *slot
	if fault == nil {
		fault = &timedFault{ended: make(chan struct{})}
		*slot = fault
	} else if d > 0 && (fault.until.IsZero() || time.Until(fault.until) >= d) {
		return
	}
	if fault.timer != nil {
		fault.timer.Stop()
		fault.timer = nil
	}
	if d <= 0 {
		fault.until = time.Time{}
		return
	}
	fault.until = time.Now().Add(d)
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if *slot == fault && fault.timer == t {
			s.endFaultLocked(slot)
		}
	})
	fault.timer = t
}

// endFaultLocked ends the fault in *slot, if there is one.
func (s *Server) endFaultLocked(slot **timedFault) {
	fault := *slot
	if fault == nil {
		return
	}
	if fault.timer != nil {
		fault.timer.Stop()
	}
	close(fault.ended)
	*slot = nil
}

// dropConnsLocked ends the simulated process: it cancels its context and resets
// its connections. It also creates the context of the next process.
func (s *Server) dropConnsLocked() {
	s.cancelProcess()
	s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
	if s.closed {
		s.cancelProcess()
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

// reopeningListener is the listener that http.Server uses. It stays open across
// outages, which close and reopen the listener below it.
type reopeningListener struct{ s *Server }

// Accept implements net.Listener.
func (a reopeningListener) Accept() (net.Conn, error) {
	for {
		l, err := a.s.awaitListener()
		if err != nil {
			return nil, err
		}
		c, err := l.Accept()
		if err != nil {
			if !a.s.isCurrentListener(l) {
				continue
			}
			// The error is not wrapped, so that http.Server recognizes temporary errors.
			return nil, err
		}
		if wrapped := a.s.registerConn(c); wrapped != nil {
			return wrapped, nil
		}
	}
}

// Close implements net.Listener.
func (a reopeningListener) Close() error { return nil }

// Addr implements net.Listener.
func (a reopeningListener) Addr() net.Addr { return a.s.addr }

// isCurrentListener reports whether l is still in use, that is, not closed by an
// outage.
func (s *Server) isCurrentListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == l
}

// awaitListener returns the current listener. When an outage has closed it, it
// waits for the end of the outage and reopens the listener.
func (s *Server) awaitListener() (net.Listener, error) {
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
			s.reopenListener()
		}
	}
}

// reopenListener tries once to reopen the listener after an outage.
func (s *Server) reopenListener() {
	l, err := s.opts.Relisten()
	if err != nil {
		// The port may still be in use for a moment; the caller tries again.
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

// registerConn wraps and registers a new connection. During an outage it closes
// the connection and returns nil.
func (s *Server) registerConn(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &conn{Conn: c, server: s, processCtx: s.processCtx, closed: make(chan struct{})}
	if s.down != nil || s.closed {
		w.closeLocked(true)
		return nil
	}
	w.blackholed.Store(s.blackholeNew != nil)
	s.conns[w] = struct{}{}
	return w
}
