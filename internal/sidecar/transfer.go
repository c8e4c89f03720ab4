package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// transferConcurrency is the number of imports that share the link. Two keep
	// it busy while one of them is set up; more would lengthen each of them
	// beyond the short time for which the source holds the output.
	transferConcurrency = 2
	// transferSetupTime allows for setting up the connection.
	transferSetupTime = 100 * time.Millisecond
	// transferTimeoutFactor allows for the source's link, which other imports share. A
	// stalled import must be given up early enough for a second one while the
	// source holds the output, which is less than a second.
	transferTimeoutFactor = 2
	// defaultLinkRate in bytes/s applies when the engine does not tell its rate.
	defaultLinkRate = 1e9
)

// TransferScheduler bounds the imports that share a decode engine's link and
// derives the deadline of each from its size. Imports start in order of arrival.
type TransferScheduler struct {
	mu      sync.Mutex
	limit   int
	rate    float64
	active  int
	waiting []chan struct{}
	stalled int
	done    int
}

// NewTransferScheduler returns a scheduler for a link with rate bytes/s.
func NewTransferScheduler(limit int, rate float64) *TransferScheduler {
	t := &TransferScheduler{limit: limit}
	t.SetRate(rate)
	return t
}

// SetRate sets the link's rate in bytes/s.
func (t *TransferScheduler) SetRate(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate <= 0 {
		rate = defaultLinkRate
	}
	t.rate = rate
}

// Deadline returns how long an import of this size may take once it runs.
func (t *TransferScheduler) Deadline(bytes int64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	transferSeconds := float64(bytes) * float64(t.limit) / t.rate
	return transferSetupTime + time.Duration(transferTimeoutFactor*transferSeconds*float64(time.Second))
}

// Acquire waits for a place on the link; the holder calls Release.
func (t *TransferScheduler) Acquire(ctx context.Context) error {
	t.mu.Lock()
	if t.active < t.limit {
		t.active++
		t.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	t.waiting = append(t.waiting, turn)
	t.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		t.abandon(turn)
		return context.Cause(ctx)
	}
}

// abandon leaves the line, or passes on a place that was given meanwhile.
func (t *TransferScheduler) abandon(turn chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, turn); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.admitNext()
}

// Release gives the place to the next in line.
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

// TransferState is the scheduler's part of the state dump.
type TransferState struct {
	Active  int `json:"active"`
	Waiting int `json:"waiting"`
	Done    int `json:"done"`
	Stalled int `json:"stalled"`
}

// State returns the counts.
func (t *TransferScheduler) State() TransferState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TransferState{Active: t.active, Waiting: len(t.waiting), Done: t.done, Stalled: t.stalled}
}
