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
	// renewals is how often a lease is renewed during its time.
	renewals = 3
	// validityMargin is how much sooner than the store the holder considers its
	// lease ended.
	validityMargin = 400 * time.Millisecond
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
	o     Options
	lease uint64
	state atomic.Pointer[held]
}

// held is the term in force and until when it holds without another renewal.
type held struct {
	term  Term
	until time.Duration
}

// Clock returns the time since some fixed moment. It must go on while the
// process is suspended.
type Clock func() time.Duration

// New returns an elector.
func New(o Options) *Elector {
	if o.Clock == nil {
		o.Clock = Uptime
	}
	return &Elector{o: o}
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
	h := e.state.Load()
	if h == nil || e.o.Clock() >= h.until {
		return Term{}, false
	}
	return h.term, true
}

// Confirm asks the store whether the term still holds.
func (e *Elector) Confirm(ctx context.Context, t Term) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, revision, err := e.o.Store.Read(ctx, e.o.Key)
	if err != nil {
		return err
	}
	if revision != t.Fence {
		e.state.Store(nil)
		return errors.Errorf("the right has passed on: revision %d instead of %d", revision, t.Fence)
	}
	return nil
}

// Run competes until the context ends, then gives the right back.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := pollInterval
		if e.state.Load() != nil {
			pause = e.o.Lease / renewals
			e.renew(ctx)
		} else if e.o.LikelyFree() {
			e.compete(ctx)
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
	if e.state.Swap(nil) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.o.Store.Revoke(ctx, e.lease); err != nil {
		e.o.Logger.Info("right not given back; it ends with its lease", "key", e.o.Key, "err", err)
	}
}

func (e *Elector) renew(ctx context.Context) {
	asked := e.o.Clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := e.state.Load()
	err := e.o.Store.Renew(callCtx, e.lease)
	switch {
	case err == nil:
		e.state.Store(&held{term: h.term, until: asked + e.o.Lease - validityMargin})
	case errors.Is(err, ErrLeaseEnded) || e.o.Clock() >= h.until:
		e.state.Store(nil)
		e.o.Logger.Warn("right lost", "key", e.o.Key, "fence", h.term.Fence, "err", err)
	}
}

func (e *Elector) compete(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := e.o.Clock()
	lease, err := e.o.Store.Grant(callCtx, e.o.Lease)
	if err != nil {
		e.o.Logger.Debug("no lease granted", "key", e.o.Key, "err", err)
		return
	}
	revision, ok, err := e.o.Store.Create(callCtx, e.o.Key, []byte(e.o.Name), lease)
	if err != nil || !ok {
		// If the write took place without an answer, nobody renews the lease and
		// the key vanishes with it.
		e.o.Logger.Debug("right not obtained", "key", e.o.Key, "err", err)
		return
	}
	e.lease = lease
	e.state.Store(&held{term: Term{Fence: revision, Since: e.o.Clock()}, until: asked + e.o.Lease - validityMargin})
	e.o.Logger.Info("right obtained", "key", e.o.Key, "fence", revision)
}
