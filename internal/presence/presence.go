// Package presence registers a process with other processes of its kind for as
// long as it runs: it keeps a key in the store that is bound to a lease.
package presence

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/contact"
	"github.com/fescueslip/fescueslip/internal/leadership"
)

// Store is the part of a key-value store that a Registrar uses.
type Store interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew extends the lease by its full time. It returns
	// leadership.ErrLeaseEnded if the lease does not exist.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease uint64) error
	// Put writes the key under the lease; lease 0 means that the key has no
	// lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// IsBound reports whether the key exists and is bound to the lease.
	IsBound(ctx context.Context, key string, lease uint64) (bool, error)
}

const (
	// leaseTTL is how long the key remains after the process has crashed.
	leaseTTL = 3 * time.Second
	// renewInterval leaves time for two more attempts before the lease expires.
	renewInterval = 900 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 300 * time.Millisecond
	// callTimeout limits the calls of one renewal or registration.
	callTimeout = time.Second
	// firstTryTimeout limits the first try of a renewal. Its connection may have become
	// silent; the second try uses a new one.
	firstTryTimeout = 350 * time.Millisecond
)

// errRestoredMeanwhile reports that the store was restored between the grant of a lease and
// the write under it.
var errRestoredMeanwhile = errors.New("the store was restored while the process registered")

// Registrar keeps the registration of one process.
type Registrar struct {
	Store Store
	// Key and Value are the registration.
	Key   string
	Value []byte
	// Generation returns the generation of the store, as far as this process knows it.
	Generation func() uint64
	// Contact records when the store answered.
	Contact *contact.Tracker
	Logger  *log.Logger

	lease uint64 // 0 while not registered
	// generation is that of the store in which the lease was last known to be this
	// process's own.
	generation uint64
	failing    bool // the last attempt failed
}

// Run keeps the registration until the context ends, then removes it.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewInterval
		err := r.renewOrRegister(ctx)
		if err != nil {
			pause = retryInterval
		} else {
			r.Contact.Observe(time.Now())
		}
		r.logChange(ctx, err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	if r.lease == 0 {
		return nil
	}
	endCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.end(endCtx); err != nil {
		r.Logger.Info("registration not removed; it ends when the lease expires", "key", r.Key, "err", err)
	}
	return nil
}

// end revokes the lease, if it is still this process's own.
func (r *Registrar) end(ctx context.Context) error {
	if err := r.checkGeneration(ctx); err != nil || r.lease == 0 {
		return err
	}
	return r.Store.Revoke(ctx, r.lease)
}

// checkGeneration gives the lease up if the store was restored and no longer binds the key
// to it. The ID of the lease may then be that of another process. Most leases outlast a
// restoration, so that the processes do not all register again at once.
func (r *Registrar) checkGeneration(ctx context.Context) error {
	current := r.Generation()
	if r.lease == 0 || current == r.generation {
		return nil
	}
	bound, err := r.Store.IsBound(ctx, r.Key, r.lease)
	if err != nil {
		return err
	}
	if !bound {
		r.Logger.Info("registration lost with a restoration of the store; registering again", "key", r.Key, "generation", current)
		r.lease = 0
	}
	r.generation = current
	return nil
}

// logChange logs when renewals start to fail and when they succeed again.
func (r *Registrar) logChange(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !r.failing:
		r.Logger.Warn("registration not renewed", "key", r.Key, "err", err)
	case err == nil && r.failing:
		r.Logger.Info("registration renewed after a failure", "key", r.Key)
	}
	r.failing = err != nil
}

// renew renews the lease, and tries once more if the first try takes long.
func (r *Registrar) renew(ctx context.Context) error {
	tryCtx, cancel := context.WithTimeout(ctx, firstTryTimeout)
	defer cancel()
	err := r.Store.Renew(tryCtx, r.lease)
	if err == nil || ctx.Err() != nil || tryCtx.Err() == nil {
		return err
	}
	return r.Store.Renew(ctx, r.lease)
}

// renewOrRegister renews the lease, or registers under a new lease if there is
// none.
func (r *Registrar) renewOrRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.checkGeneration(ctx); err != nil {
		return err
	}
	if r.lease != 0 {
		err := r.renew(ctx)
		if !errors.Is(err, leadership.ErrLeaseEnded) {
			return err
		}
		r.lease = 0
	}
	lease, err := r.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	generation := r.Generation()
	if err := r.Store.Put(ctx, r.Key, r.Value, lease); err != nil {
		return err
	}
	if r.Generation() != generation {
		return errRestoredMeanwhile
	}
	r.lease, r.generation = lease, generation
	return nil
}
