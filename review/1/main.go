// Command 1 shows that a success without the server's signature reaches the client if the
// answer is JSON.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	requests = 800
	clients  = 8
	servers  = 4
	// faultyServers and spoiledEvery are the dose of the disruption: half of the servers
	// spoil one of 33 answers. The site's garble has a share of 0.6 and one of 20.
	faultyServers = 2
	spoiledEvery  = 33
)

// server is a plain server that answers in JSON.
type server struct {
	c       *harness.Case
	id      string
	faulty  bool
	answers atomic.Int64
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fescueslip-Request-Id")
	w.Header().Set("Fescueslip-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Fescueslip-Instance-Id", s.id)
		return
	}
	if want := r.Header.Get(harness.Names.ExpectInstance); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(10 * time.Millisecond)
	s.c.Logf("server %s runs %s %s %s", s.id, id, r.Method, r.URL.Path)
	w.Header().Set("Content-Type", "application/json")
	if s.faulty && s.c.Trouble && s.answers.Add(1)%spoiledEvery == 0 {
		s.c.Logf("server %s spoils its answer to %s", s.id, id)
		_, _ = io.WriteString(w, "{\"spoiled\":true}")
		return
	}
	w.Header().Set(harness.Names.Signature, s.id+"."+id)
	_, _ = fmt.Fprintf(w, "{\"booked\":%q}", id)
}

func main() { harness.Run(body) }

func body(c *harness.Case) (bool, error) {
	for i := range servers {
		s := &server{c: c, id: fmt.Sprintf("i-%d", i), faulty: i < faultyServers}
		address, err := c.Serve(s)
		if err != nil {
			return false, err
		}
		c.PutServer(s.id, emulator.PlainService, address, "ready", "", 1, 6)
	}
	c.PutConfig(emulator.DefaultConfiguration(1))
	g, err := c.StartGateway(284)
	if err != nil {
		return false, err
	}
	var broken atomic.Int64
	var load sync.WaitGroup
	for client := range clients {
		load.Go(func() {
			for n := range requests / clients {
				if !send(c, g.Client, client*requests/clients+n) {
					broken.Add(1)
				}
			}
		})
	}
	load.Wait()
	c.Logf("%d successes without a signature", broken.Load())
	return broken.Load() == 0, nil
}

// send sends the n-th request, in turn a safe and an unsafe one. It reports false if the
// answer is a success without the server's signature.
func send(c *harness.Case, gateway string, n int) bool {
	id := fmt.Sprintf("%016x", n+1)
	method, path, text := http.MethodPost, emulator.UnsafePrefix+id, "body"
	if n%2 == 0 {
		method, path, text = http.MethodGet, emulator.SafePrefix+id, ""
	}
	req, err := http.NewRequest(method, "http://"+gateway+path, strings.NewReader(text))
	if err != nil {
		c.Logf("client: %s not sent: %v", id, err)
		return true
	}
	req.Host = emulator.Host
	req.Header.Set("Fescueslip-Request-Id", id)
	req.Header.Set(harness.Names.Deadline, "1000")
	c.Logf("client: sends %s %s %s", id, method, path)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.Logf("client: %s failed: %v", id, err)
		return true
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	signature := resp.Header.Get(harness.Names.Signature)
	c.Logf("client: %s %s gets %d, signature %q, body %q, error %v", id, method, resp.StatusCode, signature, answer, err)
	if resp.StatusCode/100 == 2 && signature == "" {
		c.Logf("MIXED: %s gets a success without a signature", id)
		return false
	}
	return true
}
