package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// scriptedStore is an in-memory store that fails on demand.
type scriptedStore struct {
	mu       sync.Mutex
	items    map[string]Item
	revision revision.Revision
	down     bool
	lists    int
	watches  int
}

func (s *scriptedStore) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	s.items[key] = Item{Key: key, Value: []byte(value), Revision: s.revision}
}

func (s *scriptedStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	delete(s.items, key)
}

func (s *scriptedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

var errDown = errors.New("store is down")

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

// Watch implements Store. It returns ErrCompacted after each change, so that each
// change leads to a new listing.
func (s *scriptedStore) Watch(ctx context.Context, _ string, after revision.Revision, wait time.Duration) ([]Event, revision.Revision, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		s.watches++
		down, changed, current := s.down, s.revision.After(after), s.revision
		s.mu.Unlock()
		switch {
		case down:
			return nil, revision.Revision{}, errDown
		case changed:
			return nil, revision.Revision{}, ErrCompacted
		case time.Now().After(end):
			return nil, current, nil
		}
		select {
		case <-ctx.Done():
			return nil, revision.Revision{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against wrong handling of vanished entries: they must be dropped at once
// while the store is available, about two seconds after an outage that may be the
// reason, and never during an outage.
func TestUnconfirmedEntries(t *testing.T) {
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
			t.Error("entry removed while the store was available is still in the view")
		}
		s.setDown(true)
		s.remove("life/b")
		s.remove("life/c")
		time.Sleep(10 * time.Second)
		if !has("life/b") {
			t.Error("entry was dropped during the outage")
		}
		s.setDown(false)
		time.Sleep(time.Second)
		if !has("life/b") || !has("life/c") {
			t.Error("entry removed during the outage was dropped before its owner could write it again")
		}
		s.set("life/b", "2")
		time.Sleep(3 * time.Second)
		if !has("life/b") || has("life/c") {
			t.Errorf("after the grace period: rewritten entry present: %v, want true; other entry present: %v, want false", has("life/b"), has("life/c"))
		}
		cancel()
		<-done
	})
}

// Guards against too many calls during an outage of the store.
func TestCallRateDuringOutage(t *testing.T) {
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
			t.Errorf("%d calls during an outage of 10s; want at most 40", s.lists)
		}
	})
}

// alternatingStore is a store whose answers belong to two generations in turn.
type alternatingStore struct{ calls int }

func (s *alternatingStore) next() revision.Revision {
	s.calls++
	return revision.Revision{Generation: uint64(1 + s.calls%2), Number: 1}
}

// List implements Store.
func (s *alternatingStore) List(context.Context, string, string) (Page, error) {
	return Page{Revision: s.next()}, nil
}

// Watch implements Store.
func (s *alternatingStore) Watch(context.Context, string, revision.Revision, time.Duration) ([]Event, revision.Revision, error) {
	return nil, s.next(), nil
}

// Guards against calls without a pause to a store that seems to be restored all the time.
func TestCallRateOfAlternatingGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &alternatingStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		m := New(Options{Store: s, Prefixes: []string{"a", "b"}, Apply: func(View) {}, OnConnectionChange: func(bool, error) {}})
		_ = m.Run(ctx)
		const maxCalls = 200
		if s.calls > maxCalls {
			t.Errorf("%d calls in ten seconds, want %d at most", s.calls, maxCalls)
		}
	})
}
