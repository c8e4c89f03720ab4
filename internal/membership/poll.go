package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// readIntervalPerMember lengthens the time between two reads of the instance
// list with its size: with 4,940 members the list has about 3 MB and is read
// every 25 s. Processes announce urgent changes themselves.
const readIntervalPerMember = 5 * time.Millisecond

// Poller updates a table from the platform's instance list. A process reads the
// list until it knows another member. From then on, only the processes for which
// ShouldRead reports true read it, and they pass the changes on to the others.
type Poller struct {
	Table     *Table
	Instances kvservice.InstanceLister
	// Interval is the minimum time between two reads.
	Interval time.Duration
	// ShouldRead reports whether this process currently reads the list. If it is
	// nil, the process always does.
	ShouldRead func() bool
	// OnChange receives the members that a read changed. It may be nil.
	OnChange func([]Member)
	Logger   *log.Logger

	reads atomic.Int64
}

// Refresh reads the list once and returns the members that changed.
func (p *Poller) Refresh(ctx context.Context) ([]Member, error) {
	list, err := p.Instances.List(ctx)
	if err != nil {
		return nil, err
	}
	p.reads.Add(1)
	return p.Table.ApplyInstanceList(list), nil
}

// Reads returns the number of successful reads of the list.
func (p *Poller) Reads() int64 { return p.reads.Load() }

// Run reads the list until ctx ends. While the list cannot be read, the last
// known members remain in use. The changes of the first read are not passed to
// OnChange, because every process reads the list once and most of its content is
// already known to the others.
func (p *Poller) Run(ctx context.Context) error {
	for hasRead := false; ; {
		if !hasRead || p.shouldReadNow() {
			changed, err := p.Refresh(ctx)
			switch {
			case err != nil && ctx.Err() == nil:
				p.Logger.Warn("instance list unavailable; using the last known members", "err", err)
			case hasRead && p.OnChange != nil && len(changed) > 0:
				p.OnChange(changed)
			}
			hasRead = hasRead || err == nil
		}
		timer := time.NewTimer(p.nextInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// shouldReadNow reports whether this process reads the list now. A process that
// knows no other member always does, because it has no peer to learn from.
func (p *Poller) shouldReadNow() bool {
	return p.ShouldRead == nil || len(p.Table.Members()) < 2 || p.ShouldRead()
}

// nextInterval returns the time until the next read. It is randomized to spread
// the reads of processes that started together.
func (p *Poller) nextInterval() time.Duration {
	d := max(p.Interval, time.Duration(len(p.Table.Members()))*readIntervalPerMember)
	return d - d/8 + rand.N(d/4)
}
