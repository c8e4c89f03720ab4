// Package engine is a stand-in for a model engine with the HTTP API of
// docs/engine-api.md. It simulates continuous batching, chunked memory, a prefix
// cache, prefill outputs that are evicted early, transfers over rate-limited
// links, and faults. Package costmodel defines its costs.
//
// The end of a connection does not end the request that was made over it. Only
// /v1/cancel, the end of the work, an eviction or a crash frees its memory.
package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
	"github.com/fescueslip/fescueslip/internal/standin/server"
)

// Defaults of Options.
const (
	DefaultLoadLag           = 500 * time.Millisecond
	DefaultEventLag          = 300 * time.Millisecond
	DefaultPoisonDelay       = 100 * time.Millisecond
	DefaultCrashDowntime     = 2 * time.Second
	DefaultMaxQueuedPrefills = 64
)

// SlowFactor is the factor by which the fault kind "slow" multiplies the time of
// all computation.
const SlowFactor = 4

// Options configures an Engine. Zero values select the defaults.
type Options struct {
	Name     string
	Listener net.Listener
	// Relisten reopens the listener after a crash; see server.Options.
	Relisten func() (net.Listener, error)
	// Dial connects to the source of an import; nil selects TCP.
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Params costmodel.Params
	Role   Role
	// Journal is shared by the engines of one process. Nil selects a private one;
	// the engine then counts a prefill output as useful once it has been
	// transferred, because it does not see the decode.
	Journal *Journal
	// CheckFencing makes the engine reject orders with an old fencing token.
	CheckFencing bool
	// Models lists the models that are loaded at the start. When it is empty, every
	// model is loaded.
	Models []string
	// WeightsURL is the weight store that load_model orders read from. When it is
	// empty, models load at once.
	WeightsURL string
	LoadLag    time.Duration
	EventLag   time.Duration
	// DropEventEvery drops every n-th cache event; 0 drops none.
	DropEventEvery int
	// MaxQueuedPrefills bounds the prefill queue; beyond it the engine is busy.
	MaxQueuedPrefills int
	// PoisonMarker is a text that crashes the engine when a prompt contains it,
	// PoisonDelay after the start of the prompt's prefill or decode.
	// PoisonDecodeMarker does so in decodes only.
	PoisonMarker       string
	PoisonDecodeMarker string
	PoisonDelay        time.Duration
	// CrashDowntime is how long the engine is unreachable after a crash whose
	// duration is not given, such as that of a poison request.
	CrashDowntime time.Duration
}

// Counters holds the counters and gauges of an engine. Crashes do not reset
// PrefillTokens, WastedPrefillTokens and Boots.
type Counters struct {
	HeldTokens          int `json:"held_tokens"`
	Running             int `json:"running"`
	PrefillTokens       int `json:"prefill_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	Boots               int `json:"boots"`
}

// Engine is a running stand-in engine. New starts it.
type Engine struct {
	opts    Options
	params  costmodel.Params
	journal *Journal
	server  *server.Server
	client  *http.Client
	// pendingCrashes counts the goroutines that crash the engine after PoisonDelay.
	pendingCrashes sync.WaitGroup
	crashMu        sync.Mutex // serializes crashes

	mu            sync.Mutex
	boot          *boot
	boots         int
	prefillTokens int
	slowFactor    float64
	slowTimer     *time.Timer
	stallEnded    chan struct{} // closed when the stall ends; nil when there is none
	stallTimer    *time.Timer
	closed        bool
}

// New starts an engine on its listener.
func New(opts Options) *Engine {
	opts.setDefaults()
	e := &Engine{opts: opts, params: opts.Params, journal: opts.Journal, slowFactor: 1}
	if e.journal == nil {
		e.journal = NewJournal()
	}
	e.client = &http.Client{Transport: &http.Transport{
		DialContext: opts.Dial,
		// A new transfer must not wait behind a stalled one on the same connection.
		DisableKeepAlives: true,
	}}
	// The loops of the first boot use the server and the server's handlers use the
	// boot, so both are created under the lock.
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server.New(server.Options{Listener: opts.Listener, Relisten: opts.Relisten, Handler: e.routes()})
	e.startBootLocked()
	return e
}

func (o *Options) setDefaults() {
	if o.Params.Slots == 0 {
		o.Params = costmodel.Default()
	}
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.EventLag, DefaultEventLag)
	setDefault(&o.PoisonDelay, DefaultPoisonDelay)
	setDefault(&o.CrashDowntime, DefaultCrashDowntime)
	setDefault(&o.MaxQueuedPrefills, DefaultMaxQueuedPrefills)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Addr returns the address of the listener.
func (e *Engine) Addr() net.Addr { return e.server.Addr() }

// Name returns the engine's name.
func (e *Engine) Name() string { return e.opts.Name }

// Journal returns the journal that records the engine's executions.
func (e *Engine) Journal() *Journal { return e.journal }

// Counters returns the engine's present counters, exact and without lag.
func (e *Engine) Counters() Counters {
	wasted := e.journal.WastedTokens(e.opts.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counters{
		HeldTokens:          e.boot.usedChunks * e.params.ChunkTokens,
		Running:             len(e.boot.running),
		PrefillTokens:       e.prefillTokens,
		WastedPrefillTokens: wasted,
		Boots:               e.boots,
	}
}

// startBootLocked starts the engine with a new boot ID and empty memory.
func (e *Engine) startBootLocked() {
	e.boots++
	b := newBoot(e)
	b.id = fmt.Sprintf("%s-%x-%d", e.opts.Name, time.Now().UnixNano(), e.boots)
	e.boot = b
	b.loops.Go(func() { e.prefillLoop(b) })
	b.loops.Go(func() { e.decodeLoop(b) })
}

// Close stops the engine and waits until its goroutines have ended.
func (e *Engine) Close() error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil
	}
	e.closed = true
	b := e.boot
	e.endStallLocked()
	if e.slowTimer != nil {
		e.slowTimer.Stop()
	}
	e.mu.Unlock()
	b.cancel()
	b.loops.Wait()
	e.mu.Lock()
	b.endAllRequestsLocked(OutcomeCrashed)
	e.mu.Unlock()
	err := e.server.Close()
	e.pendingCrashes.Wait()
	e.client.CloseIdleConnections()
	return err
}

// sleep waits for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// simulateCompute waits for d in place of a computation. The faults "slow" and
// "pause" extend the wait. It returns the fraction of the computation that was
// done before ctx ended.
func (e *Engine) simulateCompute(ctx context.Context, d time.Duration) float64 {
	if e.server.WaitWhilePaused(ctx) != nil {
		return 0
	}
	e.mu.Lock()
	d = time.Duration(float64(d) * e.slowFactor)
	e.mu.Unlock()
	if d <= 0 {
		return 1
	}
	start := time.Now()
	if !sleep(ctx, d) {
		return min(1, float64(time.Since(start))/float64(d))
	}
	_ = e.server.WaitWhilePaused(ctx)
	return 1
}
