// Package outbuf bounds what a process holds in memory for others that read slowly:
// Conn disconnects clients that take nothing, ReadAhead buffers an upstream's stream
// while its client is slow, and Budget limits the bytes of all of them together.
package outbuf

import "sync/atomic"

// Use is the purpose of memory that a Budget counts.
type Use int

// Uses of memory.
const (
	// RequestBodies are bodies that wait to be sent to an upstream.
	RequestBodies Use = iota
	// Responses are responses that were read completely before they are forwarded.
	Responses
	// Streams are the parts of streams that their clients have not taken yet.
	Streams
	numUses
)

// shares is the part of the budget that one use may take. Work that an upstream has
// done already may use all of it. Streams have no need of memory, because backpressure
// replaces it; bodies leave room for the responses to the requests before them.
var shares = [numUses]float64{RequestBodies: 0.75, Responses: 1, Streams: 0.5}

// usage is the number of bytes that are held, by use and altogether. It is not changed once
// it is shared.
type usage struct {
	total int64
	of    [numUses]int64
}

// plus returns the usage with n more bytes of one use.
func (u *usage) plus(use Use, n int64) *usage {
	next := *u
	next.of[use] += n
	next.total += n
	return &next
}

// Budget limits the bytes that a process holds for others. A nil Budget has no limit. It
// is safe for concurrent use.
type Budget struct {
	limit  int64
	limits [numUses]int64
	usage  atomic.Pointer[usage]
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit}
	for u := range b.limits {
		b.limits[u] = int64(float64(limit) * shares[u])
	}
	b.usage.Store(new(usage))
	return b
}

// TryReserve counts n bytes and returns true, unless they would exceed the budget or the
// share of the use. Bytes that it refuses are never counted, so that they stand in the way
// of no other caller.
func (b *Budget) TryReserve(u Use, n int64) bool {
	if b == nil {
		return true
	}
	for {
		old := b.usage.Load()
		next := old.plus(u, n)
		if next.of[u] > b.limits[u] || next.total > b.limit {
			return false
		}
		if b.usage.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Reserve counts n bytes that are held in any case, even if they exceed the budget.
func (b *Budget) Reserve(u Use, n int64) {
	if b == nil {
		return
	}
	for {
		old := b.usage.Load()
		if b.usage.CompareAndSwap(old, old.plus(u, n)) {
			return
		}
	}
}

// Release returns n bytes.
func (b *Budget) Release(u Use, n int64) { b.Reserve(u, -n) }

// Used returns the bytes that are held for the use.
func (b *Budget) Used(u Use) int64 {
	if b == nil {
		return 0
	}
	return b.usage.Load().of[u]
}

// Total returns the bytes that are held for all uses.
func (b *Budget) Total() int64 {
	if b == nil {
		return 0
	}
	return b.usage.Load().total
}

// Limit returns the size of the budget in bytes. b must not be nil.
func (b *Budget) Limit() int64 { return b.limit }

// LimitOf returns the largest number of bytes that may be held for the use. b must not be
// nil.
func (b *Budget) LimitOf(u Use) int64 { return b.limits[u] }
