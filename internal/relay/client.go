package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleConnTimeout keeps a connection open just long enough for the fetch that
// may follow an exchange. Each exchange has another random peer: connections
// kept for minutes would add up to hundreds per process, and their pings to 8
// KB/s.
const idleConnTimeout = 2 * time.Second

// Traffic counts the bytes of the calls that a process makes to its peers,
// including HTTP headers, and the connections that it opens for them. On
// average, the calls that it answers have as many bytes.
type Traffic struct {
	Sent, Received, Dials atomic.Int64
}

// NewClient returns a client for calls to peers that counts its bytes and
// connections in traffic.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), traffic *Traffic) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			traffic.Dials.Add(1)
			return &countingConn{Conn: c, traffic: traffic}, nil
		},
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: 1,
	}}
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
