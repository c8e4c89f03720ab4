package ledger

import (
	"context"
	"github.com/fescueslip/fescueslip/internal/wait"
	"sync"
	"time"
)

const (
	// outboxBatchDelay is how long the outbox collects settlements before it sends
	// them to the writer in one call.
	outboxBatchDelay = 10 * time.Millisecond
	// outboxRetryDelay is the delay before settlements that could not be written
	// are sent again.
	outboxRetryDelay = 500 * time.Millisecond
	// maxOutboxQueue limits the settlements that wait in one shard, for example
	// while the key-value service is unavailable. A settlement added to a full queue
	// is dropped, and its intent is later reported as unknown.
	maxOutboxQueue = 50_000
	// maxOutboxBatch is the largest number of settlements in one call to the
	// writer.
	maxOutboxBatch = 2_000
)

// outbox sends settlements to the writers until they are written. No call waits
// for them: an answer may reach its caller before it is in the ledger, because an
// intent that stays committed never allows the work to run again.
type outbox struct {
	ledger *Ledger
	mu     sync.Mutex
	queues [shardCount][]operation
	// inFlight counts the settlements that are being written.
	inFlight int
	wake     [shardCount]chan struct{}
}

func newOutbox(l *Ledger) *outbox {
	o := &outbox{ledger: l}
	for n := range o.wake {
		o.wake[n] = make(chan struct{}, 1)
	}
	return o
}

// add queues a settlement, or drops it if the queue of its shard is full.
func (o *outbox) add(op operation) {
	n := shardOf(op.intent.Key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queues[n]) >= maxOutboxQueue {
		return
	}
	o.queues[n] = append(o.queues[n], op)
	select {
	case o.wake[n] <- struct{}{}:
	default:
	}
}

// size returns the number of settlements that are queued or being written.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := o.inFlight
	for _, q := range o.queues {
		total += len(q)
	}
	return total
}

// take removes the next batch from the queue of shard n and counts it as in flight.
func (o *outbox) take(n int) []operation {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queues[n]
	if len(batch) > maxOutboxBatch {
		batch = batch[:maxOutboxBatch:maxOutboxBatch]
	}
	o.queues[n] = o.queues[n][len(batch):]
	o.inFlight += len(batch)
	return batch
}

// requeue removes sent operations from the in-flight count and puts those that
// were not written back at the front of the queue.
func (o *outbox) requeue(n, sent int, unwritten []operation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight -= sent
	o.queues[n] = append(append([]operation(nil), unwritten...), o.queues[n]...)
}

func (o *outbox) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range o.queues {
		group.Go(func() { o.runShard(ctx, n) })
	}
	group.Wait()
}

// runShard sends the settlements of shard n until ctx ends, and then those that are
// left for at most finalFlushTimeout.
func (o *outbox) runShard(ctx context.Context, n int) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-o.wake[n]:
			wait.For(ctx, outboxBatchDelay)
			o.flushAll(ctx, n)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	o.flushAll(last, n)
}

// flushAll sends batches until the queue is empty or ctx ends.
func (o *outbox) flushAll(ctx context.Context, n int) {
	for ctx.Err() == nil {
		sent, ok := o.flush(ctx, n)
		if sent == 0 {
			return
		}
		if !ok {
			wait.For(ctx, outboxRetryDelay)
		}
	}
}

// flush sends one batch. It returns the size of the batch and whether all of it
// was written.
func (o *outbox) flush(ctx context.Context, n int) (int, bool) {
	batch := o.take(n)
	if len(batch) == 0 {
		return 0, true
	}
	var unwritten []operation
	for i, res := range o.ledger.write(ctx, n, batch) {
		if res.verdict == StoreUnavailable || res.verdict == Undetermined {
			unwritten = append(unwritten, batch[i])
		}
	}
	o.requeue(n, len(batch), unwritten)
	return len(batch), len(unwritten) == 0
}
