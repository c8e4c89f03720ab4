package main

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// darkTime is how long the gateways are without power.
	darkTime = 5 * time.Second
	// allowedMixed is the number of streams that may hold events of two software versions.
	allowedMixed = 2
)

// playPowerCut cuts the power of all machines, those with model servers included, while
// streams run. The model servers come back with another version of their software, and the
// clients take their streams up. Without trouble, the clients lose their connections.
func playPowerCut(w *world) (bool, error) {
	w.Store.Put(names.ConfigurationKey, emulator.DefaultConfiguration(1))
	if err := w.addEngines(1, 2, "prefill", "v1"); err != nil {
		return false, err
	}
	if err := w.addEngines(3, 7, "decode", "v1"); err != nil {
		return false, err
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
			w.follow(all[i], i, began.Add(breakAt), darkTime+2*time.Second)
		})
	}
	time.Sleep(time.Until(began.Add(breakAt)))
	if w.trouble {
		if err := w.cutPower(); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return w.judgeVersions(all), nil
}

// cutPower ends all gateways and model servers at once. The servers are back after 4 s, with
// another version, and the gateways after darkTime.
func (w *world) cutPower() error {
	w.logf("all machines lose power")
	var lost sync.WaitGroup
	for _, g := range w.gateways {
		lost.Go(g.kill)
	}
	for id := range w.ModelServers {
		w.Crash(id)
	}
	lost.Wait()
	back := time.Now().Add(darkTime)
	time.Sleep(time.Second)
	for _, m := range w.ModelServers {
		m.Version = "v2" // nothing runs at the server now
	}
	time.Sleep(time.Until(back))
	for _, g := range w.gateways {
		if err := g.launch(); err != nil {
			return err
		}
	}
	w.logf("all machines have power again; the model servers run version v2")
	return nil
}

// judgeVersions reports whether the rule ORDER was broken.
func (w *world) judgeVersions(all []*stream) bool {
	mixed := 0
	for _, s := range all {
		w.logRuns(s.first.ID, s.takeUpID())
		if !s.goesOn {
			continue
		}
		executions := append(w.ExecutionLog.Executions(s.first.ID), w.ExecutionLog.Executions(s.takeUpID())...)
		for _, violation := range emulator.VersionViolations(executions) {
			w.logf("stream %s: %s", s.first.ID, violation)
			mixed++
			break
		}
	}
	w.logf("%d streams hold events of two software versions; %d are allowed", mixed, allowedMixed)
	return mixed > allowedMixed
}
