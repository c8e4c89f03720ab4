// Package engine is a stand-in for a model engine with the HTTP API of
// docs/engine-api.md: continuous batching, chunked memory, a prefix cache,
// prefill outputs that are evicted early, transfers over rate-limited links,
// and faults. Its costs are those of package costmodel.
//
// An engine doesn't stop a request when the connection that asked for it ends;
// only /v1/cancel, the end of the work, an eviction or a crash frees memory.
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
	DefaultLoadLag       = 500 * time.Millisecond
	DefaultEventLag      = 300 * time.Millisecond
	DefaultPoisonWait    = 100 * time.Millisecond
	DefaultCrashDowntime = 2 * time.Second
	DefaultQueueLimit    = 64
)

// SlowFactor is the factor of the fault kind slow.
const SlowFactor = 4

// Options configure an Engine. Zero values select the defaults.
type Options struct {
	Name     string
	Listener net.Listener
	// Relisten opens the listener again after a crash; see server.Options.
	Relisten func() (net.Listener, error)
	// Dial connects to the source of an import; nil selects TCP.
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Params costmodel.Params
	Role   Role
	// Journal is shared by the engines of one process; nil selects a private
	// one, which takes a prefill output for useful once it has been transferred.
	Journal *Journal
	// CheckFencing makes the engine refuse orders with an old fencing token.
	CheckFencing bool
	// Models are loaded from the start; when there are none, every model is.
	Models []string
	// WeightsURL is the weight store that load_model orders read; empty loads at once.
	WeightsURL string
	LoadLag    time.Duration
	EventLag   time.Duration
	// DropEventEvery loses every n-th cache event; 0 loses none.
	DropEventEvery int
	QueueLimit     int // prefills that wait; above it the engine is busy
	// Poison is a text in a prompt that crashes the engine PoisonWait after it
	// starts the prompt's prefill or decode; PoisonDecode does so in decodes only.
	PoisonMarker       string
	PoisonDecodeMarker string
	PoisonWait         time.Duration
	// CrashDown is how long the engine is down after a poison request.
	CrashDown time.Duration
}

// Counters are the figures of an engine. The token counts outlast crashes.
type Counters struct {
	HeldTokens          int `json:"held_tokens"`
	Running             int `json:"running"`
	PrefillTokens       int `json:"prefill_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	Boots               int `json:"boots"`
}

// Engine is a running stand-in. New starts it.
type Engine struct {
	opts    Options
	params  costmodel.Params
	journal *Journal
	server  *server.Server
	client  *http.Client
	// background counts crashes that poison requests have under way.
	background sync.WaitGroup
	crashing   sync.Mutex // serializes crashes

	mu            sync.Mutex
	boot          *boot
	boots         int
	prefillTokens int
	slow          float64
	slowTimer     *time.Timer
	stalled       chan struct{} // closed when the stall ends; nil when there is none
	stallTimer    *time.Timer
	closed        bool
}

// New starts an engine on its listener.
func New(opts Options) *Engine {
	opts.setDefaults()
	e := &Engine{opts: opts, params: opts.Params, journal: opts.Journal, slow: 1}
	if e.journal == nil {
		e.journal = NewJournal()
	}
	e.client = &http.Client{Transport: &http.Transport{
		DialContext: opts.Dial,
		// A stalled transfer must not hold up the next one's connection.
		DisableKeepAlives: true,
	}}
	// The loops of the first boot use the server, so it is created under the lock.
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server.New(server.Options{Listener: opts.Listener, Relisten: opts.Relisten, Handler: e.routes()})
	e.startLocked()
	return e
}

func (o *Options) setDefaults() {
	if o.Params.Slots == 0 {
		o.Params = costmodel.Default()
	}
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.EventLag, DefaultEventLag)
	setDefault(&o.PoisonWait, DefaultPoisonWait)
	setDefault(&o.CrashDown, DefaultCrashDowntime)
	setDefault(&o.QueueLimit, DefaultQueueLimit)
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

// Journal returns the record of executions.
func (e *Engine) Journal() *Journal { return e.journal }

// Counters returns the engine's figures, exact and without lag.
func (e *Engine) Counters() Counters {
	wasted := e.journal.WastedTokens(e.opts.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counters{
		HeldTokens:          e.boot.used * e.params.ChunkTokens,
		Running:             len(e.boot.running),
		PrefillTokens:       e.prefillTokens,
		WastedPrefillTokens: wasted,
		Boots:               e.boots,
	}
}

func (e *Engine) startLocked() {
	e.boots++
	b := newBoot(e)
	b.id = fmt.Sprintf("%s-%x-%d", e.opts.Name, time.Now().UnixNano(), e.boots)
	e.boot = b
	b.loops.Go(func() { e.prefillLoop(b) })
	b.loops.Go(func() { e.decodeLoop(b) })
}

// Close stops the engine and returns when nothing of it runs any more.
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
	b.endAllLocked(OutcomeCrashed)
	e.mu.Unlock()
	err := e.server.Close()
	e.background.Wait()
	e.client.CloseIdleConnections()
	return err
}

// sleep waits for d and reports whether it did so before ctx ended.
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

// compute spends d of the engine's time. It reports the part of d that passed
// before ctx ended.
func (e *Engine) compute(ctx context.Context, d time.Duration) float64 {
	if e.server.Gate(ctx) != nil {
		return 0
	}
	e.mu.Lock()
	d = time.Duration(float64(d) * e.slow)
	e.mu.Unlock()
	if d <= 0 {
		return 1
	}
	start := time.Now()
	if !sleep(ctx, d) {
		return min(1, float64(time.Since(start))/float64(d))
	}
	_ = e.server.Gate(ctx)
	return 1
}
