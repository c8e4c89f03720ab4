// Package kvservice provides clients of the platform's services: the key-value service,
// which stores all durable state, and the list of instances, which may be outdated.
package kvservice

import (
	"context"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// ErrUnavailable reports that a service of the platform did not respond, or that its
// response cannot be used. A write that fails with it may still have taken effect, so
// the caller must read the key before it decides what to do.
var ErrUnavailable = errors.New("key-value service unavailable; retry after it answers again")

// Entry is the value of a key with the index of its last change. Index 0 means that the
// key does not exist.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// KV is the interface of the key-value service.
type KV interface {
	// Get returns the entry of key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the index of the key still equals index. With index
	// 0 it creates the key if the key does not exist. It reports whether it wrote the
	// value.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Watch waits until the index of the key exceeds after and returns the entry. If the
	// service ends the wait before that, it returns the unchanged entry.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// Instance is one process on the platform's list, which may be outdated.
type Instance struct {
	Name          string
	Role          string
	Upstream      string
	FailureDomain string
	Region        string
	// PeerAddress is the host:port at which other processes of the system call this one.
	PeerAddress  string
	AdminAddress string
	Incarnation  uint64
	Leaving      bool
}

// InstanceLister reads the platform's list of instances, including those that are
// leaving.
type InstanceLister interface {
	List(ctx context.Context) ([]Instance, error)
}
