package ledger

import (
	"bytes"
	"context"
	"math"
	"slices"
	"time"
)

const (
	// unknownIndex stands for the index of a head that was just written: the
	// service does not return it.
	unknownIndex = math.MaxUint64
	// expireEvery is how often a writer looks for expired intents.
	expireEvery = time.Minute
)

// plan applies the batch to a copy of the head.
func (s *shard) plan(ctx context.Context, batch []*pending) (next *head, results []outcome, changed bool, err error) {
	next = s.head.clone()
	next.clock = s.head.clock.plus(time.Since(s.seen))
	s.expireOld(next)
	s.spill(ctx, next)
	if err := s.index.load(ctx, next.segments); err != nil {
		return nil, nil, false, err
	}
	results = make([]outcome, len(batch))
	for n, p := range batch {
		var spilled *Intent
		if _, ok := next.intents[p.op.intent.Key]; !ok {
			if spilled, err = s.index.find(ctx, next.segments, p.op.intent.Key); err != nil {
				return nil, nil, false, err
			}
		}
		var wrote bool
		results[n], wrote = next.apply(p.op, spilled)
		changed = changed || wrote || p.op.proves
	}
	return next, results, changed, nil
}

// write replaces the head. It reports false when the write lost or its
// acknowledgement was lost.
func (s *shard) write(ctx context.Context, next *head, batch []*pending) bool {
	for _, p := range batch {
		p.exposed.Store(true)
	}
	at := time.Now()
	value := next.encode()
	s.writes.Add(1)
	ok, err := s.store.swap(ctx, s.store.headKey(), value, s.headAt)
	if err != nil {
		s.logger.Warn("ledger write not acknowledged; reading back", "shard", s.store.shard, "err", err)
		return false
	}
	if !ok {
		return false
	}
	s.wrote(next, value, at)
	return true
}

// wrote remembers the head that has been written, whose index is not known yet.
func (s *shard) wrote(next *head, value []byte, at time.Time) {
	s.head, s.seen = next, at
	s.known, s.headAt = false, unknownIndex
	s.lastValue = value
}

// readHead reads the head. When it is the one that this process wrote last, the
// clock goes on from the write, otherwise from now.
func (s *shard) readHead(ctx context.Context) error {
	e, err := s.store.get(ctx, s.store.headKey())
	if err != nil {
		return err
	}
	if s.head != nil && (e.Index == s.headAt || bytes.Equal(e.Value, s.lastValue)) {
		s.headAt, s.known = e.Index, true
		s.anchor.observe(e.Index, s.head.clock)
		return nil
	}
	h, err := decodeHead(e.Value)
	if err != nil {
		return err
	}
	s.head, s.headAt, s.seen, s.known = h, e.Index, time.Now(), true
	s.lastValue = e.Value
	s.anchor.observe(e.Index, h.clock)
	return nil
}

// afterWrite learns the index of the written head while nobody waits, and
// empties segments that the head no longer lists.
func (s *shard) afterWrite(ctx context.Context) {
	if !s.known && s.readHead(ctx) != nil {
		return
	}
	if len(s.garbage) == 0 {
		return
	}
	id := s.garbage[0]
	s.garbage = s.garbage[1:]
	// Listed after all: the write that dropped it has lost, or a write whose
	// acknowledgement was lost has taken effect.
	if containsSegment(s.head.segments, id) {
		return
	}
	key := s.store.segmentKey(id)
	e, err := s.store.get(ctx, key)
	if err != nil || len(e.Value) == 0 {
		return
	}
	s.writes.Add(1)
	_, _ = s.store.swap(ctx, key, nil, e.Index)
}

func (s *shard) expireOld(next *head) {
	if next.clock.since(s.expired) < expireEvery {
		return
	}
	s.expired = next.clock
	s.index.prune(s.head.segments)
	s.garbage = append(s.garbage, next.expire()...)
}

// spill moves final intents of a large head to a segment.
func (s *shard) spill(ctx context.Context, next *head) {
	if s.prepared == nil {
		s.prepared = s.writeSegment(ctx, next.planSpill())
	}
	if s.prepared == nil {
		return
	}
	if containsSegment(next.segments, s.prepared.ref.id) {
		s.prepared = nil
		return
	}
	if !next.complete(s.prepared) {
		s.garbage = append(s.garbage, s.prepared.ref.id)
		s.prepared = nil
	}
}

// writeSegment returns nil when the segment was not certainly written. Its
// random name is then never used again.
func (s *shard) writeSegment(ctx context.Context, sp *spill) *spill {
	if sp == nil {
		return nil
	}
	s.writes.Add(1)
	ok, err := s.store.swap(ctx, s.store.segmentKey(sp.ref.id), sp.encode(), 0)
	if err != nil || !ok {
		s.garbage = append(s.garbage, sp.ref.id)
		return nil
	}
	s.index.add(sp.ref.id, sp.intents)
	return sp
}

func containsSegment(refs []segmentRef, id segmentID) bool {
	return slices.ContainsFunc(refs, func(r segmentRef) bool { return r.id == id })
}

// observe reads the head when asked to. If an intent has outlived its limit
// since the head was written, it has the head written again, so that processes
// that have not watched the time pass also call its outcome unknown.
func (s *shard) observe(ctx context.Context) {
	s.mu.Lock()
	asked := s.look
	s.look = false
	s.mu.Unlock()
	if !asked || s.readHead(ctx) != nil {
		return
	}
	now := s.head.clock.plus(time.Since(s.seen))
	for _, i := range s.head.intents {
		if i.State == Committed && i.StateAt(now) != i.StateAt(s.head.clock) {
			s.mu.Lock()
			s.touch = true
			s.mu.Unlock()
			return
		}
	}
}
