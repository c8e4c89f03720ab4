package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// farParts is the number of parts of a prompt before the one that crashes servers.
	farParts = 35
	// farRequests is the number of requests with that part, and farInterval the time from one
	// to the next.
	farRequests = 14
	farInterval = 3 * time.Second
	// soundInterval is the time between two sound requests.
	soundInterval = 250 * time.Millisecond
	crashingPart  = "bad0bad0"
)

// playFarPart lets requests with a part that crashes model servers come one after the other,
// beside sound requests. The part comes late in a long prompt. Without trouble, it is sound.
func playFarPart(w *world) (bool, error) {
	w.Store.Put(names.ConfigurationKey, emulator.DefaultConfiguration(1))
	if err := w.addEngines(1, 2, "prefill", ""); err != nil {
		return false, err
	}
	if err := w.addEngines(3, 7, "decode", ""); err != nil {
		return false, err
	}
	if w.trouble {
		w.CrashParts.Add(crashingPart)
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var parts []string
	for n := range farParts {
		parts = append(parts, fmt.Sprintf("d0c%04x", n))
	}
	crashing := append(slices.Clone(parts), crashingPart)
	clients.Go(func() { w.sendSound(ctx, parts...) })
	for n := range farRequests {
		g := w.gateways[n%len(w.gateways)]
		clients.Go(func() {
			req := w.modelRequest(emulator.StreamPrefix, 10, streamDeadline, crashing...)
			resp := w.Do(ctx, g.client(), req)
			w.logf("request %s with the part at %s: status %d, %d events, whole %t", req.ID, g.name, resp.Status, eventsOf(resp), resp.Complete)
			w.logRuns(req.ID)
		})
		time.Sleep(farInterval)
	}
	stop()
	clients.Wait()
	if w.trouble {
		w.logf("%d servers have crashed", w.CrashParts.Crashes(crashingPart))
	}
	violations := w.CrashParts.Violations(contact, func(time.Time) bool { return false })
	for _, v := range violations {
		w.logf("%s", v)
	}
	return len(violations) > 0, nil
}

// sendSound sends sound requests with the same shared parts until ctx ends.
func (w *world) sendSound(ctx context.Context, parts ...string) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		g := w.gateways[n%len(w.gateways)]
		clients.Go(func() {
			req := w.modelRequest(emulator.StreamPrefix, 10, streamDeadline, parts...)
			resp := w.Do(ctx, g.client(), req)
			w.logf("sound request %s at %s: status %d, %d events", req.ID, g.name, resp.Status, eventsOf(resp))
		})
		time.Sleep(soundInterval)
	}
}
