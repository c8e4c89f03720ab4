// Case: a request goes to a server that has been leaving for longer than the bound, because
// it waited for its prompt to be read.
package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	memoryMB = 284
	// slowdown is that of the slow prefill server, one of eight servers.
	slowdown = 7.5
	// maxLeaving is the number of servers that leave, of eight.
	maxLeaving = 2
	// drainBound is the time after which no request may reach a server that leaves.
	drainBound = 2 * time.Second
	// endAfter is how long after that a leaving server goes on.
	endAfter = drainBound + 1500*time.Millisecond
	prompt   = 8000
	// perGateway is the number of requests that each gateway gets at once.
	perGateway = 3
)

func main() { harness.Run(run) }

func run(c *harness.Case) (held bool, err error) {
	c.PutConfig(emulator.DefaultConfiguration(1))
	pool := harness.NewModelPool(c)
	var prefill *harness.ModelServer
	for i, phase := range []string{"prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode"} {
		m, err := pool.Add(phase)
		if err != nil {
			return false, err
		}
		if i == 0 {
			prefill = m
		}
	}
	var gateways []*harness.Gateway
	for range 4 {
		g, err := c.StartGateway(memoryMB)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(3500 * time.Millisecond) // the gateways are in touch
	if c.Trouble {
		prefill.SetSlowdown(slowdown)
	}
	var clients sync.WaitGroup
	for i, g := range gateways {
		for n := range perGateway {
			id := fmt.Sprintf("a%d-%d", i, n)
			clients.Go(func() { c.SendStream(g, emulator.StreamPrefix, id, prompt) })
		}
	}
	time.Sleep(100 * time.Millisecond)
	decode := slices.Clone(pool.Servers[1:])
	slices.SortFunc(decode, func(a, b *harness.ModelServer) int { return b.LatestHold().Compare(a.LatestHold()) })
	for _, m := range decode[:maxLeaving] {
		m.Leave(endAfter)
	}
	clients.Wait()
	broken := 0
	for _, a := range pool.Arrivals() {
		if !a.Leaving.IsZero() && a.At.Sub(a.Leaving) > drainBound {
			c.Logf("%s reached server %s %.2f s after the store had accepted that it leaves", a.Request, a.Server, a.At.Sub(a.Leaving).Seconds())
			broken++
		}
	}
	return broken == 0, nil
}
