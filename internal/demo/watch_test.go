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
	leftBound    = 250 * time.Millisecond // memory after a caller left a living entry
	faultBound   = 3 * time.Second        // memory after a death or a silence
	leavingBound = 3 * time.Second        // new work for a leaving upstream
	ticketBound  = 5 * time.Second        // a ticket in effect everywhere

	quarantinedKind = "request_quarantined"

	memoryPoll   = 10 * time.Millisecond
	revisionPoll = 500 * time.Millisecond
)

// watch judges a fleet while it runs, from what the engines hold, what the
// callers did and what the processes report. It must be told of faults.
type watch struct {
	fleet  *Fleet
	client *http.Client
	// pause stops the sampling in long idle times.
	pause atomic.Bool
	stop  chan struct{}
	loops sync.WaitGroup

	mu        sync.Mutex
	disturbed map[string]time.Time   // last moment at which a target was at fault
	died      map[string][]time.Time // deaths and silences of entries, by instance
	crashed   map[string][]time.Time // crashes by target
	leaving   map[string]leave       // graceful stops of sidecars, by upstream
	byPrompt  map[string]*watchedCall
	byID      map[string]*watchedCall
	held      map[string]time.Time // engine request ids by first sight
	reported  map[string]bool
	revisions map[string]uint64
	notReady  map[string]bool
	accepted  []acceptedTicket
	leaves    []leave
	worst     worstFigures
	broken    []string
}

// worstFigures are the longest times that were seen for a bound.
type worstFigures struct {
	left, fault, ticket time.Duration
}

// String implements fmt.Stringer.
func (w worstFigures) String() string {
	return fmt.Sprintf("memory after a caller left %s, after an entry died or went silent %s, ticket not yet everywhere %s", w.left, w.fault, w.ticket)
}

type watchedCall struct {
	entry        int
	begun, ended time.Time
}

type leave struct {
	upstream string
	from, to time.Time
}

type acceptedTicket struct {
	number, revision uint64
	at               time.Time
}

func newWatch(f *Fleet) *watch {
	w := &watch{
		fleet:     f,
		client:    &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}},
		stop:      make(chan struct{}),
		disturbed: make(map[string]time.Time),
		died:      make(map[string][]time.Time),
		crashed:   make(map[string][]time.Time),
		leaving:   make(map[string]leave),
		byPrompt:  make(map[string]*watchedCall),
		byID:      make(map[string]*watchedCall),
		held:      make(map[string]time.Time),
		reported:  make(map[string]bool),
		revisions: make(map[string]uint64),
		notReady:  make(map[string]bool),
	}
	w.loops.Go(func() { w.loop(memoryPoll, w.sampleMemory) })
	w.loops.Go(func() { w.loop(revisionPoll, w.sampleNodes) })
	return w
}

func (w *watch) loop(every time.Duration, sample func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
			sample()
		}
	}
}

func (w *watch) close() {
	close(w.stop)
	w.loops.Wait()
	w.client.CloseIdleConnections()
}

func (w *watch) violated(key, format string, args ...any) {
	if w.reported[key] {
		return
	}
	w.reported[key] = true
	w.broken = append(w.broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *watch) began(c modelCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byPrompt[c.enginePrompt()] = &watchedCall{entry: c.entry, begun: time.Now()}
}

func (w *watch) ended(c modelCall, m modelResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	call := w.byPrompt[c.enginePrompt()]
	call.ended = time.Now()
	if m.requestID != "" {
		w.byID[m.requestID] = call
	}
}

// noteFault records a fault that starts now. Faults that neither end nor hide
// memory (slow engines, stalled transfers, a broken store or list) are no excuse
// for memory and are not recorded as disturbances of an engine.
func (w *watch) noteFault(target, kind string, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if kind == "crash" {
		w.crashed[target] = append(w.crashed[target], now)
	}
	switch {
	case target == "store" || target == "list":
		w.disturbed[target] = later(w.disturbed[target], now.Add(length))
	case kind == "slow" || kind == "stall_transfer":
	case kind == "down":
		if up, ok := strings.CutPrefix(target, "sidecar-"); ok {
			w.leaving[up] = leave{upstream: up, from: now}
		}
	case kind == "pause" || kind == "crash" && w.fleet.engineNamed(target) != nil:
		w.disturbed[target] = later(w.disturbed[target], now.Add(length))
	default:
		w.disturbed[target] = later(w.disturbed[target], now)
		w.died[target] = append(w.died[target], now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sampleMemory checks what the engines hold now.
func (w *watch) sampleMemory() {
	if w.pause.Load() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.samplePhases(now)
	seen := make(map[string]bool)
	for _, e := range w.fleet.engines {
		for _, h := range e.HeldMemory() {
			key := e.Name() + " " + h.RequestID
			seen[key] = true
			if _, known := w.held[key]; !known {
				w.held[key] = now
			}
			id, _, _ := strings.Cut(h.RequestID, "/")
			if call := w.byPrompt[h.Prompt]; call != nil && w.byID[id] == nil {
				w.byID[id] = call
			}
			if call := w.byID[id]; call != nil {
				w.judgeHeld(now, e.Name(), h.RequestID, h.Phase, w.held[key], call)
			}
		}
	}
	for key := range w.held {
		if !seen[key] {
			delete(w.held, key)
		}
	}
}

// judgeHeld checks one request's memory against the bounds.
func (w *watch) judgeHeld(now time.Time, engine, id, phase string, since time.Time, call *watchedCall) {
	entry := w.fleet.entries[call.entry].name()
	upstream := later(w.disturbed[engine], w.disturbed["sidecar-"+engine])
	key := "memory " + engine + id
	if gone := call.ended; !gone.IsZero() && !w.callerSilent(entry, call, since) {
		disturbed := later(upstream, w.disturbed[entry])
		if disturbed.Before(gone.Add(-faultBound)) {
			w.worst.left = max(w.worst.left, now.Sub(gone))
			if now.After(gone.Add(leftBound)) {
				w.violated(key, "memory: %s holds %s (%s) %s after its caller was gone", engine, id, phase, now.Sub(gone))
			}
		} else if from := later(gone, disturbed); now.After(from.Add(faultBound)) {
			w.violated(key, "memory: %s holds %s (%s) %s after its caller was gone and the faults had ended", engine, id, phase, now.Sub(from))
		}
	}
	for _, d := range w.died[entry] {
		if d.Before(since) {
			continue
		}
		from := later(d, upstream)
		if from.Equal(d) {
			w.worst.fault = max(w.worst.fault, now.Sub(from))
		}
		if now.After(from.Add(faultBound)) {
			w.violated(key, "memory: %s holds %s (%s) %s after %s died or went silent", engine, id, phase, now.Sub(from), entry)
		}
	}
}

// callerSilent reports whether the caller's own connection went silent before
// the memory was taken. HTTP/1.1 has no heartbeat with which an entry that lives
// on could learn that such a caller left.
func (w *watch) callerSilent(entry string, call *watchedCall, since time.Time) bool {
	return slices.ContainsFunc(w.died[entry], func(d time.Time) bool {
		return d.After(call.begun) && d.Before(call.ended) && d.Before(since)
	})
}

// samplePhases notes which processes are down and until when stops last.
func (w *watch) samplePhases(now time.Time) {
	for _, n := range w.fleet.nodes() {
		n.mu.Lock()
		phase := n.phase
		n.mu.Unlock()
		if phase == down {
			w.notReady[n.name()] = true
		}
		if w.notReady[n.name()] {
			w.disturbed[n.name()] = later(w.disturbed[n.name()], now)
		}
		up := n.settings.Upstream.Name
		if l, ok := w.leaving[up]; ok && up != "" && phase != stopping && now.After(l.from) {
			l.to = now
			w.leaves = append(w.leaves, l)
			delete(w.leaving, up)
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
func (w *watch) sampleNodes() {
	if w.pause.Load() {
		return
	}
	for _, n := range w.fleet.nodes() {
		n.mu.Lock()
		address, running := n.admin, n.phase == running
		n.mu.Unlock()
		if !running {
			continue
		}
		asked := time.Now()
		var s nodeState
		if getJSON(context.Background(), w.client, "http://"+address+"/debug/state", &s) == nil {
			w.judgeRevision(asked, n.name(), s)
		}
	}
}

func (w *watch) judgeRevision(asked time.Time, name string, s nodeState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !s.Ready {
		return
	}
	delete(w.notReady, name)
	if before := w.revisions[name]; s.ConfigRevision < before {
		w.violated("revert"+name, "ticket: %s reports revision %d after it had reported %d", name, s.ConfigRevision, before)
	}
	w.revisions[name] = max(w.revisions[name], s.ConfigRevision)
	settled := later(later(w.disturbed["store"], w.disturbed["list"]), w.disturbed[name])
	for _, t := range w.accepted {
		if s.ConfigRevision < t.revision {
			w.worst.ticket = max(w.worst.ticket, asked.Sub(t.at))
		}
		if s.ConfigRevision < t.revision && asked.After(later(t.at, settled).Add(ticketBound)) {
			w.violated(fmt.Sprint("ticket", name, t.number), "ticket: %s reports revision %d; ticket %d was accepted as revision %d %s before",
				name, s.ConfigRevision, t.number, t.revision, asked.Sub(t.at))
		}
	}
}

// undisturbed reports whether an entry was neither killed nor silenced in a time.
func (w *watch) undisturbed(entry string, from, to time.Time) bool {
	return !slices.ContainsFunc(w.died[entry], func(d time.Time) bool { return !d.Before(from.Add(-faultBound)) && !d.After(to) })
}

// crashedTwice reports whether a request was quarantined for a reason: engines
// died at two upstreams while they ran it.
func (w *watch) crashedTwice(u unanswered) bool {
	engines := make(map[string]bool)
	for _, x := range w.fleet.journal.Executions(u.requestID) {
		// Between its import and its decode a request is in flight as well,
		// although nothing of it runs.
		inFlight := slices.ContainsFunc(w.crashed[x.Engine], func(at time.Time) bool { return !at.Before(x.Started) && !at.After(u.ended) })
		if inFlight || x.Outcome == engine.OutcomeCrashed {
			engines[x.Engine] = true
		}
	}
	return u.kind == quarantinedKind && len(engines) >= 2
}

// finish returns all that broke, after the load and the faults have ended.
func (w *watch) finish(r *Report) []string {
	w.close()
	broken := append(r.Violations, w.broken...)
	for _, u := range r.Unanswered {
		entry := w.fleet.entries[u.entry].name()
		if w.undisturbed(entry, u.begun, u.ended) && !w.crashedTwice(u) {
			broken = append(broken, fmt.Sprintf("answered: request %s at %s ended with %q after %s", u.requestID, entry, u.kind, u.ended.Sub(u.begun)))
		}
	}
	for _, x := range w.fleet.journal.AllExecutions() {
		id, _, _ := strings.Cut(x.RequestID, "/")
		call := w.byID[id]
		if call == nil {
			continue
		}
		for _, l := range w.leaves {
			late := l.from.Add(leavingBound)
			if l.upstream == x.Engine && call.begun.After(late) && x.Started.After(late) && x.Started.Before(l.to) {
				broken = append(broken, fmt.Sprintf("leaving: %s began %s of %s %s after it began to leave", x.Engine, x.Kind, x.RequestID, x.Started.Sub(l.from)))
			}
		}
	}
	return broken
}

// engineNamed returns the engine of a name, or nil.
func (f *Fleet) engineNamed(name string) *engine.Engine {
	for _, e := range f.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}
