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
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// ExchangeInterval is the time between two exchanges of a process.
	ExchangeInterval = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// fetchTimeout bounds the fetch of a whole configuration from a peer.
	fetchTimeout = 5 * time.Second
	// pagesTimeout bounds the fetch of the pages that a revision changed. One
	// fetch runs at a time, so it must end well before the 5 s within which a
	// ticket has to be in effect, even when its connection has gone silent.
	pagesTimeout = 2 * time.Second
	// fanout is how many peers a process tells of a newer revision at once.
	// With 3 a revision reaches 95% of 4,940 processes in about 8 steps, and the
	// others by their own next exchange or two.
	fanout = 3
	// maxChanges bounds the membership changes that one exchange carries.
	maxChanges = 16
	// compareEvery is the number of exchanges from one comparison of tables to
	// the next. A comparison costs 1 KB, and 2.5 KB for each member that differs.
	compareEvery = 30
	// farBehind is the number of news in a comparison after which the next one
	// follows at once, as after a start or the end of a partition.
	farBehind = 8
	// maxTable bounds the records of one comparison; the next one continues.
	maxTable = 1024
	// probes is how many suspect members a process asks per ExchangeInterval.
	probes = 2
)

// Quarantine is a process's copy of the record of quarantined requests.
type Quarantine interface {
	// Encoded returns the stored record and its index; the value is nil when the
	// copy is not newer than have.
	StoredValue(have uint64) (index uint64, value []byte)
	// Adopt takes a record from a peer; an older one changes nothing.
	ApplyStored(index uint64, value []byte) (newer bool, err error)
	// Follow waits for a newer record in the key-value service.
	WaitForUpdate(ctx context.Context) (newer bool, err error)
}

// Options are the dependencies of a Relay.
type Options struct {
	Cache      *Cache
	Store      *configstore.Store
	Table      *membership.Table
	Quarantine Quarantine
	// Self returns the member record of this process as of now.
	Self func() membership.Member
	// Client calls peers. Its connections should be short-lived, because each
	// exchange has another random peer; see NewClient.
	Client *http.Client
	Secret string
	Logger *log.Logger
}

// Relay keeps a process's configuration, membership and quarantine record in
// step with its peers.
type Relay struct {
	Options
	changes changeQueue

	mu       sync.Mutex
	fetching bool
	newestAt time.Time // when the newest revision took effect here

	exchanges atomic.Int64
	answers   atomic.Int64
	fetches   atomic.Int64
	watching  atomic.Bool
	pulling   atomic.Bool
	behind    atomic.Bool // the last comparison had much news
}

// State is the relay's part of the state dump.
type State struct {
	Revision uint64 `json:"revision"`
	// RevisionAgeSeconds is the time since the revision took effect here.
	RevisionAgeSeconds float64 `json:"revision_age_seconds"`
	QuarantineIndex    uint64  `json:"quarantine_index"`
	Watching           bool    `json:"watching"`
	// Exchanges were begun by this process, Answers by its peers.
	Exchanges int64 `json:"exchanges"`
	Answers   int64 `json:"answers"`
	Fetches   int64 `json:"fetches"`
}

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// State returns the dump of the relay.
func (r *Relay) State() State {
	s := State{
		Revision:  r.Cache.Revision(),
		Watching:  r.watching.Load(),
		Exchanges: r.exchanges.Load(),
		Answers:   r.answers.Load(),
		Fetches:   r.fetches.Load(),
	}
	s.QuarantineIndex, _ = r.Quarantine.StoredValue(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.newestAt.IsZero() {
		s.RevisionAgeSeconds = time.Since(r.newestAt).Seconds()
	}
	return s
}

// Run exchanges with peers and watches the service until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.exchangeLoop(ctx) })
	wg.Go(func() { r.watchLoop(ctx) })
	wg.Go(func() { r.quarantineLoop(ctx) })
	wg.Wait()
	return nil
}

func (r *Relay) adoptState(ctx context.Context, state *configstore.State) {
	if state.Head.Revision == 0 {
		return
	}
	newer, err := r.Cache.ApplyHead(state.HeadBytes, state.Pages)
	if err != nil {
		r.Logger.Error("configuration from the key-value service is damaged; keeping the one in effect", "err", err)
		return
	}
	if newer {
		r.inEffect(ctx, "key-value service")
	}
}

// inEffect tells peers of a revision that just took effect here.
func (r *Relay) inEffect(ctx context.Context, source string) {
	r.mu.Lock()
	r.newestAt = time.Now()
	r.mu.Unlock()
	r.Logger.Info("configuration in effect", "revision", r.Cache.Revision(), "from", source)
	r.Announce(ctx)
}

// Announce tells a few random peers at once of this process's state, its
// revision and its quarantine record.
func (r *Relay) Announce(ctx context.Context) {
	self := r.self()
	for _, m := range pickPeers(self.Name, r.Table.Members(), fanout, rand.IntN) {
		go r.exchange(ctx, m, false)
	}
}

// self returns this process's record and keeps the table in step with it, so
// that tables can be compared. An empty table stays empty: a process that knows
// nobody is not ready.
func (r *Relay) self() membership.Member {
	m := r.Self()
	if len(r.Table.Members()) > 0 {
		r.Table.MergeAuthoritative(m)
	}
	return m
}

// QueueChanges passes on members that changed by a read of the platform's list.
func (r *Relay) QueueChanges(members []membership.Member) {
	for _, m := range members {
		if m.Name != r.Self().Name {
			r.changes.add(peer.MemberToProto(m))
		}
	}
}

func (r *Relay) exchangeLoop(ctx context.Context) {
	for n := 1; wait.For(ctx, jitter(ExchangeInterval)); n++ {
		self, members := r.self(), r.Table.Members()
		for _, m := range suspects(self.Name, members, probes, rand.IntN) {
			go r.exchange(ctx, m, false)
		}
		for _, m := range pickPeers(self.Name, members, 1, rand.IntN) {
			r.exchange(ctx, m, n%compareEvery == 1 || r.behind.Load())
		}
	}
}

// jitter spreads d by a quarter, so that processes that started together do not
// stay in step.
func jitter(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2)
}

// exchange swaps records and revisions with one peer and fetches what is newer.
func (r *Relay) exchange(ctx context.Context, m membership.Member, compare bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.exchanges.Add(1)
	index, _ := r.Quarantine.StoredValue(0)
	req := &peer.ExchangeRequest{Self: peer.MemberToProto(r.Self()), Changes: r.changes.take(), QuarantineIndex: index}
	if compare {
		req.TableDigest = r.Table.Digest()
	}
	resp, err := peer.NewClient(m.PeerAddress, r.Client, r.Secret).Exchange(callCtx, req)
	if err != nil {
		if ctx.Err() == nil {
			r.Table.ReportState(m.Name, m.Incarnation, membership.Suspect)
		}
		return
	}
	r.takeSelf(resp.Self)
	r.takeRelayed(resp.Changes)
	if compare {
		// Records of a comparison are old news to most, so they are not passed on.
		r.behind.Store(len(r.Table.MergeRelayed(r.foreign(resp.Table))) >= farBehind)
	}
	r.takeQuarantine(ctx, resp)
	r.fetchIfNewer(ctx, resp.Self)
}

// takeSelf merges what a peer said of itself and passes it on when it was news.
func (r *Relay) takeSelf(record *peer.MemberRecord) {
	if record == nil || record.Name == "" || record.Name == r.Self().Name {
		return
	}
	if r.Table.MergeAuthoritative(peer.MemberFromProto(record)) {
		r.changes.add(record)
	}
}

func (r *Relay) takeRelayed(records []*peer.MemberRecord) {
	for _, m := range r.Table.MergeRelayed(r.foreign(records)) {
		r.changes.add(peer.MemberToProto(m))
	}
}

// foreign decodes the records of other processes than this one.
func (r *Relay) foreign(records []*peer.MemberRecord) []membership.Member {
	self := r.Self().Name
	var list []membership.Member
	for _, record := range records {
		if record != nil && record.Name != "" && record.Name != self {
			list = append(list, peer.MemberFromProto(record))
		}
	}
	return list
}

// takeQuarantine adopts a newer quarantine record and tells others of it.
func (r *Relay) takeQuarantine(ctx context.Context, resp *peer.ExchangeResponse) {
	if len(resp.Quarantine) == 0 {
		return
	}
	newer, err := r.Quarantine.ApplyStored(resp.QuarantineIndex, resp.Quarantine)
	if err != nil {
		r.Logger.Error("quarantine record of a peer is damaged; keeping the one in effect", "err", err)
		return
	}
	if newer {
		r.Announce(context.WithoutCancel(ctx))
	}
}

// fetchIfNewer fetches the configuration of a peer that has a newer one. One
// fetch runs at a time; a missed one is made up by the next exchange.
func (r *Relay) fetchIfNewer(ctx context.Context, record *peer.MemberRecord) {
	if record == nil || record.ConfigRevision <= r.Cache.Revision() || !r.beginFetch() {
		return
	}
	defer r.endFetch()
	newer, err := r.fetch(ctx, peer.NewClient(record.PeerAddress, r.Client, r.Secret))
	if err != nil {
		r.Logger.Warn("could not fetch the newer configuration of a peer; another exchange follows", "peer", record.Name, "err", err)
		return
	}
	if newer {
		r.inEffect(context.WithoutCancel(ctx), record.Name)
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
	headCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.FetchConfig(headCtx, &peer.FetchConfigRequest{HaveRevision: have})
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
		pagesCtx, cancel := context.WithTimeout(ctx, pagesTimeout)
		defer cancel()
		pages, err := p.FetchConfig(pagesCtx, &peer.FetchConfigRequest{HaveRevision: have, WantPages: missing})
		if err != nil {
			return false, errors.Wrap(err, "fetch configuration pages")
		}
		for _, page := range pages.Pages {
			fresh[page.Hash] = page.Content
		}
	}
	return r.Cache.ApplyHead(resp.Head, fresh)
}
