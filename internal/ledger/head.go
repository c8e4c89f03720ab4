package ledger

import (
	"encoding/binary"
	"maps"
)

const (
	// spillHeadBytes is the encoded size above which settled intents are moved out
	// of the head. It limits the load on the key-value service, since each write
	// replaces the whole head.
	spillHeadBytes = 128 << 10
	// maxHeadBytes is the encoded size above which no more intents are committed.
	// The rest of the key-value service's limit of 1 MB is reserved for settling
	// the intents that are running.
	maxHeadBytes = 768 << 10
	// dropBodiesHeadBytes is the encoded size above which the bodies of answers
	// are no longer kept.
	dropBodiesHeadBytes = 832 << 10
	// maxSegments is the largest number of segments that a head lists.
	maxSegments = 1024
	// maxSegmentBytes keeps a segment well below the key-value service's size
	// limit.
	maxSegmentBytes = 512 << 10
)

// segmentID is the random name of a segment.
type segmentID [8]byte

// segmentRef identifies an immutable segment.
type segmentRef struct {
	id segmentID
	// newest is the commit time of the segment's newest intent. The segment
	// expires one retention period later.
	newest Clock
}

// head is the mutable value of a shard. Its methods perform no I/O.
type head struct {
	clock    Clock
	segments []segmentRef // oldest first
	intents  map[KeyHash]Intent
	bytes    int // upper bound of the encoded size of the intents
}

func newHead() *head { return &head{intents: make(map[KeyHash]Intent)} }

func (h *head) clone() *head {
	return &head{
		clock:    h.clock,
		segments: append([]segmentRef(nil), h.segments...),
		intents:  maps.Clone(h.intents),
		bytes:    h.bytes,
	}
}

func intentBytes(i Intent) int {
	return baseIntentBytes + len(i.Answer.ContentType) + len(i.Answer.Body)
}

func (h *head) put(i Intent) {
	h.remove(i.Key)
	h.intents[i.Key] = i
	h.bytes += intentBytes(i)
}

func (h *head) remove(k KeyHash) {
	if old, ok := h.intents[k]; ok {
		h.bytes -= intentBytes(old)
		delete(h.intents, k)
	}
}

// apply applies one operation. spilled is the newest intent of the key in the
// segments, or nil. It returns the result and whether the head changed.
func (h *head) apply(o operation, spilled *Intent) (opResult, bool) {
	prior := spilled
	if i, ok := h.intents[o.intent.Key]; ok {
		prior = &i
	}
	if prior != nil && prior.expired(h.clock) {
		prior = nil
	}
	if o.isSettlement {
		return h.settle(o.intent, prior)
	}
	return h.commit(o.intent, prior)
}

// commit applies a commit. prior is the intent of the key that is in force, or nil.
// It returns the result and whether the head changed.
func (h *head) commit(want Intent, prior *Intent) (opResult, bool) {
	v := commit(prior, want, h.clock)
	if v != Accepted {
		i := *prior
		i.State = i.StateAt(h.clock)
		return opResult{verdict: v, intent: i}, false
	}
	if prior != nil && prior.Attempt == want.Attempt {
		return opResult{verdict: Accepted, intent: *prior}, false
	}
	if h.bytes > maxHeadBytes {
		return opResult{verdict: ShardFull}, false
	}
	want.State = Committed
	want.CommittedAt = h.clock
	want.Answer = Answer{}
	h.put(want)
	return opResult{verdict: Accepted, intent: want}, true
}

// settle applies a settlement. prior is the intent of the key that is in force, or
// nil. It returns the result and whether the head changed.
func (h *head) settle(want Intent, prior *Intent) (opResult, bool) {
	if v := settle(prior, want); v != Accepted {
		return opResult{verdict: v}, false
	}
	next := want
	next.CommittedAt = h.clock
	if prior != nil {
		next = *prior
		next.Attempt = want.Attempt
		next.State = want.State
		next.Answer = want.Answer
	}
	if h.bytes > dropBodiesHeadBytes {
		next.Answer.Body, next.Answer.ContentType, next.Answer.BodyKept = nil, "", false
	}
	h.put(next)
	return opResult{verdict: Accepted, intent: next}, true
}

// expire removes intents and segments that are older than the retention period. It
// returns the segments that the head no longer lists.
func (h *head) expire() []segmentID {
	for k, i := range h.intents {
		if i.expired(h.clock) {
			h.remove(k)
		}
	}
	var dropped []segmentID
	kept := h.segments[:0]
	for _, s := range h.segments {
		if h.clock.since(s.newest) >= Retention {
			dropped = append(dropped, s.id)
			continue
		}
		kept = append(kept, s)
	}
	h.segments = kept
	return dropped
}

func (h *head) encode() []byte {
	b := make([]byte, 0, h.bytes+32*len(h.segments)+32)
	b = append(b, headVersion)
	b = binary.AppendUvarint(b, uint64(h.clock))
	b = binary.AppendUvarint(b, uint64(len(h.segments)))
	for _, s := range h.segments {
		b = append(b, s.id[:]...)
		b = binary.AppendUvarint(b, uint64(s.newest))
	}
	b = binary.AppendUvarint(b, uint64(len(h.intents)))
	for _, i := range h.intents {
		b = appendIntent(b, i)
	}
	return b
}

// decodeHead decodes a head. An empty value decodes to an empty head.
func decodeHead(b []byte) (*head, error) {
	h := newHead()
	if len(b) == 0 {
		return h, nil
	}
	d := decoder{b: b}
	if d.next(1)[0] != headVersion {
		return nil, errCorrupt
	}
	h.clock = Clock(d.uvarint())
	for n := d.uvarint(); n > 0 && !d.failed; n-- {
		var s segmentRef
		copy(s.id[:], d.next(uint64(len(s.id))))
		s.newest = Clock(d.uvarint())
		h.segments = append(h.segments, s)
	}
	for n := d.uvarint(); n > 0 && !d.failed; n-- {
		h.put(d.intent())
	}
	return h, d.err()
}
