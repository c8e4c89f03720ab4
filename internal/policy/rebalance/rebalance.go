// Package rebalance decides when a server moves between the prefill and the
// decode role.
package rebalance

import "time"

// Role is a role of a model server.
type Role int

// The roles.
const (
	Prefill Role = iota
	Decode
)

// Options are the limits of a Balancer; see DefaultOptions.
type Options struct {
	// High is the pressure above which a pool asks for a server.
	PressureThreshold float64
	// Gain is the relative reduction of the higher pressure that a move must
	// bring; it keeps servers from moving back and forth.
	MinGain float64
	// Hold is how long the reason for a move must persist.
	HoldTime time.Duration
	// Interval is the least time between two moves. A changed role empties the
	// server's memory and caches.
	MinInterval time.Duration
}

// DefaultOptions suits pools of a few to some hundred servers.
func DefaultOptions() Options {
	return Options{PressureThreshold: 0.9, MinGain: 0.15, HoldTime: 10 * time.Second, MinInterval: 60 * time.Second}
}

// Pool is the state of the servers of one role.
type Pool struct {
	Servers int
	// Floor is the number of servers that must remain.
	MinServers int
	// Pressure is the demand divided by the capacity of the pool's servers,
	// averaged over some seconds; above 1 its queue grows.
	Pressure float64
}

// Move orders one server into another role.
type Move struct {
	From, To Role
}

// Balancer remembers what hysteresis and rate limit need. It is not safe for
// concurrent use.
type Balancer struct {
	opts    Options
	moved   bool
	movedAt time.Duration
	wish    Move
	since   time.Duration
	wishing bool
}

// New returns a balancer.
func New(opts Options) *Balancer { return &Balancer{opts: opts} }

// NextMove returns the move to make now, if any. It assumes that the move is made.
func (b *Balancer) NextMove(now time.Duration, prefill, decode Pool) (Move, bool) {
	m, ok := b.wanted(prefill, decode)
	if !ok {
		b.wishing = false
		return Move{}, false
	}
	if !b.wishing || b.wish != m {
		b.wishing, b.wish, b.since = true, m, now
	}
	if now-b.since < b.opts.HoldTime || b.moved && now-b.movedAt < b.opts.MinInterval {
		return Move{}, false
	}
	b.wishing = false
	b.moved, b.movedAt = true, now
	return m, true
}

func (b *Balancer) wanted(prefill, decode Pool) (Move, bool) {
	if prefill.Pressure >= decode.Pressure {
		return Move{From: Decode, To: Prefill}, b.helps(decode, prefill)
	}
	return Move{From: Prefill, To: Decode}, b.helps(prefill, decode)
}

// helps reports whether moving one server lowers the higher pressure enough.
func (b *Balancer) helps(from, to Pool) bool {
	if to.Pressure < b.opts.PressureThreshold || from.Servers <= max(1, from.MinServers) {
		return false
	}
	fromAfter := from.Pressure * float64(from.Servers) / float64(from.Servers-1)
	toAfter := to.Pressure * float64(to.Servers) / float64(to.Servers+1)
	return max(fromAfter, toAfter) <= to.Pressure*(1-b.opts.MinGain)
}
