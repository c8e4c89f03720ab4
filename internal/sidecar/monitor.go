package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
)

const (
	// probeInterval is short enough to detect a restarted engine within a second.
	probeInterval = 500 * time.Millisecond
	// downProbeInterval is the probe interval while the engine is not up.
	downProbeInterval = 200 * time.Millisecond
)

// errEngineLost reports that the engine died while it worked on a request.
var errEngineLost = errors.New("the engine died while it ran the request")

// EngineState tells whether the engine can accept work.
type EngineState string

// The states of an engine.
const (
	EngineUnknown EngineState = "unknown" // not reached yet
	EngineUp      EngineState = "up"
	EngineSilent  EngineState = "silent" // connected, but not answering
	EngineDown    EngineState = "down"
)

// boot is one run of the engine process, identified by its boot id. ctx ends with
// errEngineLost when the run ends.
type boot struct {
	info   engine.Info
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// lost reports whether this run of the engine is over.
func (b *boot) lost() bool { return b.ctx.Err() != nil }

// monitorCallbacks are called on changes, one at a time.
type monitorCallbacks struct {
	// onCrash is called before the context of the ended run is cancelled.
	onCrash func(old *boot)
	onBoot  func(b *boot)
	onState func(s EngineState)
}

// monitor probes the engine and detects when it stops, starts or changes.
type monitor struct {
	client    engine.Client
	callbacks monitorCallbacks

	probing chan struct{} // holds a token while a probe runs
	mu      sync.Mutex
	state   EngineState
	current *boot
	crashes int
}

func newMonitor(c engine.Client, callbacks monitorCallbacks) *monitor {
	return &monitor{client: c, callbacks: callbacks, state: EngineUnknown, probing: make(chan struct{}, 1)}
}

// currentBoot returns the engine's current run, or nil if the engine is not up, and
// the engine's state.
func (m *monitor) currentBoot() (*boot, EngineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != EngineUp {
		return nil, m.state
	}
	return m.current, m.state
}

// snapshot returns the state, the boot id and the number of crashes seen.
func (m *monitor) snapshot() (EngineState, string, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := ""
	if m.current != nil {
		id = m.current.info.BootID
	}
	return m.state, id, m.crashes
}

// run probes the engine until ctx ends.
func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := downProbeInterval
		if m.probe(ctx) == EngineUp {
			wait = probeInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// verifyLost asks the engine and reports whether its run b is over. A broken
// connection alone does not prove a crash.
func (m *monitor) verifyLost(ctx context.Context, b *boot) bool {
	m.probing <- struct{}{}
	defer func() { <-m.probing }()
	if !b.lost() {
		m.probeLocked(ctx)
	}
	return b.lost()
}

// probe asks the engine for its info and handles what changed.
func (m *monitor) probe(ctx context.Context) EngineState {
	m.probing <- struct{}{}
	defer func() { <-m.probing }()
	return m.probeLocked(ctx)
}

// probeLocked implements probe. The caller must have put a token into m.probing.
func (m *monitor) probeLocked(ctx context.Context) EngineState {
	info, err := m.client.Info(ctx)
	if errors.Is(err, engine.ErrTimeout) && ctx.Err() == nil {
		// A single silent connection does not prove that the engine is silent,
		// so the request is repeated on a new connection.
		info, err = m.client.Info(ctx)
	}
	switch {
	case ctx.Err() != nil:
		_, s := m.currentBoot()
		return s
	case err == nil:
		m.recordInfo(info)
		return m.setState(EngineUp)
	case errors.Is(err, engine.ErrUnreachable):
		m.endBoot()
		return m.setState(EngineDown)
	default:
		return m.setState(EngineSilent)
	}
}

// recordInfo begins a new run if there is none or if the engine reports another
// boot ID, and otherwise updates the info of the current run.
func (m *monitor) recordInfo(info engine.Info) {
	m.mu.Lock()
	b := m.current
	m.mu.Unlock()
	if b != nil && b.info == info {
		return
	}
	if b != nil && b.info.BootID != info.BootID {
		m.endBoot()
	}
	if b == nil || b.lost() {
		ctx, cancel := context.WithCancelCause(context.Background())
		b = &boot{ctx: ctx, cancel: cancel}
	} else {
		b = &boot{ctx: b.ctx, cancel: b.cancel} // same run with another role or capacity
	}
	b.info = info
	m.mu.Lock()
	m.current = b
	m.mu.Unlock()
	m.callbacks.onBoot(b)
}

// endBoot ends the current run of the engine, if there is one, and counts it as a
// crash.
func (m *monitor) endBoot() {
	m.mu.Lock()
	b := m.current
	m.current = nil
	if b != nil {
		m.crashes++
	}
	m.mu.Unlock()
	if b != nil {
		m.callbacks.onCrash(b)
		b.cancel(errEngineLost)
	}
}

// setState sets and returns the state, and calls onState if it has changed.
func (m *monitor) setState(s EngineState) EngineState {
	m.mu.Lock()
	changed := m.state != s
	m.state = s
	m.mu.Unlock()
	if changed {
		m.callbacks.onState(s)
	}
	return s
}
