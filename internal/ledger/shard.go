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
	// headWritesPerSecond bounds the writes of one shard. Two shards stay under
	// 150 writes/s with room for segments, and a commit waits at most 15 ms.
	headWritesPerSecond = 68
	// settleDelay lets a settlement wait for the next commit to share its write.
	settleDelay = 50 * time.Millisecond
	// flushTimeout bounds how long one batch is tried.
	flushTimeout = 3 * time.Second
	// finalFlush bounds the writes after the ledger was told to stop.
	finalFlush = 2 * time.Second
	// maxSwaps bounds the lost compare-and-swaps of one batch.
	maxSwaps = 20
)

// pending is an operation that waits for its write.
type pending struct {
	op operation
	// ctx ends when nobody waits for the result any more; the operation is
	// dropped unless it has been written already.
	ctx    context.Context
	result chan outcome // buffered
	// exposed is set when a write with the operation may have been sent.
	exposed atomic.Bool
}

func newPending(ctx context.Context, o operation) *pending {
	return &pending{op: o, ctx: ctx, result: make(chan outcome, 1)}
}

// shard writes the operations of one shard in batches.
type shard struct {
	store   store
	logger  *log.Logger
	limiter *rate.Limiter
	index   *segmentIndex
	writes  *atomic.Int64
	anchor  anchor

	mu     sync.Mutex
	closed bool
	queue  []*pending
	armed  bool
	touch  bool // write even without operations
	look   bool // observe the head
	wake   chan struct{}

	// The fields below belong to the goroutine of run.
	head      *head
	headAt    uint64    // index of the head in the service
	lastValue []byte    // encoding of head
	seen      time.Time // when the head's clock was certainly reached
	known     bool      // head is the newest that this process knows of
	prepared  *spill    // written segment that the head may not list yet
	garbage   []segmentID
	expired   Clock // clock of the last expiry
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

// enqueue hands operations to the writer, unless it has stopped. Commits are
// urgent, settlements are not.
func (s *shard) enqueue(list ...*pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.queue = append(s.queue, list...)
	for _, p := range list {
		if !p.op.settles {
			s.signal()
			return true
		}
	}
	if !s.armed {
		s.armed = true
		time.AfterFunc(settleDelay, s.signal)
	}
	return true
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// keepTime makes the writer observe the head, or write it even without
// operations, so that the shard's clock advances and old keys expire.
func (s *shard) keepTime(write bool) {
	s.mu.Lock()
	s.look = true
	s.touch = s.touch || write
	s.mu.Unlock()
	s.signal()
}

func (s *shard) take() (batch []*pending, touch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch, touch = s.queue, s.touch
	s.queue, s.armed, s.touch = nil, false, false
	return batch, touch
}

// run writes batches until ctx ends, and then what is left in the queue.
func (s *shard) run(ctx context.Context) {
	// Observing the head early starts the clock by which intents of dead
	// entries become unknown.
	_ = s.readHead(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.wake:
			// An error means that ctx ended.
			_ = s.limiter.Wait(ctx)
			s.observe(ctx)
			s.flush(context.WithoutCancel(ctx), flushTimeout)
		}
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.flush(context.WithoutCancel(ctx), finalFlush)
}

func (s *shard) flush(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	batch, touch := s.take()
	if len(batch) == 0 && !touch {
		return
	}
	if left, err := s.commitBatch(ctx, batch, touch); err != nil {
		s.known = false
		s.fail(left, err)
		return
	}
	s.afterWrite(ctx)
}

// waited returns the operations whose results are still waited for and drops
// the others, so that a call that was refused is not recorded later.
func waited(batch []*pending) []*pending {
	var kept []*pending
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
			continue
		}
		p.result <- p.failure()
	}
	return kept
}

func (p *pending) failure() outcome {
	if p.exposed.Load() {
		return outcome{verdict: Undetermined}
	}
	return outcome{verdict: StoreUnavailable}
}

// commitBatch applies the batch to the head until a compare-and-swap decides.
// When an acknowledgement is lost, the write may still take effect later; only
// a head whose index has moved on is proof, so the loop writes again at the
// same index, which at most one of the two writes can win.
// It returns the operations that are left when it fails.
func (s *shard) commitBatch(ctx context.Context, batch []*pending, touch bool) ([]*pending, error) {
	read := false
	for n := 0; ; n++ {
		if n > 0 && s.limiter.Wait(ctx) != nil || n > maxSwaps {
			return batch, errors.New("the shard's head keeps changing")
		}
		batch = waited(batch)
		if !s.known {
			if err := s.readHead(ctx); err != nil {
				return batch, err
			}
			read = true
		}
		next, results, changed, err := s.plan(ctx, batch)
		switch {
		case errors.Is(err, errStaleHead):
		case err != nil:
			return batch, err
		case !changed && !touch && read:
			deliver(batch, results)
			return nil, nil
		case !changed && !touch:
			// A rejection by a cached head may be outdated.
		case s.write(ctx, next, batch):
			deliver(batch, results)
			return nil, nil
		}
		s.known = false
	}
}

// fail tells those who wait that the service is down.
func (s *shard) fail(batch []*pending, err error) {
	s.logger.Warn("ledger batch failed", "shard", s.store.shard, "operations", len(batch), "err", err)
	for _, p := range batch {
		p.result <- p.failure()
	}
}

func deliver(batch []*pending, results []outcome) {
	for n, p := range batch {
		p.result <- results[n]
	}
}
