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
	// Each shard costs one write per batch, so that more than three could not
	// keep both the bound on writes/s and the bound on the added latency.
	shardCount = 2
	// keepTimeEvery is how often idle shards are written, so that at most this
	// much of a key's age is lost when all entries are replaced at once.
	keepTimeEvery = 10 * time.Minute
	// observeEvery is how often a writer looks for intents of dead entries.
	observeEvery = 5 * time.Second
)

// Options are the dependencies of a Ledger.
type Options struct {
	KV      kvservice.KV
	Members membership.View
	// Self is the name of this process in Members.
	Self string
	// Client reaches the other entries, see wire.NewClient.
	Client *http.Client
	// Secret is the shared peer secret.
	Secret string
	Logger *log.Logger
}

// Ledger is one entry's access to the intents. It is safe for concurrent use.
type Ledger struct {
	shards  [shardCount]*shard
	writers *writers
	outbox  *outbox
	logger  *log.Logger
	counts  counts
}

type counts struct {
	writes, commits, replays, conflicts, refused atomic.Int64
}

// Status is the state of a Ledger for dumps.
type Status struct {
	// Writes counts the writes that this process sent to the key-value service.
	Writes int64 `json:"writes"`
	// Commits, Replays, Conflicts and Refused count the keyed calls by result.
	Commits   int64 `json:"commits"`
	Replays   int64 `json:"replays"`
	Conflicts int64 `json:"conflicts"`
	Refused   int64 `json:"refused"`
	// Unsettled is the number of settlements that still wait for their write.
	Unsettled int `json:"unsettled"`
	// Writers names the preferred writer of each shard.
	Writers []string `json:"writers"`
}

// New returns a Ledger. It writes only while Run is running.
func New(o Options) *Ledger {
	l := &Ledger{logger: o.Logger, writers: newWriters(o)}
	if l.logger == nil {
		l.logger = log.New(discard{})
	}
	for n := range l.shards {
		l.shards[n] = newShard(store{kv: o.KV, shard: n}, l.logger, &l.counts.writes)
	}
	l.outbox = newOutbox(l)
	return l
}

type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Run writes batches until ctx ends, then settles what it still can and
// returns. Stop the request path first.
func (l *Ledger) Run(ctx context.Context) error {
	var shards, senders sync.WaitGroup
	shardsCtx, stopShards := context.WithCancel(context.WithoutCancel(ctx))
	defer stopShards()
	for _, s := range l.shards {
		shards.Go(func() { s.run(shardsCtx) })
	}
	senders.Go(func() { l.outbox.run(ctx) })
	senders.Go(func() { l.keepTime(ctx) })
	senders.Wait()
	stopShards()
	shards.Wait()
	return nil
}

// keepTime has the writers of this process observe their shards, and write
// them when nothing else does.
func (l *Ledger) keepTime(ctx context.Context) {
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	written := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		write := time.Since(written) >= keepTimeEvery
		if write {
			written = time.Now()
		}
		for n, s := range l.shards {
			if l.writers.isSelf(n) {
				s.keepTime(write)
			}
		}
	}
}

// State returns the state for dumps.
func (l *Ledger) State() Status {
	st := Status{
		Writes:    l.counts.writes.Load(),
		Commits:   l.counts.commits.Load(),
		Replays:   l.counts.replays.Load(),
		Conflicts: l.counts.conflicts.Load(),
		Refused:   l.counts.refused.Load(),
		Unsettled: l.outbox.size(),
	}
	for n := range l.shards {
		st.Writers = append(st.Writers, l.writers.preferred(n).Name)
	}
	return st
}

func shardOf(k KeyHash) int { return int(k[len(k)-1]) % shardCount }
