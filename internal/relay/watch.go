package relay

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// watcherCheckInterval is how often a process asks itself whether it is a watcher.
	watcherCheckInterval = time.Second
	watchRetryDelay      = time.Second
	// sustainDelay is how long a process must belong to the watchers before it
	// watches. A silent connection is noticed and probed within that time.
	sustainDelay = 3 * time.Second
	// isolatedWatchPause slows the watches of a process that knows nobody. Should all
	// 4,940 processes be alone, they make about 1,000 calls/s for each value.
	isolatedWatchPause = 3 * time.Second
	// maxDirectFollowers is up to how many entries each of them follows the
	// quarantine record itself. A copy that is a second old can cost one more
	// crash, and 64 waiting watches cost the service 38 calls/s.
	maxDirectFollowers = 64
	roleEntry          = "entry"
)

// sustainedCondition turns a condition that may change from second to second into one that
// lasts: a watcher that is suspect for a moment must not be replaced by every
// process that cannot reach it.
type sustainedCondition struct{ since time.Time }

func (d *sustainedCondition) update(holds bool) bool {
	if !holds {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = time.Now()
	}
	return time.Since(d.since) >= sustainDelay
}

// watchLoop watches the configuration while this process is one of the watchers.
func (r *Relay) watchLoop(ctx context.Context) {
	var index uint64
	var watcherCondition sustainedCondition
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		// Before Start has found a configuration, a watch would load all of it.
		isWatcher := watcherCondition.update(r.Cache.Revision() > 0 && IsWatcher(self, members))
		r.watching.Store(isWatcher)
		if !isWatcher {
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		r.Store.Prime(r.Cache.Pages())
		state, err := r.Store.Watch(ctx, index)
		if err != nil {
			wait.For(ctx, jitter(watchRetryDelay))
			continue
		}
		index = state.Index
		r.applyState(ctx, state)
		if !knowsOthers(self.Name, members) {
			wait.For(ctx, jitter(isolatedWatchPause))
		}
	}
}

// quarantineLoop follows the quarantine record while this process is one of the
// watchers or one of few entries.
func (r *Relay) quarantineLoop(ctx context.Context) {
	var followerCondition sustainedCondition
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		// Before Start is done the members are not known, and all processes of a
		// restart would take themselves for watchers.
		if !followerCondition.update(r.Cache.Revision() > 0 && followsQuarantine(self, members)) {
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		newer, err := r.Quarantine.Follow(ctx)
		if err != nil {
			wait.For(ctx, jitter(watchRetryDelay))
			continue
		}
		if newer {
			r.Announce(ctx)
		}
		if !knowsOthers(self.Name, members) {
			wait.For(ctx, jitter(isolatedWatchPause))
		}
	}
}

func followsQuarantine(self membership.Member, members []membership.Member) bool {
	if self.Role == roleEntry && countEntries(members) <= maxDirectFollowers {
		return true
	}
	return IsWatcher(self, members)
}

func countEntries(members []membership.Member) int {
	count := 0
	for i := range members {
		if members[i].Role == roleEntry {
			count++
		}
	}
	return count
}
