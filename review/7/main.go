// Command review-7 shows that a gateway which is told to stop closes the connections of
// requests that wait in its queue, without an answer.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	kit "github.com/fescueslip/fescueslip/review/kit-2"
)

const (
	// grace and lossSlack are bounds of the site.
	grace     = 8 * time.Second
	lossSlack = 200 * time.Millisecond
	// deadline, latencyTarget and silence are those of public-summary: clients leave after
	// four times the objective without an event.
	deadline      = 14 * time.Second
	latencyTarget = 2 * time.Second
	silence       = 4 * latencyTarget
	// requestsPerSecond is the load of all clients.
	requestsPerSecond = 12
	probeInterval     = time.Second
)

// request is a request as its client saw it.
type request struct {
	id      string
	gateway *kit.Gateway
	// sent is when its last byte was sent, ended when the answer or the connection ended.
	sent, ended time.Time
	status      int
	complete    bool
	left        bool
	err         error
}

// balancer sends new connections to the gateways that answered one of the last two probes.
type balancer struct {
	mu     sync.Mutex
	misses map[*kit.Gateway]int
}

func (b *balancer) run(ctx context.Context, gateways []*kit.Gateway) {
	for ctx.Err() == nil {
		for _, g := range gateways {
			ready := g.IsReady()
			b.mu.Lock()
			b.misses[g]++
			if ready {
				b.misses[g] = 0
			}
			b.mu.Unlock()
		}
		time.Sleep(probeInterval)
	}
}

func (b *balancer) choose(gateways []*kit.Gateway) *kit.Gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*kit.Gateway
	for _, g := range gateways {
		if b.misses[g] < 2 {
			in = append(in, g)
		}
	}
	if len(in) == 0 {
		in = gateways
	}
	return in[rand.IntN(len(in))]
}

func main() {
	// With TROUBLE=0, the disruption is left out.
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := kit.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(kit.CouldNot)
	}
	p := emulator.DefaultModelParameters()
	p.EventInterval = 100 * time.Millisecond
	c := emulator.ConfigurationFor(1, p)
	for i := range c.Routes {
		if c.Routes[i].Name == "sheet" {
			c.Routes[i].TargetLatencyMs = latencyTarget.Milliseconds()
		}
	}
	r.Configure(c)
	r.AddPlain("desk-1", 20*time.Millisecond)
	r.AddEngine("p1", "prefill", "", p)
	for _, id := range []string{"d1", "d2", "d3"} {
		r.AddEngine(id, "decode", "", p)
	}
	r.AddGateways(3, nil)
	r.Logf("3 gateways are ready; trouble %t", trouble)

	b := &balancer{misses: make(map[*kit.Gateway]int)}
	ctx, stop := context.WithCancel(context.Background())
	go b.run(ctx, r.Gateways)
	var mu sync.Mutex
	var requests []*request
	var load sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			load.Go(func() {
				q := send(r, b.choose(r.Gateways), fmt.Sprintf("q%d", n))
				mu.Lock()
				requests = append(requests, q)
				mu.Unlock()
			})
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / requestsPerSecond))
		}
	}()
	time.Sleep(12 * time.Second)
	stopped := r.Gateways[0]
	var term time.Time
	if trouble {
		term = time.Now()
		r.Logf("SIGTERM to %s", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
		select {
		case <-stopped.Exited():
			r.Logf("%s has ended", stopped.Name)
		case <-time.After(grace):
			stopped.Kill()
			r.Logf("%s was killed at the end of the grace time", stopped.Name)
		}
		r.Check(stopped.StartProcess())
	}
	time.Sleep(time.Until(end))
	load.Wait()
	stop()

	served, refused, lost := 0, 0, 0
	for _, q := range requests {
		passed := len(r.Deployment.ExecutionLog.Executions(q.id))
		r.Logf("request %s at %s, sent at %.3f, ended after %.3f s: status %d, complete %t, client left %t, runs %d, error %v",
			q.id, q.gateway.Name, q.sent.Sub(r.Start).Seconds(), q.ended.Sub(q.sent).Seconds(), q.status, q.complete, q.left, passed, q.err)
		switch {
		case q.status == http.StatusOK && q.complete:
			served++
		case q.status == http.StatusServiceUnavailable && q.complete:
			refused++
		}
		// Only requests that no server has run are counted, so that no server was at work
		// on them in the last sixth of the grace time.
		if !term.IsZero() && q.gateway == stopped && q.status == 0 && !q.left && passed == 0 && q.ended.After(term) &&
			q.ended.Before(term.Add(grace+time.Second)) && !q.sent.IsZero() && q.ended.Sub(q.sent) > lossSlack && q.ended.Sub(q.sent) < deadline-time.Second {
			lost++
			r.Logf("LOST: %s, sent %.3f s after the SIGTERM, its connection ended %.3f s after it", q.id, q.sent.Sub(term).Seconds(), q.ended.Sub(term).Seconds())
		}
	}
	text := fmt.Sprintf("%d requests, %d served, %d refused with 503, %d read and cut without an answer", len(requests), served, refused, lost)
	r.Logf("%s", text)
	fmt.Println(text)
	if served < 30 || refused == 0 {
		r.Finish(kit.CouldNot)
	}
	if lost > 0 {
		r.Finish(kit.Broken)
	}
	r.Finish(kit.Held)
}

// send sends a request on a new connection and waits for the end of its answer, or until the
// client leaves because it has got nothing for too long.
func send(r *kit.Run, g *kit.Gateway, id string) *request {
	const events = 70
	req := emulator.Request{
		ID: id, Method: http.MethodPost, Host: emulator.Host, Path: emulator.StreamPrefix + id, Body: fmt.Sprint(events), Timeout: deadline,
		Header: http.Header{
			"Fescueslip-Model":       {"m"},
			emulator.UsageHeader:     {fmt.Sprintf("5000,%d", events*59)},
			"Fescueslip-Length-Hint": {fmt.Sprint(events * 59)},
		},
	}
	q := &request{id: id, gateway: g}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	conn, err := r.Deployment.Connect(ctx, g.Client)
	if err != nil {
		q.err, q.ended = err, time.Now()
		return q
	}
	defer conn.Close()
	// No event comes after this time unless the first one has come before.
	leave := time.AfterFunc(silence, func() {
		if len(r.Deployment.ExecutionLog.Executions(id)) == 0 {
			cancel()
		}
	})
	defer leave.Stop()
	q.sent = time.Now()
	resp := conn.Do(ctx, req)
	q.status, q.complete, q.err, q.ended, q.left = resp.Status, resp.Complete, resp.Err, time.Now(), ctx.Err() != nil
	return q
}
