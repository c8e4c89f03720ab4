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
	// copies is the number of machines at which the request comes at the same moment.
	copies = 3
	// allowedRetries is the number of retries that may reach servers later than contact-ms
	// after the third crash.
	allowedRetries = 3
	// crashPath is the path of the request that crashes each server that begins to run it.
	crashPath = emulator.SafePrefix + emulator.CrashPathMarker
	// secondAfter is the time from the first arrival of the request to the second.
	secondAfter = 9 * time.Second
)

// playCrashAgain lets a request that crashes its servers come, kills all gateways, and lets
// the request come again. Without trouble, the gateways go on.
func playCrashAgain(w *world) (bool, error) {
	w.Store.Put(names.ConfigurationKey, emulator.DefaultConfiguration(1))
	for i := range 4 {
		if _, err := w.AddPlainServer(fmt.Sprintf("p%d", i+1), emulator.PlainService, w.address(100+i, 8080), 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	began := time.Now()
	ids := w.sendCopies()
	time.Sleep(time.Second)
	if w.trouble {
		if err := w.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(secondAfter)))
	for _, g := range w.gateways[:copies] {
		w.logf("%s in touch: %t", g.name, g.inTouch(time.Now()))
	}
	ids = append(ids, w.sendCopies()...)
	return w.judgeCrashAgain(ids), nil
}

// sendCopies sends the request to several gateways at once, and returns the IDs.
func (w *world) sendCopies() []string {
	var clients sync.WaitGroup
	var ids []string
	for _, g := range w.gateways[:copies] {
		req := emulator.Request{ID: w.newID("c"), Method: http.MethodGet, Host: emulator.Host, Path: crashPath, Timeout: time.Second}
		ids = append(ids, req.ID)
		clients.Go(func() {
			resp := w.Do(context.Background(), g.client(), req)
			w.logf("request %s that crashes servers at %s: status %d", req.ID, g.name, resp.Status)
		})
	}
	clients.Wait()
	return ids
}

// judgeCrashAgain reports whether the rule BUDGET was broken.
func (w *world) judgeCrashAgain(ids []string) bool {
	var runs []time.Time
	for _, id := range ids {
		for _, e := range w.ExecutionLog.Executions(id) {
			w.logf("request %s began to run at server %s at %.3f s", id, e.Server, e.Started.Sub(w.start).Seconds())
			runs = append(runs, e.Started)
		}
	}
	if len(runs) < allowedRetries {
		w.logf("only %d servers crashed", len(runs))
		return false
	}
	sortTimes(runs)
	const decisive = 3
	limit := runs[decisive-1].Add(contact)
	late := 0
	for _, at := range runs {
		if at.After(limit) {
			late++
		}
	}
	w.logf("%d runs; %d of them later than %v after the third crash; %d are allowed", len(runs), late, contact, allowedRetries)
	return late > allowedRetries
}
