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
	// flushRetryDelay is the delay after a failed write.
	flushRetryDelay   = 500 * time.Millisecond
	maxPendingChanges = 4096
)

// recordChange modifies a record and reports whether the record changed.
type recordChange func(*Record) bool

// Replica is a process's copy of the record. It writes local changes to the
// key-value service and combines several changes into one write. Local changes take
// effect at once: a crash that this process saw counts here even while the service
// is unavailable.
type Replica struct {
	kv  kvservice.KV
	log *log.Logger

	current     atomic.Pointer[Record]
	onChange    atomic.Pointer[func()]
	onPeerCrash atomic.Pointer[func(context.Context, Fingerprint)]

	mu             sync.Mutex
	stored         *Record // the newest record read from the service
	storedValue    []byte  // the encoded form of stored
	index          uint64
	pendingChanges []recordChange
	wake           chan struct{}
}

// NewReplica returns a replica with an empty record.
func NewReplica(kv kvservice.KV, logger *log.Logger) *Replica {
	rep := &Replica{kv: kv, log: logger, stored: new(Record), wake: make(chan struct{}, 1)}
	rep.current.Store(new(Record))
	return rep
}

// Status returns how a request with the fingerprint may run. It takes no lock.
func (rep *Replica) Status(f Fingerprint) Status { return rep.current.Load().Status(f) }

// ReportCrash adds a crash and returns the resulting status.
func (rep *Replica) ReportCrash(f Fingerprint, upstream string) Status {
	rep.applyChange(func(r *Record) bool { return r.ReportCrash(f, upstream) })
	v := rep.Status(f)
	if v == Quarantined {
		rep.log.Error("request quarantined: two upstreams crashed while they ran it", "fingerprint", f.String(), "upstream", upstream)
	}
	return v
}

// ClearSuspect removes a suspect that ran to completion.
func (rep *Replica) ClearSuspect(f Fingerprint) {
	rep.applyChange(func(r *Record) bool { return r.ClearSuspect(f) })
}

// Record returns the current copy, which must not be modified.
func (rep *Replica) Record() *Record { return rep.current.Load() }

// OnChange sets a function that is called after each change of the copy.
func (rep *Replica) OnChange(f func()) { rep.onChange.Store(&f) }

// notify calls the function set by OnChange.
func (rep *Replica) notify() {
	if f := rep.onChange.Load(); f != nil {
		(*f)()
	}
}

// applyChange applies a change to the copy and calls the function set by OnChange
// if the copy changed.
func (rep *Replica) applyChange(change recordChange) {
	if rep.updateRecord(change) {
		rep.notify()
	}
}

// updateRecord applies a change to the copy and queues it for the service. With
// maxPendingChanges queued, the change has effect only in the copy, until a newer
// record is read. It reports whether the copy changed.
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

// ApplyStored replaces the copy with a record that this process or a peer read from
// the service, and reapplies the pending changes. An older record is ignored. It
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

// replaceStored makes r, with the pending changes applied, the new copy if its
// index is newer. It reports whether it is.
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

// Refresh reads the record from the service once.
func (rep *Replica) Refresh(ctx context.Context) error {
	e, err := rep.kv.Get(ctx, Key)
	if err != nil {
		return err
	}
	_, err = rep.ApplyStored(e.Index, e.Value)
	return err
}

// Flush writes the pending changes. If an acknowledgement was lost, the changes are
// written again after the record has been read. Applying a change twice has no
// effect.
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

// nextWrite returns the value to write, or nil if the stored record already contains
// the pending changes.
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

// RunWriter writes changes until ctx ends. Only processes that report crashes need
// to call it.
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
			// Other processes may have changed the record while writes failed.
			_ = rep.Refresh(ctx)
		}
	}
}

// WaitForUpdate blocks until the service has a newer record or ends the wait. It
// reports whether a newer record was applied.
func (rep *Replica) WaitForUpdate(ctx context.Context) (newer bool, err error) {
	after, _ := rep.StoredValue(0)
	e, err := rep.kv.Watch(ctx, Key, after)
	if err != nil {
		return false, err
	}
	return rep.ApplyStored(e.Index, e.Value)
}

// StoredValue returns the encoded record as last read from the service, without
// pending changes, and its index. The value is nil if the index is not greater than
// have.
func (rep *Replica) StoredValue(have uint64) (index uint64, value []byte) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.index <= have {
		return rep.index, nil
	}
	return rep.index, rep.storedValue
}
