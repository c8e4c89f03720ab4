package sidecar

import (
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// desk decides what the engine works on. It guards the aggregates of both
// roles by one lock; no call to the engine is made under it.
type desk struct {
	config config.Source
	begin  time.Time

	mu       sync.Mutex
	up       bool
	leaving  bool
	changing bool // the role is about to change
	role     engine.Role
	info     engine.Info
	suspects *Suspects
	live     map[string]*claim // by engine request id
	orphans  map[string]*orphan
	ended    map[string]time.Duration // engine request ids whose claim ended lately
	swept    int                      // orphans cancelled

	decode  decodeDesk
	prefill prefillDesk
}

// orphan is memory that the engine holds for a request without a stream.
type orphan struct {
	since time.Duration
	res   *Reservation
}

func newDesk(src config.Source) *desk {
	return &desk{
		config:   src,
		begin:    time.Now(),
		suspects: NewSuspects(),
		live:     make(map[string]*claim),
		orphans:  make(map[string]*orphan),
		ended:    make(map[string]time.Duration),
		decode:   newDecodeDesk(),
		prefill:  newPrefillDesk(),
	}
}

func (d *desk) now() time.Duration { return time.Since(d.begin) }

// check returns a refusal that holds before any queueing. It is called with
// the lock held.
func (d *desk) check(c *claim, role engine.Role) *refusal {
	switch {
	case d.leaving:
		return leaving()
	case !d.up:
		return engineDown()
	case d.changing:
		return roleChanges()
	case d.role != role:
		return &refusal{kind: wire.RefusalKind_REFUSAL_WRONG_ROLE, detail: "the engine has the role " + string(d.role)}
	case d.live[c.id] != nil:
		return &refusal{kind: wire.RefusalKind_REFUSAL_UNSPECIFIED, detail: "this attempt has a stream already; use a new attempt number"}
	case d.suspects.Refuses(d.now(), c.fingerprint, c.suspect):
		return knownCrasher()
	}
	return nil
}

// enqueue makes a claim wait for its turn.
func (d *desk) enqueue(q *fairqueue.Queue, c *claim, source string, usage float64, deadline time.Duration) {
	c.item = &fairqueue.Item{
		Caller:   c.caller,
		Source:   source,
		Share:    c.share,
		Cost:     c.cost,
		Usage:    usage,
		Deadline: deadline,
		MaxYield: d.config.Snapshot().Policy.MaxYield,
	}
	if c.suspect {
		// An aged item that does not fit holds up the others, but what a suspect
		// waits for is another suspect and not room.
		c.item.MaxYield = 0
	}
	d.live[c.id] = c
}

// firstAttempt is the number of a request's first attempt.
const firstAttempt = 1

// limitWait refuses a queued claim whose wait would exceed the queue limit, and
// otherwise sets the time after which it is refused if the estimate was wrong.
// A request that continues was accepted before and is never refused for its wait.
func (d *desk) limitWait(q *fairqueue.Queue, c *claim, waitedMs uint64, wait time.Duration) *refusal {
	if c.attempt > firstAttempt {
		return nil
	}
	limit := d.config.Snapshot().Policy.QueueLimit
	c.overdue = max(1, limit-time.Duration(waitedMs)*time.Millisecond)
	if wait <= limit {
		return nil
	}
	q.Remove(c.item)
	d.forget(c)
	return overloaded(wait)
}

// share prefers this process's configuration, unless the sender's is newer.
func (d *desk) share(caller string, sent float64, revision uint64) float64 {
	snap := d.config.Snapshot()
	if known, ok := snap.Callers[caller]; ok && snap.Revision >= revision {
		return known.Share
	}
	return positiveShare(sent)
}

// deadline returns the time of grant at which the first-token target can still
// be met, lead before the first token.
func (d *desk) deadline(budgetMS, waitedMS uint64, lead time.Duration) time.Duration {
	left := time.Duration(budgetMS) * time.Millisecond
	if budgetMS == 0 {
		waited := time.Duration(waitedMS) * time.Millisecond
		left = min(0, d.config.Snapshot().Policy.TTFTTarget-waited)
	}
	return d.now() + left - lead
}

// forget removes a claim. It is called with the lock held.
func (d *desk) forget(c *claim) {
	delete(d.live, c.id)
	if id := c.work.lastID(); id != "" {
		d.ended[id] = d.now()
	}
	d.suspects.Exit(c.id)
	d.suspects.Unclaim(c.id)
}

// enter records that the engine is about to work on a claim under an engine
// request id. It refuses when the claim's fingerprint was meanwhile seen at a crash.
func (d *desk) enter(c *claim, id string) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ended, id)
	if d.suspects.Refuses(d.now(), c.fingerprint, c.suspect) {
		return knownCrasher()
	}
	d.suspects.Enter(c.id, c.fingerprint)
	return nil
}

// exit records that the engine no longer works on a claim under this id.
func (d *desk) exit(c *claim, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.Exit(c.id)
	d.ended[id] = d.now()
}

// crash remembers what was in flight when the engine died.
func (d *desk) crash() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropOrphans()
	return d.suspects.Crash(d.now())
}

// setInfo takes over the engine's role and shape.
func (d *desk) setInfo(info engine.Info) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.info, d.role = info, info.Role
	shape := Shape{Slots: info.Slots, ChunkTokens: info.ChunkTokens}
	if info.ChunkTokens > 0 {
		shape.Chunks = info.CapacityTokens / info.ChunkTokens
	}
	d.decode.res.Reshape(shape)
	d.prefill.holds.Reshape(shape)
	d.prefill.setRate(info.PrefillTokensPerS)
}

// setUp tells whether the engine takes work. Work that has not run is refused
// when it stops doing so, so that entries can turn elsewhere.
func (d *desk) setUp(up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.up = up
	if up {
		d.pump()
		return
	}
	d.refuseWaiting(*engineDown())
	d.refuseUnstarted()
}

// leave refuses what waits and all new work.
func (d *desk) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.refuseWaiting(*leaving())
}

// setChanging refuses work while the engine's role is about to change, so that
// the engine becomes idle.
func (d *desk) setChanging(changing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if changing && !d.changing {
		d.refuseWaiting(*roleChanges())
	}
	d.changing = changing
}

func (d *desk) refuseWaiting(r refusal) {
	refuseQueue(d.decode.queue, r)
	refuseQueue(d.prefill.queue, r)
}

func refuseQueue(q *fairqueue.Queue, r refusal) {
	var items []*fairqueue.Item
	q.Each(func(it *fairqueue.Item) { items = append(items, it) })
	for _, it := range items {
		q.Remove(it)
		it.Value.(claimant).base().refuse(r)
	}
}

// claimant is what a queue item refers to.
type claimant interface{ base() *claim }

func (c *claim) base() *claim { return c }

// pump grants what fits. It is called with the lock held, whenever something
// was freed and regularly, because forecasts change with time.
func (d *desk) pump() {
	d.promote()
	if !d.up {
		return
	}
	d.grantDecodes()
	d.grantPrefills()
}

// tick is pump for the timer.
func (d *desk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump()
}
