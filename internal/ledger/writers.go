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
	// writerRefresh is how long a choice of writers is kept.
	writerRefresh = 250 * time.Millisecond
	// writerTimeout bounds a call of another writer, after which this process
	// writes itself.
	writerTimeout = time.Second
	// writerPause keeps calls from a writer that could not be reached.
	writerPause = 2 * time.Second
	roleEntry   = "entry"
)

// writers chooses the preferred writer of each shard. Entries may disagree for
// a while; then both write, and the compare-and-swap decides.
type writers struct {
	members membership.View
	self    membership.Member
	client  *http.Client
	secret  string
	chosen  atomic.Pointer[choice]

	mu     sync.Mutex
	paused map[string]time.Time
}

type choice struct {
	at      time.Time
	writers [shardCount]membership.Member
}

func newWriters(o Options) *writers {
	return &writers{
		members: o.Members,
		self:    membership.Member{Name: o.Self, Role: roleEntry},
		client:  o.Client,
		secret:  o.Secret,
		paused:  make(map[string]time.Time),
	}
}

func (w *writers) isSelf(shard int) bool { return w.preferred(shard).Name == w.self.Name }

func (w *writers) preferred(shard int) membership.Member {
	c := w.chosen.Load()
	if c == nil || time.Since(c.at) > writerRefresh {
		c = w.choose()
		w.chosen.Store(c)
	}
	return c.writers[shard]
}

func (w *writers) choose() *choice {
	byName := map[string]membership.Member{w.self.Name: w.self}
	names := []string{w.self.Name}
	for _, m := range w.serving() {
		if _, ok := byName[m.Name]; !ok {
			names = append(names, m.Name)
			byName[m.Name] = m
		}
	}
	c := &choice{at: time.Now()}
	for n := range c.writers {
		name := rendezvous.New(names, xxhash.Sum64String).Lookup("ledger/" + strconv.Itoa(n))
		c.writers[n] = byName[name]
		if len(names) > 1 {
			// The next shard gets another writer, since each process has a
			// budget of writes that does not suffice for two shards at their peak.
			names = slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == name })
		}
	}
	return c
}

func (w *writers) serving() []membership.Member {
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

func (w *writers) isPaused(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, ok := w.paused[name]
	return ok && time.Now().Before(until)
}

func (w *writers) pause(name string) {
	w.mu.Lock()
	w.paused[name] = time.Now().Add(writerPause)
	w.mu.Unlock()
	w.chosen.Store(nil)
}

// send asks another entry to write the operations.
func (w *writers) send(ctx context.Context, to membership.Member, shard int, ops []operation) ([]outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	header := make(http.Header)
	wire.SetSecret(header, w.secret)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return nil, errors.Wrap(err, "set headers")
	}
	req := &peer.CommitIntentRequest{Shard: uint32(shard)}
	for _, o := range ops {
		req.Operations = append(req.Operations, o.encode())
	}
	resp, err := peer.NewPeerProtobufClient("http://"+to.PeerAddress, w.client).CommitIntent(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "commit through %s", to.Name)
	}
	if len(resp.Results) != len(ops) {
		return nil, errors.Errorf("%s returned %d results for %d operations", to.Name, len(resp.Results), len(ops))
	}
	results := make([]outcome, len(ops))
	for n, b := range resp.Results {
		if results[n], err = decodeOutcome(b); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// CommitIntent serves other entries, for which this process is the preferred writer.
func (l *Ledger) CommitIntent(ctx context.Context, req *peer.CommitIntentRequest) (*peer.CommitIntentResponse, error) {
	if req.Shard >= shardCount {
		return nil, twirp.InvalidArgumentError("shard", "no such shard; run the same version on all entries")
	}
	// The caller gives up after the same time; an operation must not be
	// written after that.
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	list := make([]*pending, len(req.Operations))
	for n, b := range req.Operations {
		o, err := decodeOperation(b)
		if err != nil || shardOf(o.intent.Key) != int(req.Shard) {
			return nil, twirp.InvalidArgumentError("operations", "not an operation of the shard")
		}
		list[n] = newPending(ctx, o)
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
