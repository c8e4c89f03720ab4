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

// grant permits a claim to use the engine. freeIn is the predicted time until its
// slot and chunks are free.
type grant struct{ freeIn time.Duration }

// claim tracks one attempt from its first frame until the engine has freed
// everything that it held for the attempt.
type claim struct {
	id          string // the engine's request id, "<request>/<attempt>"
	request     string
	attempt     uint32
	model       string
	caller      string
	share       float64
	fingerprint fingerprint
	suspect     bool
	cost        float64 // estimated, in prompt tokens
	item        *fairqueue.Item
	// maxWait is how long the claim may wait for its grant; 0 sets no limit.
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

// refuse passes a refusal to the claim's session. Later refusals are dropped.
func (c *claim) refuse(r refusal) {
	select {
	case c.refused <- r:
	default:
	}
}

// cleanupOnce runs a cleanup once; other callers wait until it has finished. They
// wait on a channel and not on a mutex as sync.Once does, because the virtual time
// of tests does not advance while a goroutine waits on a mutex.
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

// engineWork tracks what the engine may hold for a claim, so that it is freed
// exactly once, after all calls that could still allocate memory have returned.
type engineWork struct {
	mu          sync.Mutex
	closed      bool
	boot        *boot  // run of the engine that may hold memory; nil if none does
	requestID   string // request id of the last call to the engine
	handle      string // set while a prefill output is held
	submissions int
	engineDied  bool // the engine died while it may have held something
	calls       sync.WaitGroup
	// abortCall aborts a call whose response seems lost. missedSweeps counts
	// the consecutive sweeps in which the engine did not list the call as running.
	abortCall    func()
	missedSweeps int
}

// errResponseLost reports that the engine has finished a call, or does not know
// it, but the response is missing: the connection has gone silent.
var errResponseLost = errors.New("the connection to the engine went silent; the call is given up")

// maxMissedSweeps is the number of consecutive sweeps after which a call is
// aborted. One sweep is not enough: it may precede the arrival of the call at the
// engine, or the response may still be in transit.
const maxMissedSweeps = 2

// setAbort sets the function that aborts the running call; nil if no call runs.
func (w *engineWork) setAbort(abort func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortCall, w.missedSweeps = abort, 0
}

// checkListed takes the phase in which the engine lists the last call, or "" if it
// does not list it. It aborts a running prefill that was not listed as such in
// maxMissedSweeps consecutive sweeps.
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

// beginCall registers a call that may allocate engine memory. It returns false
// after close. Otherwise the caller must call w.calls.Done when the call returns.
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

// setHandle records that the engine holds a prefill output under handle.
func (w *engineWork) setHandle(handle string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handle = handle
}

// markFreed records that the engine no longer holds anything for the claim.
func (w *engineWork) markFreed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot, w.handle = nil, ""
}

// nextRequestID returns a new engine request id for each import of the same
// attempt, so that a late effect of an earlier import is not attributed to a later
// one. The first id is the id of the claim.
func (w *engineWork) nextRequestID(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.submissions++
	if w.submissions == 1 {
		return id
	}
	return fmt.Sprintf("%s.%d", id, w.submissions)
}

// lastRequestID returns the engine request id of the last call, or "" if there was
// none.
func (w *engineWork) lastRequestID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requestID
}

// mayHold reports whether the engine may hold memory under the given request id.
func (w *engineWork) mayHold(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot != nil && w.requestID == id
}

// close makes beginCall fail from now on.
func (w *engineWork) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// free frees what the engine holds and reports whether the engine confirmed it. No
// call may be running. It retries until ctx ends.
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

// recordLoss records whether the engine's run b ended before the engine freed
// everything.
func (w *engineWork) recordLoss(b *boot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engineDied = w.engineDied || b.lost()
}

// engineLost reports whether the engine died before it freed everything.
func (w *engineWork) engineLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engineDied
}

// waitReportInterval is how often the wait of a queued claim is estimated again.
// minWaitChange is the minimum change of the estimate that is sent to the entry.
const (
	waitReportInterval = 250 * time.Millisecond
	minWaitChange      = 50 * time.Millisecond
)

// awaitTurn waits until the claim is granted or refused and reports the estimated
// wait first and whenever it changes. It returns neither if ctx ends before.
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
			// The estimate at admission was too low. A claim that waits beyond
			// the limit would take capacity from claims that can still meet
			// their target.
			return nil, refusalOverloaded(estimate())
		case <-ticker.C:
			if current := estimate(); (current - reported).Abs() >= max(minWaitChange, reported/10) {
				reported = current
				report(reported)
			}
		}
	}
}
