package relay

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
)

const (
	// watchRecheck is how often a process asks itself whether it is a watcher.
	watchRecheck = time.Second
	watchRetry   = time.Second
	// alonePause slows the watches of a process that knows nobody. Should all
	// 4,940 processes be alone, they make about 1,000 calls/s for each value.
	alonePause = 3 * time.Second
	// directEntries is up to how many entries each of them follows the
	// quarantine record itself. A copy that is a second old can cost one more
	// crash, and 64 waiting watches cost the service 38 calls/s.
	directEntries = 64
	roleEntry     = "entry"
)

// watchLoop watches the configuration while this process is one of the watchers.
func (r *Relay) watchLoop(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		watches := Watches(self, members)
		r.watching.Store(watches)
		// Before Start has found a configuration, a watch would load all of it.
		if !watches || r.Cache.Revision() == 0 {
			sleep(ctx, watchRecheck)
			continue
		}
		r.Store.Prime(r.Cache.Pages())
		state, err := r.Store.Watch(ctx, index)
		if err != nil {
			sleep(ctx, jitter(watchRetry))
			continue
		}
		index = state.Index
		r.adoptState(ctx, state)
		if !others(self.Name, members) {
			sleep(ctx, jitter(alonePause))
		}
	}
}

// quarantineLoop follows the quarantine record while this process is one of the
// watchers or one of few entries.
func (r *Relay) quarantineLoop(ctx context.Context) {
	for ctx.Err() == nil {
		self, members := r.Self(), r.Table.Members()
		if !followsQuarantine(self, members) {
			sleep(ctx, watchRecheck)
			continue
		}
		newer, err := r.Quarantine.Follow(ctx)
		if err != nil {
			sleep(ctx, jitter(watchRetry))
			continue
		}
		if newer {
			r.Announce(ctx)
		}
		if !others(self.Name, members) {
			sleep(ctx, jitter(alonePause))
		}
	}
}

func followsQuarantine(self membership.Member, members []membership.Member) bool {
	if self.Role == roleEntry && countEntries(members) <= directEntries {
		return true
	}
	return Watches(self, members)
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
