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
	maxWait time.Duration

	granted chan grant   // receives at most one
	refused chan refusal // receives at most one

	work engineWork
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

// cleanupOnce runs an end once; everybody else who asks for it waits until it is
// over. Waiting is on a channel, so that virtual time goes on in tests.
type cleanupOnce struct {
	started atomic.Bool
	done    chan struct{}
}

func newCleanupOnce() *cleanupOnce { return &cleanupOnce{done: make(chan struct{})} }

func (c *cleanupOnce) do(f func()) {
	if !c.started.CompareAndSwap(false, true) {
		<-c.done
		return
	}
	defer close(c.done)
	f()
}

// engineWork tracks what the engine may hold for a claim, so that it is freed once
// and only after the calls that could still take memory have returned.
type engineWork struct {
	mu          sync.Mutex
	closed      bool
	boot        *boot  // life of the engine that may hold memory; nil when none does
	requestID   string // the engine's request id
	handle      string // set while a prefill output is held
	submissions int
	engineDied  bool // the engine died while it may have held something
	calls       sync.WaitGroup
	// interrupt ends a call whose answer seems lost; misses counts the sweeps
	// that say so.
	abortCall    func()
	missedSweeps int
}

// errResponseLost reports that the engine has ended a call, or does not know it,
// while the answer is still missing: the connection has gone silent.
var errResponseLost = errors.New("the connection to the engine went silent; the call is given up")

// maxMissedSweeps is the number of sweeps in a row after which a call is given up. One
// can see a call before the engine does, or an answer that is on its way.
const maxMissedSweeps = 2

// setAbort names what ends the call that runs now; nil when none does.
func (w *engineWork) setAbort(abort func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortCall, w.missedSweeps = abort, 0
}

// checkListed compares a running prefill with the phase in which the engine lists it,
// "" when it does not.
func (w *engineWork) checkListed(phase engine.Phase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abortCall == nil || phase == engine.PhasePrefill {
		w.missedSweeps = 0
		return
	}
	w.missedSweeps++
	if w.missedSweeps == maxMissedSweeps {
		w.abortCall()
	}
}

// beginCall announces a call that may take engine memory. It fails once the claim
// has ended. The caller calls w.calls.Done when the call has returned.
func (w *engineWork) beginCall(b *boot, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.calls.Add(1)
	w.boot, w.requestID, w.handle = b, id, ""
	return true
}

// setHandle records that the engine keeps a prefill output.
func (w *engineWork) setHandle(handle string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handle = handle
}

// markFreed records that the engine holds nothing any more.
func (w *engineWork) markFreed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot, w.handle = nil, ""
}

// nextRequestID returns a fresh engine request id for a repeated call of the same
// attempt, so that a late effect of the first cannot be taken for the second.
func (w *engineWork) nextRequestID(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.submissions++
	if w.submissions == 1 {
		return id
	}
	return fmt.Sprintf("%s.%d", id, w.submissions)
}

// lastRequestID returns the engine request id of the last call, or "".
func (w *engineWork) lastRequestID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requestID
}

// mayHold reports whether the engine may hold memory under this request id.
func (w *engineWork) mayHold(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot != nil && w.requestID == id
}

// close forbids further calls.
func (w *engineWork) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// free frees what the engine holds and reports whether that is confirmed. No
// call may be running. life bounds the retries.
func (w *engineWork) free(ctx context.Context, client engine.Client) bool {
	w.mu.Lock()
	b, id, handle := w.boot, w.requestID, w.handle
	w.mu.Unlock()
	if b == nil {
		return true
	}
	confirmed := false
	if handle != "" {
		confirmed = retryUntilConfirmed(ctx, b, func(ctx context.Context) error { return client.Release(ctx, handle) })
	} else {
		confirmed = cancelRequest(ctx, b, client, id)
	}
	if confirmed {
		w.recordLoss(b)
		w.markFreed()
	}
	return confirmed
}

func (w *engineWork) recordLoss(b *boot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineDied = w.engineDied || b.lost()
}

// engineLost reports whether the engine died before it had freed everything.
func (w *engineWork) engineLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engineDied
}

// waitReportInterval is how often the wait estimate of a queued claim is looked at,
// and reportChange the least change that is worth a frame.
const (
	waitReportInterval = 250 * time.Millisecond
	minWaitChange      = 50 * time.Millisecond
)

// awaitTurn waits until a claim is granted or refused, and reports the estimated
// wait whenever it changed. It returns neither when ctx ends first.
func (c *claim) awaitTurn(ctx context.Context, estimate func() time.Duration, report func(time.Duration)) (*grant, *refusal) {
	select {
	case g := <-c.granted:
		return &g, nil
	default:
	}
	reported := estimate()
	report(reported)
	ticker := time.NewTicker(waitReportInterval)
	defer ticker.Stop()
	var expired <-chan time.Time
	if c.maxWait > 0 {
		timer := time.NewTimer(c.maxWait)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil, nil
		case g := <-c.granted:
			return &g, nil
		case r := <-c.refused:
			return nil, &r
		case <-expired:
			// Its estimate was wrong. Whoever waits beyond the limit would take
			// the place of those that can still meet their target.
			return nil, refusalOverloaded(estimate())
		case <-ticker.C:
			if current := estimate(); (current - reported).Abs() >= max(minWaitChange, reported/10) {
				reported = current
				report(reported)
			}
		}
	}
}
