package relay

import (
	"cmp"
	"slices"
	"sync"

	"github.com/fescueslip/fescueslip/internal/peer"
)

const (
	// sendsPerChange is how often a process sends a membership change to peers.
	// With one exchange per second in both directions, 12 sends reach 4,940
	// processes with a margin; the comparison of tables repairs what is missed.
	sendsPerChange = 12
	// maxQueuedChanges bounds the changes that wait to be sent. After a restart
	// of all processes at once, the comparison of tables is cheaper than sending
	// thousands of changes one by one.
	maxQueuedChanges = 512
)

// changeQueue holds the membership changes that a process has yet to send to
// peers.
type changeQueue struct {
	mu    sync.Mutex
	items []queuedChange // those sent least often come first
}

// queuedChange is a changed member record and how often it is still to be sent.
type queuedChange struct {
	record    *peer.MemberRecord
	sendsLeft int
}

// add queues a change and removes an older change of the same member.
func (q *changeQueue) add(record *peer.MemberRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = slices.DeleteFunc(q.items, func(c queuedChange) bool { return c.record.Name == record.Name })
	q.items = slices.Insert(q.items, 0, queuedChange{record: record, sendsLeft: sendsPerChange})
	q.items = q.items[:min(len(q.items), maxQueuedChanges)]
}

// take returns up to maxChanges changes, those sent least often first, and
// counts them as sent once more.
func (q *changeQueue) take() []*peer.MemberRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []*peer.MemberRecord
	for i := range min(maxChanges, len(q.items)) {
		records = append(records, q.items[i].record)
		q.items[i].sendsLeft--
	}
	q.items = slices.DeleteFunc(q.items, func(c queuedChange) bool { return c.sendsLeft <= 0 })
	slices.SortStableFunc(q.items, func(a, b queuedChange) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	return records
}
