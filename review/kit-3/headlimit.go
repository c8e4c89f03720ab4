package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// lowHeaderBytes and highHeaderBytes are max-header-bytes before and after the change.
	lowHeaderBytes, highHeaderBytes = 16384, 32768
	// longHeader is the size of a header that clients send after the change. The whole head
	// stays below highHeaderBytes.
	longHeader = 30_000
	// keptConns is the number of client connections to each gateway, and keptRequests that of
	// requests on each, after the change.
	keptConns, keptRequests = 6, 10
	keptInterval            = 500 * time.Millisecond
	// afterDeadline is the time from the acknowledgement of the change to the first long head:
	// config-deadline-ms and a second.
	afterDeadline = 3 * time.Second
	// deniedFloor and deniedShare are the requests that may be denied.
	deniedFloor, deniedShare = 5, 1.0 / 500
)

// playHeadLimit raises the limit on request heads while clients keep their connections, and
// lets them send heads within the new limit. Without trouble, the limit is high from the
// start.
func playHeadLimit(w *world) (bool, error) {
	config := emulator.DefaultConfiguration(1)
	config.Limits.MaxHeaderBytes = highHeaderBytes
	if w.trouble {
		config.Limits.MaxHeaderBytes = lowHeaderBytes
	}
	w.Store.Put(names.ConfigurationKey, config)
	for i := range 4 {
		if _, err := w.AddPlainServer(fmt.Sprintf("p%d", i+1), emulator.PlainService, w.address(100+i, 8080), deskWork); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	change := time.Now().Add(2 * time.Second)
	count := &answered{byStatus: make(map[int]int)}
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		for range keptConns {
			clients.Go(func() { w.keepConnection(g, change.Add(afterDeadline), count) })
		}
	}
	time.Sleep(time.Until(change))
	if w.trouble {
		config.Version, config.Limits.MaxHeaderBytes = 2, highHeaderBytes
		w.Store.Put(names.ConfigurationKey, config)
		w.logf("version 2 raises max-header-bytes from %d to %d", lowHeaderBytes, highHeaderBytes)
	}
	clients.Wait()
	w.mu.Lock()
	all := w.lastID
	w.mu.Unlock()
	denied := 0
	for status, n := range count.byStatus {
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			denied += n
		}
	}
	allowed := deniedFloor + deniedShare*float64(all)
	w.logf("%d requests; of %d with long heads within the limit, by status %v: %d denied, %.1f are allowed", all, count.sent, count.byStatus, denied, allowed)
	return float64(denied) > allowed, nil
}

// keepConnection sends requests over a connection that it keeps as long as the gateway does.
// From a time on, their heads are long.
func (w *world) keepConnection(g *gateway, longFrom time.Time, count *answered) {
	ctx := context.Background()
	var conn *emulator.ClientConn
	for long := 0; long < keptRequests; time.Sleep(keptInterval) {
		if conn == nil {
			var err error
			if conn, err = w.Connect(ctx, g.client()); err != nil {
				w.logf("no connection to %s: %v", g.name, err)
				continue
			}
		}
		id := w.newID("l")
		req := emulator.Request{ID: id, Method: http.MethodGet, Host: emulator.Host, Path: emulator.SafePrefix + id, Timeout: time.Second}
		isLong := !time.Now().Before(longFrom)
		if isLong {
			long++
			req.Header = http.Header{"Fescueslip-Note": {strings.Repeat("n", longHeader)}}
		}
		resp := conn.Do(ctx, req)
		w.logf("request %s at %s, long head %t: status %d", id, g.name, isLong, resp.Status)
		if isLong {
			count.add(resp.Status)
		}
		if resp.Err != nil || resp.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}
