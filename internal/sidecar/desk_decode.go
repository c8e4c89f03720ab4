package sidecar

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	// outputWeight is the cost of an output token in prompt tokens. A decode
	// step takes tens of milliseconds for all streams of an engine, in which a
	// prefill engine computes some hundreds of prompt tokens.
	outputWeight = 8
	// initialStep is the time per output token until one was measured.
	initialStep = 25 * time.Millisecond
	stepWeight  = 0.05
	// growLead is how long before a stream outgrows its chunks the next one is
	// taken: time to cancel a victim and to confirm it. A longer lead would pause
	// streams for others that end before they need the memory.
	growLead    = 100 * time.Millisecond
	minGrowLead = 4 // tokens
)

// decodeClaim is a claim on a decode engine.
type decodeClaim struct {
	claim
	res       *Reservation
	prompt    int // tokens, those of delivered output included
	predicted int // further output tokens expected
	produced  int // output tokens produced here
	limit     int // most output tokens to produce here; 0 for none
	ran       bool
	ready     chan struct{} // closed when the engine may be used after Start
	// paused ends when the stream must give up its memory.
	paused context.Context
	pause  context.CancelFunc
}

// decodeDesk is the decode half of the desk.
type decodeDesk struct {
	queue  *fairqueue.Queue
	res    *Reservations
	claims map[*Reservation]*decodeClaim
	step   time.Duration
}

func newDecodeDesk() decodeDesk {
	return decodeDesk{
		queue:  fairqueue.New(),
		res:    NewReservations(Shape{}),
		claims: make(map[*Reservation]*decodeClaim),
		step:   initialStep,
	}
}

// admitDecode queues a claim, grants it when its turn has come, and refuses it
// when its wait would exceed the limit.
func (d *desk) admitDecode(r *wire.Reserve) (*decodeClaim, *refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.newDecodeClaim(r)
	if ref := d.check(&c.claim, engine.RoleDecode); ref != nil {
		return nil, ref
	}
	most := c.prompt + max(c.predicted, int(r.GetMaxTokens()))
	if d.decode.res.TooLarge(most) {
		return nil, tooLarge("prompt and output exceed the engine's memory; shorten the prompt or lower max_tokens")
	}
	d.enqueue(d.decode.queue, &c.claim, r.GetSource(), r.GetCallerUsage(), d.deadline(r.GetTtftBudgetMs(), r.GetWaitedMs(), c.res.PrefillTime))
	c.item.Value = c
	d.decode.queue.Push(d.now(), c.item)
	d.pump()
	if len(c.granted) > 0 {
		return c, nil
	}
	if ref := d.limitWait(d.decode.queue, &c.claim, r.GetWaitedMs(), d.decodeWait(c)); ref != nil {
		return nil, ref
	}
	return c, nil
}

func (d *desk) newDecodeClaim(r *wire.Reserve) *decodeClaim {
	share := d.share(r.GetCaller(), r.GetShare(), r.GetConfigRevision())
	c := &decodeClaim{
		claim:     newClaim(r.GetRequestId(), r.GetAttempt(), r.GetCaller(), share, r.GetFingerprint(), r.GetSuspect()),
		prompt:    int(r.GetPromptTokens()),
		predicted: max(1, int(r.GetPredictedTokens())),
		ready:     make(chan struct{}),
	}
	c.paused, c.pause = context.WithCancel(context.Background())
	c.cost = decodeCost(c.prompt, c.predicted)
	c.model = r.GetModel()
	c.res = &Reservation{
		ID:          c.id,
		Caller:      c.caller,
		Share:       c.share,
		Chunks:      d.decode.res.Need(c.prompt + c.predicted),
		Predicted:   c.predicted,
		PrefillTime: time.Duration(r.GetPrefillMs()) * time.Millisecond,
	}
	return c
}

func decodeCost(prompt, output int) float64 { return float64(prompt + outputWeight*output) }

// grantDecodes grants as many claims as fit or are predicted to fit in time.
func (d *desk) grantDecodes() {
	q := &d.decode
	anticipation := d.config.Snapshot().Policy.Anticipation
	for q.queue.Len() > 0 {
		now := d.now()
		free := newForecasts(q.res, now, q.step)
		it := q.queue.Pop(now, func(it *fairqueue.Item) bool {
			c := it.Value.(*decodeClaim)
			return d.suspects.MayRun(c.suspect) && free.fits(c.res, anticipation)
		})
		if it == nil {
			return
		}
		c := it.Value.(*decodeClaim)
		freeIn := free.in(c.res.Chunks)
		if q.res.Grant(now, c.res) {
			freeIn = 0
		}
		q.claims[c.res] = c
		d.suspects.Claim(c.id, c.suspect)
		c.granted <- grant{freeIn: freeIn}
	}
}

// start asks to use the engine. The claim's ready channel is closed when it may.
func (d *desk) start(c *decodeClaim, resume, maxTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maxTokens > 0 {
		c.limit = max(1, maxTokens-resume)
		c.predicted = min(c.predicted, c.limit)
	}
	if d.decode.res.Start(d.now(), c.res, c.prompt, c.predicted) {
		c.markReady()
	}
	d.pump()
}

func (c *decodeClaim) markReady() {
	if !c.ran {
		c.ran = true
		close(c.ready)
	}
}

// promote gives freed memory to growing streams and to waiting reservations.
func (d *desk) promote() {
	for _, x := range d.decode.res.Promote(d.now()) {
		d.decode.claims[x].markReady()
	}
}

// reserveTokens returns the tokens that the engine shall set aside for c.
func (d *desk) reserveTokens(c *decodeClaim) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.res.Chunks * d.decode.res.Shape().ChunkTokens
}

// kvBytes returns the size of the transfer, estimated when it is not told.
func (d *desk) kvBytes(c *decodeClaim, start *wire.Start) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := start.GetKvBytes(); n > 0 {
		return int64(n)
	}
	return int64(c.prompt) * d.info.KVBytesPerToken
}

// settle records what the engine holds after an import.
func (d *desk) settle(c *decodeClaim, heldTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decode.res.Settle(c.res, heldTokens)
}

// advance records new output. It may pause a stream to make room.
func (d *desk) advance(c *decodeClaim, produced int, perToken time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &d.decode
	if perToken > 0 {
		q.step += time.Duration(stepWeight * float64(perToken-q.step))
	}
	c.produced = produced
	ahead := max(minGrowLead, int(growLead/max(time.Millisecond, q.step)))
	if c.limit > 0 {
		ahead = max(0, min(ahead, c.limit-produced))
	}
	victim := q.res.Advance(d.now(), c.res, c.prompt+produced, ahead)
	if v := q.claims[victim]; victim != nil && v != nil {
		v.pause()
	}
}

// removeDecode gives back everything that a claim owns, after the engine has
// freed it, and corrects what the caller was charged.
func (d *desk) removeDecode(c *decodeClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &d.decode
	q.queue.Remove(c.item)
	if _, granted := q.claims[c.res]; granted {
		delete(q.claims, c.res)
		q.res.Release(d.now(), c.res)
		q.queue.AdjustCharge(c.caller, d.served(c)-c.cost)
	}
	d.forget(&c.claim)
	d.pump()
}

// served is the cost of what the claim really used.
func (d *desk) served(c *decodeClaim) float64 {
	if !c.ran {
		return 0
	}
	return decodeCost(c.prompt, c.produced)
}

// waitDecode is decodeWait without the lock held.
func (d *desk) waitDecode(c *decodeClaim) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decodeWait(c)
}

// decodeWait estimates how long a queued claim waits.
func (d *desk) decodeWait(c *decodeClaim) time.Duration {
	freeIn := newForecasts(d.decode.res, d.now(), d.decode.step).in(c.res.Chunks)
	return max(0, freeIn) + queueWait(d.decode.queue, c.item, d.decodeRate())
}

// decodeRate is the cost in tokens that the engine serves per second, from
// what it runs now.
func (d *desk) decodeRate() float64 {
	rate := 0.0
	for _, c := range d.decode.claims {
		life := time.Duration(c.predicted)*d.decode.step + c.res.PrefillTime/2
		rate += c.cost / life.Seconds()
	}
	return rate
}

// refuseUnstarted refuses granted claims for which nothing ran here.
func (d *desk) refuseUnstarted() {
	for _, c := range d.decode.claims {
		if !c.ran {
			c.refuse(*engineDown())
		}
	}
}
