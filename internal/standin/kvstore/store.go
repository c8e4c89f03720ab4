// Package kvstore is a small stand-in for the platform's key-value service:
// the KV part of the Consul HTTP API, with rates and faults.
package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// DefaultWait and MaxWait bound a blocking read, as Consul does.
const (
	DefaultWait = 5 * time.Minute
	MaxWait     = 10 * time.Minute
)

// Errors of a Store.
var (
	// ErrNoAnswer reports that the service didn't answer. A write may have taken effect.
	ErrNoAnswer = errors.New("key-value service gave no answer; read back before writing again")
	// ErrRateLimited reports a call above the configured rate. It had no effect.
	ErrRateLimited = errors.New("key-value service rate limit exceeded; retry later")
	// ErrTooLarge reports a value above MaxValueBytes. It had no effect.
	ErrTooLarge = errors.New("value exceeds 1 MB; split it over several keys")
)

// Entry is a key's value with the index of its last change. Index 0 means that
// the key is absent.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// Options configure a Store. Zero values select the defaults.
type Options struct {
	// Latency is the time that each call takes without faults.
	Latency time.Duration
	// ReadsPerSecond defaults to 2,000; a blocking read counts once.
	ReadsPerSecond float64
	// WritesPerSecond defaults to 400.
	WritesPerSecond float64
}

// burstSeconds is the part of a second's calls that may arrive at once.
const burstSeconds = 0.25

// Counters count the calls that reached the store.
type Counters struct {
	Reads     int `json:"reads"`
	Watches   int `json:"watches"` // blocking reads; not in Reads
	Writes    int `json:"writes"`  // swaps that took place
	Conflicts int `json:"refused"` // swaps refused because the index had changed
	Limited   int `json:"limited"` // calls above the rates
	LostAcks  int `json:"lost_acks"`
	Dropped   int `json:"dropped"` // calls during an outage
}

// Store is the service's state, without HTTP. All methods are safe for concurrent use.
type Store struct {
	opts   Options
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	entries map[string]Entry
	index   uint64
	changed map[string]chan struct{} // closed at the next change of a key
	count   Counters
	faults  faults
	late    map[*time.Timer]struct{} // writes that are yet to take effect
	closed  bool
}

// NewStore returns an empty store.
func NewStore(opts Options) *Store {
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = 2000
	}
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = 400
	}
	return &Store{
		opts:    opts,
		reads:   newLimiter(opts.ReadsPerSecond),
		writes:  newLimiter(opts.WritesPerSecond),
		entries: make(map[string]Entry),
		// Consul's indexes are never 0.
		index:   1,
		changed: make(map[string]chan struct{}),
		faults:  newFaults(),
		late:    make(map[*time.Timer]struct{}),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Counters returns the counts so far.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Index returns the index of the last change of any key.
func (s *Store) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Get returns the entry of key.
func (s *Store) Get(ctx context.Context, key string) (Entry, error) {
	if err := s.admit(ctx, s.reads, func(c *Counters) { c.Reads++ }); err != nil {
		return Entry{Key: key}, err
	}
	return s.read(key)
}

// Watch returns the entry of key as soon as its index exceeds after, or the
// unchanged entry after wait (DefaultWait when 0).
func (s *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	if err := s.admit(ctx, s.reads, func(c *Counters) { c.Watches++ }); err != nil {
		return Entry{Key: key}, err
	}
	if wait <= 0 {
		wait = DefaultWait
	}
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		e, ok := s.entries[key], s.changeLocked(key)
		broken := s.faults.broken
		s.mu.Unlock()
		if e.Index > after {
			return s.read(key)
		}
		select {
		case <-ok:
		case <-broken:
			return Entry{Key: key}, ErrNoAnswer
		case <-timer.C:
			return s.read(key)
		case <-ctx.Done():
			return Entry{Key: key}, ctx.Err()
		}
	}
}

// CompareAndSwap writes value when the key's index still equals index; index 0
// creates the key. It reports whether the write took place. A write whose
// caller gives up while the service is slow still takes effect.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, ErrTooLarge
	}
	if err := s.allow(s.writes); err != nil {
		return false, err
	}
	value = append([]byte(nil), value...)
	plan := s.planWrite()
	answer := make(chan bool, 1)
	swap := func() { answer <- s.swap(key, value, index) }
	if plan.delay > 0 {
		s.after(plan.delay, swap)
	} else {
		swap()
	}
	if plan.duplicate > 0 {
		s.after(plan.delay+plan.duplicate, func() { s.swap(key, value, index) })
	}
	if plan.hideAnswer {
		return false, ErrNoAnswer
	}
	select {
	case ok := <-answer:
		if plan.loseAck {
			return false, s.loseAck()
		}
		return ok, nil
	case <-plan.broken:
		return false, ErrNoAnswer
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (s *Store) read(key string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		s.count.Dropped++
		return Entry{Key: key}, ErrNoAnswer
	}
	e, ok := s.entries[key]
	if !ok {
		return Entry{Key: key}, nil
	}
	e.Value = append([]byte(nil), e.Value...)
	return e, nil
}

func (s *Store) swap(key string, value []byte, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Index != index {
		s.count.Conflicts++
		return false
	}
	s.count.Writes++
	s.index++
	s.entries[key] = Entry{Key: key, Value: value, Index: s.index}
	if ch, ok := s.changed[key]; ok {
		close(ch)
		delete(s.changed, key)
	}
	return true
}

func (s *Store) changeLocked(key string) <-chan struct{} {
	ch, ok := s.changed[key]
	if !ok {
		ch = make(chan struct{})
		s.changed[key] = ch
	}
	return ch
}

// allow counts a call against the rates and the outage.
func (s *Store) allow(limit *rate.Limiter) error {
	allowed := limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.down || s.closed:
		s.count.Dropped++
		return ErrNoAnswer
	case !allowed:
		s.count.Limited++
		return ErrRateLimited
	}
	return nil
}

// admit is allow for a read, which it counts and delays.
func (s *Store) admit(ctx context.Context, limit *rate.Limiter, counted func(*Counters)) error {
	if err := s.allow(limit); err != nil {
		return err
	}
	s.mu.Lock()
	counted(&s.count)
	delay, broken := s.opts.Latency+s.faults.delay, s.faults.broken
	s.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-broken:
		return ErrNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}

// after runs f after d unless the store is closed first.
func (s *Store) after(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		_, due := s.late[t]
		delete(s.late, t)
		s.mu.Unlock()
		if due {
			f()
		}
	})
	s.late[t] = struct{}{}
}

// Close ends every blocked call and drops writes that are yet to take effect.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for t := range s.late {
		t.Stop()
	}
	clear(s.late)
	s.faults.stop()
	s.faults.breakLocked()
}
