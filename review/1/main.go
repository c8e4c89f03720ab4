// Case: a stream that a crash has cut short ends for its client like a complete one.
package main

import (
	"os"
	"syscall"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	memoryMB = 284
	slots    = 32
	// cutAfter is the time from the request to the cut; the stream takes 2.4 s.
	cutAfter = 900 * time.Millisecond
	// crashAfter, restartAfter and healAfter count from the cut.
	crashAfter   = 300 * time.Millisecond
	restartAfter = 2300 * time.Millisecond
	healAfter    = 2900 * time.Millisecond
)

func main() {
	harness.ServeChild()
	harness.Run(run)
}

func run(c *harness.Case) (held bool, err error) {
	c.PutConfig(emulator.DefaultConfiguration(1))
	pool := harness.NewModelPool(c)
	for range 2 {
		if _, err := pool.Add("prefill"); err != nil {
			return false, err
		}
	}
	server, err := c.StartChild("i-d1")
	if err != nil {
		return false, err
	}
	defer server.Kill()
	link, err := harness.StartLink(server.Address)
	if err != nil {
		return false, err
	}
	list := func() {
		c.PutServerBorn(server.ID, emulator.ModelService, link.Address(), "ready", "decode", 1, slots, time.Now())
	}
	list()
	g, err := c.StartGateway(memoryMB)
	if err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // the gateway is in touch
	// FREEZE=1 stops the gateway instead of cutting the link.
	freeze := os.Getenv("FREEZE") == "1"
	results := make(chan harness.StreamResult, 1)
	go func() { results <- c.SendStream(g, emulator.StreamPrefix, "a1", 5000) }()
	if c.Trouble {
		time.Sleep(cutAfter)
		began := time.Now()
		if freeze {
			c.Logf("the gateway is stopped")
			g.Signal(syscall.SIGSTOP)
		} else {
			c.Logf("the link to server %s is cut", server.ID)
			link.Cut()
		}
		time.Sleep(crashAfter)
		server.Kill()
		time.Sleep(time.Until(began.Add(restartAfter)))
		if err := server.Start(); err != nil {
			return false, err
		}
		list()
		time.Sleep(time.Until(began.Add(healAfter)))
		if freeze {
			c.Logf("the gateway goes on")
			g.Signal(syscall.SIGCONT)
		} else {
			c.Logf("the link to server %s is back", server.ID)
			link.Heal()
		}
	}
	result := <-results
	if result.Ended && result.Status == 200 && !result.Complete {
		c.Logf("the stream ended as complete before its last event")
		return false, nil
	}
	return true, nil
}
