package ledger

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/membership"
)

const (
	// shardCount is fixed, since a key must always be found in the same shard.
	// Each shard costs one write per batch, so with more than three shards the
	// limits on writes per second and on added latency could not both be met.
	shardCount = 2
	// idleWriteInterval is how often idle shards are written. When all entries are
	// replaced at once, at most this much of a key's age is lost.
	idleWriteInterval = 10 * time.Minute
	// checkInterval is how often a writer checks for intents of dead entries.
	checkInterval = 5 * time.Second
)

// Options are the dependencies of a Ledger.
type Options struct {
	KV      kvservice.KV
	Members membership.View
	// Self is the name of this process in Members.
	Self string
	// Client sends requests to the other entries; see wire.NewClient.
	Client *http.Client
	// Secret is the shared peer secret.
	Secret string
	Logger *log.Logger
}

// Ledger gives one entry access to the recorded intents. It is safe for concurrent
// use.
type Ledger struct {
	shards   [shardCount]*shard
	writers  *writerSelector
	outbox   *outbox
	logger   *log.Logger
	counters counters
}

// counters holds the counts that Status reports under the same names.
type counters struct {
	writes, commits, replays, conflicts, refused atomic.Int64
}

// Status is a snapshot of a Ledger for debug output.
type Status struct {
	// Writes counts the writes that this process sent to the key-value service.
	Writes int64 `json:"writes"`
	// Commits, Replays, Conflicts and Refused count the calls with an idempotency
	// key by result.
	Commits   int64 `json:"commits"`
	Replays   int64 `json:"replays"`
	Conflicts int64 `json:"conflicts"`
	Refused   int64 `json:"refused"`
	// Unsettled is the number of settlements that are not written yet.
	Unsettled int `json:"unsettled"`
	// Writers names the preferred writer of each shard.
	Writers []string `json:"writers"`
}

// New returns a Ledger. It writes only while Run is executing.
func New(o Options) *Ledger {
	l := &Ledger{logger: o.Logger, writers: newWriterSelector(o)}
	if l.logger == nil {
		l.logger = log.New(discardWriter{})
	}
	for n := range l.shards {
		l.shards[n] = newShard(store{kv: o.KV, shard: n}, l.logger, &l.counters.writes)
	}
	l.outbox = newOutbox(l)
	return l
}

type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Run writes batches until ctx ends, then writes the remaining settlements within
// finalFlushTimeout and returns. Stop accepting requests before ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	var shards, senders sync.WaitGroup
	shardsCtx, stopShards := context.WithCancel(context.WithoutCancel(ctx))
	defer stopShards()
	for _, s := range l.shards {
		shards.Go(func() { s.run(shardsCtx) })
	}
	senders.Go(func() { l.outbox.run(ctx) })
	senders.Go(func() { l.checkShards(ctx) })
	senders.Wait()
	stopShards()
	shards.Wait()
	return nil
}

// checkShards periodically makes the shards that this process writes check for
// intents of dead entries, and write their heads when they have been idle.
func (l *Ledger) checkShards(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	lastWrite := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		write := time.Since(lastWrite) >= idleWriteInterval
		if write {
			lastWrite = time.Now()
		}
		for n, s := range l.shards {
			if l.writers.isSelf(n) {
				s.requestCheck(write)
			}
		}
	}
}

// State returns a snapshot for debug output.
func (l *Ledger) State() Status {
	st := Status{
		Writes:    l.counters.writes.Load(),
		Commits:   l.counters.commits.Load(),
		Replays:   l.counters.replays.Load(),
		Conflicts: l.counters.conflicts.Load(),
		Refused:   l.counters.refused.Load(),
		Unsettled: l.outbox.size(),
	}
	for n := range l.shards {
		st.Writers = append(st.Writers, l.writers.preferred(n).Name)
	}
	return st
}

func shardOf(k KeyHash) int { return int(k[len(k)-1]) % shardCount }
