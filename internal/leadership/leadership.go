// Package leadership gives one process at a time the right to act for all: a
// key in the store, created under a lease. The key's revision is the fencing
// token; it grows with each new holder.
package leadership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ErrLeaseEnded is returned when a lease no longer exists.
var ErrLeaseEnded = errors.New("the lease has ended")

// Store is the part of a key-value store that an election needs.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	// Create writes the key under the lease if it does not exist. ok is false if it does.
	Create(ctx context.Context, key string, value []byte, lease uint64) (revision uint64, ok bool, err error)
	// Read returns the revision of the key, 0 if it does not exist, and its value.
	Read(ctx context.Context, key string) (value []byte, revision uint64, err error)
}

const (
	// renewalsPerLease is how often a lease is renewed during its time.
	renewalsPerLease = 3
	// expiryMargin is how much sooner than the store the holder considers its
	// lease ended.
	expiryMargin = 400 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 800 * time.Millisecond
	// pollInterval is how often a process that does not hold the right looks
	// whether it is free.
	pollInterval = 500 * time.Millisecond
)

// Options configure an elector.
type Options struct {
	Store Store
	Key   string
	// Name is written into the key, for people.
	Name  string
	Lease time.Duration
	// Clock tells the time that leases run on; nil means Uptime.
	Clock Clock
	// Free reports, without a call to the store, whether the key seems to be free.
	LikelyFree func() bool
	Logger     *log.Logger
}

// Term is one time of holding the right.
type Term struct {
	// Fence is the fencing token.
	Fence uint64
	// Since is when the right was obtained, on the elector's clock.
	Since time.Duration
}

// Elector competes for the right.
type Elector struct {
	opts  Options
	lease uint64
	held  atomic.Pointer[heldTerm]
}

// heldTerm is the term in force and until when it holds without another renewal.
type heldTerm struct {
	term  Term
	until time.Duration
}

// Clock returns the time since some fixed moment. It must go on while the
// process is suspended.
type Clock func() time.Duration

// New returns an elector.
func New(opts Options) *Elector {
	if opts.Clock == nil {
		opts.Clock = Uptime
	}
	return &Elector{opts: opts}
}

// Uptime returns the time since the machine started, the time that it was
// suspended included: a lease goes on running while its holder stands still.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it no lease holds.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Term returns the term in force; ok is false if this process does not hold the
// right, or cannot be sure of it.
func (e *Elector) Term() (Term, bool) {
	h := e.held.Load()
	if h == nil || e.opts.Clock() >= h.until {
		return Term{}, false
	}
	return h.term, true
}

// Confirm asks the store whether the term still holds.
func (e *Elector) Confirm(ctx context.Context, t Term) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, revision, err := e.opts.Store.Read(ctx, e.opts.Key)
	if err != nil {
		return err
	}
	if revision != t.Fence {
		e.held.Store(nil)
		return errors.Errorf("the right has passed on: revision %d instead of %d", revision, t.Fence)
	}
	return nil
}

// Run competes until the context ends, then gives the right back.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := pollInterval
		if e.held.Load() != nil {
			pause = e.opts.Lease / renewalsPerLease
			e.renew(ctx)
		} else if e.opts.LikelyFree() {
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

func (e *Elector) resign() {
	if e.held.Swap(nil) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.opts.Store.Revoke(ctx, e.lease); err != nil {
		e.opts.Logger.Info("right not given back; it ends with its lease", "key", e.opts.Key, "err", err)
	}
}

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

func (e *Elector) campaign(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := e.opts.Clock()
	lease, err := e.opts.Store.Grant(callCtx, e.opts.Lease)
	if err != nil {
		e.opts.Logger.Debug("no lease granted", "key", e.opts.Key, "err", err)
		return
	}
	revision, ok, err := e.opts.Store.Create(callCtx, e.opts.Key, []byte(e.opts.Name), lease)
	if err != nil || !ok {
		// If the write took place without an answer, nobody renews the lease and
		// the key vanishes with it.
		e.opts.Logger.Debug("right not obtained", "key", e.opts.Key, "err", err)
		return
	}
	e.lease = lease
	e.held.Store(&heldTerm{term: Term{Fence: revision, Since: e.opts.Clock()}, until: requestedAt + e.opts.Lease - expiryMargin})
	e.opts.Logger.Info("right obtained", "key", e.opts.Key, "fence", revision)
}
