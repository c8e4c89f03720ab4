package ledger

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// minSpillBytes keeps segments large, since each takes a place in the head.
	minSpillBytes = softHeadBytes / 2
	// loadParallel bounds the concurrent reads of a writer that loads a shard.
	loadParallel = 16
	// abandonAfter past its limit, an intent of a dead entry may leave the head.
	abandonAfter = 10 * time.Minute
)

// errStaleHead reports that a head refers to a segment that is gone; the head
// has been replaced meanwhile.
var errStaleHead = errors.New("ledger head is outdated; read it again")

// spill is a set of final intents on their way from a head to a segment. The
// segment is written first and the head refers to it only by compare-and-swap,
// so that each intent is in at least one of the two at any time.
type spill struct {
	ref     segmentRef
	intents []Intent
	// origins are the states that the intents have in the head.
	origins []State
}

// planSpill chooses intents to leave the head, or returns nil.
func (h *head) planSpill() *spill {
	if h.bytes <= softHeadBytes || len(h.segments) >= maxSegments {
		return nil
	}
	sp := &spill{}
	_, _ = rand.Read(sp.ref.id[:])
	size := 0
	for _, i := range h.intents {
		origin := i.State
		if i.State == Committed && h.clock.since(i.CommittedAt) > i.MaxRunTime+abandonAfter {
			i.State = Unknown
		}
		if i.State == Committed || size+intentBytes(i) > maxSegmentBytes {
			continue
		}
		size += intentBytes(i)
		sp.intents = append(sp.intents, i)
		sp.origins = append(sp.origins, origin)
		sp.ref.newest = max(sp.ref.newest, i.CommittedAt)
	}
	if size < minSpillBytes {
		return nil
	}
	return sp
}

// complete moves the intents of a written segment out of the head. It reports
// false when one of them has changed since the segment was written.
func (h *head) complete(sp *spill) bool {
	if len(h.segments) >= maxSegments {
		return false
	}
	for n, i := range sp.intents {
		now, ok := h.intents[i.Key]
		if !ok || now.Attempt != i.Attempt || now.State != sp.origins[n] {
			return false
		}
	}
	for _, i := range sp.intents {
		h.remove(i.Key)
	}
	h.segments = append(h.segments, sp.ref)
	return true
}

func (sp *spill) encode() []byte {
	b := []byte{headVersion}
	b = binary.AppendUvarint(b, uint64(len(sp.intents)))
	for _, i := range sp.intents {
		b = appendIntent(b, i)
	}
	return b
}

func decodeSegment(b []byte) ([]Intent, error) {
	if len(b) == 0 {
		return nil, errStaleHead
	}
	r := reader{b: b}
	if r.take(1)[0] != headVersion {
		return nil, errCorrupt
	}
	var list []Intent
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		list = append(list, r.intent())
	}
	return list, r.err()
}

// segmentIndex remembers which keys the segments hold, 8 bytes a key. Segments
// never change, so it needs no invalidation.
type segmentIndex struct {
	store store
	mu    sync.Mutex
	keys  map[segmentID][]uint64
}

func newSegmentIndex(s store) *segmentIndex {
	return &segmentIndex{store: s, keys: make(map[segmentID][]uint64)}
}

func prefix(k KeyHash) uint64 { return binary.BigEndian.Uint64(k[:8]) }

func (x *segmentIndex) add(id segmentID, list []Intent) {
	keys := make([]uint64, 0, len(list))
	for _, i := range list {
		keys = append(keys, prefix(i.Key))
	}
	slices.Sort(keys)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.keys[id] = keys
}

// load reads the segments that the index lacks.
func (x *segmentIndex) load(ctx context.Context, refs []segmentRef) error {
	lacking := x.missing(refs)
	if len(lacking) == 0 {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadParallel)
	for _, id := range lacking {
		group.Go(func() error {
			list, err := x.read(ctx, id)
			if err != nil {
				return err
			}
			x.add(id, list)
			return nil
		})
	}
	return group.Wait()
}

func (x *segmentIndex) missing(refs []segmentRef) []segmentID {
	x.mu.Lock()
	defer x.mu.Unlock()
	var lacking []segmentID
	for _, ref := range refs {
		if _, ok := x.keys[ref.id]; !ok {
			lacking = append(lacking, ref.id)
		}
	}
	return lacking
}

// prune forgets the segments that are not listed.
func (x *segmentIndex) prune(refs []segmentRef) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id := range x.keys {
		if !containsSegment(refs, id) {
			delete(x.keys, id)
		}
	}
}

func (x *segmentIndex) read(ctx context.Context, id segmentID) ([]Intent, error) {
	e, err := x.store.get(ctx, x.store.segmentKey(id))
	if err != nil {
		return nil, err
	}
	return decodeSegment(e.Value)
}

// find returns the newest intent of the key in the segments.
func (x *segmentIndex) find(ctx context.Context, refs []segmentRef, k KeyHash) (*Intent, error) {
	for n := len(refs) - 1; n >= 0; n-- {
		if !x.mayHold(refs[n].id, k) {
			continue
		}
		list, err := x.read(ctx, refs[n].id)
		if err != nil {
			return nil, err
		}
		for _, i := range list {
			if i.Key == k {
				return &i, nil
			}
		}
	}
	return nil, nil
}

func (x *segmentIndex) mayHold(id segmentID, k KeyHash) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	keys, known := x.keys[id]
	if !known {
		return true
	}
	_, found := slices.BinarySearch(keys, prefix(k))
	return found
}
