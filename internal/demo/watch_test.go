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

// Bounds of the promises, in virtual time.
const (
	memoryAfterCancelBound  = 250 * time.Millisecond // memory after a caller left a living entry
	memoryAfterFailureBound = 3 * time.Second        // memory after a death or a silence
	shutdownNoticeBound     = 3 * time.Second        // new work for a leaving upstream
	ticketPropagationBound  = 5 * time.Second        // a ticket in effect everywhere

	quarantinedCode = "request_quarantined"

	memorySampleInterval   = 10 * time.Millisecond
	revisionSampleInterval = 500 * time.Millisecond
)

// monitor judges a fleet while it runs, from what the engines hold, what the
// callers did and what the processes report. It must be told of faults.
type monitor struct {
	cluster *Cluster
	client  *http.Client
	// pause stops the sampling in long idle times.
	paused atomic.Bool
	stop   chan struct{}
	loops  sync.WaitGroup

	mu              sync.Mutex
	lastFaultAt     map[string]time.Time        // last moment at which a target was at fault
	entryFailures   map[string][]time.Time      // deaths and silences of entries, by instance
	crashTimes      map[string][]time.Time      // crashes by target
	openShutdowns   map[string]gracefulShutdown // graceful stops of sidecars, by upstream
	callsByPrompt   map[string]*monitoredCall
	callsByID       map[string]*monitoredCall
	memoryFirstSeen map[string]time.Time // engine request ids by first sight
	reported        map[string]bool
	lastRevisions   map[string]uint64
	notReady        map[string]bool
	acceptedTickets []acceptedTicket
	shutdowns       []gracefulShutdown
	worstDelays     worstDelays
	violations      []string
}

// worstDelays are the longest times that were seen for a bound.
type worstDelays struct {
	afterCancel, afterEntryFailure, ticket time.Duration
}

// String implements fmt.Stringer.
func (w worstDelays) String() string {
	return fmt.Sprintf("memory after a caller left %s, after an entry died or went silent %s, ticket not yet everywhere %s", w.afterCancel, w.afterEntryFailure, w.ticket)
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
		entryFailures:   make(map[string][]time.Time),
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

// recordFault records a fault that starts now. Faults that neither end nor hide
// memory (slow engines, stalled transfers, a broken store or list) are no excuse
// for memory and are not recorded as disturbances of an engine.
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
		if up, ok := strings.CutPrefix(target, "sidecar-"); ok {
			m.openShutdowns[up] = gracefulShutdown{upstream: up, start: now}
		}
	case kind == "pause" || kind == "crash" && m.cluster.engineNamed(target) != nil:
		m.lastFaultAt[target] = laterOf(m.lastFaultAt[target], now.Add(duration))
	default:
		m.lastFaultAt[target] = laterOf(m.lastFaultAt[target], now)
		m.entryFailures[target] = append(m.entryFailures[target], now)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sampleMemory checks what the engines hold now.
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
		for _, h := range e.Held() {
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

// checkHeldMemory checks one request's memory against the bounds.
func (m *monitor) checkHeldMemory(now time.Time, engine, id, phase string, firstSeen time.Time, call *monitoredCall) {
	entry := m.cluster.entries[call.entry].name()
	upstream := laterOf(m.lastFaultAt[engine], m.lastFaultAt["sidecar-"+engine])
	key := "memory " + engine + id
	if ended := call.end; !ended.IsZero() && !m.callerConnBlackholed(entry, call, firstSeen) {
		disturbed := laterOf(upstream, m.lastFaultAt[entry])
		if disturbed.Before(ended.Add(-memoryAfterFailureBound)) {
			m.worstDelays.afterCancel = max(m.worstDelays.afterCancel, now.Sub(ended))
			if now.After(ended.Add(memoryAfterCancelBound)) {
				m.addViolation(key, "memory: %s holds %s (%s) %s after its caller was gone", engine, id, phase, now.Sub(ended))
			}
		} else if from := laterOf(ended, disturbed); now.After(from.Add(memoryAfterFailureBound)) {
			m.addViolation(key, "memory: %s holds %s (%s) %s after its caller was gone and the faults had ended", engine, id, phase, now.Sub(from))
		}
	}
	for _, d := range m.entryFailures[entry] {
		if d.Before(firstSeen) {
			continue
		}
		from := laterOf(d, upstream)
		if from.Equal(d) {
			m.worstDelays.afterEntryFailure = max(m.worstDelays.afterEntryFailure, now.Sub(from))
		}
		if now.After(from.Add(memoryAfterFailureBound)) {
			m.addViolation(key, "memory: %s holds %s (%s) %s after %s died or went silent", engine, id, phase, now.Sub(from), entry)
		}
	}
}

// callerConnBlackholed reports whether the caller's own connection went silent before
// the memory was taken. HTTP/1.1 has no heartbeat with which an entry that lives
// on could learn that such a caller left.
func (m *monitor) callerConnBlackholed(entry string, call *monitoredCall, firstSeen time.Time) bool {
	return slices.ContainsFunc(m.entryFailures[entry], func(d time.Time) bool {
		return d.After(call.start) && d.Before(call.end) && d.Before(firstSeen)
	})
}

// samplePhases notes which processes are down and until when stops last.
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
		up := n.settings.Upstream.Name
		if l, ok := m.openShutdowns[up]; ok && up != "" && phase != phaseStopping && now.After(l.start) {
			l.end = now
			m.shutdowns = append(m.shutdowns, l)
			delete(m.openShutdowns, up)
		}
	}
}

// nodeState is the part of a state dump that the watch reads.
type nodeState struct {
	Incarnation    uint64 `json:"incarnation"`
	ConfigRevision uint64 `json:"config_revision"`
	Ready          bool   `json:"ready"`
	Leaving        bool   `json:"leaving"`
}

// sampleNodes reads the revision that each process reports.
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
	if before := m.lastRevisions[name]; s.ConfigRevision < before {
		m.addViolation("revert"+name, "ticket: %s reports revision %d after it had reported %d", name, s.ConfigRevision, before)
	}
	m.lastRevisions[name] = max(m.lastRevisions[name], s.ConfigRevision)
	settled := laterOf(laterOf(m.lastFaultAt["store"], m.lastFaultAt["list"]), m.lastFaultAt[name])
	for _, t := range m.acceptedTickets {
		if s.ConfigRevision < t.revision {
			m.worstDelays.ticket = max(m.worstDelays.ticket, sentAt.Sub(t.at))
		}
		if s.ConfigRevision < t.revision && sentAt.After(laterOf(t.at, settled).Add(ticketPropagationBound)) {
			m.addViolation(fmt.Sprint("ticket", name, t.number), "ticket: %s reports revision %d; ticket %d was accepted as revision %d %s before",
				name, s.ConfigRevision, t.number, t.revision, sentAt.Sub(t.at))
		}
	}
}

// entryHealthy reports whether an entry was neither killed nor silenced in a time.
func (m *monitor) entryHealthy(entry string, from, to time.Time) bool {
	return !slices.ContainsFunc(m.entryFailures[entry], func(d time.Time) bool { return !d.Before(from.Add(-memoryAfterFailureBound)) && !d.After(to) })
}

// quarantineJustified reports whether a request was quarantined for a reason: engines
// died at two upstreams while they ran it.
func (m *monitor) quarantineJustified(u unansweredRequest) bool {
	engines := make(map[string]bool)
	for _, x := range m.cluster.journal.Executions(u.requestID) {
		// Between its import and its decode a request is in flight as well,
		// although nothing of it runs.
		inFlight := slices.ContainsFunc(m.crashTimes[x.Engine], func(at time.Time) bool { return !at.Before(x.Started) && !at.After(u.end) })
		if inFlight || x.Outcome == engine.Crashed {
			engines[x.Engine] = true
		}
	}
	return u.kind == quarantinedCode && len(engines) >= 2
}

// finish returns all that broke, after the load and the faults have ended.
func (m *monitor) finish(r *Report) []string {
	m.close()
	broken := append(r.Violations, m.violations...)
	for _, u := range r.Unanswered {
		entry := m.cluster.entries[u.entry].name()
		if m.entryHealthy(entry, u.start, u.end) && !m.quarantineJustified(u) {
			broken = append(broken, fmt.Sprintf("answered: request %s at %s ended with %q after %s", u.requestID, entry, u.kind, u.end.Sub(u.start)))
		}
	}
	for _, x := range m.cluster.journal.All() {
		id, _, _ := strings.Cut(x.RequestID, "/")
		call := m.callsByID[id]
		if call == nil {
			continue
		}
		for _, l := range m.shutdowns {
			late := l.start.Add(shutdownNoticeBound)
			if l.upstream == x.Engine && call.start.After(late) && x.Started.After(late) && x.Started.Before(l.end) {
				broken = append(broken, fmt.Sprintf("leaving: %s began %s of %s %s after it began to leave", x.Engine, x.Work, x.RequestID, x.Started.Sub(l.start)))
			}
		}
	}
	return broken
}

// engineNamed returns the engine of a name, or nil.
func (c *Cluster) engineNamed(name string) *engine.Engine {
	for _, e := range c.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}
