// Command 2 shows that a request is sent to a decode server long after the server has
// reported that it leaves, if reading its prompt took long.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	prefillServers, decodeServers = 3, 6
	gateways                      = 2
	rounds                        = 3
	// promptTokens is the largest prompt of the site.
	promptTokens = 11000
	// slowdown is the site's dose of slow servers (srv_grey, slow); one of the nine
	// servers is a share of 0.11, within 0.14.
	slowdown = 7.5
	// drainTime is drain-ms.
	drainTime = 2 * time.Second
	// linger is how much longer than drainTime a server goes on serving, as on the site.
	linger = 1500 * time.Millisecond
	// leaveDelay is when two servers (a share of 0.22, within 0.25) leave, after the
	// requests of a round were sent.
	leaveDelay   = 600 * time.Millisecond
	leavingShare = 2
)

func main() { harness.Run(body) }

func body(c *harness.Case) (bool, error) {
	pool := harness.NewModelPool(c)
	for i := range prefillServers + decodeServers {
		phase := "decode"
		if i < prefillServers {
			phase = "prefill"
		}
		if _, err := pool.Add(phase); err != nil {
			return false, err
		}
	}
	config := emulator.DefaultConfiguration(1)
	config.Services[1].Runtime.KVTokens = 100615
	c.PutConfig(config)
	var front []*harness.Gateway
	for range gateways {
		g, err := c.StartGateway(284)
		if err != nil {
			return false, err
		}
		front = append(front, g)
	}
	r := &run{c: c, pool: pool, front: front}
	// The gateways learn the speed of the servers.
	for range 4 {
		r.send(1)
		time.Sleep(500 * time.Millisecond)
	}
	r.load.Wait()
	for n := range rounds {
		if err := r.round(n); err != nil {
			return false, err
		}
	}
	late := 0
	for _, a := range pool.Arrivals() {
		if after := a.At.Sub(a.Leaving); !a.Leaving.IsZero() && after > drainTime {
			late++
			c.Logf("DRAIN: %s reaches server %s %d ms after the store accepted that it leaves", a.Request, a.Server, after.Milliseconds())
		}
	}
	c.Logf("%d requests reached a leaving server too late; %d streams were not complete", late, r.lost.Load())
	return late == 0, nil
}

type run struct {
	c     *harness.Case
	pool  *harness.ModelPool
	front []*harness.Gateway
	load  sync.WaitGroup
	sent  int
	lost  atomic.Int64
}

// send sends n requests through each gateway at once.
func (r *run) send(n int) {
	for range n {
		for _, g := range r.front {
			r.sent++
			id := fmt.Sprintf("%016x", r.sent)
			r.load.Go(func() {
				if !r.c.Stream(g, id, promptTokens) {
					r.lost.Add(1)
				}
			})
		}
	}
}

// round slows a prefill server down, sends a request for each prefill server through each
// gateway, and lets decode servers leave meanwhile. Others take their places.
func (r *run) round(n int) error {
	r.c.Logf("round %d", n+1)
	slow := r.pool.Servers[n%prefillServers]
	if r.c.Trouble {
		slow.SetSlowdown(slowdown)
	}
	r.send(prefillServers)
	time.Sleep(leaveDelay)
	var leaving []*harness.ModelServer
	for _, m := range r.pool.Servers {
		if m.Phase == "decode" && !m.Left() && m.UnusedHolds() > 0 && len(leaving) < leavingShare {
			leaving = append(leaving, m)
		}
	}
	for _, m := range r.pool.Servers {
		if m.Phase == "decode" && !m.Left() && m.UnusedHolds() == 0 && len(leaving) < leavingShare {
			leaving = append(leaving, m)
		}
	}
	for _, m := range leaving {
		if _, err := r.pool.Add("decode"); err != nil {
			return err
		}
		m.Leave(drainTime + linger)
	}
	r.load.Wait()
	if r.c.Trouble {
		slow.SetSlowdown(1)
	}
	time.Sleep(3 * time.Second)
	return nil
}
