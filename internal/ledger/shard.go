package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

const (
	// headWritesPerSecond limits the writes of one shard's head. Two shards stay
	// below 150 writes/s with room for segment writes, and a commit waits at most
	// 15 ms.
	headWritesPerSecond = 68
	// settleDelay is how long a settlement waits for a commit to share its write.
	settleDelay = 50 * time.Millisecond
	// flushTimeout limits the time for writing one batch.
	flushTimeout = 3 * time.Second
	// finalFlushTimeout limits how long the ledger keeps writing after it was told
	// to stop.
	finalFlushTimeout = 2 * time.Second
	// maxSwapRetries is the number of times that a batch is retried after a failed
	// compare-and-swap.
	maxSwapRetries = 20
)

// pendingOp is an operation that waits to be written.
type pendingOp struct {
	op operation
	// ctx ends when no caller waits for the result any more. The operation is then
	// dropped unless it may already have been written.
	ctx    context.Context
	result chan opResult // buffered
	// maybeSent is set when a write that includes the operation may have been
	// sent.
	maybeSent atomic.Bool
}

func newPendingOp(ctx context.Context, o operation) *pendingOp {
	return &pendingOp{op: o, ctx: ctx, result: make(chan opResult, 1)}
}

// shard writes the operations of one shard in batches.
type shard struct {
	store       store
	logger      *log.Logger
	limiter     *rate.Limiter
	index       *segmentIndex
	writes      *atomic.Int64
	clockAnchor clockAnchor

	mu             sync.Mutex
	closed         bool
	queue          []*pendingOp
	settleTimerSet bool
	forceWrite     bool // write the head even without operations
	checkRequested bool // checkTimeouts must read the head
	wake           chan struct{}

	// The fields below are used only by the goroutine of run.
	head             *head
	headIndex        uint64    // index of the head in the service
	headValue        []byte    // encoding of head
	headTime         time.Time // time at which the shard's clock had reached head.clock
	headCurrent      bool      // head is the newest head known to this process
	writtenSpill     *spill    // written segment that the head may not list yet
	unlistedSegments []segmentID
	lastExpiry       Clock // shard clock at the last removal of expired intents
}

func newShard(s store, logger *log.Logger, writes *atomic.Int64) *shard {
	return &shard{
		store:   s,
		logger:  logger,
		limiter: rate.NewLimiter(headWritesPerSecond, 1),
		index:   newSegmentIndex(s),
		writes:  writes,
		wake:    make(chan struct{}, 1),
	}
}

// enqueue passes operations to the writer and returns false if the writer has
// stopped. Commits are written as soon as possible; settlements may wait for
// settleDelay.
func (s *shard) enqueue(list ...*pendingOp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.queue = append(s.queue, list...)
	for _, p := range list {
		if !p.op.isSettlement {
			s.wakeWriter()
			return true
		}
	}
	if !s.settleTimerSet {
		s.settleTimerSet = true
		time.AfterFunc(settleDelay, s.wakeWriter)
	}
	return true
}

func (s *shard) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// requestCheck makes the writer check for timed-out intents. With write set, it
// also makes the writer write the head without any operation, so that the shard's
// clock advances and old keys expire.
func (s *shard) requestCheck(write bool) {
	s.mu.Lock()
	s.checkRequested = true
	s.forceWrite = s.forceWrite || write
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *shard) takeQueue() (batch []*pendingOp, forceWrite bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch, forceWrite = s.queue, s.forceWrite
	s.queue, s.settleTimerSet, s.forceWrite = nil, false, false
	return batch, forceWrite
}

// run writes batches until ctx ends, and then the operations that are left in the
// queue.
func (s *shard) run(ctx context.Context) {
	// Reading the head early starts the clock after which intents of dead entries
	// become unknown.
	_ = s.readHead(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.wake:
			// An error means that ctx ended.
			_ = s.limiter.Wait(ctx)
			s.checkTimeouts(ctx)
			s.flush(context.WithoutCancel(ctx), flushTimeout)
		}
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.flush(context.WithoutCancel(ctx), finalFlushTimeout)
}

func (s *shard) flush(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	batch, forceWrite := s.takeQueue()
	if len(batch) == 0 && !forceWrite {
		return
	}
	if remaining, err := s.commitBatch(ctx, batch, forceWrite); err != nil {
		s.headCurrent = false
		s.failBatch(remaining, err)
		return
	}
	s.afterWrite(ctx)
}

// dropAbandoned returns the operations whose callers still wait for the result and
// drops the others, so that a call that was rejected is not recorded later.
func dropAbandoned(batch []*pendingOp) []*pendingOp {
	var active []*pendingOp
	for _, p := range batch {
		if p.ctx.Err() == nil {
			active = append(active, p)
			continue
		}
		p.result <- p.failure()
	}
	return active
}

func (p *pendingOp) failure() opResult {
	if p.maybeSent.Load() {
		return opResult{verdict: Undetermined}
	}
	return opResult{verdict: StoreUnavailable}
}

// commitBatch applies the batch to the head until a compare-and-swap succeeds or
// no change is needed. When an acknowledgement is lost, the write may still take
// effect later. Only a head with a newer index proves that it will not, so the
// loop writes again at the same index, where at most one of the two writes can
// win. On failure, it returns the operations that are still waiting.
func (s *shard) commitBatch(ctx context.Context, batch []*pendingOp, forceWrite bool) ([]*pendingOp, error) {
	headRead := false
	for n := 0; ; n++ {
		if n > 0 && s.limiter.Wait(ctx) != nil || n > maxSwapRetries {
			return batch, errors.Errorf("shard %d: head not written after %d attempts", s.store.shard, n)
		}
		batch = dropAbandoned(batch)
		if !s.headCurrent {
			if err := s.readHead(ctx); err != nil {
				return batch, err
			}
			headRead = true
		}
		next, results, changed, err := s.applyBatch(ctx, batch)
		switch {
		case errors.Is(err, errStaleHead):
		case err != nil:
			return batch, err
		case !changed && !forceWrite && headRead:
			deliverResults(batch, results)
			return nil, nil
		case !changed && !forceWrite:
			// The cached head may be outdated, so a rejection based on it is
			// checked against a fresh one.
		case s.swapHead(ctx, next, batch):
			deliverResults(batch, results)
			return nil, nil
		}
		s.headCurrent = false
	}
}

// failBatch reports to the waiting callers that their operations failed.
func (s *shard) failBatch(batch []*pendingOp, err error) {
	s.logger.Warn("ledger batch failed", "shard", s.store.shard, "operations", len(batch), "err", err)
	for _, p := range batch {
		p.result <- p.failure()
	}
}

func deliverResults(batch []*pendingOp, results []opResult) {
	for n, p := range batch {
		p.result <- results[n]
	}
}
