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
	// minSpillBytes keeps segments large, since each segment takes up space in the
	// head.
	minSpillBytes = spillHeadBytes / 2
	// maxParallelLoads limits the concurrent reads when the segments of a shard
	// are loaded.
	maxParallelLoads = 16
	// An intent that a dead entry left Committed may be moved out of the head when
	// it is older than its MaxRunTime plus deadIntentGrace.
	deadIntentGrace = 10 * time.Minute
)

// errStaleHead reports that a head refers to a segment that has been removed,
// which means that the head has been replaced meanwhile.
var errStaleHead = errors.New("ledger head refers to a removed segment; read the head again")

// spill is a set of final intents that are being moved from a head to a segment.
// The segment is written first, and the head refers to it only after a
// compare-and-swap, so that each intent is in at least one of the two at any time.
type spill struct {
	ref     segmentRef
	intents []Intent
	// headStates are the states of the intents in the head.
	headStates []State
}

// planSpill selects the intents to move out of the head. It returns nil when the
// head is small, its list of segments is full, or too few intents are final.
func (h *head) planSpill() *spill {
	if h.bytes <= spillHeadBytes || len(h.segments) >= maxSegments {
		return nil
	}
	sp := &spill{}
	_, _ = rand.Read(sp.ref.id[:])
	size := 0
	for _, i := range h.intents {
		origin := i.State
		if i.State == Committed && h.clock.since(i.CommittedAt) > i.MaxRunTime+deadIntentGrace {
			i.State = Unknown
		}
		if i.State == Committed || size+intentBytes(i) > maxSegmentBytes {
			continue
		}
		size += intentBytes(i)
		sp.intents = append(sp.intents, i)
		sp.headStates = append(sp.headStates, origin)
		sp.ref.newest = max(sp.ref.newest, i.CommittedAt)
	}
	if size < minSpillBytes {
		return nil
	}
	return sp
}

// removeSpilled removes the intents of a written segment from the head and lists
// the segment there. It returns false, and changes nothing, when the list of
// segments is full or one of the intents has changed since the segment was
// written.
func (h *head) removeSpilled(sp *spill) bool {
	if len(h.segments) >= maxSegments {
		return false
	}
	for n, i := range sp.intents {
		current, ok := h.intents[i.Key]
		if !ok || current.Attempt != i.Attempt || current.State != sp.headStates[n] {
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

// decodeSegment decodes a segment. An empty value is a segment that was removed, so
// the head that refers to it is stale.
func decodeSegment(b []byte) ([]Intent, error) {
	if len(b) == 0 {
		return nil, errStaleHead
	}
	d := decoder{b: b}
	if d.next(1)[0] != headVersion {
		return nil, errCorrupt
	}
	var list []Intent
	for n := d.uvarint(); n > 0 && !d.failed; n-- {
		list = append(list, d.intent())
	}
	return list, d.err()
}

// segmentIndex stores 8 bytes of the hash of each key in each segment. Segments
// are immutable, so the index needs no invalidation.
type segmentIndex struct {
	store store
	mu    sync.Mutex
	keys  map[segmentID][]uint64
}

func newSegmentIndex(s store) *segmentIndex {
	return &segmentIndex{store: s, keys: make(map[segmentID][]uint64)}
}

func hashPrefix(k KeyHash) uint64 { return binary.BigEndian.Uint64(k[:8]) }

func (x *segmentIndex) add(id segmentID, list []Intent) {
	keys := make([]uint64, 0, len(list))
	for _, i := range list {
		keys = append(keys, hashPrefix(i.Key))
	}
	slices.Sort(keys)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.keys[id] = keys
}

// load reads the segments that are missing from the index.
func (x *segmentIndex) load(ctx context.Context, refs []segmentRef) error {
	absent := x.missing(refs)
	if len(absent) == 0 {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLoads)
	for _, id := range absent {
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
	var absent []segmentID
	for _, ref := range refs {
		if _, ok := x.keys[ref.id]; !ok {
			absent = append(absent, ref.id)
		}
	}
	return absent
}

// prune removes segments that are not in refs from the index.
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

// find returns the newest intent of the key in the segments, or nil.
func (x *segmentIndex) find(ctx context.Context, refs []segmentRef, k KeyHash) (*Intent, error) {
	for n := len(refs) - 1; n >= 0; n-- {
		if !x.mayContain(refs[n].id, k) {
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

// mayContain reports whether the segment may contain the key. It is true without
// the key if only the first 8 bytes of a hash agree, or if the segment is not in
// the index.
func (x *segmentIndex) mayContain(id segmentID, k KeyHash) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	keys, known := x.keys[id]
	if !known {
		return true
	}
	_, found := slices.BinarySearch(keys, hashPrefix(k))
	return found
}
