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
	// streams is the number of streams that are broken off, and of new ones afterwards.
	streams = 24
	// streamEvents is the number of events of a stream, 50 ms each.
	streamEvents = 60
	// streamDeadline is that of the clients of cra-fescue.
	streamDeadline = 14 * time.Second
	// breakAt is when the streams are broken off, after the first began.
	breakAt = 2 * time.Second
	// minTakeUps is the number of streams that must have been taken up for the rule to apply.
	minTakeUps = 12
	// takeUpAfter is how long after the break a client takes its stream up: the processes that
	// were killed have run for contact-ms then.
	takeUpAfter = restartDelay + contact + time.Second
)

// stream is one stream of a client over its two attempts.
type stream struct {
	first  emulator.Request
	events int
	// inTouch is set if it was taken up at a machine in touch, and goesOn if it brought
	// further events then.
	inTouch, goesOn bool
}

// playTakeUp breaks streams off by killing all gateways, while servers of two software
// versions serve, and lets the clients take them up. Without trouble, the clients lose their
// connections instead.
func playTakeUp(w *world) (bool, error) {
	w.Store.Put(names.ConfigurationKey, emulator.DefaultConfiguration(1))
	for _, e := range []struct {
		first, count   int
		phase, version string
	}{{1, 1, "prefill", "v1"}, {2, 3, "decode", "v1"}, {5, 1, "prefill", "v2"}, {6, 4, "decode", "v2"}} {
		if err := w.addEngines(e.first, e.count, e.phase, e.version); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	all := make([]*stream, streams)
	var clients sync.WaitGroup
	began := time.Now()
	for i := range all {
		all[i] = &stream{first: w.modelRequest(emulator.ResumePrefix, streamEvents, streamDeadline)}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			w.follow(all[i], i, began.Add(breakAt), takeUpAfter)
		})
	}
	time.Sleep(time.Until(began.Add(breakAt)))
	if w.trouble {
		if err := w.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(breakAt + restartDelay + contact + 500*time.Millisecond)))
	begun := w.newStreams()
	clients.Wait()
	return w.judgeTakeUp(all, begun), nil
}

// follow sends a stream and, when it breaks off, takes it up once, after a pause, on a new
// connection. loss is when the client loses its connection if there is no trouble.
func (w *world) follow(s *stream, number int, loss time.Time, pause time.Duration) {
	ctx := context.Background()
	if !w.trouble {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, loss)
		defer cancel()
	}
	deadline := time.Now().Add(streamDeadline)
	g := w.gateways[number%len(w.gateways)]
	resp := w.Do(ctx, g.client(), s.first)
	s.events = eventsOf(resp)
	w.logf("stream %s at %s: status %d, %d of %d events, whole %t", s.first.ID, g.name, resp.Status, s.events, streamEvents, resp.Complete)
	if s.events == 0 || s.events >= streamEvents {
		return
	}
	time.Sleep(pause)
	g = w.gateways[(number+1)%len(w.gateways)]
	next := s.first
	next.ID, next.Timeout, next.Header = s.takeUpID(), time.Until(deadline), s.first.Header.Clone()
	next.Header.Set("Last-Event-Id", fmt.Sprint(s.events))
	next.Header.Set("Resumes", s.first.ID)
	s.inTouch = g.inTouch(time.Now())
	resp = w.Do(context.Background(), g.client(), next)
	s.goesOn = resp.Status == http.StatusOK && eventsOf(resp) > 0
	w.logf("stream %s taken up after event %d as %s at %s, in touch %t, %d ms left: status %d, %d events, whole %t", s.first.ID, s.events, next.ID, g.name, s.inTouch,
		next.Timeout.Milliseconds(), resp.Status, eventsOf(resp), resp.Complete)
}

// takeUpID returns the ID of the attempt that takes the stream up.
func (s *stream) takeUpID() string { return s.first.ID + "-2" }

// newStreams sends new streams and returns how many of them begin.
func (w *world) newStreams() int {
	var mu sync.Mutex
	var clients sync.WaitGroup
	begun := 0
	for i := range streams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			g := w.gateways[i%len(w.gateways)]
			resp := w.Do(context.Background(), g.client(), w.modelRequest(emulator.ResumePrefix, 5, streamDeadline))
			mu.Lock()
			defer mu.Unlock()
			if resp.Status == http.StatusOK && eventsOf(resp) > 0 {
				begun++
			}
		})
	}
	clients.Wait()
	return begun
}

// judgeTakeUp reports whether the rule LOST was broken.
func (w *world) judgeTakeUp(all []*stream, begun int) bool {
	takenUp, goOn := 0, 0
	for _, s := range all {
		w.logRuns(s.first.ID, s.takeUpID())
		if !s.inTouch {
			continue
		}
		takenUp++
		if s.goesOn {
			goOn++
		}
	}
	w.logf("%d streams taken up at machines in touch, %d of them go on; %d of %d new streams begin", takenUp, goOn, begun, streams)
	share, newShare := float64(goOn)/float64(max(1, takenUp)), float64(begun)/streams
	return takenUp >= minTakeUps && share < newShare/2
}
