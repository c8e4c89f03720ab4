package leadership

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// fakeStore is a Store with a single key.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64               // of the key
	holder   uint64               // lease of the key; 0 if the key does not exist
	until    map[uint64]time.Time // end of each lease
	next     uint64               // the lease granted last
	down     bool
	// restoreBeforeCreate restores the store before the key is created the next time.
	restoreBeforeCreate bool
	generation          uint64
}

const lease = 3 * time.Second

// call begins a call. It removes the key if its lease has expired and returns
// the function that ends the call.
func (s *fakeStore) call() (func(), error) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return nil, errors.New("store is down")
	}
	if s.holder != 0 && time.Now().After(s.until[s.holder]) {
		s.holder = 0
	}
	return s.mu.Unlock, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (uint64, error) {
	done, err := s.call()
	if err != nil {
		return 0, err
	}
	defer done()
	s.next++
	s.until[s.next] = time.Now().Add(lease)
	return s.next, nil
}

func (s *fakeStore) Renew(_ context.Context, id uint64) error {
	done, err := s.call()
	if err != nil {
		return err
	}
	defer done()
	if time.Now().After(s.until[id]) {
		return ErrLeaseEnded
	}
	s.until[id] = time.Now().Add(lease)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, id uint64) error {
	done, err := s.call()
	if err != nil {
		return err
	}
	defer done()
	s.until[id] = time.Time{}
	return nil
}

func (s *fakeStore) Create(_ context.Context, _ string, _ []byte, id uint64) (revision.Revision, bool, error) {
	done, err := s.call()
	if err != nil {
		return revision.Revision{}, false, err
	}
	defer done()
	if s.holder != 0 {
		return revision.Revision{}, false, nil
	}
	if s.restoreBeforeCreate {
		s.restoreBeforeCreate = false
		s.generation++
	}
	s.holder = id
	s.revision++
	return revision.Revision{Generation: s.generation, Number: s.revision}, true, nil
}

func (s *fakeStore) Read(context.Context, string) ([]byte, revision.Revision, error) {
	done, err := s.call()
	if err != nil {
		return nil, revision.Revision{}, err
	}
	defer done()
	if s.holder == 0 {
		return nil, revision.Revision{}, nil
	}
	return nil, revision.Revision{Number: s.revision}, nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// TestSingleLeader guards against two leaders at one time and against fencing
// tokens that do not increase. While the store is down, the leader must consider
// its own term ended before its lease expires in the store.
func TestSingleLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{until: make(map[uint64]time.Time)}
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		var electors []*Elector
		var wait sync.WaitGroup
		for range 3 {
			e := New(Options{
				Store: store, Key: "k", Lease: lease, LikelyFree: func() bool { return true }, Logger: log.New(io.Discard),
				Clock: func() time.Duration { return time.Since(start) }, Generation: func() uint64 { return 0 },
			})
			electors = append(electors, e)
			wait.Go(func() { _ = e.Run(ctx) })
		}
		var fences []uint64
		for step := range 600 {
			time.Sleep(50 * time.Millisecond)
			store.setDown(step >= 200 && step < 320)
			holders := 0
			for _, e := range electors {
				if term, ok := e.Term(); ok {
					holders++
					if n := len(fences); n == 0 || fences[n-1] != term.Fence {
						fences = append(fences, term.Fence)
					}
				}
			}
			if holders > 1 {
				t.Fatalf("%d leaders at %v, want at most one", holders, time.Since(start))
			}
			if step == 319 && holders != 0 {
				t.Error("a process is still leader 6 s after the store went down")
			}
		}
		cancel()
		wait.Wait()
		if len(fences) < 2 {
			t.Errorf("fencing tokens %v, want a new term after the outage", fences)
		}
		for i := 1; i < len(fences); i++ {
			if fences[i] <= fences[i-1] {
				t.Errorf("fencing tokens %v do not increase", fences)
			}
		}
	})
}

// Guards against leadership under a lease that the store forgot before the key was created,
// and whose ID may be that of another process.
func TestRestorationDuringCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{until: make(map[uint64]time.Time), generation: 1, restoreBeforeCreate: true}
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		e := New(Options{
			Store: store, Key: "k", Lease: lease, LikelyFree: func() bool { return true }, Logger: log.New(io.Discard),
			Clock: func() time.Duration { return time.Since(start) },
			Generation: func() uint64 {
				store.mu.Lock()
				defer store.mu.Unlock()
				return store.generation
			},
		})
		done := make(chan struct{})
		go func() { defer close(done); _ = e.Run(ctx) }()
		for time.Since(start) < 2*lease {
			time.Sleep(50 * time.Millisecond)
			if term, ok := e.Term(); ok {
				t.Fatalf("term %+v after %v", term, time.Since(start))
			}
		}
		time.Sleep(3 * lease)
		if _, ok := e.Term(); !ok {
			t.Error("no leader after the restoration")
		}
		cancel()
		<-done
	})
}
