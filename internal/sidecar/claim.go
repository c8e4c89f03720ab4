package sidecar

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// grant tells that a claim has its turn.
type grant struct{ freeIn time.Duration }

// claim is one attempt's use of the engine, from its first frame until the
// engine has freed everything.
type claim struct {
	id          string // the engine's request id, "<request>/<attempt>"
	request     string
	attempt     uint32
	model       string
	caller      string
	share       float64
	fingerprint fingerprint
	suspect     bool
	cost        float64 // estimated, in cost tokens
	item        *fairqueue.Item
	// overdue is how long the claim may wait for its turn; 0 sets no limit.
	overdue time.Duration

	granted chan grant   // receives at most one
	refused chan refusal // receives at most one

	work work
}

func newClaim(request string, attempt uint32, caller string, share float64, fp []byte, suspect bool) claim {
	return claim{
		id:          fmt.Sprintf("%s/%d", request, attempt),
		request:     request,
		attempt:     attempt,
		caller:      caller,
		share:       share,
		fingerprint: fingerprint(fp),
		suspect:     suspect,
		granted:     make(chan grant, 1),
		refused:     make(chan refusal, 1),
	}
}

// refuse tells the claim's session; only the first refusal counts.
func (c *claim) refuse(r refusal) {
	select {
	case c.refused <- r:
	default:
	}
}

// ending runs an end once; everybody else who asks for it waits until it is
// over. Waiting is on a channel, so that virtual time goes on in tests.
type ending struct {
	begun atomic.Bool
	over  chan struct{}
}

func newEnding() *ending { return &ending{over: make(chan struct{})} }

func (e *ending) run(f func()) {
	if !e.begun.CompareAndSwap(false, true) {
		<-e.over
		return
	}
	defer close(e.over)
	f()
}

// work tracks what the engine may hold for a claim, so that it is freed once
// and only after the calls that could still take memory have returned.
type work struct {
	mu     sync.Mutex
	ended  bool
	boot   *boot  // life of the engine that may hold memory; nil when none does
	id     string // the engine's request id
	handle string // set while a prefill output is held
	tries  int
	lost   bool // the engine died while it may have held something
	calls  sync.WaitGroup
	// interrupt ends a call whose answer seems lost; misses counts the sweeps
	// that say so.
	interrupt func()
	misses    int
}

// errAnswerLost reports that the engine has ended a call, or does not know it,
// while the answer is still missing: the connection has gone silent.
var errAnswerLost = errors.New("the connection to the engine went silent; the call is given up")

// maxMisses is the number of sweeps in a row after which a call is given up. One
// can see a call before the engine does, or an answer that is on its way.
const maxMisses = 2

// watch names what ends the call that runs now; nil when none does.
func (w *work) watch(interrupt func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt, w.misses = interrupt, 0
}

// seen compares a running prefill with the phase in which the engine lists it,
// "" when it does not.
func (w *work) seen(phase engine.Phase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt == nil || phase == engine.PhasePrefill {
		w.misses = 0
		return
	}
	w.misses++
	if w.misses == maxMisses {
		w.interrupt()
	}
}

// begin announces a call that may take engine memory. It fails once the claim
// has ended. The caller calls w.calls.Done when the call has returned.
func (w *work) begin(b *boot, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	w.calls.Add(1)
	w.boot, w.id, w.handle = b, id, ""
	return true
}

// hold records that the engine keeps a prefill output.
func (w *work) hold(handle string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handle = handle
}

// cleared records that the engine holds nothing any more.
func (w *work) cleared() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot, w.handle = nil, ""
}

// nextID returns a fresh engine request id for a repeated call of the same
// attempt, so that a late effect of the first cannot be taken for the second.
func (w *work) nextID(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries++
	if w.tries == 1 {
		return id
	}
	return fmt.Sprintf("%s.%d", id, w.tries)
}

// lastID returns the engine request id of the last call, or "".
func (w *work) lastID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// holds reports whether the engine may hold memory under this request id.
func (w *work) holds(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot != nil && w.id == id
}

// end forbids further calls.
func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

// free frees what the engine holds and reports whether that is confirmed. No
// call may be running. life bounds the retries.
func (w *work) free(life context.Context, c engine.Client) bool {
	w.mu.Lock()
	b, id, handle := w.boot, w.id, w.handle
	w.mu.Unlock()
	if b == nil {
		return true
	}
	ok := false
	if handle != "" {
		ok = confirm(life, b, func(ctx context.Context) error { return c.Release(ctx, handle) })
	} else {
		ok = cancelRequest(life, b, c, id)
	}
	if ok {
		w.noteLost(b)
		w.cleared()
	}
	return ok
}

func (w *work) noteLost(b *boot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = w.lost || b.lost()
}

// engineLost reports whether the engine died before it had freed everything.
func (w *work) engineLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// reportInterval is how often the wait estimate of a queued claim is looked at,
// and reportChange the least change that is worth a frame.
const (
	reportInterval = 250 * time.Millisecond
	reportChange   = 50 * time.Millisecond
)

// awaitTurn waits until a claim is granted or refused, and reports the estimated
// wait whenever it changed. It returns neither when ctx ends first.
func (c *claim) awaitTurn(ctx context.Context, estimate func() time.Duration, report func(time.Duration)) (*grant, *refusal) {
	select {
	case g := <-c.granted:
		return &g, nil
	default:
	}
	told := estimate()
	report(told)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var overdue <-chan time.Time
	if c.overdue > 0 {
		timer := time.NewTimer(c.overdue)
		defer timer.Stop()
		overdue = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil, nil
		case g := <-c.granted:
			return &g, nil
		case r := <-c.refused:
			return nil, &r
		case <-overdue:
			// Its estimate was wrong. Whoever waits beyond the limit would take
			// the place of those that can still meet their target.
			return nil, overloaded(estimate())
		case <-tick.C:
			if now := estimate(); (now - told).Abs() >= max(reportChange, told/10) {
				told = now
				report(told)
			}
		}
	}
}
