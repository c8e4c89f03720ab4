package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of parts in which two tables are compared. At
// 4,940 members a part has 20 records; two processes that differ in one member
// then exchange about 2.5 KB.
const digestBuckets = 256

// Digest returns a digest of each part of the table, for a comparison with
// another table. An own suspicion does not count, since it is not shared.
func (t *Table) Digest() []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make([]uint32, digestBuckets)
	for name, e := range t.byName {
		sums[bucketOf(name)] ^= e.digest()
	}
	return sums
}

// DifferingMembers returns the members of those parts of the table whose digests
// differ from another table's, up to limit records.
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

func (e *tableEntry) digest() uint32 {
	state := e.State
	if state == Suspect {
		state = Serving
	}
	raw := binary.LittleEndian.AppendUint64([]byte(e.Name), e.Incarnation)
	return uint32(xxhash.Sum64(append(raw, byte(state))))
}
