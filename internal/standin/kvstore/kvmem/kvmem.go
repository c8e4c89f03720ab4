// Package kvmem adapts the stand-in key-value store to kvservice.KV, so that
// tests can use it without HTTP.
package kvmem

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
)

// KV implements kvservice.KV by calls to a store in the same process.
type KV struct{ store *kvstore.Store }

var _ kvservice.KV = KV{}

// New returns a KV that uses store.
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

// toServiceError marks every error as kvservice.ErrUnavailable except
// kvstore.ErrTooLarge, which a retry does not resolve.
func toServiceError(err error) error {
	if err == nil || errors.Is(err, kvstore.ErrTooLarge) {
		return err
	}
	return errors.Join(kvservice.ErrUnavailable, err)
}
