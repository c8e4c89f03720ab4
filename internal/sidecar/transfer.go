package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// transferConcurrency is the number of imports that share the link. With two,
	// one uses the link while the other is set up. With more, each would take
	// longer than the short time for which the source holds the output.
	transferConcurrency = 2
	// transferSetupTime is the allowance for setting up the connection.
	transferSetupTime = 100 * time.Millisecond
	// transferTimeoutFactor allows for other imports that share the source's link.
	// The timeout must be short: the source holds the output for less than a
	// second, in which a stalled import must be given up and repeated.
	transferTimeoutFactor = 2
	// defaultLinkRate, in bytes/s, applies if the engine does not report its rate.
	defaultLinkRate = 1e9
)

// TransferScheduler limits the number of imports that share a decode engine's link
// and computes the timeout of each from its size. Imports start in order of arrival.
type TransferScheduler struct {
	mu      sync.Mutex
	limit   int
	rate    float64
	active  int
	waiting []chan struct{}
	stalled int
	done    int
}

// NewTransferScheduler returns a scheduler that runs at most limit imports at once
// on a link with the given rate in bytes/s.
func NewTransferScheduler(limit int, rate float64) *TransferScheduler {
	t := &TransferScheduler{limit: limit}
	t.SetRate(rate)
	return t
}

// SetRate sets the link's rate in bytes/s. A rate that is not positive selects the
// default.
func (t *TransferScheduler) SetRate(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate <= 0 {
		rate = defaultLinkRate
	}
	t.rate = rate
}

// Deadline returns how long an import of this size may take after Acquire.
func (t *TransferScheduler) Deadline(bytes int64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	transferSeconds := float64(bytes) * float64(t.limit) / t.rate
	return transferSetupTime + time.Duration(transferTimeoutFactor*transferSeconds*float64(time.Second))
}

// Acquire waits until an import may use the link. The caller must call Release
// after the import.
func (t *TransferScheduler) Acquire(ctx context.Context) error {
	t.mu.Lock()
	if t.active < t.limit {
		t.active++
		t.mu.Unlock()
		return nil
	}
	admitted := make(chan struct{})
	t.waiting = append(t.waiting, admitted)
	t.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		t.abandon(admitted)
		return context.Cause(ctx)
	}
}

// abandon removes a waiting import. If the import was admitted meanwhile, the next
// one is admitted instead.
func (t *TransferScheduler) abandon(admitted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, admitted); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.admitNext()
}

// Release ends an import and admits the next one. stalled reports that the import
// timed out.
func (t *TransferScheduler) Release(stalled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stalled {
		t.stalled++
	} else {
		t.done++
	}
	t.admitNext()
}

func (t *TransferScheduler) admitNext() {
	if len(t.waiting) == 0 {
		t.active--
		return
	}
	close(t.waiting[0])
	t.waiting = t.waiting[1:]
}

// TransferState is the part of the state dump about transfers.
type TransferState struct {
	Active  int `json:"active"`
	Waiting int `json:"waiting"`
	Done    int `json:"done"`
	Stalled int `json:"stalled"`
}

// State returns the numbers of running, waiting and ended imports.
func (t *TransferScheduler) State() TransferState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TransferState{Active: t.active, Waiting: len(t.waiting), Done: t.done, Stalled: t.stalled}
}
