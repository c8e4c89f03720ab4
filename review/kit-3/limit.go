package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// serverLimit is the limit that each server names, in requests a second.
	serverLimit = 10
	// limitLength is how long the limit is named.
	limitLength = 30 * time.Second
	// limitWindow, limitFactor and limitSlack are those of the rule.
	limitWindow             = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5
)

// playLimit lets the servers of a service, whose answers end with their connections, name a
// limit. Without trouble, they name none.
func playLimit(w *world) (bool, error) {
	w.Store.Put(names.ConfigurationKey, emulator.DefaultConfiguration(1))
	var desks []*desk
	for i := range 4 {
		d, err := newDesk(w, i+1)
		if err != nil {
			return false, err
		}
		d.unframed = true
		desks = append(desks, d)
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		clients.Go(func() { w.lookUp(ctx, g) })
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		for _, d := range desks {
			d.mu.Lock()
			d.limit = serverLimit
			d.mu.Unlock()
		}
		w.logf("all servers name the limit %d", serverLimit)
	}
	named := time.Now()
	time.Sleep(limitLength)
	stop()
	clients.Wait()
	wasBroken := false
	for _, d := range desks {
		wasBroken = d.judgeLimit(named.Add(contact)) || wasBroken
	}
	return w.trouble && wasBroken, nil
}

// judgeLimit reports whether the rule LIMIT was broken from a time on.
func (d *desk) judgeLimit(from time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := slices.Concat(d.requests, d.probes)
	const allowed = limitFactor*serverLimit*4 + limitSlack
	most, requests, probes := mostInWindow(all, from), mostInWindow(d.requests, from), mostInWindow(d.probes, from)
	d.world.logf("server %s: at most %d in %v (%d requests of clients, %d health checks); %.0f are allowed", d.id, most, limitWindow, requests, probes, float64(allowed))
	return float64(most) > allowed
}

// mostInWindow returns the largest number of times in a window, from a time on.
func mostInWindow(times []time.Time, from time.Time) int {
	times = slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return t.Before(from) })
	sortTimes(times)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
