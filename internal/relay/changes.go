package relay

import (
	"sync"

	"github.com/fescueslip/fescueslip/internal/peer"
)

// passes is how often a process passes a membership change on. With one
// exchange a second in both directions, 12 passes reach 4,940 processes with
// a margin; the platform's list repairs what is missed.
const passes = 12

// changeQueue holds the membership changes that a process still passes on.
type changeQueue struct {
	mu    sync.Mutex
	items []queuedChange
}

type queuedChange struct {
	record *peer.MemberRecord
	left   int
}

// add queues a change and drops older news of the same member.
func (q *changeQueue) add(record *peer.MemberRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, item := range q.items {
		if item.record.Name == record.Name {
			q.items[i] = queuedChange{record: record, left: passes}
			return
		}
	}
	q.items = append(q.items, queuedChange{record: record, left: passes})
}

// take returns up to maxChanges changes and counts the pass.
func (q *changeQueue) take() []*peer.MemberRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(maxChanges, len(q.items))
	var out []*peer.MemberRecord
	var again []queuedChange
	for _, item := range q.items[:n] {
		out = append(out, item.record)
		if item.left--; item.left > 0 {
			again = append(again, item)
		}
	}
	q.items = append(q.items[n:], again...)
	return out
}
