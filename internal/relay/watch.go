package relay

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// watcherCheckInterval is how often a process checks whether it is a
	// watcher.
	watcherCheckInterval = time.Second
	watchRetryDelay      = time.Second
	// sustainDelay is how long a process must belong to the watchers before it
	// starts to watch. A silent connection is detected and probed within that
	// time.
	sustainDelay = 3 * time.Second
	// isolatedWatchPause slows down the watches of a process that knows no other
	// member. If all 4,940 processes are isolated, they make about 1,000 calls/s
	// for each watched value.
	isolatedWatchPause = 3 * time.Second
	// maxDirectFollowers is the largest number of entries with which every entry
	// follows the quarantine record in the key-value service itself. A copy of
	// the record that is one second old can cost one more crash, and 64 waiting
	// watches cost the service 38 calls/s.
	maxDirectFollowers = 64
	roleEntry          = "entry"
)

// sustainedCondition delays a condition that may change from second to second
// until it has held for sustainDelay. Otherwise, when a watcher is suspect for a
// moment, every process that cannot reach it would start to watch in its place.
type sustainedCondition struct{ since time.Time }

// update takes the current value of the condition and reports whether the
// condition has held for sustainDelay.
func (c *sustainedCondition) update(holds bool) bool {
	if !holds {
		c.since = time.Time{}
		return false
	}
	if c.since.IsZero() {
		c.since = time.Now()
	}
	return time.Since(c.since) >= sustainDelay
}

// watchLoop watches the configuration while this process is a watcher.
func (r *Relay) watchLoop(ctx context.Context) {
	var index uint64
	var watcherCondition sustainedCondition
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		// Until Bootstrap has obtained a configuration, a watch would load all pages.
		isWatcher := watcherCondition.update(r.Cache.Revision() > 0 && IsWatcher(self, members))
		r.watching.Store(isWatcher)
		if !isWatcher {
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		r.Store.AddCachedPages(r.Cache.Pages())
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

// quarantineLoop follows the quarantine record while followsQuarantine holds.
func (r *Relay) quarantineLoop(ctx context.Context) {
	var followerCondition sustainedCondition
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		// Until Bootstrap is done the members are not known, and after a restart of
		// all processes each of them would consider itself a watcher.
		if !followerCondition.update(r.Cache.Revision() > 0 && followsQuarantine(self, members)) {
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		newer, err := r.Quarantine.WaitForUpdate(ctx)
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

// followsQuarantine reports whether self reads the quarantine record from the
// key-value service: the watchers do, and so do the entries if there are at most
// maxDirectFollowers.
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
