// Package kvservice reaches the services that the platform gives: the key-value
// service that keeps what must last, and the lagging list of instances.
package kvservice

import (
	"context"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// ErrUnavailable reports that the key-value service did not answer. A write
// that ends with it may still have taken effect; read back before deciding.
var ErrUnavailable = errors.New("key-value service unavailable; retry after it answers again")

// Entry is a key's value with the index of its last change.
// Index 0 means that the key is absent.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// KV is the key-value service.
type KV interface {
	// Get returns the entry of key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value when the key's index still equals index;
	// index 0 creates the key. It reports whether the write took place.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Watch returns the entry as soon as its index exceeds after, or the
	// unchanged entry when the service ends the wait.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// Instance is one process on the platform's list, which lags behind the truth.
type Instance struct {
	Name          string
	Role          string
	Upstream      string
	FailureDomain string
	Region        string
	// PeerAddress is the host:port of the process for other processes of the system.
	PeerAddress  string
	AdminAddress string
	Incarnation  uint64
	Leaving      bool
}

// InstanceLister is the platform's list of live and leaving instances.
type InstanceLister interface {
	List(ctx context.Context) ([]Instance, error)
}
