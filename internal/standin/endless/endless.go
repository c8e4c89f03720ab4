// Package endless is a stand-in for a faulty server that sends the head of a response without
// end.
package endless

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// Server counts what a client reads of heads without end. Its zero value is ready for use.
type Server struct {
	// Taken is the number of bytes that were read, over all connections.
	Taken atomic.Int64
	// Interim makes the server send interim responses without end in place of one head.
	Interim bool
}

// Dial opens a connection to the server. It has no buffer, so that each byte that the server
// sends has been read.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	first, again := "HTTP/1.1 200 OK\r\n", "X-Line: "+strings.Repeat("x", 1000)+"\r\n"
	if s.Interim {
		first, again = "", "HTTP/1.1 103 Early Hints\r\n"+again+"\r\n"
	}
	for text := first + again; ; text = again {
		n, err := io.WriteString(c, text)
		s.Taken.Add(int64(n))
		if err != nil {
			return
		}
	}
}
