package membership

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/platform"
)

// Poller keeps a table in step with the platform's list.
type Poller struct {
	Table     *Table
	Instances platform.Instances
	Interval  time.Duration
	Logger    *log.Logger
}

// Refresh reads the list once.
func (p *Poller) Refresh(ctx context.Context) error {
	list, err := p.Instances.List(ctx)
	if err != nil {
		return err
	}
	p.Table.ApplyList(list)
	return nil
}

// Run reads the list every Interval until ctx ends. While the list cannot be
// read the last known members stay in use.
func (p *Poller) Run(ctx context.Context) error {
	tick := time.NewTicker(p.Interval)
	defer tick.Stop()
	for {
		if err := p.Refresh(ctx); err != nil && ctx.Err() == nil {
			p.Logger.Warn("instance list unavailable; using the last known members", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
