package configstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/platform"
)

// fakeKV is an in-memory key-value service with outages, delays and writes
// whose acknowledgement is lost or that take effect late.
type fakeKV struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	index   uint64
	changed chan struct{}
	down    bool
	rng     *rand.Rand // nil: no random faults
	// loseAck makes the next head write take effect without an answer.
	loseAck bool
	// beforeSwap runs before each write, without the lock.
	beforeSwap func(key string)

	reads, writes int
	bytesWritten  int
}

func newFakeKV() *fakeKV {
	return &fakeKV{entries: make(map[string]platform.Entry), index: 10, changed: make(chan struct{})}
}

var errDown = errors.Wrap(platform.ErrUnavailable, "fake service")

func (f *fakeKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	f.sleep(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down || f.chance(10) {
		return platform.Entry{}, errDown
	}
	if e, ok := f.entries[key]; ok {
		return e, nil
	}
	return platform.Entry{Key: key}, nil
}

func (f *fakeKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if f.beforeSwap != nil {
		f.beforeSwap(key)
	}
	f.sleep(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.down || f.chance(10) {
		return false, errDown
	}
	if f.chance(15) {
		// The write is still under way when its caller has given up.
		time.AfterFunc(time.Duration(f.rng.IntN(400))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.swap(key, value, index)
		})
		return false, errDown
	}
	done := f.swap(key, value, index)
	if f.chance(15) || f.loseAck && key == HeadKey {
		f.loseAck = false
		return false, errDown
	}
	return done, nil
}

func (f *fakeKV) swap(key string, value []byte, index uint64) bool {
	if f.entries[key].Index != index {
		return false
	}
	f.index++
	f.bytesWritten += len(value)
	f.entries[key] = platform.Entry{Key: key, Value: value, Index: f.index}
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

func (f *fakeKV) Watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	for {
		f.mu.Lock()
		e, down, changed := f.entries[key], f.down, f.changed
		f.mu.Unlock()
		if down {
			return platform.Entry{}, errDown
		}
		if e.Index > after {
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Entry{}, ctx.Err()
		}
	}
}

func (f *fakeKV) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// chance is called with the lock held.
func (f *fakeKV) chance(percent int) bool { return f.rng != nil && f.rng.IntN(100) < percent }

func (f *fakeKV) sleep(ctx context.Context) {
	f.mu.Lock()
	var d time.Duration
	if f.rng != nil {
		d = time.Duration(f.rng.IntN(5000)) * time.Microsecond
	}
	f.mu.Unlock()
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
