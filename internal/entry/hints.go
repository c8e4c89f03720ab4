package entry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// hint is the latest load that the sidecar of an upstream reported.
type hint struct {
	load *wire.Load
	at   time.Time
}

// upstreamHints holds the latest hint of one upstream and the work that this
// entry has sent there since.
type upstreamHints struct {
	latest atomic.Pointer[hint]
	// sent is the number of requests sent since the latest hint.
	sent atomic.Int64
	// sentWork is the estimated duration, in nanoseconds, of the requests sent
	// since the latest hint.
	sentWork atomic.Int64
}

// hintFrameOverhead is the size in bytes of the tag and the length that precede
// a hint within its frame.
const hintFrameOverhead = 2

// hintTable holds the latest hint of each upstream. Reading it takes no lock.
type hintTable struct {
	byUpstream sync.Map // string → *upstreamHints
	count      atomic.Int64
	bytes      atomic.Int64
}

func (t *hintTable) forUpstream(upstream string) *upstreamHints {
	if u, ok := t.byUpstream.Load(upstream); ok {
		return u.(*upstreamHints)
	}
	u, _ := t.byUpstream.LoadOrStore(upstream, new(upstreamHints))
	return u.(*upstreamHints)
}

// record stores a hint and resets the work that was sent since the previous one.
func (t *hintTable) record(l *wire.Load) {
	if l == nil || l.Upstream == "" {
		return
	}
	t.count.Add(1)
	t.bytes.Add(int64(proto.Size(l)) + hintFrameOverhead)
	u := t.forUpstream(l.Upstream)
	u.latest.Store(&hint{load: l, at: time.Now()})
	u.sent.Store(0)
	u.sentWork.Store(0)
}

// recordSent counts a request that was just sent and adds the time that it is
// expected to take.
func (t *hintTable) recordSent(upstream string, work time.Duration) {
	u := t.forUpstream(upstream)
	u.sent.Add(1)
	u.sentWork.Add(int64(work))
}

// estimatedWait returns the estimated queueing time at an upstream: the wait in
// the latest hint plus the work sent since, minus the time that has passed.
func (t *hintTable) estimatedWait(upstream string) time.Duration {
	h, ok := t.get(upstream)
	if !ok {
		return 0
	}
	hinted := time.Duration(h.load.WaitMs) * time.Millisecond
	return max(0, hinted+time.Duration(t.forUpstream(upstream).sentWork.Load())-time.Since(h.at))
}

// sentSinceHint returns the number of requests sent to the upstream since its latest
// hint.
func (t *hintTable) sentSinceHint(upstream string) int {
	return int(t.forUpstream(upstream).sent.Load())
}

// get returns the latest hint of the upstream. ok is false if there is none.
func (t *hintTable) get(upstream string) (hint, bool) {
	u, ok := t.byUpstream.Load(upstream)
	if !ok {
		return hint{}, false
	}
	h := u.(*upstreamHints).latest.Load()
	if h == nil {
		return hint{}, false
	}
	return *h, true
}

// all returns the latest hints, sorted by upstream.
func (t *hintTable) all() []hint {
	var list []hint
	t.byUpstream.Range(func(_, p any) bool {
		if h := p.(*upstreamHints).latest.Load(); h != nil {
			list = append(list, *h)
		}
		return true
	})
	slices.SortFunc(list, func(a, b hint) int { return strings.Compare(a.load.Upstream, b.load.Upstream) })
	return list
}
