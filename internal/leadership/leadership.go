// Package leadership elects one process at a time to act on behalf of all. The
// leader is the process that created a key in the store under its lease. The
// fencing token is made from the revision of the key; it increases with each new leader.
//
// A restoration of the store from an older copy may undo the lease, and its ID may be
// given to another process. A term therefore ends with the generation of the store, and
// for the time of a lease after the restoration no process campaigns: the leader before
// may not have heard of it yet.
package leadership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/fescueslip/fescueslip/internal/revision"
)

// ErrLeaseEnded is returned by Store.Renew if the lease no longer exists.
var ErrLeaseEnded = errors.New("lease has expired or was revoked")

// Store is the part of a key-value store that an election uses.
type Store interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew extends the lease by its full time.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease uint64) error
	// Create writes the key under the lease. ok is false if the key already
	// exists.
	Create(ctx context.Context, key string, value []byte, lease uint64) (at revision.Revision, ok bool, err error)
	// Read returns the value and the revision of the key; the revision is zero if
	// the key does not exist.
	Read(ctx context.Context, key string) (value []byte, at revision.Revision, err error)
}

const (
	// renewalsPerLease is how often a lease is renewed during its time.
	renewalsPerLease = 3
	// expiryMargin is how much earlier than the store the leader considers its
	// lease expired.
	expiryMargin = 400 * time.Millisecond
	// callTimeout limits one call, or the calls of one campaign, to the store.
	callTimeout = 800 * time.Millisecond
	// pollInterval is how often a process that is not the leader checks whether
	// the key is free.
	pollInterval = 500 * time.Millisecond
)

// Options configure an Elector.
type Options struct {
	Store Store
	// Key is the key that the leader creates.
	Key string
	// Name is the value of the key; it tells operators which process is the leader.
	Name string
	// Lease is how long leadership lasts without renewal.
	Lease time.Duration
	// Clock is the clock by which the elector measures leases; nil means
	// Uptime.
	Clock Clock
	// Generation returns the generation of the store, as far as this process knows it.
	Generation func() uint64
	// LikelyFree reports, without a call to the store, whether the key seems
	// not to exist. The elector campaigns only then.
	LikelyFree func() bool
	Logger     *log.Logger
}

// Term is one period of leadership.
type Term struct {
	// Fence is the fencing token.
	Fence uint64
	// Revision is the revision at which the key was created.
	Revision revision.Revision
	// Since is when leadership was obtained, on the clock of the elector.
	Since time.Duration
}

// Elector campaigns for leadership and renews it.
type Elector struct {
	opts  Options
	lease uint64
	held  atomic.Pointer[heldTerm]
	// generation is that of the store when the elector looked last, and campaignFrom the
	// earliest time of a campaign in it.
	generation   uint64
	campaignFrom time.Duration
	// lastFence is the highest fencing token that this process has had.
	lastFence uint64
}

// heldTerm is the current term and the time until which it is valid without
// another renewal.
type heldTerm struct {
	term  Term
	until time.Duration
}

// Clock returns the time since some fixed moment. It must also advance while the
// machine is suspended, because a lease in the store expires meanwhile.
type Clock func() time.Duration

// New returns an elector. It campaigns once Run is called.
func New(opts Options) *Elector {
	if opts.Clock == nil {
		opts.Clock = Uptime
	}
	return &Elector{opts: opts}
}

// Uptime returns the time since the machine started, including the time during
// which it was suspended, because a lease in the store also expires during that
// time.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME. Without this clock, leases
		// cannot be measured.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Term returns the current term. ok is false if this process is not the leader,
// or cannot be sure of it.
func (e *Elector) Term() (Term, bool) {
	h := e.held.Load()
	if h == nil || e.opts.Clock() >= h.until || e.opts.Generation() != h.term.Revision.Generation {
		return Term{}, false
	}
	return h.term, true
}

// Confirm reads the key from the store and returns an error if the term has
// ended.
func (e *Elector) Confirm(ctx context.Context, t Term) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, current, err := e.opts.Store.Read(ctx, e.opts.Key)
	if err != nil {
		return err
	}
	if current != t.Revision {
		e.held.Store(nil)
		return errors.Errorf("leadership term has ended: key %q has revision %s instead of %s", e.opts.Key, current, t.Revision)
	}
	return nil
}

// Run campaigns for leadership and renews it until the context ends, then
// releases it.
func (e *Elector) Run(ctx context.Context) error {
	e.beginGeneration()
	for ctx.Err() == nil {
		e.checkGeneration()
		pause := pollInterval
		if e.held.Load() != nil {
			pause = e.opts.Lease / renewalsPerLease
			e.renew(ctx)
		} else if e.opts.LikelyFree() && e.opts.Clock() >= e.campaignFrom {
			e.campaign(ctx)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	e.resign()
	return nil
}

// beginGeneration notes the generation of the store. Until a lease has passed, the leader
// of the generation before may still act.
func (e *Elector) beginGeneration() {
	e.generation = e.opts.Generation()
	e.campaignFrom = e.opts.Clock() + e.opts.Lease
}

// checkGeneration ends the term if the store was restored. The lease is not revoked: in the
// restored store its ID may be that of another process.
func (e *Elector) checkGeneration() {
	if e.opts.Generation() == e.generation {
		return
	}
	e.beginGeneration()
	if h := e.held.Swap(nil); h != nil {
		e.opts.Logger.Warn("right lost: the store was restored from an older copy", "key", e.opts.Key, "fence", h.term.Fence, "generation", e.generation)
	}
}

// resign ends the term by revoking the lease.
func (e *Elector) resign() {
	e.checkGeneration()
	if e.held.Swap(nil) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.opts.Store.Revoke(ctx, e.lease); err != nil {
		e.opts.Logger.Info("leadership not released; it ends when the lease expires", "key", e.opts.Key, "err", err)
	}
}

// renew extends the lease. The new validity of the term counts from before the
// call, because the store may have extended the lease at any time during the
// call.
func (e *Elector) renew(ctx context.Context) {
	requestedAt := e.opts.Clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := e.held.Load()
	err := e.opts.Store.Renew(callCtx, e.lease)
	switch {
	case err == nil:
		e.held.Store(&heldTerm{term: h.term, until: requestedAt + e.opts.Lease - expiryMargin})
	case errors.Is(err, ErrLeaseEnded) || e.opts.Clock() >= h.until:
		e.held.Store(nil)
		e.opts.Logger.Warn("right lost", "key", e.opts.Key, "fence", h.term.Fence, "err", err)
	}
}

// campaign tries to create the key under a new lease.
func (e *Elector) campaign(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := e.opts.Clock()
	lease, err := e.opts.Store.Grant(callCtx, e.opts.Lease)
	if err != nil {
		e.opts.Logger.Debug("cannot obtain a lease for leadership", "key", e.opts.Key, "err", err)
		return
	}
	at, ok, err := e.opts.Store.Create(callCtx, e.opts.Key, []byte(e.opts.Name), lease)
	if err != nil || !ok {
		// If the key was created but the answer was lost, nobody renews the lease,
		// and the store removes the key when the lease expires.
		e.opts.Logger.Debug("leadership not obtained", "key", e.opts.Key, "err", err)
		return
	}
	if at.Generation != e.generation {
		// The store was restored meanwhile; the lease may be that of another process.
		e.opts.Logger.Info("leadership not used: the store was restored meanwhile", "key", e.opts.Key, "revision", at)
		return
	}
	fence, err := e.fence(at)
	if err != nil {
		// Nobody renews the lease, so others may try when it expires.
		e.opts.Logger.Error("leadership not used: its fencing token would not increase", "key", e.opts.Key, "revision", at, "last_fence", e.lastFence, "err", err)
		return
	}
	e.lease, e.lastFence = lease, fence
	e.held.Store(&heldTerm{term: Term{Fence: fence, Revision: at, Since: e.opts.Clock()}, until: requestedAt + e.opts.Lease - expiryMargin})
	e.opts.Logger.Info("right obtained", "key", e.opts.Key, "fence", fence, "revision", at)
}

// errFenceUsed reports a fencing token that is not above an earlier one of this process.
var errFenceUsed = errors.New("the revision of the store is not above that of an earlier term; it was restored, and does not tell")

// fence returns the fencing token for a key that was created at a revision.
func (e *Elector) fence(at revision.Revision) (uint64, error) {
	fence, err := at.Fence()
	if err != nil {
		return 0, err
	}
	if fence <= e.lastFence {
		return 0, errFenceUsed
	}
	return fence, nil
}
