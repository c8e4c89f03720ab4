package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// bootstrapPeers is how many random peers a starting process asks per round.
	bootstrapPeers = 3
	// bootstrapInterval is the average time between two rounds of a starting
	// process.
	bootstrapInterval = 500 * time.Millisecond
	// isolatedReadSpread spreads the first read by processes that know no other
	// member. When the instance list lags behind a restart of all 4,940
	// processes, this applies to all of them.
	isolatedReadSpread = 2 * time.Second
	// peersFirstDelay is how long a process that is not a watcher asks only its
	// peers and leaves the key-value service to the watchers. A random part of
	// peersFirstSpread is added.
	peersFirstDelay  = 5 * time.Second
	peersFirstSpread = 10 * time.Second
	// watcherSpreadPerPage and nonWatcherSpreadPerPage spread the load that
	// reading a whole configuration causes, per page. With 128 pages, 40
	// watchers read 1,000 pages/s over 5 s, and 4,940 other processes would read
	// 2,000 pages/s over 5 minutes. The first of these reads that succeeds makes
	// the others unnecessary, because peers pass the configuration on.
	watcherSpreadPerPage    = 40 * time.Millisecond
	nonWatcherSpreadPerPage = 2500 * time.Millisecond
)

// bootstrapper decides when a process without a configuration may read the
// key-value service.
type bootstrapper struct {
	relay *Relay
	// headReadAt is the earliest time of the next read of the head, by watch
	// role.
	headReadAt map[watchRole]time.Time
	loadAt     time.Time // earliest time to load all pages; zero until the head is known
}

// watchRole tells whether a process should read the key-value service, as far as
// it can tell from the members that it knows.
type watchRole int

const (
	isolated   watchRole = iota // knows no other member
	watcher                     // is one of the watchersPerDomain members of its failure domain that watch the key-value service
	nonWatcher                  // knows other members and is not a watcher
)

// watchRole returns the present watch role of this process.
func (r *Relay) watchRole() watchRole {
	self, members := r.Self(), r.Table.Members()
	switch {
	case !knowsOthers(self.Name, members):
		return isolated
	case IsWatcher(self, members):
		return watcher
	default:
		return nonWatcher
	}
}

// Bootstrap obtains a configuration: from a peer or, if none of the peers asked
// has one, from the key-value service. A watcher may read the service at once,
// any other process only after a delay; see isolatedReadSpread and
// peersFirstDelay. A process is not ready until Bootstrap has returned nil.
func (r *Relay) Bootstrap(ctx context.Context) error {
	b := bootstrapper{relay: r}
	b.scheduleHeadReads()
	for {
		r.exchangeWithPeers(ctx)
		if r.Cache.Revision() == 0 {
			b.readStore(ctx)
		}
		if r.Cache.Revision() > 0 {
			return nil
		}
		if !wait.For(ctx, jitter(bootstrapInterval)) {
			return errors.Wrap(ctx.Err(), "no configuration obtained; check that the key-value service or a peer is reachable and that a ticket was applied")
		}
	}
}

// exchangeWithPeers exchanges with random peers and with a watcher of this
// process's failure domain, which receives the configuration first. It stops
// when this process has a configuration.
func (r *Relay) exchangeWithPeers(ctx context.Context) {
	self, members := r.refreshSelf(), r.Table.Members()
	peers := randomPeers(self.Name, members, bootstrapPeers, rand.IntN)
	if watchers := domainWatchers(self, members); len(watchers) > 0 {
		peers = append(peers, watchers[rand.IntN(len(watchers))])
	}
	for _, m := range peers {
		if r.Cache.Revision() == 0 {
			r.exchange(ctx, m, false)
		}
	}
}

// scheduleHeadReads sets the time of the next read of the head for each watch
// role.
func (b *bootstrapper) scheduleHeadReads() {
	now := time.Now()
	b.headReadAt = map[watchRole]time.Time{
		isolated:   now.Add(rand.N(isolatedReadSpread)),
		watcher:    now,
		nonWatcher: now.Add(peersFirstDelay + rand.N(peersFirstSpread)),
	}
}

// readStore reads the key-value service if a read is due.
func (b *bootstrapper) readStore(ctx context.Context) {
	role := b.relay.watchRole()
	if b.loadAt.IsZero() && !time.Now().Before(b.headReadAt[role]) {
		b.scheduleLoad(ctx, role)
	}
	if !b.loadAt.IsZero() && !time.Now().Before(b.loadAt) {
		b.load(ctx)
	}
}

// scheduleLoad reads the head and sets the time to load all pages. The number of
// pages indicates how many processes may load them at once, because only a large
// system has a large configuration.
func (b *bootstrapper) scheduleLoad(ctx context.Context, role watchRole) {
	b.scheduleHeadReads()
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	head, err := b.relay.Store.Head(callCtx)
	if err != nil {
		b.relay.Logger.Warn("key-value service gave no configuration; asking peers", "err", err)
		return
	}
	if head.Revision == 0 {
		return
	}
	spread := nonWatcherSpreadPerPage
	if role == watcher {
		spread = watcherSpreadPerPage
	}
	b.loadAt = time.Now()
	if pages := len(head.Pages); pages > 1 {
		b.loadAt = b.loadAt.Add(rand.N(time.Duration(pages-1) * spread))
	}
}

// load reads the whole configuration from the key-value service and applies it. If
// that fails, the next read of the head schedules another load.
func (b *bootstrapper) load(ctx context.Context) {
	b.loadAt = time.Time{}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := b.relay.Store.Load(callCtx)
	if err != nil {
		b.relay.Logger.Warn("key-value service gave no configuration; asking peers", "err", err)
		return
	}
	b.relay.applyState(ctx, state)
}

// domainWatchers returns the watchers of self's failure domain except self.
func domainWatchers(self membership.Member, members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Name != self.Name && m.FailureDomain == self.FailureDomain && canWatch(m) && watcherRank(m, self, members) < watchersPerDomain {
			list = append(list, m)
		}
	}
	return list
}
