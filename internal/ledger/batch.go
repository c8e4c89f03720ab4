package ledger

import (
	"bytes"
	"context"
	"math"
	"slices"
	"time"
)

const (
	// unreadIndex stands for the index of a head that was just written, which the
	// key-value service does not return.
	unreadIndex = math.MaxUint64
	// expiryInterval is how often a writer removes expired intents.
	expiryInterval = time.Minute
)

// applyBatch applies the batch to a copy of the head.
func (s *shard) applyBatch(ctx context.Context, batch []*pendingOp) (next *head, results []opResult, changed bool, err error) {
	next = s.head.clone()
	next.clock = s.head.clock.plus(time.Since(s.headTime))
	s.expireIntents(next)
	s.spillToSegment(ctx, next)
	if err := s.index.load(ctx, next.segments); err != nil {
		return nil, nil, false, err
	}
	results = make([]opResult, len(batch))
	for i, p := range batch {
		var spilled *Intent
		if _, ok := next.intents[p.op.intent.Key]; !ok {
			if spilled, err = s.index.find(ctx, next.segments, p.op.intent.Key); err != nil {
				return nil, nil, false, err
			}
		}
		var wrote bool
		results[i], wrote = next.apply(p.op, spilled)
		changed = changed || wrote || p.op.forcesWrite
	}
	return next, results, changed, nil
}

// swapHead replaces the head by compare-and-swap. It returns false when another
// write won or when the acknowledgement was lost.
func (s *shard) swapHead(ctx context.Context, next *head, batch []*pendingOp) bool {
	for _, p := range batch {
		p.maybeSent.Store(true)
	}
	at := time.Now()
	value := next.encode()
	s.writes.Add(1)
	ok, err := s.store.swap(ctx, s.store.headKey(), value, s.headIndex)
	if err != nil {
		s.logger.Warn("ledger write was not acknowledged; reading the head again", "shard", s.store.shard, "err", err)
		return false
	}
	if !ok {
		return false
	}
	s.rememberWrite(next, value, at)
	return true
}

// rememberWrite stores the head that has been written. Its index is not known yet.
func (s *shard) rememberWrite(next *head, value []byte, at time.Time) {
	s.head, s.headTime = next, at
	s.headCurrent, s.headIndex = false, unreadIndex
	s.headValue = value
}

// readHead reads the head. If it is the head that this process wrote last, its
// clock continues from the time of that write; otherwise the clock starts now.
func (s *shard) readHead(ctx context.Context) error {
	e, err := s.store.get(ctx, s.store.headKey())
	if err != nil {
		return err
	}
	if s.head != nil && (e.Index == s.headIndex || bytes.Equal(e.Value, s.headValue)) {
		s.headIndex, s.headCurrent = e.Index, true
		s.clockAnchor.clockAt(e.Index, s.head.clock)
		return nil
	}
	h, err := decodeHead(e.Value)
	if err != nil {
		return err
	}
	s.head, s.headIndex, s.headTime, s.headCurrent = h, e.Index, time.Now(), true
	s.headValue = e.Value
	s.clockAnchor.clockAt(e.Index, h.clock)
	return nil
}

// afterWrite reads the index of the written head while no call waits for it, and
// empties one segment that the head no longer lists.
func (s *shard) afterWrite(ctx context.Context) {
	if !s.headCurrent && s.readHead(ctx) != nil {
		return
	}
	if len(s.unlistedSegments) == 0 {
		return
	}
	id := s.unlistedSegments[0]
	s.unlistedSegments = s.unlistedSegments[1:]
	// The head still lists the segment: the write that removed it lost, or a write
	// whose acknowledgement was lost took effect.
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

// expireIntents removes the expired intents and segments from next, at most once per
// expiryInterval. The segments are emptied later by afterWrite.
func (s *shard) expireIntents(next *head) {
	if next.clock.since(s.lastExpiry) < expiryInterval {
		return
	}
	s.lastExpiry = next.clock
	s.index.prune(s.head.segments)
	s.unlistedSegments = append(s.unlistedSegments, next.expire()...)
}

// spillToSegment moves final intents from a large head to a segment.
func (s *shard) spillToSegment(ctx context.Context, next *head) {
	if s.writtenSpill == nil {
		s.writtenSpill = s.writeSegment(ctx, next.planSpill())
	}
	if s.writtenSpill == nil {
		return
	}
	if containsSegment(next.segments, s.writtenSpill.ref.id) {
		s.writtenSpill = nil
		return
	}
	if !next.removeSpilled(s.writtenSpill) {
		s.unlistedSegments = append(s.unlistedSegments, s.writtenSpill.ref.id)
		s.writtenSpill = nil
	}
}

// writeSegment returns nil unless the segment was certainly written. The random ID
// of a failed segment is never used again.
func (s *shard) writeSegment(ctx context.Context, sp *spill) *spill {
	if sp == nil {
		return nil
	}
	s.writes.Add(1)
	ok, err := s.store.swap(ctx, s.store.segmentKey(sp.ref.id), sp.encode(), 0)
	if err != nil || !ok {
		s.unlistedSegments = append(s.unlistedSegments, sp.ref.id)
		return nil
	}
	s.index.add(sp.ref.id, sp.intents)
	return sp
}

func containsSegment(refs []segmentRef, id segmentID) bool {
	return slices.ContainsFunc(refs, func(r segmentRef) bool { return r.id == id })
}

// checkTimeouts reads the head if requestCheck was called. If an intent has
// exceeded its MaxRunTime since the head was written, it requests another write of
// the head, so that processes that have not observed the elapsed time also report
// the outcome as unknown.
func (s *shard) checkTimeouts(ctx context.Context) {
	s.mu.Lock()
	requested := s.checkRequested
	s.checkRequested = false
	s.mu.Unlock()
	if !requested || s.readHead(ctx) != nil {
		return
	}
	now := s.head.clock.plus(time.Since(s.headTime))
	for _, intent := range s.head.intents {
		if intent.State == Committed && intent.StateAt(now) != intent.StateAt(s.head.clock) {
			s.mu.Lock()
			s.forceWrite = true
			s.mu.Unlock()
			return
		}
	}
}
