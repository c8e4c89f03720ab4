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
	// startPeers is how many peers a starting process asks at a time.
	startPeers = 3
	// startPause is the time between two rounds of a starting process.
	startPause = 500 * time.Millisecond
	// aloneSpread spreads the first read of processes that know nobody. When the
	// list lags behind a restart of all 4,940 processes, all of them are alone.
	aloneSpread = 2 * time.Second
	// patience is how long a process that is no watcher leaves the service to
	// the watchers and asks only its peers; patienceSpread is added at random.
	patience       = 5 * time.Second
	patienceSpread = 10 * time.Second
	// watcherPerPage and otherPerPage spread the load of a whole configuration,
	// per page. At 128 pages, 40 watchers read 1,000 pages/s over 5 s, and 4,940
	// other processes would read 2,000 pages/s over 5 minutes; the first one that
	// succeeds spares the others theirs.
	watcherPerPage = 40 * time.Millisecond
	otherPerPage   = 2500 * time.Millisecond
)

// starter decides when a process without a configuration may read the service.
type starter struct {
	relay *Relay
	// readAt is the earliest next read of the head, by position.
	readAt map[position]time.Time
	loadAt time.Time // the earliest time to load all pages; zero before the head is known
}

// position is what a process knows of its duty towards the service.
type position int

const (
	alone   position = iota // knows nobody
	watcher                 // is one of the watchers of its failure domain
	other
)

func (r *Relay) position() position {
	self, members := r.Self(), r.Table.Members()
	switch {
	case !others(self.Name, members):
		return alone
	case IsWatcher(self, members):
		return watcher
	default:
		return other
	}
}

// Bootstrap takes the newest configuration that it can find: from several peers, and
// from the key-value service if this process is a watcher or no peer has any. A
// process is not ready before it returns nil.
func (r *Relay) Bootstrap(ctx context.Context) error {
	s := starter{relay: r}
	s.planRead()
	for {
		r.askPeers(ctx)
		if r.Cache.Revision() == 0 {
			s.askService(ctx)
		}
		if r.Cache.Revision() > 0 {
			return nil
		}
		if !wait.For(ctx, jitter(startPause)) {
			return errors.Wrap(ctx.Err(), "no configuration; check that the key-value service or a peer is reachable and that a ticket was applied")
		}
	}
}

// askPeers exchanges with a watcher of the own failure domain, which has the
// configuration first, and with random peers.
func (r *Relay) askPeers(ctx context.Context) {
	self, members := r.self(), r.Table.Members()
	peers := pickPeers(self.Name, members, startPeers, rand.IntN)
	if watchers := domainWatchers(self, members); len(watchers) > 0 {
		peers = append(peers, watchers[rand.IntN(len(watchers))])
	}
	for _, m := range peers {
		if r.Cache.Revision() == 0 {
			r.exchange(ctx, m, false)
		}
	}
}

// planRead chooses the time of the next read of the head for each position.
func (s *starter) planRead() {
	now := time.Now()
	s.readAt = map[position]time.Time{
		alone:   now.Add(rand.N(aloneSpread)),
		watcher: now,
		other:   now.Add(patience + rand.N(patienceSpread)),
	}
}

func (s *starter) askService(ctx context.Context) {
	at := s.relay.position()
	if s.loadAt.IsZero() && !time.Now().Before(s.readAt[at]) {
		s.planLoad(ctx, at)
	}
	if !s.loadAt.IsZero() && !time.Now().Before(s.loadAt) {
		s.load(ctx)
	}
}

// planLoad reads the head, whose number of pages tells how many processes to
// expect: only a large system has a large configuration.
func (s *starter) planLoad(ctx context.Context, at position) {
	s.planRead()
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
	spread := otherPerPage
	if at == watcher {
		spread = watcherPerPage
	}
	s.loadAt = time.Now()
	if pages := len(head.Pages); pages > 1 {
		s.loadAt = s.loadAt.Add(rand.N(time.Duration(pages-1) * spread))
	}
}

func (s *starter) load(ctx context.Context) {
	s.loadAt = time.Time{}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := s.relay.Store.Load(callCtx)
	if err != nil {
		s.relay.Logger.Warn("key-value service gave no configuration; asking peers", "err", err)
		return
	}
	s.relay.adoptState(ctx, state)
}

// domainWatchers returns the members of self's failure domain that watch the
// service, without self.
func domainWatchers(self membership.Member, members []membership.Member) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Name != self.Name && m.FailureDomain == self.FailureDomain && canWatch(m) && outranked(m, self, members) < watchersPerDomain {
			list = append(list, m)
		}
	}
	return list
}
