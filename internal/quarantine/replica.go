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
	// flushRetryDelay is the pause after a failed write.
	flushRetryDelay   = 500 * time.Millisecond
	maxPendingChanges = 4096
)

// recordChange changes a record and reports whether it did.
type recordChange func(*Record) bool

// Replica holds a process's copy of the record and writes changes to the
// key-value service, many in one write. Local changes count at once: a crash
// that this process saw is known here even while the service is down.
type Replica struct {
	kv  kvservice.KV
	log *log.Logger

	current     atomic.Pointer[Record]
	onChange    atomic.Pointer[func()]
	onPeerCrash atomic.Pointer[func(context.Context, Fingerprint)]

	mu             sync.Mutex
	stored         *Record // the newest record read from the service
	storedValue    []byte  // stored as the service has it
	index          uint64
	pendingChanges []recordChange
	wake           chan struct{}
}

// NewReplica returns a keeper with an empty record.
func NewReplica(kv kvservice.KV, logger *log.Logger) *Replica {
	rep := &Replica{kv: kv, log: logger, stored: new(Record), wake: make(chan struct{}, 1)}
	rep.current.Store(new(Record))
	return rep
}

// Status returns how a request with the fingerprint may run. It takes no lock.
func (rep *Replica) Status(f Fingerprint) Status { return rep.current.Load().Status(f) }

// ReportCrash notes a crash and returns the verdict that follows.
func (rep *Replica) ReportCrash(f Fingerprint, upstream string) Status {
	rep.applyChange(func(r *Record) bool { return r.ReportCrash(f, upstream) })
	v := rep.Status(f)
	if v == Quarantined {
		rep.log.Error("request quarantined: two upstreams crashed while they ran it", "fingerprint", f.String(), "upstream", upstream)
	}
	return v
}

// ClearSuspect notes that a suspect ran to its end.
func (rep *Replica) ClearSuspect(f Fingerprint) {
	rep.applyChange(func(r *Record) bool { return r.ClearSuspect(f) })
}

// Record returns the current copy; it must not be changed.
func (rep *Replica) Record() *Record { return rep.current.Load() }

// OnChange sets a function that is called after each change of the copy.
func (rep *Replica) OnChange(f func()) { rep.onChange.Store(&f) }

func (rep *Replica) notify() {
	if f := rep.onChange.Load(); f != nil {
		(*f)()
	}
}

func (rep *Replica) applyChange(change recordChange) {
	if rep.updateRecord(change) {
		rep.notify()
	}
}

func (rep *Replica) updateRecord(change recordChange) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	next := rep.current.Load().clone()
	if !change(next) {
		return false
	}
	rep.current.Store(next)
	if len(rep.pendingChanges) < maxPendingChanges {
		rep.pendingChanges = append(rep.pendingChanges, change)
	}
	select {
	case rep.wake <- struct{}{}:
	default:
	}
	return true
}

// ApplyStored takes a record that was read from the service, here or by a peer, and
// applies the pending changes on top. An older record changes nothing. It
// reports whether the record was newer.
func (rep *Replica) ApplyStored(index uint64, value []byte) (newer bool, err error) {
	rep.mu.Lock()
	known := rep.index
	rep.mu.Unlock()
	if index <= known {
		return false, nil
	}
	r, err := decode(value)
	if err != nil {
		return false, err
	}
	newer = rep.replaceStored(index, value, r)
	if newer {
		rep.notify()
	}
	return newer, nil
}

func (rep *Replica) replaceStored(index uint64, value []byte, r *Record) bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if index <= rep.index {
		return false
	}
	rep.stored, rep.storedValue, rep.index = r, value, index
	next := r.clone()
	for _, change := range rep.pendingChanges {
		change(next)
	}
	rep.current.Store(next)
	return true
}

// Refresh reads the record once.
func (rep *Replica) Refresh(ctx context.Context) error {
	e, err := rep.kv.Get(ctx, Key)
	if err != nil {
		return err
	}
	_, err = rep.ApplyStored(e.Index, e.Value)
	return err
}

// Flush writes the pending changes. After a lost acknowledgement it reads the
// record back; applying a change again is harmless.
func (rep *Replica) Flush(ctx context.Context) error {
	for {
		value, index, count, err := rep.nextWrite()
		if err != nil || count == 0 {
			return err
		}
		if value != nil {
			ok, err := rep.kv.CompareAndSwap(ctx, Key, value, index)
			if err != nil {
				return errors.Wrap(err, "write quarantine record")
			}
			if !ok {
				if err := rep.Refresh(ctx); err != nil {
					return err
				}
				continue
			}
		}
		rep.dropPending(count)
		if err := rep.Refresh(ctx); err != nil {
			return err
		}
	}
}

// nextWrite returns the value to write, or nil when the pending changes are
// already part of the stored record.
func (rep *Replica) nextWrite() (value []byte, index uint64, count int, err error) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	next := rep.stored.clone()
	changed := false
	for _, change := range rep.pendingChanges {
		if change(next) {
			changed = true
		}
	}
	if !changed {
		return nil, rep.index, len(rep.pendingChanges), nil
	}
	value, err = next.encode()
	return value, rep.index, len(rep.pendingChanges), err
}

func (rep *Replica) dropPending(count int) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.pendingChanges = rep.pendingChanges[count:]
}

// RunWriter writes changes until ctx ends; only processes that report crashes need it.
func (rep *Replica) RunWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-rep.wake:
		}
		for rep.Flush(ctx) != nil {
			if !wait.For(ctx, flushRetryDelay) {
				return nil
			}
			// The record may have moved on while the service was away.
			_ = rep.Refresh(ctx)
		}
	}
}

// WaitForUpdate waits until the service has a newer record or ends the wait, and
// reports whether it adopted one.
func (rep *Replica) WaitForUpdate(ctx context.Context) (newer bool, err error) {
	after, _ := rep.StoredValue(0)
	e, err := rep.kv.Watch(ctx, Key, after)
	if err != nil {
		return false, err
	}
	return rep.ApplyStored(e.Index, e.Value)
}

// StoredValue returns the record as last read from the service, without pending
// changes, and its index. The value is nil when the index is not above have.
func (rep *Replica) StoredValue(have uint64) (index uint64, value []byte) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.index <= have {
		return rep.index, nil
	}
	return rep.index, rep.storedValue
}
