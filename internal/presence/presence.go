// Package presence keeps a process on the list of its kind for as long as it
// lives: a key in the store that is bound to a lease.
package presence

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/leadership"
)

// Store is the part of a key-value store that presence needs.
type Store interface {
	// Grant begins a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew begins the lease's time anew; leadership.ErrLeaseEnded if there is no such lease.
	Renew(ctx context.Context, lease uint64) error
	// End ends the lease and removes its keys.
	Revoke(ctx context.Context, lease uint64) error
	// Put writes the key, bound to the lease; 0 means no lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

const (
	// leaseTime is how long the entry outlives a process that died.
	leaseTime = 3 * time.Second
	// renewInterval leaves two tries before the lease ends.
	renewInterval = 900 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 300 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = time.Second
)

// Registrar keeps one entry.
type Registrar struct {
	Store  Store
	Key    string
	Value  []byte
	Logger *log.Logger

	lease  uint64
	failed bool
}

// Run keeps the entry until the context ends, then removes it.
func (k *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewInterval
		err := k.step(ctx)
		if err != nil {
			pause = retryInterval
		}
		k.note(ctx, err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	if k.lease == 0 {
		return nil
	}
	endCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := k.Store.Revoke(endCtx, k.lease); err != nil {
		k.Logger.Info("own entry not removed; it ends with its lease", "key", k.Key, "err", err)
	}
	return nil
}

func (k *Registrar) note(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !k.failed:
		k.Logger.Warn("own entry not renewed", "key", k.Key, "err", err)
	case err == nil && k.failed:
		k.Logger.Info("own entry renewed again", "key", k.Key)
	}
	k.failed = err != nil
}

func (k *Registrar) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if k.lease != 0 {
		err := k.Store.Renew(ctx, k.lease)
		if !errors.Is(err, leadership.ErrLeaseEnded) {
			return err
		}
		k.lease = 0
	}
	lease, err := k.Store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	if err := k.Store.Put(ctx, k.Key, k.Value, lease); err != nil {
		return err
	}
	k.lease = lease
	return nil
}
