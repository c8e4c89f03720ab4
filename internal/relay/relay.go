package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/peer"
)

const (
	// ExchangeInterval is the time between two exchanges of a process.
	ExchangeInterval = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// fetchTimeout bounds the fetch of a whole configuration from a peer.
	fetchTimeout = 5 * time.Second
	// fanout is how many peers a process tells of a newer revision at once.
	// With 3 a revision reaches 4,940 processes in about 8 steps.
	fanout = 3
	// watchRecheck is how often a process asks itself whether it is a watcher.
	watchRecheck = time.Second
	watchRetry   = time.Second
	// maxChanges bounds the membership changes that one exchange carries.
	maxChanges = 16
)

// Options are the dependencies of a Relay.
type Options struct {
	Cache *Cache
	Store *configstore.Store
	Table *membership.Table
	// Self returns the member record of this process as of now.
	Self   func() membership.Member
	Client *http.Client
	Secret string
	Logger *log.Logger
}

// Relay keeps a process's configuration and membership in step with its peers.
type Relay struct {
	Options
	changes changeQueue

	mu       sync.Mutex
	fetching bool

	exchanges atomic.Int64
	fetches   atomic.Int64
	watching  atomic.Bool
}

// State is the relay's part of the state dump.
type State struct {
	Revision  uint64             `json:"revision"`
	Watching  bool               `json:"watching"`
	Exchanges int64              `json:"exchanges"`
	Fetches   int64              `json:"fetches"`
	Members   []membership.State `json:"-"`
}

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// State returns the dump of the relay.
func (r *Relay) State() State {
	return State{
		Revision:  r.Cache.Revision(),
		Watching:  r.watching.Load(),
		Exchanges: r.exchanges.Load(),
		Fetches:   r.fetches.Load(),
	}
}

// Run exchanges with peers and watches the service until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.exchangeLoop(ctx) })
	wg.Go(func() { r.watchLoop(ctx) })
	wg.Wait()
	return nil
}

// Start takes the newest configuration that it can find: from several peers and
// from the key-value service, whichever answers. A process is not ready before
// it returns nil.
func (r *Relay) Start(ctx context.Context) error {
	for {
		r.catchUp(ctx)
		if r.Cache.Revision() > 0 {
			return nil
		}
		if !sleep(ctx, ExchangeInterval) {
			return errors.Wrap(ctx.Err(), "no configuration; check that the key-value service or a peer is reachable and that a ticket was applied")
		}
	}
}

// startPeers is how many peers a starting process asks.
const startPeers = 5

func (r *Relay) catchUp(ctx context.Context) {
	for _, m := range pickPeers(r.Self().Name, r.Table.Members(), startPeers, rand.Uint64) {
		r.exchange(ctx, m)
	}
	if r.Cache.Revision() > 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := r.Store.Load(callCtx)
	if err != nil {
		r.Logger.Warn("key-value service gave no configuration; asking peers", "err", err)
		return
	}
	r.adoptState(ctx, state)
}

func (r *Relay) adoptState(ctx context.Context, state *configstore.State) {
	if state.Head.Revision == 0 {
		return
	}
	newer, err := r.Cache.Adopt(state.HeadBytes, state.Pages)
	if err != nil {
		r.Logger.Error("configuration from the key-value service is damaged; keeping the one in effect", "err", err)
		return
	}
	if newer {
		r.Logger.Info("configuration in effect", "revision", r.Cache.Revision(), "from", "key-value service")
		r.Announce(ctx)
	}
}

// Announce tells a few random peers at once of this process's state and revision.
func (r *Relay) Announce(ctx context.Context) {
	for _, m := range pickPeers(r.Self().Name, r.Table.Members(), fanout, rand.Uint64) {
		go r.exchange(ctx, m)
	}
}

func (r *Relay) exchangeLoop(ctx context.Context) {
	for sleep(ctx, jitter(ExchangeInterval)) {
		for _, m := range pickPeers(r.Self().Name, r.Table.Members(), 1, rand.Uint64) {
			r.exchange(ctx, m)
		}
	}
}

// jitter spreads d by a quarter, so that processes that started together do not
// stay in step.
func jitter(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2)
}

// exchange swaps records and revisions with one peer and fetches what is newer.
func (r *Relay) exchange(ctx context.Context, m membership.Member) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.exchanges.Add(1)
	resp, err := peer.NewClient(m.PeerAddress, r.Client, r.Secret).Exchange(callCtx, &peer.ExchangeRequest{
		Self:    peer.RecordOf(r.Self()),
		Changes: r.changes.take(),
	})
	if err != nil {
		if ctx.Err() == nil {
			r.Table.Report(m.Name, m.Incarnation, membership.Suspect)
		}
		return
	}
	if m.State == membership.Suspect {
		r.Table.Report(m.Name, m.Incarnation, membership.Serving)
	}
	r.take(resp.Self)
	for _, c := range resp.Changes {
		r.take(c)
	}
	r.fetchIfNewer(ctx, resp.Self)
}

// take merges a record and passes it on when it was news.
func (r *Relay) take(record *peer.MemberRecord) {
	if record == nil || record.Name == "" || record.Name == r.Self().Name {
		return
	}
	if r.Table.Merge(peer.MemberOf(record)) {
		r.changes.add(record)
	}
}

// fetchIfNewer fetches the configuration of a peer that has a newer one. One
// fetch runs at a time; a missed one is made up by the next exchange.
func (r *Relay) fetchIfNewer(ctx context.Context, record *peer.MemberRecord) {
	if record == nil || record.ConfigRevision <= r.Cache.Revision() || !r.beginFetch() {
		return
	}
	defer r.endFetch()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	newer, err := r.fetch(ctx, peer.NewClient(record.PeerAddress, r.Client, r.Secret))
	if err != nil {
		r.Logger.Warn("could not fetch the newer configuration of a peer; another exchange follows", "peer", record.Name, "err", err)
		return
	}
	if newer {
		r.Logger.Info("configuration in effect", "revision", r.Cache.Revision(), "from", record.Name)
		r.Announce(context.WithoutCancel(ctx))
	}
}

func (r *Relay) beginFetch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching {
		return false
	}
	r.fetching = true
	return true
}

func (r *Relay) endFetch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetching = false
}

// fetch reads the head first and then only the pages that changed.
func (r *Relay) fetch(ctx context.Context, p peer.Peer) (bool, error) {
	r.fetches.Add(1)
	have := r.Cache.Revision()
	resp, err := p.FetchConfig(ctx, &peer.FetchConfigRequest{HaveRevision: have})
	if err != nil {
		return false, errors.Wrap(err, "fetch configuration head")
	}
	if len(resp.Head) == 0 {
		return false, nil
	}
	head, err := configstore.DecodeHead(resp.Head)
	if err != nil {
		return false, err
	}
	fresh := make(map[string][]byte)
	if missing := r.Cache.Missing(head); len(missing) > 0 {
		pages, err := p.FetchConfig(ctx, &peer.FetchConfigRequest{HaveRevision: have, WantPages: missing})
		if err != nil {
			return false, errors.Wrap(err, "fetch configuration pages")
		}
		for _, page := range pages.Pages {
			fresh[page.Hash] = page.Content
		}
	}
	return r.Cache.Adopt(resp.Head, fresh)
}

// watchLoop watches the service while this process is one of the watchers.
func (r *Relay) watchLoop(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		watches := Watches(r.Self(), r.Table.Members())
		r.watching.Store(watches)
		if !watches {
			if !sleep(ctx, watchRecheck) {
				return
			}
			continue
		}
		state, err := r.Store.Watch(ctx, index)
		if err != nil {
			if !sleep(ctx, jitter(watchRetry)) {
				return
			}
			continue
		}
		index = state.Index
		r.adoptState(ctx, state)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
