package relay

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// watchRecheck is how often a process asks itself whether it is a watcher.
	watchRecheck = time.Second
	watchRetry   = time.Second
	// dutyDelay is how long a process must belong to the watchers before it
	// watches. A silent connection is noticed and probed within that time.
	dutyDelay = 3 * time.Second
	// alonePause slows the watches of a process that knows nobody. Should all
	// 4,940 processes be alone, they make about 1,000 calls/s for each value.
	alonePause = 3 * time.Second
	// directEntries is up to how many entries each of them follows the
	// quarantine record itself. A copy that is a second old can cost one more
	// crash, and 64 waiting watches cost the service 38 calls/s.
	directEntries = 64
	roleEntry     = "entry"
)

// duty turns a condition that may change from second to second into one that
// lasts: a watcher that is suspect for a moment must not be replaced by every
// process that cannot reach it.
type duty struct{ since time.Time }

func (d *duty) holds(now bool) bool {
	if !now {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = time.Now()
	}
	return time.Since(d.since) >= dutyDelay
}

// watchLoop watches the configuration while this process is one of the watchers.
func (r *Relay) watchLoop(ctx context.Context) {
	var index uint64
	var watcher duty
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		// Before Start has found a configuration, a watch would load all of it.
		watches := watcher.holds(r.Cache.Revision() > 0 && IsWatcher(self, members))
		r.watching.Store(watches)
		if !watches {
			wait.For(ctx, watchRecheck)
			continue
		}
		r.Store.AddCachedPages(r.Cache.Pages())
		state, err := r.Store.Watch(ctx, index)
		if err != nil {
			wait.For(ctx, jitter(watchRetry))
			continue
		}
		index = state.Index
		r.adoptState(ctx, state)
		if !others(self.Name, members) {
			wait.For(ctx, jitter(alonePause))
		}
	}
}

// quarantineLoop follows the quarantine record while this process is one of the
// watchers or one of few entries.
func (r *Relay) quarantineLoop(ctx context.Context) {
	var follower duty
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		// Before Start is done the members are not known, and all processes of a
		// restart would take themselves for watchers.
		if !follower.holds(r.Cache.Revision() > 0 && followsQuarantine(self, members)) {
			wait.For(ctx, watchRecheck)
			continue
		}
		newer, err := r.Quarantine.WaitForUpdate(ctx)
		if err != nil {
			wait.For(ctx, jitter(watchRetry))
			continue
		}
		if newer {
			r.Announce(ctx)
		}
		if !others(self.Name, members) {
			wait.For(ctx, jitter(alonePause))
		}
	}
}

func followsQuarantine(self membership.Member, members []membership.Member) bool {
	if self.Role == roleEntry && countEntries(members) <= directEntries {
		return true
	}
	return IsWatcher(self, members)
}

func countEntries(members []membership.Member) int {
	n := 0
	for i := range members {
		if members[i].Role == roleEntry {
			n++
		}
	}
	return n
}
