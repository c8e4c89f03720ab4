package bench

import (
	"container/list"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

// prefillJob is one prefill of a request and the output that is held after it.
type prefillJob struct {
	req            *request
	attempt        int
	entry          *entry
	server         *prefillServer
	tokens         int // prompt and tokens already delivered
	estimate       time.Duration
	deadline       time.Duration
	item           *fairqueue.Item
	computedTokens int
	started        time.Duration
	heldUntil      time.Duration // time of the eviction
	state          jobState
}

// jobState is the progress of a prefillJob.
type jobState int

const (
	jobQueued jobState = iota
	jobRunning
	jobHeld
	jobSending // a decode server imports the output
	jobDropped
)

// prefillServer models a prefill engine and its sidecar.
type prefillServer struct {
	sim        *simulation
	name       string
	domain     string
	up         bool
	queue      *fairqueue.Queue
	fifo       []*prefillJob
	queuedWork time.Duration // estimated time to prefill the queue
	current    *prefillJob
	endsAt     time.Duration
	cache      blockCache
	held       map[*prefillJob]struct{}
	linkFreeAt time.Duration // end of the last scheduled transfer
}

func (s *prefillServer) hint() loadHint {
	wait := s.queuedWork
	if s.current != nil {
		wait += max(0, s.endsAt-s.sim.now)
	}
	return loadHint{sentAt: s.sim.now, up: s.up, wait: wait, queued: s.queue.Len() + len(s.fifo), linkFreeAt: s.linkFreeAt}
}

// submit queues a job when the entry's request arrives. Policy fescueslip uses a fair
// queue and lets the entry move a job that has to wait. The baselines use a FIFO and
// refuse a job if its length has reached baselineQueueLimit. If the server is down or
// the job was cancelled on its way, the entry is told that the job is lost.
func (s *prefillServer) submit(j *prefillJob, usage float64) {
	if !s.up || j.gone() {
		s.sim.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.handlePrefillLoss(j) })
		return
	}
	if !s.sim.usesFescueslip && len(s.fifo) >= baselineQueueLimit {
		j.state = jobDropped
		s.sim.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.handlePrefillRefusal(j) })
		return
	}
	queueWait := s.hint().wait
	j.estimate = s.sim.profile.engine.PrefillTime(s.uncachedTokens(j))
	s.queuedWork += j.estimate
	if !s.sim.usesFescueslip {
		s.fifo = append(s.fifo, j)
	} else {
		j.item = &fairqueue.Item{
			Caller: j.req.caller.name, Source: j.entry.name, Share: j.req.caller.share,
			Cost: float64(j.tokens), Usage: usage, Deadline: j.deadline,
			MaxYield: s.sim.profile.settings.maxYield, Value: j,
		}
		s.queue.Push(s.sim.now, j.item)
	}
	s.startNext()
	if j.state == jobQueued && s.sim.usesFescueslip {
		s.sim.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.movePrefill(j, queueWait) })
	}
}

// uncachedTokens returns the number of tokens that the engine must compute, at least
// one. The sidecar knows it from the engine's cache events.
func (s *prefillServer) uncachedTokens(j *prefillJob) int {
	cached := s.cache.cachedPrefix(j.req.hashes) * choose.BlockTokens
	return j.tokens - min(cached, j.tokens-1)
}

// returnQueued returns a job that has not started, so that the entry can send it to
// another server.
func (s *prefillServer) returnQueued(j *prefillJob) {
	if j.state != jobQueued {
		return
	}
	s.cancel(j)
	s.sim.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.handlePrefillReturn(j) })
}

// gone reports whether the job was cancelled or lost, or its output dropped.
func (j *prefillJob) gone() bool { return j.state == jobDropped }

func (s *prefillServer) pop() *prefillJob {
	if s.sim.usesFescueslip {
		if it := s.queue.Pop(s.sim.now, nil); it != nil {
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

func (s *prefillServer) startNext() {
	if s.current != nil || !s.up {
		return
	}
	j := s.pop()
	if j == nil {
		return
	}
	s.queuedWork = max(0, s.queuedWork-j.estimate)
	j.computedTokens = s.uncachedTokens(j)
	j.state, j.started = jobRunning, s.sim.now
	s.sim.metrics.setWaiting(j.req, false)
	s.current = j
	s.endsAt = s.sim.now + s.sim.profile.engine.PrefillTime(j.computedTokens)
	s.sim.at(s.endsAt, func() { s.finish(j) })
}

func (s *prefillServer) finish(j *prefillJob) {
	if s.current != j || j.state != jobRunning {
		return
	}
	s.current = nil
	s.cache.insert(j.req.hashes)
	s.sim.metrics.recordPrefill(j.req, j.computedTokens, s.sim.now)
	j.state, j.heldUntil = jobHeld, s.sim.now+s.sim.profile.engine.HoldTime
	s.held[j] = struct{}{}
	s.sim.at(j.heldUntil, func() { s.evict(j) })
	cached := j.tokens - j.computedTokens
	s.sim.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.handlePrefillOutput(j, cached) })
	s.startNext()
}

func (s *prefillServer) evict(j *prefillJob) {
	if j.state != jobHeld {
		return
	}
	s.dropOutput(j)
	s.sim.traceEvent("evicted", j.req)
}

// dropOutput frees the output without a message to the entry.
func (s *prefillServer) dropOutput(j *prefillJob) {
	j.state = jobDropped
	delete(s.held, j)
}

// cancel ends a job, whatever its state. The tokens that the engine has
// computed so far count as computed prefill work.
func (s *prefillServer) cancel(j *prefillJob) {
	switch j.state {
	case jobQueued:
		s.removeQueued(j)
	case jobRunning:
		done := int((s.sim.now - j.started).Seconds() * s.sim.profile.engine.PrefillTokensPerSecond)
		s.sim.metrics.recordPrefill(j.req, min(done, j.computedTokens), s.sim.now)
		s.current = nil
	}
	s.dropOutput(j)
	s.startNext()
}

func (s *prefillServer) removeQueued(j *prefillJob) {
	if j.item != nil && s.queue.Remove(j.item) {
		s.queuedWork = max(0, s.queuedWork-j.estimate)
	}
	for i, other := range s.fifo {
		if other == j {
			s.fifo = append(s.fifo[:i:i], s.fifo[i+1:]...)
			s.queuedWork = max(0, s.queuedWork-j.estimate)
			return
		}
	}
}

// crash stops the server. All jobs, held outputs and the cache are lost; the entries
// of the queued jobs and of the running one are notified.
func (s *prefillServer) crash() {
	s.up = false
	s.cache = newBlockCache(s.sim.profile.engine.CacheBlocks)
	lost := s.fifo
	s.fifo = nil
	s.queue.Each(func(it *fairqueue.Item) { lost = append(lost, it.Value.(*prefillJob)) })
	for it := s.queue.Pop(s.sim.now, nil); it != nil; it = s.queue.Pop(s.sim.now, nil) {
		s.queue.AdjustCharge(it.Caller, -it.Cost)
	}
	if j := s.current; j != nil {
		done := int((s.sim.now - j.started).Seconds() * s.sim.profile.engine.PrefillTokensPerSecond)
		s.sim.metrics.recordPrefill(j.req, min(done, j.computedTokens), s.sim.now)
		lost = append(lost, j)
		s.current = nil
	}
	s.queuedWork = 0
	for j := range s.held {
		j.state = jobDropped
	}
	clear(s.held)
	for _, j := range lost {
		j.state = jobDropped
		s.sim.reply(s.domain, j.entry, s.name, s.hint(), func() { j.entry.handlePrefillLoss(j) })
	}
}

func (s *prefillServer) restart() {
	s.up = true
	s.sim.announceRestart(s.domain, s.name, s.hint())
}

// blockCache is the prefix cache of an engine. It evicts the least recently used block.
type blockCache struct {
	maxBlocks int
	elements  map[uint64]*list.Element
	lru       *list.List
}

func newBlockCache(blocks int) blockCache {
	return blockCache{maxBlocks: blocks, elements: map[uint64]*list.Element{}, lru: list.New()}
}

// cachedPrefix returns the number of leading blocks in the cache.
func (c *blockCache) cachedPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.elements[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// insert stores the blocks so that the leading ones are the most recently used.
func (c *blockCache) insert(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e, ok := c.elements[hashes[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		if len(c.elements) >= c.maxBlocks {
			delete(c.elements, c.lru.Remove(c.lru.Back()).(uint64))
		}
		c.elements[hashes[i]] = c.lru.PushFront(hashes[i])
	}
}
