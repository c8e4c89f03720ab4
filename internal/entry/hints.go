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

// upstreamHints is the newest hint of one upstream and the number of requests
// that this entry sent there since.
type upstreamHints struct {
	newest atomic.Pointer[hint]
	sent   atomic.Int64
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
}

func (t *hintTable) noteSent(upstream string) { t.of(upstream).sent.Add(1) }

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
