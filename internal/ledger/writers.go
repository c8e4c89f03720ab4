package ledger

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/peer"
	"github.com/fescueslip/fescueslip/internal/wire"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
)

const (
	// writerCacheTime is how long the chosen writers are cached.
	writerCacheTime = 250 * time.Millisecond
	// writerTimeout limits a call to another writer. After it, this process writes
	// the operations itself.
	writerTimeout = time.Second
	// writerPause is how long a writer that could not be reached is not used.
	writerPause = 2 * time.Second
	roleEntry   = "entry"
)

// writerSelector chooses the preferred writer of each shard. Entries may disagree
// for a while. Then several of them write, and the compare-and-swap decides which
// write takes effect.
type writerSelector struct {
	members membership.View
	self    membership.Member
	client  *http.Client
	secret  string
	cached  atomic.Pointer[writerChoice]

	mu     sync.Mutex
	paused map[string]time.Time
}

type writerChoice struct {
	at      time.Time
	writers [shardCount]membership.Member
}

func newWriterSelector(o Options) *writerSelector {
	return &writerSelector{
		members: o.Members,
		self:    membership.Member{Name: o.Self, Role: roleEntry},
		client:  o.Client,
		secret:  o.Secret,
		paused:  make(map[string]time.Time),
	}
}

func (w *writerSelector) isSelf(shard int) bool { return w.preferred(shard).Name == w.self.Name }

func (w *writerSelector) preferred(shard int) membership.Member {
	c := w.cached.Load()
	if c == nil || time.Since(c.at) > writerCacheTime {
		c = w.choose()
		w.cached.Store(c)
	}
	return c.writers[shard]
}

func (w *writerSelector) choose() *writerChoice {
	byName := map[string]membership.Member{w.self.Name: w.self}
	names := []string{w.self.Name}
	for _, m := range w.servingEntries() {
		if _, ok := byName[m.Name]; !ok {
			names = append(names, m.Name)
			byName[m.Name] = m
		}
	}
	c := &writerChoice{at: time.Now()}
	for n := range c.writers {
		name := rendezvous.New(names, xxhash.Sum64String).Lookup("ledger/" + strconv.Itoa(n))
		c.writers[n] = byName[name]
		if len(names) > 1 {
			// The next shard gets a different writer, since the write budget of
			// one process does not suffice for two shards at their peak.
			names = slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == name })
		}
	}
	return c
}

func (w *writerSelector) servingEntries() []membership.Member {
	var list []membership.Member
	if w.members == nil {
		return nil
	}
	for _, m := range w.members.Members() {
		if m.Role == roleEntry && m.State == membership.Serving && !w.isPaused(m.Name) {
			list = append(list, m)
		}
	}
	return list
}

func (w *writerSelector) isPaused(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, ok := w.paused[name]
	return ok && time.Now().Before(until)
}

func (w *writerSelector) pause(name string) {
	w.mu.Lock()
	w.paused[name] = time.Now().Add(writerPause)
	w.mu.Unlock()
	w.cached.Store(nil)
}

// send sends the operations to another entry, which writes them.
func (w *writerSelector) send(ctx context.Context, to membership.Member, shard int, ops []operation) ([]opResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	header := make(http.Header)
	wire.SetSecret(header, w.secret)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return nil, errors.Wrap(err, "set request headers")
	}
	req := &peer.CommitIntentRequest{Shard: uint32(shard)}
	for _, o := range ops {
		req.Operations = append(req.Operations, o.encode())
	}
	resp, err := peer.NewPeerProtobufClient("http://"+to.PeerAddress, w.client).CommitIntent(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "commit operations through ledger writer %s", to.Name)
	}
	if len(resp.Results) != len(ops) {
		return nil, errors.Errorf("%s returned %d results for %d operations", to.Name, len(resp.Results), len(ops))
	}
	results := make([]opResult, len(ops))
	for n, b := range resp.Results {
		if results[n], err = decodeOutcome(b); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// CommitIntent writes operations for other entries that have chosen this process
// as the preferred writer of the shard.
func (l *Ledger) CommitIntent(ctx context.Context, req *peer.CommitIntentRequest) (*peer.CommitIntentResponse, error) {
	if req.Shard >= shardCount {
		return nil, twirp.InvalidArgumentError("shard", "no such shard; run the same version on all entries")
	}
	// The calling entry stops waiting after the same time, and an operation must
	// not be written after that.
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	list := make([]*pendingOp, len(req.Operations))
	for n, b := range req.Operations {
		o, err := decodeOperation(b)
		if err != nil || shardOf(o.intent.Key) != int(req.Shard) {
			return nil, twirp.InvalidArgumentError("operations", "not an operation of the shard")
		}
		list[n] = newPendingOp(ctx, o)
	}
	if !l.shards[req.Shard].enqueue(list...) {
		return nil, twirp.NewError(twirp.Unavailable, "the ledger of this process has stopped; use another writer")
	}
	resp := &peer.CommitIntentResponse{}
	for _, p := range list {
		select {
		case res := <-p.result:
			resp.Results = append(resp.Results, res.encode())
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.DeadlineExceeded, "the write took too long; use another writer")
		}
	}
	return resp, nil
}
