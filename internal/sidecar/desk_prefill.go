package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// prefillConcurrency is the number of prefills submitted at once. A prefill
	// uses the whole engine: a second one would wait in the engine's own queue,
	// out of fair order, and would seem to take twice as long. The gap between
	// two calls is below a millisecond.
	prefillConcurrency = 1
	// initialPrefillRate in tokens/s applies until the engine tells its own.
	initialPrefillRate = 5000
	rateWeight         = 0.1
)

// prefillClaim is a claim on a prefill engine.
type prefillClaim struct {
	claim
	tokens int
	begun  bool
}

// prefillDesk is the prefill half of the desk.
type prefillDesk struct {
	queue *fairqueue.Queue
	holds *Holds
	rate  float64 // tokens/s, measured
	told  float64 // tokens/s, as the engine tells it
}

func newPrefillDesk() prefillDesk {
	return prefillDesk{
		queue: fairqueue.New(),
		holds: NewHolds(Shape{}, prefillConcurrency),
		rate:  initialPrefillRate,
	}
}

func (p *prefillDesk) setRate(told float64) {
	if told > 0 && told != p.told {
		p.told, p.rate = told, told
	}
}

// admitPrefill queues a claim, starts it when its turn has come, and refuses it
// when its wait would exceed the limit.
func (d *desk) admitPrefill(r *wire.Prefill) (*prefillClaim, *refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := d.share(r.GetCaller(), r.GetShare(), r.GetConfigRevision())
	c := &prefillClaim{
		claim:  newClaim(r.GetRequestId(), r.GetAttempt(), r.GetCaller(), share, r.GetFingerprint(), r.GetSuspect()),
		tokens: int(r.GetPromptTokens()),
	}
	c.cost = float64(max(1, c.tokens))
	c.model = r.GetModel()
	if ref := d.check(&c.claim, engine.RolePrefill); ref != nil {
		return nil, ref
	}
	if d.prefill.holds.TooLarge(c.tokens) || d.info.MaxPromptTokens > 0 && c.tokens > d.info.MaxPromptTokens {
		return nil, tooLarge("the prompt exceeds what the engine can hold; shorten it")
	}
	d.enqueue(d.prefill.queue, &c.claim, r.GetSource(), r.GetCallerUsage(), d.deadline(r.GetTtftBudgetMs(), r.GetWaitedMs(), d.prefillTime(c.tokens)))
	c.item.Value = c
	d.prefill.queue.Push(d.now(), c.item)
	d.pump()
	if c.begun {
		return c, nil
	}
	if ref := d.limitWait(d.prefill.queue, &c.claim, r.GetWaitedMs(), d.prefillWait(c)); ref != nil {
		return nil, ref
	}
	return c, nil
}

// grantPrefills starts as many prefills as fit.
func (d *desk) grantPrefills() {
	p := &d.prefill
	for {
		it := p.queue.Pop(d.now(), func(it *fairqueue.Item) bool {
			c := it.Value.(*prefillClaim)
			return d.suspects.MayRun(c.suspect) && p.holds.Fits(c.tokens)
		})
		if it == nil {
			return
		}
		c := it.Value.(*prefillClaim)
		p.holds.Begin(c.id, c.tokens)
		d.suspects.Claim(c.id, c.suspect)
		c.begun = true
		c.granted <- grant{}
	}
}

// prefillReady records a finished prefill and its eviction time.
func (d *desk) prefillReady(c *prefillClaim, r engine.PrefillResult, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &d.prefill
	p.holds.Ready(d.now(), c.id, r.Handle, r.Tokens, time.Duration(r.HoldMS)*time.Millisecond)
	p.observe(r.Tokens-r.CachedTokens, took)
	d.suspects.Exit(c.id)
	d.suspects.Unclaim(c.id)
	d.pump()
}

// observe measures the rate.
func (p *prefillDesk) observe(computed int, took time.Duration) {
	if computed > 0 && took > 0 {
		p.rate += rateWeight * (float64(computed)/took.Seconds() - p.rate)
	}
}

// evicted records that the engine dropped an output that nobody released.
func (d *desk) evicted(c *prefillClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prefill.holds.Evict(c.id)
	d.pump()
}

// removePrefill gives back everything that a claim owns, after the engine has
// freed it.
func (d *desk) removePrefill(c *prefillClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prefill.queue.Remove(c.item)
	d.prefill.holds.Release(c.id)
	d.forget(&c.claim)
	d.pump()
}

func (d *desk) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / d.prefill.rate * float64(time.Second))
}

// prefillDeadline bounds the call of a prefill.
func (d *desk) prefillDeadline(tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return prefillBase + prefillSlack*d.prefillTime(tokens)
}

// waitPrefill is prefillWait without the lock held.
func (d *desk) waitPrefill(c *prefillClaim) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefillWait(c)
}

// prefillWait estimates how long a queued claim waits.
func (d *desk) prefillWait(c *prefillClaim) time.Duration {
	running := d.prefillTime(d.prefill.holds.runningTokens())
	return running/2 + queueWait(d.prefill.queue, c.item, d.prefill.rate)
}
