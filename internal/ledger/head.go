package ledger

import (
	"encoding/binary"
	"maps"
)

const (
	// softHeadBytes is the size above which settled intents leave the head. It
	// bounds what the service must carry, since each write replaces the head.
	softHeadBytes = 128 << 10
	// fullHeadBytes is the size above which no more intents are committed. The
	// rest of the service's 1 MB is for settling those that are running.
	fullHeadBytes = 768 << 10
	// leanHeadBytes is the size above which answers are no longer kept.
	leanHeadBytes = 832 << 10
	// maxSegments bounds the list of segments in a head.
	maxSegments = 1024
	// maxSegmentBytes keeps a segment well under the service's limit.
	maxSegmentBytes = 512 << 10
)

type segmentID [8]byte

// segmentRef names an immutable segment.
type segmentRef struct {
	id segmentID
	// newest is the commit time of its newest intent, after which it expires.
	newest Clock
}

// head is the mutable value of a shard. Its methods do no I/O.
type head struct {
	clock    Clock
	segments []segmentRef // oldest first
	intents  map[KeyHash]Intent
	bytes    int // encoded size, rounded up
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
	return noAnswerBytes + len(i.Answer.ContentType) + len(i.Answer.Body)
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

// apply runs one operation. spilled is the newest intent of the key in the
// segments, if any. It reports the outcome and whether the head changed.
func (h *head) apply(o operation, spilled *Intent) (outcome, bool) {
	prior := spilled
	if i, ok := h.intents[o.intent.Key]; ok {
		prior = &i
	}
	if prior != nil && prior.expired(h.clock) {
		prior = nil
	}
	if o.settles {
		return h.settle(o.intent, prior)
	}
	return h.commit(o.intent, prior)
}

func (h *head) commit(want Intent, prior *Intent) (outcome, bool) {
	v := commit(prior, want, h.clock)
	if v != Accepted {
		i := *prior
		i.State = i.StateAt(h.clock)
		return outcome{verdict: v, intent: i}, false
	}
	if prior != nil && prior.Attempt == want.Attempt {
		return outcome{verdict: Accepted, intent: *prior}, false
	}
	if h.bytes > fullHeadBytes {
		return outcome{verdict: ShardFull}, false
	}
	want.State = Committed
	want.CommittedAt = h.clock
	want.Answer = Answer{}
	h.put(want)
	return outcome{verdict: Accepted, intent: want}, true
}

func (h *head) settle(want Intent, prior *Intent) (outcome, bool) {
	if v := settle(prior, want); v != Accepted {
		return outcome{verdict: v}, false
	}
	next := want
	next.CommittedAt = h.clock
	if prior != nil {
		next = *prior
		next.Attempt = want.Attempt
		next.State = want.State
		next.Answer = want.Answer
	}
	if h.bytes > leanHeadBytes {
		next.Answer.Body, next.Answer.ContentType, next.Answer.BodyKept = nil, "", false
	}
	h.put(next)
	return outcome{verdict: Accepted, intent: next}, true
}

// expire removes what is older than the retention and returns the segments
// that are no longer referred to.
func (h *head) expire() []segmentID {
	for k, i := range h.intents {
		if i.expired(h.clock) {
			h.remove(k)
		}
	}
	var gone []segmentID
	kept := h.segments[:0]
	for _, s := range h.segments {
		if h.clock.since(s.newest) >= Retention {
			gone = append(gone, s.id)
			continue
		}
		kept = append(kept, s)
	}
	h.segments = kept
	return gone
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

// decodeHead decodes a head; an absent value is an empty head.
func decodeHead(b []byte) (*head, error) {
	h := newHead()
	if len(b) == 0 {
		return h, nil
	}
	r := reader{b: b}
	if r.take(1)[0] != headVersion {
		return nil, errCorrupt
	}
	h.clock = Clock(r.uvarint())
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		var s segmentRef
		copy(s.id[:], r.take(uint64(len(s.id))))
		s.newest = Clock(r.uvarint())
		h.segments = append(h.segments, s)
	}
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		h.put(r.intent())
	}
	return h, r.err()
}
