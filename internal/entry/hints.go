package entry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// hint is the newest load that an upstream's sidecar reported on a reply.
type hint struct {
	load *wire.Load
	at   time.Time
}

// hintTable keeps the newest hint of each upstream. Reading takes no lock.
type hintTable struct {
	byUpstream sync.Map // string → *atomic.Pointer[hint]
}

func (t *hintTable) note(l *wire.Load) {
	if l == nil || l.Upstream == "" {
		return
	}
	p, ok := t.byUpstream.Load(l.Upstream)
	if !ok {
		p, _ = t.byUpstream.LoadOrStore(l.Upstream, new(atomic.Pointer[hint]))
	}
	p.(*atomic.Pointer[hint]).Store(&hint{load: l, at: time.Now()})
}

func (t *hintTable) get(upstream string) (hint, bool) {
	p, ok := t.byUpstream.Load(upstream)
	if !ok {
		return hint{}, false
	}
	h := p.(*atomic.Pointer[hint]).Load()
	if h == nil {
		return hint{}, false
	}
	return *h, true
}

// all returns the hints ordered by upstream.
func (t *hintTable) all() []hint {
	var list []hint
	t.byUpstream.Range(func(_, p any) bool {
		if h := p.(*atomic.Pointer[hint]).Load(); h != nil {
			list = append(list, *h)
		}
		return true
	})
	slices.SortFunc(list, func(a, b hint) int { return strings.Compare(a.load.Upstream, b.load.Upstream) })
	return list
}
