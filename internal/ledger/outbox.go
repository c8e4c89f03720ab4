package ledger

import (
	"context"
	"github.com/fescueslip/fescueslip/internal/wait"
	"sync"
	"time"
)

const (
	// outboxPeriod collects settlements into one call of the writer.
	outboxPeriod = 10 * time.Millisecond
	// outboxBackoff is the pause after a settlement could not be written.
	outboxBackoff = 500 * time.Millisecond
	// outboxLimit bounds the settlements that wait during an outage. Those
	// dropped leave their intents to be read as unknown.
	outboxLimit = 50_000
	// outboxBatch bounds the settlements of one call.
	outboxBatch = 2_000
)

// outbox sends settlements to the writers until they are written. Nobody waits
// for them: an answer may reach its caller before it is in the ledger, because
// an intent that stays committed never lets the work run again.
type outbox struct {
	ledger *Ledger
	mu     sync.Mutex
	queues [shardCount][]operation
	// sending counts the settlements that are being written.
	sending int
	wake    [shardCount]chan struct{}
}

func newOutbox(l *Ledger) *outbox {
	o := &outbox{ledger: l}
	for n := range o.wake {
		o.wake[n] = make(chan struct{}, 1)
	}
	return o
}

func (o *outbox) add(op operation) {
	n := shardOf(op.intent.Key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queues[n]) >= outboxLimit {
		return
	}
	o.queues[n] = append(o.queues[n], op)
	select {
	case o.wake[n] <- struct{}{}:
	default:
	}
}

func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := o.sending
	for _, q := range o.queues {
		total += len(q)
	}
	return total
}

func (o *outbox) take(n int) []operation {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queues[n]
	if len(batch) > outboxBatch {
		batch = batch[:outboxBatch:outboxBatch]
	}
	o.queues[n] = o.queues[n][len(batch):]
	o.sending += len(batch)
	return batch
}

// done puts the operations that were not written back to the front.
func (o *outbox) done(n, sent int, back []operation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending -= sent
	o.queues[n] = append(append([]operation(nil), back...), o.queues[n]...)
}

func (o *outbox) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range o.queues {
		group.Go(func() { o.runShard(ctx, n) })
	}
	group.Wait()
}

func (o *outbox) runShard(ctx context.Context, n int) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-o.wake[n]:
			wait.For(ctx, outboxPeriod)
			o.flushAll(ctx, n)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlush)
	defer cancel()
	o.flushAll(last, n)
}

// flushAll sends until the queue is empty or ctx ends.
func (o *outbox) flushAll(ctx context.Context, n int) {
	for ctx.Err() == nil {
		sent, ok := o.flush(ctx, n)
		if sent == 0 {
			return
		}
		if !ok {
			wait.For(ctx, outboxBackoff)
		}
	}
}

// flush sends one batch and reports its size and whether all of it was written.
func (o *outbox) flush(ctx context.Context, n int) (int, bool) {
	batch := o.take(n)
	if len(batch) == 0 {
		return 0, true
	}
	var back []operation
	for i, res := range o.ledger.write(ctx, n, batch) {
		if res.verdict == StoreUnavailable || res.verdict == Undetermined {
			back = append(back, batch[i])
		}
	}
	o.done(n, len(batch), back)
	return len(batch), len(back) == 0
}
