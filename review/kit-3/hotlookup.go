package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// laterPrefix is the prefix of the route that the second configuration adds. All requests
	// on it are the same lookup; those on the first route all differ.
	laterPrefix = "/today/"
	// popularInterval and otherInterval are the times between two requests to one gateway.
	popularInterval, otherInterval = 66 * time.Millisecond, 200 * time.Millisecond
	// lookupWork is the time that a server takes for a lookup.
	lookupWork = 100 * time.Millisecond
	// steadyAfter is the time from the crash to the steady state: the servers are back 4 s
	// after it. steadyLength is how long requests are judged then.
	steadyAfter, steadyLength = 10 * time.Second, 20 * time.Second
	// minLater is the number of requests on later routes from which the rule applies.
	minLater = 20
	// quarter is the part of the share on the first routes below which the rule is broken.
	quarter = 0.25
)

// answered counts the requests of a route in the steady state.
type answered struct {
	mu           sync.Mutex
	sent, served int
	byStatus     map[int]int
}

func (a *answered) add(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	a.byStatus[status]++
	if status == http.StatusOK {
		a.served++
	}
}

func (a *answered) share() float64 { return float64(a.served) / float64(max(1, a.sent)) }

// playHotLookup crashes all servers of a service at once while many clients send the same
// lookup, which may be repeated, on a route that was added later. The servers come back.
func playHotLookup(w *world) (bool, error) {
	first := emulator.DefaultConfiguration(1)
	w.Store.Put(names.ConfigurationKey, first)
	for i := range 4 {
		if _, err := w.AddPlainServer(fmt.Sprintf("p%d", i+1), emulator.PlainService, w.address(100+i, 8080), lookupWork); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	second := emulator.DefaultConfiguration(2)
	later := second.Routes[0]
	later.Name, later.Prefix = "today", laterPrefix
	second.Routes = append(second.Routes, later)
	w.Store.Put(names.ConfigurationKey, second)
	w.logf("version 2 adds the route %s", laterPrefix)
	time.Sleep(contact)

	steadyFrom := time.Now().Add(4*time.Second + steadyAfter)
	popular, other := &answered{byStatus: make(map[int]int)}, &answered{byStatus: make(map[int]int)}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		clients.Go(func() {
			w.repeatLookup(ctx, g, popularInterval, steadyFrom, popular, func(string) string { return laterPrefix + "list" })
		})
		clients.Go(func() {
			w.repeatLookup(ctx, g, otherInterval, steadyFrom, other, func(id string) string { return emulator.SafePrefix + id })
		})
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.logf("all servers of the service crash at once; they are back after 4 s")
		for id := range w.PlainServers {
			w.Crash(id)
		}
	}
	time.Sleep(time.Until(steadyFrom.Add(steadyLength)))
	stop()
	clients.Wait()
	w.logf("steady state: on the route added later %d requests, %d served, by status %v", popular.sent, popular.served, popular.byStatus)
	w.logf("steady state: on the first route %d requests, %d served, by status %v", other.sent, other.served, other.byStatus)
	return popular.sent >= minLater && popular.share() < quarter*other.share(), nil
}

// repeatLookup sends a request to the gateway at each interval until ctx ends, and counts those
// that are sent from a time on.
func (w *world) repeatLookup(ctx context.Context, g *gateway, interval time.Duration, from time.Time, count *answered, path func(id string) string) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for ctx.Err() == nil {
		clients.Go(func() {
			id := w.newID("l")
			req := emulator.Request{ID: id, Method: http.MethodGet, Host: emulator.Host, Path: path(id), Timeout: time.Second}
			sent := time.Now()
			resp := w.Do(context.Background(), g.client(), req)
			w.logf("request %s for %s at %s: status %d", id, req.Path, g.name, resp.Status)
			w.logRuns(id)
			if !sent.Before(from) {
				count.add(resp.Status)
			}
		})
		time.Sleep(interval)
	}
}
