package kit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

// StreamAttempt is one attempt of a client for a stream, and what it brought.
type StreamAttempt struct {
	ID            string
	Gateway       string
	At            time.Duration
	Status        int
	First, Events int
	Complete      bool
	Version       string
	Server        string
}

// Stream is a stream with all attempts of its client.
type Stream struct {
	Attempts []StreamAttempt
}

// Versions returns the software versions of the servers whose events the client holds.
func (s *Stream) Versions() []string {
	var out []string
	seen := make(map[string]bool)
	for _, a := range s.Attempts {
		if a.Events > 0 && !seen[a.Version] {
			seen[a.Version] = true
			out = append(out, a.Version)
		}
	}
	return out
}

// StreamClients are clients that take streams of a resumable route one after the other.
type StreamClients struct {
	Run *Run
	// Events is the length of a stream, Prompt that of its prompt in tokens.
	Events, Prompt int
	// Retries is the number of times that a client takes a stream up.
	Retries int

	mu      sync.Mutex
	Streams []*Stream
}

// deadline is that of the requests of streaming routes on the sheets of the sites.
const deadline = 14 * time.Second

// longestPause is the longest time for which a client waits before it takes a stream up.
const longestPause = 1500 * time.Millisecond

// connectTime is how long a client waits for a new connection.
const connectTime = time.Second

// Go runs n clients until the context ends, and returns a function that waits for their end.
func (c *StreamClients) Go(ctx context.Context, n int) (wait func()) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(time.Now().UnixNano())))
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
			for k := 0; ctx.Err() == nil; k++ {
				c.one(rng, fmt.Sprintf("c%d-%d", i, k))
				time.Sleep(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
			}
		})
	}
	return all.Wait
}

// one takes one stream. Each attempt comes to another gateway than the one before.
func (c *StreamClients) one(rng *rand.Rand, id string) {
	s := &Stream{}
	c.mu.Lock()
	c.Streams = append(c.Streams, s)
	c.mu.Unlock()
	began := time.Now()
	at := rng.IntN(len(c.Run.Gateways))
	last := 0
	for try := 0; try <= c.Retries; try++ {
		left := deadline - time.Since(began)
		if left < time.Second {
			return
		}
		name := id
		if try > 0 {
			name = fmt.Sprintf("%s-again%d", id, try)
		}
		req := emulator.Request{
			ID: name, Method: http.MethodPost, Host: emulator.Host, Path: emulator.ResumePrefix + id, Body: fmt.Sprint(c.Events), Timeout: left,
			Header: http.Header{
				"Fescueslip-Model":       {"m"},
				emulator.UsageHeader:     {fmt.Sprintf("%d,%d", c.Prompt, c.Events*59)},
				"Fescueslip-Length-Hint": {fmt.Sprint(c.Events * 59)},
			},
		}
		if last > 0 {
			req.Header.Set("Last-Event-Id", fmt.Sprint(last))
			req.Header.Set("Resumes", id)
		}
		g := c.Run.Gateways[at]
		started := time.Since(c.Run.Start)
		resp := c.send(g, req)
		a := StreamAttempt{ID: name, Gateway: g.Name, At: started, Status: resp.Status, First: last, Complete: resp.Complete}
		end := 0
		if resp.Status == http.StatusOK {
			a.Events, end = LastEvent(resp.Body)
		}
		for _, e := range c.Run.Deployment.ExecutionLog.Executions(name) {
			a.Version, a.Server = e.Version, e.Server
		}
		c.mu.Lock()
		s.Attempts = append(s.Attempts, a)
		c.mu.Unlock()
		last = max(last, end)
		c.Run.Logf("stream %s: attempt %s at %s, sent at %.3f: status %d, events %d after %d, complete %t, server %s, version %s",
			id, name, g.Name, started.Seconds(), a.Status, a.Events, a.First, a.Complete, a.Server, a.Version)
		if resp.Status == http.StatusOK && resp.Complete {
			return
		}
		if resp.Status == http.StatusServiceUnavailable {
			after := resp.RetryAfter()
			if after > (deadline-time.Since(began))/3 {
				return
			}
			time.Sleep(after)
		}
		if resp.Status != http.StatusServiceUnavailable {
			time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
		}
		at = (at + 1 + rng.IntN(len(c.Run.Gateways)-1)) % len(c.Run.Gateways)
	}
}

// send sends a request on a new connection, for which it waits for connectTime at most.
func (c *StreamClients) send(g *Gateway, req emulator.Request) *emulator.Response {
	ctx, cancel := context.WithTimeout(context.Background(), req.Timeout)
	defer cancel()
	var err error
	for end := time.Now().Add(connectTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var conn *emulator.ClientConn
		if conn, err = c.Run.Deployment.Connect(ctx, g.Client); err == nil {
			defer conn.Close()
			return conn.Do(ctx, req)
		}
	}
	return &emulator.Response{Err: err}
}
