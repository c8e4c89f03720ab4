// Case: a gateway whose watch of the store failed goes on using a server that is gone for
// longer than the bound.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	memoryMB = 284
	// drainBound is the time after which no request may reach a server that is gone.
	drainBound = 2 * time.Second
	// contactTime is the time after a disruption in which machines are not in touch.
	contactTime = 3 * time.Second
	// goneAfter is the time from the disruption to the removal of the server's entry, and
	// endAfter the time from there to the end of the server.
	goneAfter = 500 * time.Millisecond
	endAfter  = drainBound + 1500*time.Millisecond
	// goneAfterCut and endAfterCut are the same for watches that are cut.
	goneAfterCut = 20 * time.Millisecond
	endAfterCut  = drainBound + 400*time.Millisecond
	deadline     = time.Second
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
	proxy, err := harness.StartProxy(address)
	if err != nil {
		return false, err
	}
	var gateways []*harness.Gateway
	for range 4 {
		g, err := c.StartGatewayAt(proxy.Address(), memoryMB)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(3500 * time.Millisecond) // the gateways are in touch
	// CUT=1 cuts the waiting watches, as the store may at any time; that is no disruption.
	cut := os.Getenv("CUT") == "1"
	counted, pause, last := time.Now(), goneAfter, endAfter
	if cut {
		pause, last = goneAfterCut, endAfterCut
	}
	switch {
	case c.Trouble && cut:
		c.Logf("store: the watches that are waiting are cut")
		store.CutWatches()
	case c.Trouble:
		c.Logf("the connections to the store that are open go silent; new ones work")
		proxy.SetCut(true)
		proxy.SetCut(false)
		counted = counted.Add(contactTime)
	}
	time.Sleep(pause)
	gone := servers[0]
	c.Store.Delete(harness.Names.ServersPrefix + gone.ID)
	removed := time.Now()
	c.Logf("store: the entry of server %s is removed", gone.ID)
	if bound := removed.Add(drainBound); bound.After(counted) {
		counted = bound
	}
	time.AfterFunc(last, gone.End)
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
		if r.At.After(counted) {
			c.Logf("%s reached server %s %.2f s after the store had removed its entry", r.Request, gone.ID, r.At.Sub(removed).Seconds())
			late++
		}
	}
	return late == 0, nil
}
