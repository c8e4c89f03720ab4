// Case: a gateway whose watch of the store was cut goes on using a server that is gone for
// longer than the bound.
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
	// drainBound is the time after which no request may reach a server that is gone.
	drainBound = 2 * time.Second
	// endAfter is how long the server goes on after its entry was removed.
	endAfter = drainBound + 400*time.Millisecond
	// goneAfter is the time from the cut of the watches to the removal of the entry.
	goneAfter = 20 * time.Millisecond
	deadline  = time.Second
	// interval is the time between two requests.
	interval = 5 * time.Millisecond
	duration = 5 * time.Second
)

func main() { harness.Run(run) }

func run(c *harness.Case) (held bool, err error) {
	c.PutConfig(emulator.DefaultConfiguration(1))
	var servers []*harness.PlainServer
	for i := range 4 {
		p, err := c.AddPlain(fmt.Sprintf("i-p%d", i))
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
	}
	store := c.NewCutStore()
	address, err := c.Serve(store)
	if err != nil {
		return false, err
	}
	var gateways []*harness.Gateway
	for range 4 {
		g, err := c.StartGatewayAt(address, memoryMB)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(3500 * time.Millisecond) // the gateways are in touch
	if c.Trouble {
		c.Logf("store: the watches that are waiting are cut")
		store.CutWatches()
	}
	time.Sleep(goneAfter)
	gone := servers[0]
	c.Store.Delete(harness.Names.ServersPrefix + gone.ID)
	removed := time.Now()
	c.Logf("store: the entry of server %s is removed", gone.ID)
	time.AfterFunc(endAfter, gone.End)
	var clients sync.WaitGroup
	for n := range int(duration / interval) {
		g := gateways[n%len(gateways)]
		clients.Go(func() {
			c.SendPlain(g, http.MethodPost, emulator.UnsafePrefix, fmt.Sprintf("b%d", n), deadline)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	late := 0
	for _, r := range gone.Runs() {
		if after := r.At.Sub(removed); after > drainBound {
			c.Logf("%s reached server %s %.2f s after the store had removed its entry", r.Request, gone.ID, after.Seconds())
			late++
		}
	}
	return late == 0, nil
}
