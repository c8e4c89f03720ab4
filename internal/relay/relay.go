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
	// ExchangeInterval is the average time between two exchanges that a process
	// begins.
	ExchangeInterval = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// fetchTimeout bounds one read of the configuration from the key-value
	// service.
	fetchTimeout = 5 * time.Second
	// pagesTimeout bounds the fetch of changed pages from a peer. Only one fetch
	// runs at a time, so it must end well before the 5 s within which a ticket
	// has to be in effect, even when its connection has gone silent.
	pagesTimeout = 2 * time.Second
	// fanout is how many peers a process tells immediately of a newer revision.
	// With 3, a revision reaches 95% of 4,940 processes in about 8 steps, and
	// the others with their own next one or two exchanges.
	fanout = 3
	// maxChanges bounds the membership changes that one exchange carries.
	maxChanges = 16
	// exchangesPerComparison is the number of exchanges from one comparison of
	// membership tables to the next. A comparison costs 1 KB, and 2.5 KB for
	// each member that differs.
	exchangesPerComparison = 30
	// behindThreshold is how many changes a comparison must find for this process
	// to be considered behind its peers, as after a start or the end of a network
	// partition. Its next exchange then compares again.
	behindThreshold = 8
	// maxComparisonRecords bounds the records in the response to one comparison;
	// the next comparison continues.
	maxComparisonRecords = 1024
	// probesPerInterval is how many suspect members a process probes per
	// ExchangeInterval.
	probesPerInterval = 2
)

// Quarantine is the copy that a process has of the record of quarantined
// requests.
type Quarantine interface {
	// StoredValue returns the encoded record and its index. The value is nil if the
	// record is not newer than have.
	StoredValue(have uint64) (index uint64, value []byte)
	// ApplyStored replaces the record by one from a peer. An older record changes
	// nothing.
	ApplyStored(index uint64, value []byte) (newer bool, err error)
	// WaitForUpdate waits for a newer record in the key-value service.
	WaitForUpdate(ctx context.Context) (newer bool, err error)
}

// Options holds the settings and dependencies of a Relay.
type Options struct {
	Cache      *Cache
	Store      *configstore.Store
	Table      *membership.Table
	Quarantine Quarantine
	// Self returns the current member record of this process.
	Self func() membership.Member
	// Client calls peers. Its idle connections should be closed soon, because
	// each exchange has another random peer; see NewClient.
	Client *http.Client
	Secret string
	Logger *log.Logger
}

// Relay keeps the configuration, the membership and the quarantine record of a
// process in sync with its peers.
type Relay struct {
	Options
	changes changeQueue

	mu            sync.Mutex
	fetching      bool
	inEffectSince time.Time // when this process put the newest revision into effect

	exchanges         atomic.Int64
	answers           atomic.Int64
	fetches           atomic.Int64
	watching          atomic.Bool
	pullingQuarantine atomic.Bool
	behind            atomic.Bool // the last comparison found at least behindThreshold changes
}

// State is the relay's part of the state dump.
type State struct {
	Revision uint64 `json:"revision"`
	// RevisionAgeSeconds is the time since this process put the revision into
	// effect.
	RevisionAgeSeconds float64 `json:"revision_age_seconds"`
	QuarantineIndex    uint64  `json:"quarantine_index"`
	Watching           bool    `json:"watching"`
	// Exchanges counts the exchanges begun by this process, Answers those begun
	// by its peers.
	Exchanges int64 `json:"exchanges"`
	Answers   int64 `json:"answers"`
	Fetches   int64 `json:"fetches"`
}

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// State returns the current state of the relay.
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
	if !r.inEffectSince.IsZero() {
		s.RevisionAgeSeconds = time.Since(r.inEffectSince).Seconds()
	}
	return s
}

// Run exchanges with peers and, while this process is a watcher, watches the
// key-value service until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.exchangeLoop(ctx) })
	wg.Go(func() { r.watchLoop(ctx) })
	wg.Go(func() { r.quarantineLoop(ctx) })
	wg.Wait()
	return nil
}

// applyState applies a configuration that was read from the key-value service.
func (r *Relay) applyState(ctx context.Context, state *configstore.State) {
	if state.Head.Revision == 0 {
		return
	}
	newer, err := r.Cache.ApplyHead(state.HeadBytes, state.Pages)
	if err != nil {
		r.Logger.Error("configuration from the key-value service is damaged; keeping the one in effect", "err", err)
		return
	}
	if newer {
		r.announceRevision(ctx, "key-value service")
	}
}

// announceRevision tells peers of a revision that just took effect in this
// process.
func (r *Relay) announceRevision(ctx context.Context, source string) {
	r.mu.Lock()
	r.inEffectSince = time.Now()
	r.mu.Unlock()
	r.Logger.Info("configuration took effect", "revision", r.Cache.Revision(), "from", source)
	r.Announce(ctx)
}

// Announce immediately tells a few random peers the configuration revision and
// the quarantine index of this process.
func (r *Relay) Announce(ctx context.Context) {
	self := r.refreshSelf()
	for _, m := range randomPeers(self.Name, r.Table.Members(), fanout, rand.IntN) {
		go r.exchange(ctx, m, false)
	}
}

// refreshSelf returns the current record of this process and updates it in the
// membership table, so that tables can be compared. An empty table stays empty,
// because a process that knows no other member is not ready.
func (r *Relay) refreshSelf() membership.Member {
	m := r.Self()
	if len(r.Table.Members()) > 0 {
		r.Table.MergeAuthoritative(m)
	}
	return m
}

// QueueChanges queues members that changed by a read of the platform's instance
// list, to be sent to peers.
func (r *Relay) QueueChanges(members []membership.Member) {
	for _, m := range members {
		if m.Name != r.Self().Name {
			r.changes.add(peer.MemberToProto(m))
		}
	}
}

// exchangeLoop probes suspect members and exchanges with a random peer about once per
// ExchangeInterval until ctx ends.
func (r *Relay) exchangeLoop(ctx context.Context) {
	for round := 1; wait.For(ctx, jitter(ExchangeInterval)); round++ {
		self, members := r.refreshSelf(), r.Table.Members()
		for _, m := range randomSuspects(self.Name, members, probesPerInterval, rand.IntN) {
			go r.exchange(ctx, m, false)
		}
		for _, m := range randomPeers(self.Name, members, 1, rand.IntN) {
			r.exchange(ctx, m, round%exchangesPerComparison == 1 || r.behind.Load())
		}
	}
}

// jitter varies d randomly by up to a quarter in either direction, so that
// processes that started together do not stay synchronized.
func jitter(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2)
}

// exchange swaps member records and revisions with one peer and fetches what is
// newer there. If compare is set, it also compares the membership tables.
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
	r.mergeAuthoritative(resp.Self)
	r.mergeRelayed(resp.Changes)
	if compare {
		// Most peers already know the records of a comparison, so these are not
		// queued for others.
		r.behind.Store(len(r.Table.MergeRelayed(r.decodeOthers(resp.Table))) >= behindThreshold)
	}
	r.applyQuarantine(ctx, resp)
	r.fetchIfNewer(ctx, resp.Self)
}

// mergeAuthoritative merges the record that a peer sent of itself and queues it
// for other peers if it changed the table.
func (r *Relay) mergeAuthoritative(record *peer.MemberRecord) {
	if record == nil || record.Name == "" || record.Name == r.Self().Name {
		return
	}
	if r.Table.MergeAuthoritative(peer.MemberFromProto(record)) {
		r.changes.add(record)
	}
}

// mergeRelayed merges records that a peer relayed and queues those that changed
// the table for other peers.
func (r *Relay) mergeRelayed(records []*peer.MemberRecord) {
	for _, m := range r.Table.MergeRelayed(r.decodeOthers(records)) {
		r.changes.add(peer.MemberToProto(m))
	}
}

// decodeOthers decodes records and leaves out those of this process.
func (r *Relay) decodeOthers(records []*peer.MemberRecord) []membership.Member {
	self := r.Self().Name
	var list []membership.Member
	for _, record := range records {
		if record != nil && record.Name != "" && record.Name != self {
			list = append(list, peer.MemberFromProto(record))
		}
	}
	return list
}

// applyQuarantine applies a newer quarantine record from a peer and tells other
// peers of it.
func (r *Relay) applyQuarantine(ctx context.Context, resp *peer.ExchangeResponse) {
	if len(resp.Quarantine) == 0 {
		return
	}
	newer, err := r.Quarantine.ApplyStored(resp.QuarantineIndex, resp.Quarantine)
	if err != nil {
		r.Logger.Error("quarantine record of a peer is damaged; keeping the one in effect", "index", resp.QuarantineIndex, "err", err)
		return
	}
	if newer {
		r.Announce(context.WithoutCancel(ctx))
	}
}

// fetchIfNewer fetches the configuration of a peer if it is newer. Only one
// fetch runs at a time; the next exchange makes up for one that was skipped.
func (r *Relay) fetchIfNewer(ctx context.Context, record *peer.MemberRecord) {
	if record == nil || record.ConfigRevision <= r.Cache.Revision() || !r.beginFetch() {
		return
	}
	defer r.endFetch()
	newer, err := r.fetch(ctx, peer.NewClient(record.PeerAddress, r.Client, r.Secret))
	if err != nil {
		r.Logger.Warn("could not fetch the newer configuration of a peer; the next exchange tries again", "peer", record.Name, "err", err)
		return
	}
	if newer {
		r.announceRevision(context.WithoutCancel(ctx), record.Name)
	}
}

// beginFetch reports whether a fetch may begin, because no other one is running.
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

// fetch fetches the head from a peer and then only the pages that are not in the
// cache. It reports whether the configuration was newer.
func (r *Relay) fetch(ctx context.Context, p peer.Peer) (bool, error) {
	r.fetches.Add(1)
	have := r.Cache.Revision()
	headCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.FetchConfig(headCtx, &peer.FetchConfigRequest{HaveRevision: have})
	if err != nil {
		return false, errors.Wrapf(err, "fetch the configuration head newer than revision %d", have)
	}
	if len(resp.Head) == 0 {
		return false, nil
	}
	head, err := configstore.DecodeHead(resp.Head)
	if err != nil {
		return false, err
	}
	fetched := make(map[string][]byte)
	if missing := r.Cache.MissingPages(head); len(missing) > 0 {
		pagesCtx, cancel := context.WithTimeout(ctx, pagesTimeout)
		defer cancel()
		pages, err := p.FetchConfig(pagesCtx, &peer.FetchConfigRequest{HaveRevision: have, WantPages: missing})
		if err != nil {
			return false, errors.Wrapf(err, "fetch %d pages of configuration revision %d", len(missing), head.Revision)
		}
		for _, page := range pages.Pages {
			fetched[page.Hash] = page.Content
		}
	}
	return r.Cache.ApplyHead(resp.Head, fetched)
}
