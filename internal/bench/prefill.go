package bench

import (
	"container/list"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// prefillJob is one prefill of a request and, afterwards, its held output.
type prefillJob struct {
	req      *request
	attempt  int
	entry    *entry
	srv      *prefillServer
	tokens   int // prompt and already delivered tokens
	estimate time.Duration
	deadline time.Duration
	item     *fairqueue.Item
	computed int
	started  time.Duration
	until    time.Duration // end of the hold
	state    jobState
}

type jobState int

const (
	jobQueued jobState = iota
	jobRunning
	jobHeld
	jobSending // an import reads the output
	jobGone
)

// prefillServer is a prefill engine with its sidecar.
type prefillServer struct {
	w       *world
	name    string
	domain  string
	up      bool
	queue   *fairqueue.Queue
	fifo    []*prefillJob
	work    time.Duration // estimated work of the queue
	current *prefillJob
	endsAt  time.Duration
	cache   blockCache
	held    map[*prefillJob]struct{}
	link    time.Duration // when the link is free
}

func (s *prefillServer) hint() hint {
	wait := s.work
	if s.current != nil {
		wait += max(0, s.endsAt-s.w.now)
	}
	return hint{at: s.w.now, up: s.up, wait: wait, queued: s.queue.Len() + len(s.fifo), link: s.link}
}

// submit queues a job; the entry's message has arrived.
func (s *prefillServer) submit(j *prefillJob, usage float64) {
	if !s.up || j.stale() {
		s.w.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.prefillLost(j) })
		return
	}
	if !s.w.fair && len(s.fifo) >= baselineQueue {
		j.state = jobGone
		s.w.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.prefillRefused(j) })
		return
	}
	ahead := s.hint().wait
	j.estimate = s.w.p.engine.PrefillTime(s.uncached(j))
	s.work += j.estimate
	if !s.w.fair {
		s.fifo = append(s.fifo, j)
	} else {
		j.item = &fairqueue.Item{
			Caller: j.req.caller.name, Source: j.entry.name, Share: j.req.caller.share,
			Cost: float64(j.tokens), Usage: usage, Deadline: j.deadline,
			MaxYield: s.w.p.settings.maxYield, Value: j,
		}
		s.queue.Push(s.w.now, j.item)
	}
	s.next()
	if j.state == jobQueued && s.w.fair {
		s.w.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.prefillQueued(j, ahead) })
	}
}

// uncached is the part of the prompt that the engine must compute. The sidecar
// knows it from the engine's cache events.
func (s *prefillServer) uncached(j *prefillJob) int {
	cached := s.cache.lookup(j.req.hashes) * choose.BlockTokens
	return j.tokens - min(cached, j.tokens-1)
}

// release gives a job back that has not started; the entry sends it elsewhere.
func (s *prefillServer) release(j *prefillJob) {
	if j.state != jobQueued {
		return
	}
	s.cancel(j)
	s.w.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.prefillReleased(j) })
}

func (j *prefillJob) stale() bool { return j.state == jobGone }

func (s *prefillServer) pop() *prefillJob {
	if s.w.fair {
		if it := s.queue.Pop(s.w.now, nil); it != nil {
			return it.Value.(*prefillJob)
		}
		return nil
	}
	if len(s.fifo) == 0 {
		return nil
	}
	j := s.fifo[0]
	s.fifo = s.fifo[1:]
	return j
}

func (s *prefillServer) next() {
	if s.current != nil || !s.up {
		return
	}
	j := s.pop()
	if j == nil {
		return
	}
	s.work = max(0, s.work-j.estimate)
	j.computed = s.uncached(j)
	j.state, j.started = jobRunning, s.w.now
	s.w.m.wait(j.req, false)
	s.current = j
	s.endsAt = s.w.now + s.w.p.engine.PrefillTime(j.computed)
	s.w.at(s.endsAt, func() { s.finish(j) })
}

func (s *prefillServer) finish(j *prefillJob) {
	if s.current != j || j.state != jobRunning {
		return
	}
	s.current = nil
	s.cache.insert(j.req.hashes)
	s.w.m.prefilled(j.req, j.computed, s.w.now)
	j.state, j.until = jobHeld, s.w.now+s.w.p.engine.HoldTime
	s.held[j] = struct{}{}
	s.w.at(j.until, func() { s.evict(j) })
	cached := j.tokens - j.computed
	s.w.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.prefillReady(j, cached) })
	s.next()
}

func (s *prefillServer) evict(j *prefillJob) {
	if j.state != jobHeld {
		return
	}
	s.drop(j)
	s.w.trace("evicted", j.req)
}

// drop frees the output without telling anyone.
func (s *prefillServer) drop(j *prefillJob) {
	j.state = jobGone
	delete(s.held, j)
}

// cancel ends a job in any state.
func (s *prefillServer) cancel(j *prefillJob) {
	switch j.state {
	case jobQueued:
		s.unqueue(j)
	case jobRunning:
		done := int((s.w.now - j.started).Seconds() * s.w.p.engine.PrefillTokensPerSecond)
		s.w.m.prefilled(j.req, min(done, j.computed), s.w.now)
		s.current = nil
	}
	s.drop(j)
	s.next()
}

func (s *prefillServer) unqueue(j *prefillJob) {
	if j.item != nil && s.queue.Remove(j.item) {
		s.work = max(0, s.work-j.estimate)
	}
	for i, other := range s.fifo {
		if other == j {
			s.fifo = append(s.fifo[:i:i], s.fifo[i+1:]...)
			s.work = max(0, s.work-j.estimate)
			return
		}
	}
}

// crash loses all work, outputs and the cache; queued jobs are refused.
func (s *prefillServer) crash() {
	s.up = false
	s.cache = newBlockCache(s.w.p.engine.CacheBlocks)
	lost := s.fifo
	s.fifo = nil
	s.queue.Each(func(it *fairqueue.Item) { lost = append(lost, it.Value.(*prefillJob)) })
	for it := s.queue.Pop(s.w.now, nil); it != nil; it = s.queue.Pop(s.w.now, nil) {
		s.queue.AdjustCharge(it.Caller, -it.Cost)
	}
	if j := s.current; j != nil {
		done := int((s.w.now - j.started).Seconds() * s.w.p.engine.PrefillTokensPerSecond)
		s.w.m.prefilled(j.req, min(done, j.computed), s.w.now)
		lost = append(lost, j)
		s.current = nil
	}
	s.work = 0
	for j := range s.held {
		j.state = jobGone
	}
	clear(s.held)
	for _, j := range lost {
		j.state = jobGone
		s.w.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.prefillLost(j) })
	}
}

func (s *prefillServer) restart() {
	s.up = true
	s.w.announce(s.domain, s.name, s.hint())
}

// blockCache is an engine's prefix cache: the least recently used block goes first.
type blockCache struct {
	max    int
	at     map[uint64]*list.Element
	recent *list.List
}

func newBlockCache(blocks int) blockCache {
	return blockCache{max: blocks, at: map[uint64]*list.Element{}, recent: list.New()}
}

// lookup returns the number of leading blocks that are cached.
func (c *blockCache) lookup(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.at[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// insert stores the blocks so that the leading ones are the most recent.
func (c *blockCache) insert(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e, ok := c.at[hashes[i]]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		if len(c.at) >= c.max {
			delete(c.at, c.recent.Remove(c.recent.Back()).(uint64))
		}
		c.at[hashes[i]] = c.recent.PushFront(hashes[i])
	}
}
