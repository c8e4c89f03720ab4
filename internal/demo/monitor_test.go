package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// Time limits of the guarantees, in virtual time.
const (
	memoryAfterCancelBound  = 250 * time.Millisecond // release of engine memory after a caller disconnected from a live entry
	memoryAfterFailureBound = 3 * time.Second        // release of engine memory after an entry died or its connections were blackholed
	shutdownNoticeBound     = 3 * time.Second        // last new work for an upstream after its shutdown began
	ticketPropagationBound  = 5 * time.Second        // propagation of an accepted ticket to all processes

	quarantinedCode = "request_quarantined"

	memorySampleInterval   = 10 * time.Millisecond
	revisionSampleInterval = 500 * time.Millisecond
)

// monitor checks a cluster's guarantees while it runs. It samples the memory held by
// the engines and the state reported by the processes, and follows the callers'
// requests. Tests must record every injected fault with recordFault, because faults
// extend the time limits.
type monitor struct {
	cluster *Cluster
	client  *http.Client
	// paused disables the sampling during long idle periods.
	paused atomic.Bool
	stop   chan struct{}
	loops  sync.WaitGroup

	mu              sync.Mutex
	lastFaultAt     map[string]time.Time        // end of the latest fault, by target
	abruptFailures  map[string][]time.Time      // crashes and blackholed connections, by target
	crashTimes      map[string][]time.Time      // crashes by target
	openShutdowns   map[string]gracefulShutdown // graceful shutdowns of sidecars in progress, by upstream
	callsByPrompt   map[string]*monitoredCall
	callsByID       map[string]*monitoredCall
	memoryFirstSeen map[string]time.Time // time of the first sample, by engine and request id
	reported        map[string]bool
	lastRevisions   map[string]uint64
	notReady        map[string]bool
	acceptedTickets []acceptedTicket
	shutdowns       []gracefulShutdown
	worstDelays     worstDelays
	violations      []string
}

// worstDelays holds the longest observed delay for each time limit.
type worstDelays struct {
	afterCancel, afterEntryFailure, ticket time.Duration
}

// String implements fmt.Stringer.
func (d worstDelays) String() string {
	return fmt.Sprintf("memory held after a caller disconnected %s, memory held after an entry crashed or was blackholed %s, ticket not yet applied everywhere %s", d.afterCancel, d.afterEntryFailure, d.ticket)
}

type monitoredCall struct {
	entry      int
	start, end time.Time
}

type gracefulShutdown struct {
	upstream   string
	start, end time.Time
}

type acceptedTicket struct {
	number, revision uint64
	at               time.Time
}

func newMonitor(cluster *Cluster) *monitor {
	m := &monitor{
		cluster:         cluster,
		client:          &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: cluster.network.Dial, DisableKeepAlives: true}},
		stop:            make(chan struct{}),
		lastFaultAt:     make(map[string]time.Time),
		abruptFailures:  make(map[string][]time.Time),
		crashTimes:      make(map[string][]time.Time),
		openShutdowns:   make(map[string]gracefulShutdown),
		callsByPrompt:   make(map[string]*monitoredCall),
		callsByID:       make(map[string]*monitoredCall),
		memoryFirstSeen: make(map[string]time.Time),
		reported:        make(map[string]bool),
		lastRevisions:   make(map[string]uint64),
		notReady:        make(map[string]bool),
	}
	m.loops.Go(func() { m.sampleEvery(memorySampleInterval, m.sampleMemory) })
	m.loops.Go(func() { m.sampleEvery(revisionSampleInterval, m.sampleNodes) })
	return m
}

func (m *monitor) sampleEvery(every time.Duration, sample func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
			sample()
		}
	}
}

func (m *monitor) close() {
	close(m.stop)
	m.loops.Wait()
	m.client.CloseIdleConnections()
}

func (m *monitor) addViolation(key, format string, args ...any) {
	if m.reported[key] {
		return
	}
	m.reported[key] = true
	m.violations = append(m.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (m *monitor) modelCallStarted(c modelCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callsByPrompt[c.enginePrompt()] = &monitoredCall{entry: c.entry, start: time.Now()}
}

func (m *monitor) modelCallEnded(c modelCall, result modelResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	call := m.callsByPrompt[c.enginePrompt()]
	call.end = time.Now()
	if result.requestID != "" {
		m.callsByID[result.requestID] = call
	}
}

// recordFault records a fault that starts now. Faults of the store or the list, slow
// engines and stalled transfers do not keep the system from releasing engine memory,
// so they do not extend the time limits for engine memory.
func (m *monitor) recordFault(target, kind string, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if kind == "crash" {
		m.crashTimes[target] = append(m.crashTimes[target], now)
	}
	switch {
	case target == "store" || target == "list":
		m.lastFaultAt[target] = laterOf(m.lastFaultAt[target], now.Add(duration))
	case kind == "slow" || kind == "stall_transfer":
	case kind == "down":
		if upstream, ok := strings.CutPrefix(target, "sidecar-"); ok {
			m.openShutdowns[upstream] = gracefulShutdown{upstream: upstream, start: now}
		}
	case kind == "pause" || kind == "crash" && m.cluster.engineNamed(target) != nil:
		m.lastFaultAt[target] = laterOf(m.lastFaultAt[target], now.Add(duration))
	default:
		m.lastFaultAt[target] = laterOf(m.lastFaultAt[target], now)
		m.abruptFailures[target] = append(m.abruptFailures[target], now)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sampleMemory checks the memory that the engines hold now.
func (m *monitor) sampleMemory() {
	if m.paused.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.samplePhases(now)
	seen := make(map[string]bool)
	for _, e := range m.cluster.engines {
		for _, h := range e.HeldMemory() {
			key := e.Name() + " " + h.RequestID
			seen[key] = true
			if _, known := m.memoryFirstSeen[key]; !known {
				m.memoryFirstSeen[key] = now
			}
			id, _, _ := strings.Cut(h.RequestID, "/")
			if call := m.callsByPrompt[h.Prompt]; call != nil && m.callsByID[id] == nil {
				m.callsByID[id] = call
			}
			if call := m.callsByID[id]; call != nil {
				m.checkHeldMemory(now, e.Name(), h.RequestID, h.Phase, m.memoryFirstSeen[key], call)
			}
		}
	}
	for key := range m.memoryFirstSeen {
		if !seen[key] {
			delete(m.memoryFirstSeen, key)
		}
	}
}

// checkHeldMemory checks the engine memory of one request against the time limits.
func (m *monitor) checkHeldMemory(now time.Time, engine, id, phase string, firstSeen time.Time, call *monitoredCall) {
	entry := m.cluster.entries[call.entry].name()
	upstream := laterOf(m.lastFaultAt[engine], m.lastFaultAt["sidecar-"+engine])
	key := "memory " + engine + id
	if ended := call.end; !ended.IsZero() && !m.callerConnBlackholed(entry, call, firstSeen) {
		disturbed := laterOf(upstream, m.lastFaultAt[entry])
		if disturbed.Before(ended.Add(-memoryAfterFailureBound)) {
			m.worstDelays.afterCancel = max(m.worstDelays.afterCancel, now.Sub(ended))
			if now.After(ended.Add(memoryAfterCancelBound)) {
				m.addViolation(key, "memory: %s still holds request %s (phase %s) %s after its caller's request had ended", engine, id, phase, now.Sub(ended))
			}
		} else if limitStart := laterOf(ended, disturbed); now.After(limitStart.Add(memoryAfterFailureBound)) {
			m.addViolation(key, "memory: %s still holds request %s (phase %s) %s after its caller's request and the faults had ended", engine, id, phase, now.Sub(limitStart))
		}
	}
	for _, failedAt := range m.abruptFailures[entry] {
		if failedAt.Before(firstSeen) {
			continue
		}
		limitStart := laterOf(failedAt, upstream)
		if limitStart.Equal(failedAt) {
			m.worstDelays.afterEntryFailure = max(m.worstDelays.afterEntryFailure, now.Sub(limitStart))
		}
		if now.After(limitStart.Add(memoryAfterFailureBound)) {
			m.addViolation(key, "memory: %s still holds request %s (phase %s) %s after %s crashed or was blackholed", engine, id, phase, now.Sub(limitStart), entry)
		}
	}
}

// callerConnBlackholed reports whether the caller's connection was blackholed during
// the call and before the memory was allocated. HTTP/1.1 has no heartbeat, so an
// entry that survives cannot detect that such a caller disconnected.
func (m *monitor) callerConnBlackholed(entry string, call *monitoredCall, firstSeen time.Time) bool {
	return slices.ContainsFunc(m.abruptFailures[entry], func(d time.Time) bool {
		return d.After(call.start) && d.Before(call.end) && d.Before(firstSeen)
	})
}

// samplePhases records which processes are down and when graceful shutdowns end.
func (m *monitor) samplePhases(now time.Time) {
	for _, n := range m.cluster.nodes() {
		n.mu.Lock()
		phase := n.phase
		n.mu.Unlock()
		if phase == phaseDown {
			m.notReady[n.name()] = true
		}
		if m.notReady[n.name()] {
			m.lastFaultAt[n.name()] = laterOf(m.lastFaultAt[n.name()], now)
		}
		upstream := n.settings.Upstream.Name
		if shutdown, ok := m.openShutdowns[upstream]; ok && upstream != "" && phase != phaseStopping && now.After(shutdown.start) {
			shutdown.end = now
			m.shutdowns = append(m.shutdowns, shutdown)
			delete(m.openShutdowns, upstream)
		}
	}
}

// nodeState is the part of /debug/state that the monitor reads.
type nodeState struct {
	Incarnation    uint64 `json:"incarnation"`
	ConfigRevision uint64 `json:"config_revision"`
	Ready          bool   `json:"ready"`
	Leaving        bool   `json:"leaving"`
}

// sampleNodes checks the configuration revision that each running process reports.
func (m *monitor) sampleNodes() {
	if m.paused.Load() {
		return
	}
	for _, n := range m.cluster.nodes() {
		n.mu.Lock()
		address, running := n.adminAddress, n.phase == phaseRunning
		n.mu.Unlock()
		if !running {
			continue
		}
		sentAt := time.Now()
		var s nodeState
		if getJSON(context.Background(), m.client, "http://"+address+"/debug/state", &s) == nil {
			m.checkRevision(sentAt, n.name(), s)
		}
	}
}

func (m *monitor) checkRevision(sentAt time.Time, name string, s nodeState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Ready {
		return
	}
	delete(m.notReady, name)
	if last := m.lastRevisions[name]; s.ConfigRevision < last {
		m.addViolation("revert"+name, "ticket: %s reports revision %d after it had reported %d", name, s.ConfigRevision, last)
	}
	m.lastRevisions[name] = max(m.lastRevisions[name], s.ConfigRevision)
	faultsEnd := laterOf(laterOf(m.lastFaultAt["store"], m.lastFaultAt["list"]), m.lastFaultAt[name])
	for _, ticket := range m.acceptedTickets {
		if s.ConfigRevision < ticket.revision {
			m.worstDelays.ticket = max(m.worstDelays.ticket, sentAt.Sub(ticket.at))
		}
		if s.ConfigRevision < ticket.revision && sentAt.After(laterOf(ticket.at, faultsEnd).Add(ticketPropagationBound)) {
			m.addViolation(fmt.Sprint("ticket", name, ticket.number), "ticket: %s reports revision %d; ticket %d had been accepted as revision %d %s earlier",
				name, s.ConfigRevision, ticket.number, ticket.revision, sentAt.Sub(ticket.at))
		}
	}
}

// entryHealthy reports whether an entry was neither killed nor blackholed in the
// interval, extended backwards by memoryAfterFailureBound.
func (m *monitor) entryHealthy(entry string, from, to time.Time) bool {
	return !slices.ContainsFunc(m.abruptFailures[entry], func(d time.Time) bool { return !d.Before(from.Add(-memoryAfterFailureBound)) && !d.After(to) })
}

// quarantineJustified reports whether a request was quarantined correctly: at least
// two engines crashed while the request was in flight on them.
func (m *monitor) quarantineJustified(request unansweredRequest) bool {
	crashedEngines := make(map[string]bool)
	for _, execution := range m.cluster.journal.Executions(request.requestID) {
		// A request is also in flight between its import and its decode, when no
		// execution of it is running.
		inFlight := slices.ContainsFunc(m.crashTimes[execution.Engine], func(at time.Time) bool { return !at.Before(execution.Started) && !at.After(request.end) })
		if inFlight || execution.Outcome == engine.OutcomeCrashed {
			crashedEngines[execution.Engine] = true
		}
	}
	return request.kind == quarantinedCode && len(crashedEngines) >= 2
}

// finish stops the monitor. It returns the violations in r, followed by those that the
// monitor observed and by those that can only be checked after the run: unanswered
// requests, and work that an engine started during the shutdown of its sidecar. It must
// be called after the load and the faults have ended.
func (m *monitor) finish(r *Report) []string {
	m.close()
	violations := append(r.Violations, m.violations...)
	for _, request := range r.Unanswered {
		entry := m.cluster.entries[request.entry].name()
		if m.entryHealthy(entry, request.start, request.end) && !m.quarantineJustified(request) {
			violations = append(violations, fmt.Sprintf("answered: accepted request %s at %s ended with %q after %s instead of an answer", request.requestID, entry, request.kind, request.end.Sub(request.start)))
		}
	}
	for _, execution := range m.cluster.journal.AllExecutions() {
		id, _, _ := strings.Cut(execution.RequestID, "/")
		call := m.callsByID[id]
		if call == nil {
			continue
		}
		for _, shutdown := range m.shutdowns {
			limit := shutdown.start.Add(shutdownNoticeBound)
			if shutdown.upstream == execution.Engine && call.start.After(limit) && execution.Started.After(limit) && execution.Started.Before(shutdown.end) {
				violations = append(violations, fmt.Sprintf("shutdown: %s started the %s of request %s %s after its shutdown began", execution.Engine, execution.Kind, execution.RequestID, execution.Started.Sub(shutdown.start)))
			}
		}
	}
	return violations
}

// engineNamed returns the engine with the given name, or nil.
func (c *Cluster) engineNamed(name string) *engine.Engine {
	for _, e := range c.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}
