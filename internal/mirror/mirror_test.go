package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// scriptedStore answers from a map and fails on demand.
type scriptedStore struct {
	mu       sync.Mutex
	items    map[string]Item
	revision uint64
	down     bool
	lists    int
	watches  int
}

func (s *scriptedStore) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = Item{Key: key, Value: []byte(value), Revision: s.revision}
}

func (s *scriptedStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

func (s *scriptedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

var errDown = errors.New("down")

// List implements Store.
func (s *scriptedStore) List(context.Context, string, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return Page{}, errDown
	}
	p := Page{Revision: s.revision}
	for _, i := range s.items {
		p.Items = append(p.Items, i)
	}
	return p, nil
}

// Watch implements Store; its history is always gone, so that each change means
// a new listing.
func (s *scriptedStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		s.watches++
		down, changed, revision := s.down, s.revision > after, s.revision
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case changed:
			return nil, 0, ErrCompacted
		case time.Now().After(end):
			return nil, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards the rules of entries that vanish: at once while the store is well, after
// two seconds when an outage may be the reason, and never while it is away.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{items: make(map[string]Item)}
		s.set("life/a", "1")
		s.set("life/b", "1")
		s.set("life/c", "1")
		var mu sync.Mutex
		var view View
		ctx, cancel := context.WithCancel(context.Background())
		m := New(Options{
			Store: s, Prefixes: []string{""}, Ephemeral: func(string) bool { return true },
			Apply:              func(v View) { mu.Lock(); defer mu.Unlock(); view = v },
			OnConnectionChange: func(bool, error) {},
		})
		done := make(chan struct{})
		go func() { defer close(done); _ = m.Run(ctx) }()
		has := func(key string) bool {
			mu.Lock()
			defer mu.Unlock()
			_, ok := view.Entries[key]
			return ok
		}
		time.Sleep(time.Second)
		s.remove("life/a")
		time.Sleep(500 * time.Millisecond)
		if has("life/a") {
			t.Error("an entry that vanished while the store was well is still there")
		}
		s.setDown(true)
		s.remove("life/b")
		s.remove("life/c")
		time.Sleep(10 * time.Second)
		if !has("life/b") {
			t.Error("an entry vanished while the store was away")
		}
		s.setDown(false)
		time.Sleep(time.Second)
		if !has("life/b") || !has("life/c") {
			t.Error("an entry that lapsed in the outage was dropped before its owner could return")
		}
		s.set("life/b", "2")
		time.Sleep(3 * time.Second)
		if !has("life/b") || has("life/c") {
			t.Errorf("after the grace time: returned entry there: %v, missing one there: %v", has("life/b"), has("life/c"))
		}
		cancel()
		<-done
	})
}

// Guards against a flood of calls while the store is away.
func TestCallsWhileAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{items: make(map[string]Item), down: true}
		ctx, cancel := context.WithCancel(context.Background())
		m := New(Options{Store: s, Prefixes: []string{""}, Apply: func(View) {}, OnConnectionChange: func(bool, error) {}})
		done := make(chan struct{})
		go func() { defer close(done); _ = m.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if s.lists > 40 {
			t.Errorf("%d calls in 10s of an outage; want at most 40", s.lists)
		}
	})
}
