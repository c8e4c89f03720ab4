package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// Key is the key of the record in the key-value service.
const Key = "fescueslip/quarantine"

const (
	// flushRetry is the pause after a failed write.
	flushRetry = 500 * time.Millisecond
	maxOps     = 4096
)

// op changes a record and reports whether it did.
type op func(*Record) bool

// Replica holds a process's copy of the record and writes changes to the
// key-value service, many in one write. Local changes count at once: a crash
// that this process saw is known here even while the service is down.
type Replica struct {
	kv  kvservice.KV
	log *log.Logger

	current atomic.Pointer[Record]
	changed atomic.Pointer[func()]
	settle  atomic.Pointer[func(context.Context, Fingerprint)]

	mu      sync.Mutex
	stored  *Record // the newest record read from the service
	raw     []byte  // stored as the service has it
	index   uint64
	pending []op
	wake    chan struct{}
}

// NewReplica returns a keeper with an empty record.
func NewReplica(kv kvservice.KV, logger *log.Logger) *Replica {
	k := &Replica{kv: kv, log: logger, stored: new(Record), wake: make(chan struct{}, 1)}
	k.current.Store(new(Record))
	return k
}

// Status returns how a request with the fingerprint may run. It takes no lock.
func (k *Replica) Status(f Fingerprint) Status { return k.current.Load().Status(f) }

// ReportCrash notes a crash and returns the verdict that follows.
func (k *Replica) ReportCrash(f Fingerprint, upstream string) Status {
	k.apply(func(r *Record) bool { return r.ReportCrash(f, upstream) })
	v := k.Status(f)
	if v == Quarantined {
		k.log.Error("request quarantined: two upstreams crashed while they ran it", "fingerprint", f.String(), "upstream", upstream)
	}
	return v
}

// ClearSuspect notes that a suspect ran to its end.
func (k *Replica) ClearSuspect(f Fingerprint) {
	k.apply(func(r *Record) bool { return r.ClearSuspect(f) })
}

// Record returns the current copy; it must not be changed.
func (k *Replica) Record() *Record { return k.current.Load() }

// OnChange sets a function that is called after each change of the copy.
func (k *Replica) OnChange(f func()) { k.changed.Store(&f) }

func (k *Replica) notify() {
	if f := k.changed.Load(); f != nil {
		(*f)()
	}
}

func (k *Replica) apply(change op) {
	if k.applyLocked(change) {
		k.notify()
	}
}

func (k *Replica) applyLocked(change op) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.current.Load().clone()
	if !change(next) {
		return false
	}
	k.current.Store(next)
	if len(k.pending) < maxOps {
		k.pending = append(k.pending, change)
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return true
}

// ApplyStored takes a record that was read from the service, here or by a peer, and
// applies the pending changes on top. An older record changes nothing. It
// reports whether the record was newer.
func (k *Replica) ApplyStored(index uint64, value []byte) (newer bool, err error) {
	k.mu.Lock()
	known := k.index
	k.mu.Unlock()
	if index <= known {
		return false, nil
	}
	r, err := decode(value)
	if err != nil {
		return false, err
	}
	newer = k.takeOver(index, value, r)
	if newer {
		k.notify()
	}
	return newer, nil
}

func (k *Replica) takeOver(index uint64, value []byte, r *Record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if index <= k.index {
		return false
	}
	k.stored, k.raw, k.index = r, value, index
	next := r.clone()
	for _, change := range k.pending {
		change(next)
	}
	k.current.Store(next)
	return true
}

// Refresh reads the record once.
func (k *Replica) Refresh(ctx context.Context) error {
	e, err := k.kv.Get(ctx, Key)
	if err != nil {
		return err
	}
	_, err = k.ApplyStored(e.Index, e.Value)
	return err
}

// Flush writes the pending changes. After a lost acknowledgement it reads the
// record back; applying a change again is harmless.
func (k *Replica) Flush(ctx context.Context) error {
	for {
		value, index, count, err := k.nextWrite()
		if err != nil || count == 0 {
			return err
		}
		if value != nil {
			ok, err := k.kv.CompareAndSwap(ctx, Key, value, index)
			if err != nil {
				return errors.Wrap(err, "write quarantine record")
			}
			if !ok {
				if err := k.Refresh(ctx); err != nil {
					return err
				}
				continue
			}
		}
		k.dropPending(count)
		if err := k.Refresh(ctx); err != nil {
			return err
		}
	}
}

// nextWrite returns the value to write, or nil when the pending changes are
// already part of the stored record.
func (k *Replica) nextWrite() (value []byte, index uint64, count int, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.stored.clone()
	changed := false
	for _, change := range k.pending {
		if change(next) {
			changed = true
		}
	}
	if !changed {
		return nil, k.index, len(k.pending), nil
	}
	value, err = next.encode()
	return value, k.index, len(k.pending), err
}

func (k *Replica) dropPending(count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = k.pending[count:]
}

// RunWriter writes changes until ctx ends; only processes that report crashes need it.
func (k *Replica) RunWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
		}
		for k.Flush(ctx) != nil {
			if !wait.For(ctx, flushRetry) {
				return nil
			}
			// The record may have moved on while the service was away.
			_ = k.Refresh(ctx)
		}
	}
}

// WaitForUpdate waits until the service has a newer record or ends the wait, and
// reports whether it adopted one.
func (k *Replica) WaitForUpdate(ctx context.Context) (newer bool, err error) {
	after, _ := k.StoredValue(0)
	e, err := k.kv.Watch(ctx, Key, after)
	if err != nil {
		return false, err
	}
	return k.ApplyStored(e.Index, e.Value)
}

// StoredValue returns the record as last read from the service, without pending
// changes, and its index. The value is nil when the index is not above have.
func (k *Replica) StoredValue(have uint64) (index uint64, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.index <= have {
		return k.index, nil
	}
	return k.index, k.raw
}
