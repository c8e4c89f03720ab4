package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/contact"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// brokenWatches is a store whose calls other than watches always work.
type brokenWatches struct {
	*scriptedStore
	mu sync.Mutex
	// cut ends the next watches with an error, and silent keeps them without an answer.
	cut, silent int
}

// Watch implements Store.
func (s *brokenWatches) Watch(ctx context.Context, prefix string, after revision.Revision, wait time.Duration) ([]Event, revision.Revision, error) {
	s.mu.Lock()
	cut, silent := s.cut > 0, s.silent > 0
	s.cut, s.silent = max(0, s.cut-1), max(0, s.silent-1)
	s.mu.Unlock()
	if cut {
		return nil, revision.Revision{}, errDown
	}
	if silent {
		<-ctx.Done()
		return nil, revision.Revision{}, ctx.Err()
	}
	return s.scriptedStore.Watch(ctx, prefix, after, wait)
}

// observe reports to the tracker that the store answers, as the renewals of a lease do.
func observe(ctx context.Context, s *scriptedStore, tracker *contact.Tracker) {
	const interval = 900 * time.Millisecond
	for wait.For(ctx, interval) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			tracker.Observe(time.Now())
		}
	}
}

// Guards against an entry that stays in use after its removal, because a broken connection,
// or the absence of this process alone, is taken for an outage of the store.
func TestRemovalAfterBrokenConnection(t *testing.T) {
	cases := []struct {
		name string
		// disturb is called 20 ms before the entry is removed.
		disturb func(s *brokenWatches)
		// ownOutage is how long this process does not reach the store, and inContact
		// whether another process has been in contact with it all the while.
		ownOutage time.Duration
		inContact bool
		// limit is when the entry must be out of use, after the removal.
		limit time.Duration
		// keptFor is how long it must be in use after the end of the outage.
		keptFor time.Duration
	}{
		{name: "no disturbance", limit: 300 * time.Millisecond},
		{name: "watch is cut", disturb: func(s *brokenWatches) { s.cut = 1 }, limit: 300 * time.Millisecond},
		{name: "watch becomes silent", disturb: func(s *brokenWatches) { s.silent = 1 }, limit: 2500 * time.Millisecond},
		{name: "own absence, short", ownOutage: time.Second, limit: 1700 * time.Millisecond},
		{name: "own absence, others in contact", ownOutage: 4 * time.Second, inContact: true, limit: 4700 * time.Millisecond},
		{name: "outage for all", ownOutage: 4 * time.Second, limit: 7 * time.Second, keptFor: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &brokenWatches{scriptedStore: &scriptedStore{items: make(map[string]Item)}}
				s.set("life/a", "1")
				var mu sync.Mutex
				var view View
				ctx, cancel := context.WithCancel(context.Background())
				m := New(Options{
					Store: s, Prefixes: []string{""}, Ephemeral: func(string) bool { return true },
					Apply:              func(v View) { mu.Lock(); defer mu.Unlock(); view = v },
					OnConnectionChange: func(bool, error) {},
					PresentSince:       func(time.Time) bool { return c.inContact },
					MaxSilence:         3 * time.Second,
				})
				done := make(chan struct{})
				go func() { defer close(done); _ = m.Run(ctx) }()
				go observe(ctx, s.scriptedStore, m.options.Contact)
				inUse := func() bool {
					mu.Lock()
					defer mu.Unlock()
					_, ok := view.Entries["life/a"]
					return ok
				}
				time.Sleep(5 * time.Second)
				if c.disturb != nil {
					s.mu.Lock()
					c.disturb(s)
					s.mu.Unlock()
					// The watch that waits ends with this change.
					s.set("life/b", "1")
				}
				s.setDown(c.ownOutage > 0)
				time.Sleep(20 * time.Millisecond)
				s.remove("life/a")
				removed := time.Now()
				time.Sleep(c.ownOutage)
				s.setDown(false)
				time.Sleep(c.keptFor)
				if c.keptFor > 0 && !inUse() {
					t.Error("dropped before its owner could write it again")
				}
				time.Sleep(time.Until(removed.Add(c.limit)))
				if inUse() {
					t.Errorf("still in use %v after its removal", c.limit)
				}
				cancel()
				<-done
			})
		})
	}
}
