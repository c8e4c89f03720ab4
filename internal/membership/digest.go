package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of buckets into which members are divided to
// compare two tables. With 4,940 members a bucket has 20 records, and two
// processes that differ in one member exchange about 2.5 KB.
const digestBuckets = 256

// Digest returns one digest per bucket for the comparison with another table. A
// suspicion counts as Serving, because it is not shared between processes.
func (t *Table) Digest() []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make([]uint32, digestBuckets)
	for name, e := range t.byName {
		sums[bucketOf(name)] ^= e.digest()
	}
	return sums
}

// DifferingMembers returns the members in the buckets whose digests differ from
// those of another table, up to limit.
func (t *Table) DifferingMembers(other []uint32, limit int) []Member {
	if len(other) != digestBuckets {
		return nil
	}
	mine := t.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for name, e := range t.byName {
		if b := bucketOf(name); mine[b] != other[b] && len(list) < limit {
			list = append(list, e.Member)
		}
	}
	return list
}

func bucketOf(name string) uint64 { return xxhash.Sum64String(name) % digestBuckets }

// digest returns a hash of the name, the incarnation and the state.
func (e *tableEntry) digest() uint32 {
	state := e.State
	if state == Suspect {
		state = Serving
	}
	raw := binary.LittleEndian.AppendUint64([]byte(e.Name), e.Incarnation)
	return uint32(xxhash.Sum64(append(raw, byte(state))))
}
