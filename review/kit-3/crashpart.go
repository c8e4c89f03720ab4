package main

import (
	"context"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// crashBurst is the number of requests with the part that come at the same moment, and
	// burstInterval the time from one burst to the next.
	crashBurst    = 5
	crashBursts   = 5
	burstInterval = 6 * time.Second
	// soundInterval is the time between two sound requests.
	soundInterval = 250 * time.Millisecond
	crashingPart  = "bad0bad0"
)

// playCrashPart lets requests with a part that crashes model servers come in bursts, beside
// sound requests. Without trouble, the part is sound.
func playCrashPart(w *world) (bool, error) {
	w.Store.Put("op/config", emulator.DefaultConfiguration(1))
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
	clients.Go(func() { w.sendSound(ctx, "f1057", "ca11e7") })
	for n := range crashBursts {
		w.logf("burst %d of %d requests with the part", n+1, crashBurst)
		for i := range crashBurst {
			g := w.gateways[(n+i)%len(w.gateways)]
			clients.Go(func() {
				req := w.modelRequest(emulator.StreamPrefix, 10, streamDeadline, "f1057", "ca11e7", crashingPart)
				resp := w.Do(ctx, g.client(), req)
				w.logf("request %s with the part at %s: status %d, %d events, whole %t", req.ID, g.name, resp.Status, eventsOf(resp), resp.Complete)
			})
		}
		time.Sleep(burstInterval)
		if w.trouble {
			w.logf("%d servers have crashed", w.CrashParts.Crashes(crashingPart))
		}
	}
	stop()
	clients.Wait()
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
