// Case: a booking that a server has run, and then failed, is answered with the promise that
// it has not run; the client books again.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	memoryMB = 284
	servers  = 8
	requests = 1200
	interval = 5 * time.Millisecond
	deadline = time.Second
)

func main() { harness.Run(run) }

func run(c *harness.Case) (held bool, err error) {
	c.PutConfig(emulator.DefaultConfiguration(1))
	var list []*harness.PlainServer
	for i := range servers {
		p, err := c.AddPlain(fmt.Sprintf("i-p%d", i))
		if err != nil {
			return false, err
		}
		list = append(list, p)
	}
	if faulty := list[0]; c.Trouble {
		// Two of five answers fail; the server's health check stays good.
		faulty.Answer = func(w http.ResponseWriter, id string, n int) bool {
			if n%5 > 1 {
				return false
			}
			c.Logf("server %s has run %s and answers 503, without saying that it has not run", faulty.ID, id)
			w.Header().Set(harness.Names.Signature, faulty.ID+"."+id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
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
	var clients sync.WaitGroup
	var mu sync.Mutex
	promised := make(map[string]bool)
	for n := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("b%d", n)
			a := c.SendPlain(gateways[n%len(gateways)], http.MethodPost, emulator.UnsafePrefix, id, deadline)
			if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
				mu.Lock()
				defer mu.Unlock()
				promised[id] = true
			}
		})
		time.Sleep(interval)
	}
	clients.Wait()
	broken := 0
	for _, p := range list {
		for _, r := range p.Runs() {
			if promised[r.Request] {
				c.Logf("%s was answered as not run, but server %s ran it", r.Request, p.ID)
				broken++
			}
		}
	}
	return broken == 0, nil
}
