package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/kvservice"
)

// perMember lengthens the time between two reads of the list with its size: at
// 4,940 members the list has about 3 MB and is read every 25 s. Changes that
// matter at once are announced by the processes themselves.
const perMember = 5 * time.Millisecond

// Poller keeps a table in step with the platform's list. A process reads the
// list until it knows somebody else; from then on only those do for which Reader
// reports true, and they pass the changes on.
type Poller struct {
	Table     *Table
	Instances kvservice.InstanceLister
	// Interval is the shortest time between two reads.
	Interval time.Duration
	// Reader reports whether this process reads the list now; nil means always.
	ShouldRead func() bool
	// Changed gets the members that changed by a read; nil means nobody.
	OnChange func([]Member)
	Logger   *log.Logger

	reads atomic.Int64
}

// Refresh reads the list once and returns the members that changed by it.
func (p *Poller) Refresh(ctx context.Context) ([]Member, error) {
	list, err := p.Instances.List(ctx)
	if err != nil {
		return nil, err
	}
	p.reads.Add(1)
	return p.Table.ApplyInstanceList(list), nil
}

// Reads returns how often the list was read.
func (p *Poller) Reads() int64 { return p.reads.Load() }

// Run reads the list until ctx ends. While the list cannot be read the last
// known members stay in use. The first read is not passed on: every process
// makes it, and most of it is known to all others.
func (p *Poller) Run(ctx context.Context) error {
	for known := false; ; {
		if !known || p.due() {
			changed, err := p.Refresh(ctx)
			switch {
			case err != nil && ctx.Err() == nil:
				p.Logger.Warn("instance list unavailable; using the last known members", "err", err)
			case known && p.OnChange != nil && len(changed) > 0:
				p.OnChange(changed)
			}
			known = known || err == nil
		}
		wait := time.NewTimer(p.pause())
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-wait.C:
		}
	}
}

// due reports whether this process reads the list: alone it has no one to learn
// from.
func (p *Poller) due() bool {
	return p.ShouldRead == nil || len(p.Table.Members()) < 2 || p.ShouldRead()
}

// pause spreads the reads of processes that started together.
func (p *Poller) pause() time.Duration {
	d := max(p.Interval, time.Duration(len(p.Table.Members()))*perMember)
	return d - d/8 + rand.N(d/4)
}
