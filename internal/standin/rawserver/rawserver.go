// Package rawserver is a TCP server for tests of answers that no HTTP library would send. The
// caller writes the bytes of each connection itself.
package rawserver

import (
	"io"
	"net"
	"time"
)

// Server serves connections on a loopback address.
type Server struct {
	listener net.Listener
}

// Start starts a server that calls serve with each connection, in a goroutine of its own, and
// closes the connection afterwards.
func Start(serve func(c net.Conn)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return &Server{listener: l}, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the listener. Connections that are open stay so.
func (s *Server) Close() error { return s.listener.Close() }

// ResetOnClose makes the connection end with a reset.
func ResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
}

// AnswerAndReset returns the function of a server that reads the given number of bytes, answers,
// and resets the connection after a pause, whatever else the client still sends.
func AnswerAndReset(readFirst int, answer string, pause time.Duration) func(c net.Conn) {
	return func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, readFirst)) // a shorter request is answered too
		_, _ = io.WriteString(c, answer)               // the client may have left
		time.Sleep(pause)
		ResetOnClose(c)
	}
}
