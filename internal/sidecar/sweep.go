package sidecar

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
)

const (
	// sweepInterval and orphanAge keep orphaned memory below 3 s.
	sweepInterval = 500 * time.Millisecond
	orphanAge     = 2 * time.Second
	// endedMemory is how long the ids of ended claims are remembered: what the
	// engine still lists under them is cancelled without waiting for orphanAge.
	endedMemory = 10 * time.Second
)

// sweeper finds what the engine holds without a live stream: requests of a
// former sidecar, and calls that reached the engine after their cancel.
type sweeper struct {
	engine engine.Client
	desk   *desk
}

func newSweeper(c engine.Client, d *desk) *sweeper { return &sweeper{engine: c, desk: d} }

// sweepLoop sweeps after each boot, which opens admission, and regularly.
func (s *Sidecar) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.booted:
		case <-time.After(sweepInterval):
		}
		b, _ := s.monitor.get()
		if b == nil {
			continue
		}
		if s.sweeper.sweep(ctx, b) {
			s.desk.open(s.monitor)
		}
	}
}

// sweep compares the engine's list with the live claims. It reports whether the
// engine gave its list.
func (w *sweeper) sweep(ctx context.Context, b *boot) bool {
	seen := w.desk.now()
	list, err := w.engine.Requests(ctx)
	if err != nil || b.lost() {
		return false
	}
	for _, id := range w.desk.findOrphans(seen, list) {
		if cancelRequest(ctx, b, w.engine, id) {
			w.desk.orphanGone(id)
		}
	}
	return true
}

// open starts admission when the engine is still up.
func (d *desk) open(m *monitor) {
	if b, _ := m.get(); b != nil && !b.lost() {
		d.mu.Lock()
		up := d.up
		d.mu.Unlock()
		if !up {
			d.setUp(true)
		}
	}
}

// findOrphans accounts for what the engine holds without a stream and returns
// what must be cancelled now. seen is a time before the list was made.
func (d *desk) findOrphans(seen time.Duration, list []engine.RequestInfo) (cancel []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetEnded(seen)
	listed := make(map[string]engine.Phase, len(list))
	for _, r := range list {
		listed[r.RequestID] = r.Phase
		if d.heldByLive(r.RequestID) {
			continue
		}
		o, known := d.orphans[r.RequestID]
		if !known {
			o = d.occupy(seen, r)
		}
		if _, ended := d.ended[r.RequestID]; ended || seen-o.since >= orphanAge {
			cancel = append(cancel, r.RequestID)
		}
	}
	for id := range d.orphans {
		if listed[id] == "" {
			d.dropOrphan(id)
		}
	}
	for _, c := range d.live {
		c.work.seen(listed[c.work.lastID()])
	}
	return cancel
}

// occupy accounts for an orphan's memory until it is gone.
func (d *desk) occupy(seen time.Duration, r engine.RequestInfo) *orphan {
	o := &orphan{since: seen}
	if d.role == engine.RolePrefill {
		d.prefill.holds.Occupy(r.RequestID, r.HeldTokens)
	} else {
		o.res = d.decode.res.Occupy(r.RequestID, r.HeldTokens)
	}
	d.orphans[r.RequestID] = o
	return o
}

// heldByLive reports whether a live claim accounts for a request id. A claim
// that is in the course of ending counts: it frees its memory itself.
func (d *desk) heldByLive(id string) bool {
	for _, c := range d.live {
		if c.work.holds(id) {
			return true
		}
	}
	return false
}

// orphanGone releases the accounting of a cancelled orphan.
func (d *desk) orphanGone(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.swept++
	d.dropOrphan(id)
	d.pump()
}

func (d *desk) dropOrphan(id string) {
	if o, ok := d.orphans[id]; ok {
		delete(d.orphans, id)
		d.decode.res.Release(d.now(), o.res)
		d.prefill.holds.Release(id)
	}
}

func (d *desk) dropOrphans() {
	for id := range d.orphans {
		d.dropOrphan(id)
	}
}

func (d *desk) forgetEnded(now time.Duration) {
	for id, at := range d.ended {
		if now-at > endedMemory {
			delete(d.ended, id)
		}
	}
}
