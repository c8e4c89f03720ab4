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
	// bootstrapPeers is how many peers a starting process asks at a time.
	bootstrapPeers = 3
	// bootstrapInterval is the time between two rounds of a starting process.
	bootstrapInterval = 500 * time.Millisecond
	// isolatedReadSpread spreads the first read of processes that know nobody. When the
	// list lags behind a restart of all 4,940 processes, all of them are alone.
	isolatedReadSpread = 2 * time.Second
	// peersFirstDelay is how long a process that is no watcher leaves the service to
	// the watchers and asks only its peers; patienceSpread is added at random.
	peersFirstDelay  = 5 * time.Second
	peersFirstSpread = 10 * time.Second
	// watcherSpreadPerPage and otherPerPage spread the load of a whole configuration,
	// per page. At 128 pages, 40 watchers read 1,000 pages/s over 5 s, and 4,940
	// other processes would read 2,000 pages/s over 5 minutes; the first one that
	// succeeds spares the others theirs.
	watcherSpreadPerPage    = 40 * time.Millisecond
	nonWatcherSpreadPerPage = 2500 * time.Millisecond
)

// bootstrapper decides when a process without a configuration may read the service.
type bootstrapper struct {
	relay *Relay
	// readAt is the earliest next read of the head, by position.
	headReadAt map[watchRole]time.Time
	loadAt     time.Time // the earliest time to load all pages; zero before the head is known
}

// watchRole is what a process knows of its duty towards the service.
type watchRole int

const (
	isolated watchRole = iota // knows nobody
	watcher                   // is one of the watchers of its failure domain
	nonWatcher
)

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

// Bootstrap takes the newest configuration that it can find: from several peers, and
// from the key-value service if this process is a watcher or no peer has any. A
// process is not ready before it returns nil.
func (r *Relay) Bootstrap(ctx context.Context) error {
	s := bootstrapper{relay: r}
	s.scheduleHeadReads()
	for {
		r.exchangeWithPeers(ctx)
		if r.Cache.Revision() == 0 {
			s.readStore(ctx)
		}
		if r.Cache.Revision() > 0 {
			return nil
		}
		if !wait.For(ctx, jitter(bootstrapInterval)) {
			return errors.Wrap(ctx.Err(), "no configuration; check that the key-value service or a peer is reachable and that a ticket was applied")
		}
	}
}

// exchangeWithPeers exchanges with a watcher of the own failure domain, which has the
// configuration first, and with random peers.
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

// scheduleHeadReads chooses the time of the next read of the head for each position.
func (s *bootstrapper) scheduleHeadReads() {
	now := time.Now()
	s.headReadAt = map[watchRole]time.Time{
		isolated:   now.Add(rand.N(isolatedReadSpread)),
		watcher:    now,
		nonWatcher: now.Add(peersFirstDelay + rand.N(peersFirstSpread)),
	}
}

func (s *bootstrapper) readStore(ctx context.Context) {
	role := s.relay.watchRole()
	if s.loadAt.IsZero() && !time.Now().Before(s.headReadAt[role]) {
		s.scheduleLoad(ctx, role)
	}
	if !s.loadAt.IsZero() && !time.Now().Before(s.loadAt) {
		s.load(ctx)
	}
}

// scheduleLoad reads the head, whose number of pages tells how many processes to
// expect: only a large system has a large configuration.
func (s *bootstrapper) scheduleLoad(ctx context.Context, role watchRole) {
	s.scheduleHeadReads()
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	head, err := s.relay.Store.Head(callCtx)
	if err != nil {
		s.relay.Logger.Warn("key-value service gave no configuration; asking peers", "err", err)
		return
	}
	if head.Revision == 0 {
		return
	}
	spread := nonWatcherSpreadPerPage
	if role == watcher {
		spread = watcherSpreadPerPage
	}
	s.loadAt = time.Now()
	if pages := len(head.Pages); pages > 1 {
		s.loadAt = s.loadAt.Add(rand.N(time.Duration(pages-1) * spread))
	}
}

func (s *bootstrapper) load(ctx context.Context) {
	s.loadAt = time.Time{}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := s.relay.Store.Load(callCtx)
	if err != nil {
		s.relay.Logger.Warn("key-value service gave no configuration; asking peers", "err", err)
		return
	}
	s.relay.applyState(ctx, state)
}

// domainWatchers returns the members of self's failure domain that watch the
// service, without self.
func domainWatchers(self membership.Member, members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Name != self.Name && m.FailureDomain == self.FailureDomain && canWatch(m) && watcherRank(m, self, members) < watchersPerDomain {
			list = append(list, m)
		}
	}
	return list
}
