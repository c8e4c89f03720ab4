package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

// workTime is how long a plain server works on a request.
const workTime = 30 * time.Millisecond

// PlainRun is a request that a plain server ran.
type PlainRun struct {
	Request string
	At      time.Time
}

// PlainServer is a server of the plain service.
type PlainServer struct {
	ID, Address string
	// Answer, if set, writes the answer to a request that has run, in place of the usual
	// one. It reports false to leave that to the server. n counts the requests.
	Answer func(w http.ResponseWriter, id string, n int) bool

	c      *Case
	server *http.Server
	mu     sync.Mutex
	runs   []PlainRun
}

// AddPlain starts a plain server and lists it.
func (c *Case) AddPlain(id string) (*PlainServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &PlainServer{ID: id, Address: l.Addr().String(), c: c}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	c.PutServer(id, emulator.PlainService, p.Address, "ready", "", 1, 6)
	return p, nil
}

// End ends the server.
func (p *PlainServer) End() {
	_ = p.server.Close()
	p.c.Logf("server %s ends", p.ID)
}

// Runs returns the requests that the server ran.
func (p *PlainServer) Runs() []PlainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainRun(nil), p.runs...)
}

// PlainBody is the body of the server's answer to a request.
func (p *PlainServer) PlainBody(id string) string {
	return fmt.Sprintf("{\"request\":%q,\"server\":%q}\n", id, p.ID)
}

// ServeHTTP implements http.Handler.
func (p *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fescueslip-Request-Id")
	w.Header().Set("Fescueslip-Request-Id", id)
	if want := r.Header.Get(Names.ExpectInstance); want != "" && want != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, PlainRun{Request: id, At: time.Now()})
	n := len(p.runs)
	p.mu.Unlock()
	p.c.Logf("server %s runs %s", p.ID, id)
	time.Sleep(workTime)
	if p.Answer != nil && p.Answer(w, id, n) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(Names.Signature, p.ID+"."+id)
	_, _ = io.WriteString(w, p.PlainBody(id))
}

// PlainAnswer is what a client gets for a plain request.
type PlainAnswer struct {
	// Status is 0 if there was no answer.
	Status          int
	Signature, Body string
}

// SendPlain sends a plain request to a route, on a new connection, and logs the answer.
func (c *Case) SendPlain(g *Gateway, method, prefix, id string, deadline time.Duration) PlainAnswer {
	ctx, leave := context.WithTimeout(context.Background(), deadline)
	defer leave()
	body := ""
	if method != http.MethodGet {
		body = "order " + id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.Client+prefix+id, strings.NewReader(body))
	if err != nil {
		c.Logf("client: %s not sent: %v", id, err)
		return PlainAnswer{}
	}
	req.Host = emulator.Host
	req.Header.Set("Fescueslip-Request-Id", id)
	req.Header.Set(Names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.Logf("client: %s to %s: no answer: %v", id, g.Name, err)
		return PlainAnswer{}
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	answer := PlainAnswer{Status: resp.StatusCode, Signature: resp.Header.Get(Names.Signature), Body: string(text)}
	c.Logf("client: %s to %s: %d, signature %q, body %q, error %v", id, g.Name, answer.Status, answer.Signature, answer.Body, err)
	return answer
}
