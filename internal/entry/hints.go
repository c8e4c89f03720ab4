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

// hint is the newest load that an upstream's sidecar reported on a reply.
type hint struct {
	load *wire.Load
	at   time.Time
}

// upstreamHints is the newest hint of one upstream and what this entry
// sent there since.
type upstreamHints struct {
	newest atomic.Pointer[hint]
	sent   atomic.Int64
	// sentWork is the time that the requests sent since will take.
	sentWork atomic.Int64
}

// hintFraming is the tag and the length of a hint within its frame.
const hintFraming = 2

// hintTable keeps the newest hint of each upstream. Reading takes no lock.
type hintTable struct {
	byUpstream sync.Map // string → *upstreamHints
	count      atomic.Int64
	bytes      atomic.Int64
}

func (t *hintTable) of(upstream string) *upstreamHints {
	if u, ok := t.byUpstream.Load(upstream); ok {
		return u.(*upstreamHints)
	}
	u, _ := t.byUpstream.LoadOrStore(upstream, new(upstreamHints))
	return u.(*upstreamHints)
}

func (t *hintTable) note(l *wire.Load) {
	if l == nil || l.Upstream == "" {
		return
	}
	t.count.Add(1)
	t.bytes.Add(int64(proto.Size(l)) + hintFraming)
	u := t.of(l.Upstream)
	u.newest.Store(&hint{load: l, at: time.Now()})
	u.sent.Store(0)
	u.sentWork.Store(0)
}

// noteSent counts a request that was just sent, and the time it will take.
func (t *hintTable) noteSent(upstream string, work time.Duration) {
	u := t.of(upstream)
	u.sent.Add(1)
	u.sentWork.Add(int64(work))
}

// wait estimates the wait at an upstream: the hinted one and the work sent
// since, less the time that has passed.
func (t *hintTable) wait(upstream string) time.Duration {
	h, ok := t.get(upstream)
	if !ok {
		return 0
	}
	hinted := time.Duration(h.load.WaitMs) * time.Millisecond
	return max(0, hinted+time.Duration(t.of(upstream).sentWork.Load())-time.Since(h.at))
}

func (t *hintTable) sentSince(upstream string) int { return int(t.of(upstream).sent.Load()) }

func (t *hintTable) get(upstream string) (hint, bool) {
	u, ok := t.byUpstream.Load(upstream)
	if !ok {
		return hint{}, false
	}
	h := u.(*upstreamHints).newest.Load()
	if h == nil {
		return hint{}, false
	}
	return *h, true
}

// all returns the hints ordered by upstream.
func (t *hintTable) all() []hint {
	var list []hint
	t.byUpstream.Range(func(_, p any) bool {
		if h := p.(*upstreamHints).newest.Load(); h != nil {
			list = append(list, *h)
		}
		return true
	})
	slices.SortFunc(list, func(a, b hint) int { return strings.Compare(a.load.Upstream, b.load.Upstream) })
	return list
}
