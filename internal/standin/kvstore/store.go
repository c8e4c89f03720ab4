// Package kvstore is a stand-in for the platform's key-value service. It serves
// the KV endpoints of the Consul HTTP API, with rate limits and fault injection.
package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// DefaultWait is the wait of a blocking read that sets none, and MaxWait the
// longest wait. The values are those of Consul.
const (
	DefaultWait = 5 * time.Minute
	MaxWait     = 10 * time.Minute
)

// Errors of a Store.
var (
	// ErrNoAnswer reports that the service did not respond. A write may have taken
	// effect nevertheless.
	ErrNoAnswer = errors.New("key-value service did not respond; read back before writing again")
	// ErrRateLimited reports that the call exceeded the configured rate. The call
	// had no effect.
	ErrRateLimited = errors.New("key-value service rate limit exceeded; retry later")
	// ErrTooLarge reports a write of a value that exceeds MaxValueBytes. The write
	// had no effect.
	ErrTooLarge = errors.New("value exceeds 1 MB; split it over several keys")
)

// Entry is the value of a key with the index of its last change. Index 0 means
// that the key does not exist.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// Options configures a Store. Zero values select the defaults.
type Options struct {
	// Latency is the duration of each call when no fault is active.
	Latency time.Duration
	// ReadsPerSecond limits the rate of reads and defaults to 2,000. A blocking
	// read counts once.
	ReadsPerSecond float64
	// WritesPerSecond limits the rate of writes and defaults to 400.
	WritesPerSecond float64
}

// burstSeconds is the burst size of the rate limits, in seconds of the rate.
const burstSeconds = 0.25

// Counters counts the calls that reached the store.
type Counters struct {
	Reads       int `json:"reads"`
	Watches     int `json:"watches"` // blocking reads; not in Reads
	Writes      int `json:"writes"`  // swaps that took place
	Conflicts   int `json:"refused"` // swaps rejected because the index had changed
	RateLimited int `json:"limited"` // calls above the rate limits
	LostAcks    int `json:"lost_acks"`
	Dropped     int `json:"dropped"` // calls during an outage
}

// Store is the key-value store, without HTTP. All methods are safe for concurrent
// use.
type Store struct {
	opts   Options
	reads  *rate.Limiter
	writes *rate.Limiter

	mu              sync.Mutex
	entries         map[string]Entry
	index           uint64
	changeSignals   map[string]chan struct{} // closed at the next change of a key
	counters        Counters
	faults          faultState
	scheduledWrites map[*time.Timer]struct{} // delayed writes that have not taken effect yet
	closed          bool
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
		// Consul's indexes start at 1; 0 stands for an absent key.
		index:           1,
		changeSignals:   make(map[string]chan struct{}),
		faults:          newFaultState(),
		scheduledWrites: make(map[*time.Timer]struct{}),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Counters returns the counts so far.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Index returns the index of the last change of any key.
func (s *Store) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Get returns the entry of key.
func (s *Store) Get(ctx context.Context, key string) (Entry, error) {
	if err := s.admitRead(ctx, s.reads, func(c *Counters) { c.Reads++ }); err != nil {
		return Entry{Key: key}, err
	}
	return s.readEntry(key)
}

// Watch returns the entry of key as soon as its index exceeds after. If that does
// not happen within wait (DefaultWait when 0), it returns the unchanged entry.
func (s *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	if err := s.admitRead(ctx, s.reads, func(c *Counters) { c.Watches++ }); err != nil {
		return Entry{Key: key}, err
	}
	if wait <= 0 {
		wait = DefaultWait
	}
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		e, changed := s.entries[key], s.changeSignalLocked(key)
		callsAborted := s.faults.callsAborted
		s.mu.Unlock()
		if e.Index > after {
			return s.readEntry(key)
		}
		select {
		case <-changed:
		case <-callsAborted:
			return Entry{Key: key}, ErrNoAnswer
		case <-timer.C:
			return s.readEntry(key)
		case <-ctx.Done():
			return Entry{Key: key}, ctx.Err()
		}
	}
}

// CompareAndSwap writes value when the key's index equals index; index 0 creates
// the key. It reports whether the write took place. When ctx ends while a write
// is delayed, the write still takes effect.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, ErrTooLarge
	}
	if err := s.checkAvailable(s.writes); err != nil {
		return false, err
	}
	value = append([]byte(nil), value...)
	plan := s.planWrite()
	result := make(chan bool, 1)
	swap := func() { result <- s.swap(key, value, index) }
	if plan.delay > 0 {
		s.scheduleWrite(plan.delay, swap)
	} else {
		swap()
	}
	if plan.duplicateDelay > 0 {
		s.scheduleWrite(plan.delay+plan.duplicateDelay, func() { s.swap(key, value, index) })
	}
	if plan.dropResponseAtOnce {
		return false, ErrNoAnswer
	}
	select {
	case ok := <-result:
		if plan.loseAck {
			return false, s.recordLostAck()
		}
		return ok, nil
	case <-plan.callsAborted:
		return false, ErrNoAnswer
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// readEntry returns a copy of the entry of key, or ErrNoAnswer during an outage.
func (s *Store) readEntry(key string) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		s.counters.Dropped++
		return Entry{Key: key}, ErrNoAnswer
	}
	e, ok := s.entries[key]
	if !ok {
		return Entry{Key: key}, nil
	}
	e.Value = append([]byte(nil), e.Value...)
	return e, nil
}

// swap writes value when the key's index equals index, and wakes the watches of
// the key.
func (s *Store) swap(key string, value []byte, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Index != index {
		s.counters.Conflicts++
		return false
	}
	s.counters.Writes++
	s.index++
	s.entries[key] = Entry{Key: key, Value: value, Index: s.index}
	if ch, ok := s.changeSignals[key]; ok {
		close(ch)
		delete(s.changeSignals, key)
	}
	return true
}

// changeSignalLocked returns a channel that is closed at the next change of key.
func (s *Store) changeSignalLocked(key string) <-chan struct{} {
	ch, ok := s.changeSignals[key]
	if !ok {
		ch = make(chan struct{})
		s.changeSignals[key] = ch
	}
	return ch
}

// checkAvailable counts a call against the rate limit. It returns ErrNoAnswer
// during an outage and ErrRateLimited above the limit.
func (s *Store) checkAvailable(limit *rate.Limiter) error {
	allowed := limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.down || s.closed:
		s.counters.Dropped++
		return ErrNoAnswer
	case !allowed:
		s.counters.RateLimited++
		return ErrRateLimited
	}
	return nil
}

// admitRead is checkAvailable for a read. It also counts the read and waits for
// its latency.
func (s *Store) admitRead(ctx context.Context, limit *rate.Limiter, increment func(*Counters)) error {
	if err := s.checkAvailable(limit); err != nil {
		return err
	}
	s.mu.Lock()
	increment(&s.counters)
	delay, callsAborted := s.opts.Latency+s.faults.addedLatency, s.faults.callsAborted
	s.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-callsAborted:
		return ErrNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}

// scheduleWrite runs f, which applies a write, after d unless the store is
// closed first.
func (s *Store) scheduleWrite(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		_, due := s.scheduledWrites[t]
		delete(s.scheduledWrites, t)
		s.mu.Unlock()
		if due {
			f()
		}
	})
	s.scheduledWrites[t] = struct{}{}
}

// Close ends every blocked call and drops the writes that have not taken effect
// yet.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for t := range s.scheduledWrites {
		t.Stop()
	}
	clear(s.scheduledWrites)
	s.faults.stopTimers()
	s.faults.abortCallsLocked()
}
