package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleConnTimeout keeps a connection for the fetch that may follow an exchange, and no
// longer. Each exchange has another random peer: connections kept for minutes
// would come to hundreds per process, and the pings on them to 8 KB/s.
const idleConnTimeout = 2 * time.Second

// Traffic counts the bytes of the calls that a process makes to its peers, with
// the headers of HTTP. The bytes of calls that it answers are the same on average.
type Traffic struct {
	Sent, Received, Dials atomic.Int64
}

// NewClient returns a client for exchanges whose bytes are counted by traffic.
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
