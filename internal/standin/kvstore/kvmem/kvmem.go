// Package kvmem lets tests use the stand-in key-value service as a kvservice.KV
// without HTTP.
package kvmem

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
)

// KV is a client of a store in the same process.
type KV struct{ store *kvstore.Store }

var _ kvservice.KV = KV{}

// New returns a client of store.
func New(store *kvstore.Store) KV { return KV{store: store} }

// Get implements kvservice.KV.
func (k KV) Get(ctx context.Context, key string) (kvservice.Entry, error) {
	return toServiceEntry(k.store.Get(ctx, key))
}

// CompareAndSwap implements kvservice.KV.
func (k KV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	ok, err := k.store.CompareAndSwap(ctx, key, value, index)
	return ok, toServiceError(err)
}

// Watch implements kvservice.KV.
func (k KV) Watch(ctx context.Context, key string, after uint64) (kvservice.Entry, error) {
	return toServiceEntry(k.store.Watch(ctx, key, after, 0))
}

func toServiceEntry(e kvstore.Entry, err error) (kvservice.Entry, error) {
	return kvservice.Entry(e), toServiceError(err)
}

func toServiceError(err error) error {
	if err == nil || errors.Is(err, kvstore.ErrTooLarge) {
		return err
	}
	return errors.Join(kvservice.ErrUnavailable, err)
}
