package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// pauseSeconds is what the server names in Retry-After, shedTime for how long it turns
	// all requests away, and pauseSlack the time that a gateway has to obey.
	pauseSeconds = 20
	shedTime     = time.Second
	pauseSlack   = 500 * time.Millisecond
	// allowedInPause is the number of requests of one machine that may reach the server in
	// the pause.
	allowedInPause = 2
	// cutAfter is the time from the end of shedTime to the cut, and cutLength its length.
	cutAfter, cutLength = 1500 * time.Millisecond, 5 * time.Second
	// lookupInterval is the time between two requests to one gateway: cra-fescue has 71 plain
	// requests a second at four gateways.
	lookupInterval = 56 * time.Millisecond
	deskSlots      = 6
	deskWork       = 30 * time.Millisecond
)

// desk is a plain server that registers itself in the store. It counts what each gateway
// sends.
type desk struct {
	world *world
	id    string
	addr  string
	zone  string
	born  int64
	slots chan struct{}

	mu sync.Mutex
	// shedding makes the server turn requests away, with pauseSeconds.
	shedding bool
	// cut means that the server does not reach the store.
	cut      bool
	lastBeat time.Time
	listed   bool
	// limit is what the server names as its limit, in requests a second; 0 for nothing.
	limit int
	// unframed makes answers end with their connection, with neither length nor chunks.
	unframed bool
	// probes and requests are the times at which health checks and requests reached it.
	probes, requests []time.Time
	// refusedAt is when the server first turned a request of each gateway away, and arrivals
	// the times at which requests of each gateway reached it.
	refusedAt map[string]time.Time
	arrivals  map[string][]time.Time
}

func newDesk(w *world, number int) (*desk, error) {
	d := &desk{
		world: w, id: fmt.Sprintf("i-desk%d", number), addr: w.address(100+number, 8080), zone: fmt.Sprintf("zone-%d", number), born: time.Now().UnixMilli(), slots: make(chan struct{}, deskSlots),
		refusedAt: make(map[string]time.Time), arrivals: make(map[string][]time.Time),
	}
	l, err := loopback{}.Listen(d.addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d) }()
	go d.beat()
	return d, nil
}

// beat writes the entry at each heartbeat, as far as the server reaches the store, and plays
// the platform, which drops the entry after three silent heartbeats. An entry of which only
// the count of heartbeats changes is not written again.
func (d *desk) beat() {
	for ; ; time.Sleep(pollInterval) {
		d.mu.Lock()
		now := time.Now()
		if !d.cut && now.Sub(d.lastBeat) >= heartbeat {
			d.lastBeat = now
			if !d.listed {
				d.listed = true
				d.world.Store.Put(names.ServersPrefix+d.id, map[string]any{
					"service": emulator.PlainService, "address": d.addr, "zone": d.zone, "version": "v1", "slots": deskSlots,
					"state": "ready", "cold-remaining-ms": 0, "seq": 1, "born": d.born,
				})
				d.world.logf("server %s is in the store", d.id)
			}
		}
		if d.listed && now.Sub(d.lastBeat) >= entryLife {
			d.listed = false
			d.world.Store.Delete(names.ServersPrefix + d.id)
			d.world.logf("server %s is dropped from the store", d.id)
		}
		d.mu.Unlock()
	}
}

func (d *desk) setCut(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = on
	d.world.logf("server %s cut from the store: %t", d.id, on)
}

func (d *desk) setShedding(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shedding = on
	d.world.logf("server %s turns requests away: %t", d.id, on)
}

// gatewayOf returns the gateway that a request was sent to. Its ID begins with the name.
func gatewayOf(id string) string {
	name, _, _ := strings.Cut(id, "_")
	return name
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fescueslip-Request-Id")
	w.Header().Set("Fescueslip-Request-Id", id)
	w.Header().Set("Fescueslip-Instance-Id", d.id)
	if r.URL.Path == "/health" {
		d.mu.Lock()
		d.probes = append(d.probes, time.Now())
		d.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"born":%d}`, d.born)
		return
	}
	if want := r.Header.Get(names.ExpectedInstance); want != "" && want != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refused := d.arrive(gatewayOf(id))
	d.world.logf("request %s reached server %s, turned away %t", id, d.id, refused)
	if refused {
		w.Header().Set("Retry-After", strconv.Itoa(pauseSeconds))
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.slots <- struct{}{}
	time.Sleep(deskWork)
	<-d.slots
	w.Header().Set(names.Signature, d.id+"."+id)
	d.mu.Lock()
	limit, unframed := d.limit, d.unframed
	d.mu.Unlock()
	if limit > 0 {
		w.Header().Set(names.RateLimit, strconv.Itoa(limit))
	}
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the answer with the connection
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", d.id, id)
}

// arrive notes that a request of the gateway has reached the server. It reports whether the
// server turns it away.
func (d *desk) arrive(gateway string) (refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.arrivals[gateway] = append(d.arrivals[gateway], now)
	d.requests = append(d.requests, now)
	if !d.shedding {
		return false
	}
	if d.refusedAt[gateway].IsZero() {
		d.refusedAt[gateway] = now
	}
	return true
}

// playPause lets a server turn requests away with Retry-After for a moment, and then cuts it
// from the store for a while. Without trouble, there is no cut.
func playPause(w *world) (bool, error) {
	w.Store.Put(names.ConfigurationKey, emulator.DefaultConfiguration(1))
	var desks []*desk
	for i := range 4 {
		d, err := newDesk(w, i+1)
		if err != nil {
			return false, err
		}
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
	desks[0].setShedding(true)
	time.Sleep(shedTime)
	desks[0].setShedding(false)
	end := time.Now().Add(pauseSeconds * time.Second)
	time.Sleep(cutAfter)
	if w.trouble {
		desks[0].setCut(true)
		time.Sleep(cutLength)
		desks[0].setCut(false)
	}
	time.Sleep(time.Until(end))
	stop()
	clients.Wait()
	return desks[0].judgePause(), nil
}

// lookUp sends requests that may be repeated to one gateway, until ctx ends.
func (w *world) lookUp(ctx context.Context, g *gateway) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	served := make(map[int]int)
	for ctx.Err() == nil {
		clients.Go(func() {
			req := emulator.Request{ID: w.newID(g.name + "_l"), Method: http.MethodGet, Host: emulator.Host, Path: emulator.SafePrefix + "slot", Timeout: time.Second}
			resp := w.Do(context.Background(), g.client(), req)
			w.logf("request %s at %s: status %d", req.ID, g.name, resp.Status)
			mu.Lock()
			defer mu.Unlock()
			served[resp.Status]++
		})
		time.Sleep(lookupInterval)
	}
	clients.Wait()
	w.logf("requests at %s by status: %v", g.name, served)
}

// judgePause reports whether the rule BUDGET was broken.
func (d *desk) judgePause() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasBroken := false
	for _, g := range d.world.gateways {
		from := d.refusedAt[g.name]
		if from.IsZero() {
			d.world.logf("server %s turned no request of %s away", d.id, g.name)
			continue
		}
		inPause := slices.DeleteFunc(slices.Clone(d.arrivals[g.name]), func(at time.Time) bool {
			return at.Before(from.Add(pauseSlack)) || !at.Before(from.Add(pauseSeconds*time.Second))
		})
		d.world.logf("server %s answered %s 503 with Retry-After %d at %.3f s; %d requests of it arrived in the pause; %d are allowed",
			d.id, g.name, pauseSeconds, from.Sub(d.world.start).Seconds(), len(inPause), allowedInPause)
		if len(inPause) > 0 {
			d.world.logf("the first of them at %.3f s", inPause[0].Sub(d.world.start).Seconds())
		}
		wasBroken = wasBroken || len(inPause) > allowedInPause
	}
	return wasBroken
}

// sortTimes sorts times in place.
func sortTimes(t []time.Time) { slices.SortFunc(t, time.Time.Compare) }
