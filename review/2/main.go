// Case: a client gets a success whose signature the server's wrong bytes have destroyed.
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
	requests = 1600
	interval = 5 * time.Millisecond
	deadline = time.Second
	// spoiledOf is the number of answers of which the faulty servers, two of five, spoil one.
	spoiledOf = 34
)

func main() { harness.Run(run) }

func run(c *harness.Case) (held bool, err error) {
	c.PutConfig(emulator.DefaultConfiguration(1))
	var servers []*harness.PlainServer
	for i := range 5 {
		p, err := c.AddPlain(fmt.Sprintf("i-p%d", i))
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
	}
	for _, faulty := range servers[:2] {
		if !c.Trouble {
			break
		}
		faulty.Answer = func(w http.ResponseWriter, id string, n int) bool {
			return n%spoiledOf == 0 && spoil(c, faulty, w, id)
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
	unsigned := 0
	for n := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("b%d", n)
			a := c.SendPlain(gateways[n%len(gateways)], http.MethodPost, emulator.UnsafePrefix, id, deadline)
			if a.Status < 200 || a.Status > 299 || a.Signature != "" {
				return
			}
			c.Logf("%s got a success without the server's signature", id)
			mu.Lock()
			defer mu.Unlock()
			unsigned++
		})
		time.Sleep(interval)
	}
	clients.Wait()
	return unsigned == 0, nil
}

// spoil sends the answer with wrong bytes: some in the name of the signature's header, and
// some in the body.
func spoil(c *harness.Case, p *harness.PlainServer, w http.ResponseWriter, id string) bool {
	body := []byte(p.PlainBody(id))
	for i := len(body) / 2; i < len(body)/2+8; i++ {
		body[i] = '#'
	}
	name := []byte(harness.Names.Signature)
	for i := len(name) - 4; i < len(name); i++ {
		name[i] = 'x'
	}
	c.Logf("server %s spoils its answer to %s", p.ID, id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(string(name), p.ID+"."+id)
	_, err := w.Write(body)
	return err == nil
}
