// Command 3 shows that a gateway which was cut off goes on sending requests to a server
// that left meanwhile, long after it can read the list of servers again.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	servers = 4
	rounds  = 4
	clients = 8
	// cutTime is how long the gateway is cut off; the site has cuts of 5.5 s and more.
	cutTime = 5500 * time.Millisecond
	// leaveAt is when a server leaves, after the end of the cut.
	leaveAt = 800 * time.Millisecond
	// contactTime is contact-ms, and drainTime drain-ms.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// linger is how much longer than drainTime a server goes on serving.
	linger = 700 * time.Millisecond
	// roundTime is the time from one cut to the next.
	roundTime = cutTime + 8*time.Second
	workTime  = 30 * time.Millisecond
)

func main() { harness.Run(body) }

// server is a plain server.
type server struct {
	r       *run
	id      string
	address string
	http    *http.Server

	mu sync.Mutex
	// gone is when the store accepted that the server is gone; zero while it is listed.
	gone time.Time
}

type run struct {
	c    *harness.Case
	next int
	// healed is when the last cut ended, in Unix nanoseconds.
	healed     atomic.Int64
	cut        atomic.Bool
	late, lost atomic.Int64
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fescueslip-Request-Id")
	w.Header().Set("Fescueslip-Request-Id", id)
	if want := r.Header.Get(harness.Names.ExpectInstance); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.r.check(s, id)
	_, _ = io.Copy(io.Discard, r.Body)
	s.r.c.Logf("server %s runs %s", s.id, id)
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		s.r.c.Logf("server %s: run of %s is cut off", s.id, id)
		return
	}
	w.Header().Set(harness.Names.Signature, s.id+"."+id)
	_, _ = fmt.Fprintf(w, "booked %s\n", id)
}

// check judges a request that has reached a server.
func (r *run) check(s *server, id string) {
	s.mu.Lock()
	gone := s.gone
	s.mu.Unlock()
	if gone.IsZero() {
		return
	}
	after := time.Since(gone)
	calm := time.Since(time.Unix(0, r.healed.Load()))
	inTouch := !r.cut.Load() && calm > contactTime
	r.c.Logf("server %s, gone for %d ms, gets and runs %s; %d ms after the last cut", s.id, after.Milliseconds(), id, calm.Milliseconds())
	if after > drainTime && inTouch {
		r.late.Add(1)
		r.c.Logf("DRAIN: %s reaches server %s %d ms after the store accepted that it is gone", id, s.id, after.Milliseconds())
	}
}

// add starts a server and lists it.
func (r *run) add() (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.next++
	s := &server{r: r, id: fmt.Sprintf("i-p%d", r.next), address: l.Addr().String()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	r.c.PutServer(s.id, emulator.PlainService, s.address, "ready", "", 1, 6)
	return s, nil
}

// leave removes the entry of the server, which never reports that it is draining, and ends
// the server later.
func (s *server) leave() {
	s.r.c.Store.Delete(harness.Names.ServersPrefix + s.id)
	s.mu.Lock()
	s.gone = time.Now()
	s.mu.Unlock()
	s.r.c.Logf("store: server %s is removed", s.id)
	time.AfterFunc(drainTime+linger, func() {
		s.r.c.Logf("server %s ends", s.id)
		_ = s.http.Close()
	})
}

func body(c *harness.Case) (bool, error) {
	r := &run{c: c}
	var pool []*server
	for range servers {
		s, err := r.add()
		if err != nil {
			return false, err
		}
		pool = append(pool, s)
	}
	c.PutConfig(emulator.DefaultConfiguration(1))
	proxy, err := harness.StartProxy(c.StoreAddress)
	if err != nil {
		return false, err
	}
	g, err := c.StartGatewayAt(proxy.Address(), 284)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for client := range clients {
		load.Go(func() { r.send(g, client, stop) })
	}
	time.Sleep(2 * time.Second)
	for range rounds {
		if c.Trouble {
			r.cut.Store(true)
			proxy.SetCut(true)
			c.Logf("the gateway is cut off from the store")
		}
		time.Sleep(cutTime)
		if c.Trouble {
			r.healed.Store(time.Now().UnixNano())
			r.cut.Store(false)
			proxy.SetCut(false)
			c.Logf("the cut ends")
		}
		fresh, err := r.add()
		if err != nil {
			return false, err
		}
		time.Sleep(leaveAt)
		pool[0].leave()
		pool = append(pool[1:], fresh)
		time.Sleep(roundTime - cutTime - leaveAt)
	}
	close(stop)
	load.Wait()
	c.Logf("%d requests reached a server too late; %d requests got no success", r.late.Load(), r.lost.Load())
	return r.late.Load() == 0, nil
}

// send sends one unsafe request after the other.
func (r *run) send(g *harness.Gateway, client int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("%04x%012x", client, n)
		req, err := http.NewRequest(http.MethodPost, "http://"+g.Client+emulator.UnsafePrefix+id, strings.NewReader("booking"))
		if err != nil {
			return
		}
		req.Host = emulator.Host
		req.Header.Set("Fescueslip-Request-Id", id)
		req.Header.Set(harness.Names.Deadline, "1000")
		r.c.Logf("client: sends %s", id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			r.lost.Add(1)
			r.c.Logf("client: %s failed: %v", id, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || err != nil {
			r.lost.Add(1)
		}
		r.c.Logf("client: %s gets %d %q, error %v", id, resp.StatusCode, strings.TrimSpace(string(body)), err)
	}
}
