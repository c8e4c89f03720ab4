// Package rebalance decides when a model server changes between the prefill
// role and the decode role.
package rebalance

import "time"

// Role is the role of a model server.
type Role int

// The roles.
const (
	Prefill Role = iota
	Decode
)

// Options configure a Balancer.
type Options struct {
	// PressureThreshold is the least pressure of a pool at which it may receive
	// a server.
	PressureThreshold float64
	// MinGain is the least relative reduction of the higher pressure that
	// justifies a move. It keeps servers from moving back and forth.
	MinGain float64
	// HoldTime is how long the reason for a move must persist before the move
	// is made.
	HoldTime time.Duration
	// MinInterval is the least time between two moves. A move is expensive
	// because the server loses its memory contents and caches.
	MinInterval time.Duration
}

// DefaultOptions returns options for pools of a few to some hundred servers.
func DefaultOptions() Options {
	return Options{PressureThreshold: 0.9, MinGain: 0.15, HoldTime: 10 * time.Second, MinInterval: 60 * time.Second}
}

// Pool describes the servers of one role.
type Pool struct {
	Servers int
	// MinServers is the number of servers that must stay in the pool.
	MinServers int
	// Pressure is the demand divided by the capacity of the pool, averaged over
	// some seconds. Above 1, the queue of the pool grows.
	Pressure float64
	// Capacity is the sum of the speeds of the servers, relative to the mean server; 0
	// means that all servers have the mean speed.
	Capacity float64
	// Next is the server that leaves the pool if the pool gives one away. Its zero value
	// stands for a server of mean speed.
	Next Server
}

func (p Pool) capacity() float64 {
	if p.Capacity > 0 {
		return p.Capacity
	}
	return float64(p.Servers)
}

// Move is the change of one server from one role to the other.
type Move struct {
	From, To Role
}

// Balancer decides on moves; it keeps the state for the hold time and the
// interval between moves. It is not safe for concurrent use.
type Balancer struct {
	opts         Options
	hasMoved     bool
	lastMoveAt   time.Duration
	pending      Move
	pendingSince time.Duration
	hasPending   bool
}

// New returns a balancer that has made no move.
func New(opts Options) *Balancer { return &Balancer{opts: opts} }

// NextMove returns the move to make now, if any. The caller must make the move:
// it counts as made for the interval.
func (b *Balancer) NextMove(now time.Duration, prefill, decode Pool) (Move, bool) {
	move, ok := b.desiredMove(prefill, decode)
	if !ok {
		b.hasPending = false
		return Move{}, false
	}
	if !b.hasPending || b.pending != move {
		b.hasPending, b.pending, b.pendingSince = true, move, now
	}
	if now-b.pendingSince < b.opts.HoldTime || b.hasMoved && now-b.lastMoveAt < b.opts.MinInterval {
		return Move{}, false
	}
	b.hasPending = false
	b.hasMoved, b.lastMoveAt = true, now
	return move, true
}

// desiredMove returns the move towards the pool with the higher pressure, and
// whether it is worth making.
func (b *Balancer) desiredMove(prefill, decode Pool) (Move, bool) {
	m := towards(prefill, decode)
	if m.To == Prefill {
		return m, b.reducesPressure(m, decode, prefill)
	}
	return m, b.reducesPressure(m, prefill, decode)
}

// towards returns the move towards the pool with the higher pressure.
func towards(prefill, decode Pool) Move {
	if prefill.Pressure >= decode.Pressure {
		return Move{From: Decode, To: Prefill}
	}
	return Move{From: Prefill, To: Decode}
}

// reducesPressure reports whether moving the next server reduces the higher pressure
// by at least MinGain.
func (b *Balancer) reducesPressure(m Move, from, to Pool) bool {
	if to.Pressure < b.opts.PressureThreshold || from.Servers <= max(1, from.MinServers) {
		return false
	}
	lost, gained := 1.0, 1.0
	if from.Next != (Server{}) {
		lost, gained = from.Next.speedIn(m.From), from.Next.speedIn(m.To)
	}
	return pressureAfter(from, to, lost, gained) <= to.Pressure*(1-b.opts.MinGain)
}
