package bench

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/admit"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/policy/predict"
	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

type legState int

const (
	legQueued    legState = iota
	legGranted            // reserved; the prefill is on its way
	legReady              // prefill output waits for room
	legImporting          // transfer under way; memory is held
	legRunning
	legEnded
)

// leg is an attempt at one decode server.
type leg struct {
	req       *request
	entry     *entry
	srv       *decodeServer
	item      *fairqueue.Item
	state     legState
	chunks    int
	predicted int     // output tokens of the complete answer
	cost      float64 // charged at the grant
	prefill   time.Duration
	deadline  time.Duration
	startsAt  time.Duration
	grantedAt time.Duration
	job       *prefillJob
	transfer  uint64 // number of the current transfer
}

// decodeServer is a decode engine with its sidecar.
type decodeServer struct {
	w         *world
	name      string
	domain    string
	up        bool
	queue     *fairqueue.Queue
	reserved  []*leg // granted to running, in order of the grant
	ready     []*leg // wait for room
	running   []*leg
	joining   []*leg
	stepping  bool
	slots     int // held
	chunks    int // held
	link      time.Duration
	drained   fairqueue.Usage
	transfers uint64
	epoch     int
	predictor *predict.Predictor
}

func (s *decodeServer) step() time.Duration {
	return s.w.p.engine.StepTime(max(1, len(s.running)))
}

// rate returns the cost tokens per second at which the queue drains.
func (s *decodeServer) rate() float64 {
	rate := 0.0
	for _, l := range s.reserved {
		total := time.Duration(max(1, l.predicted-l.req.delivered)) * s.step()
		rate += l.req.cost(l.predicted) / (total + l.prefill).Seconds()
	}
	return max(rate, s.drained.At(s.w.now)/fairqueue.UsageTimeConstant.Seconds(), 1)
}

func (s *decodeServer) hint() hint {
	h := hint{at: s.w.now, up: s.up, slots: s.w.p.engine.Slots, queued: s.queue.Len() + len(s.ready)}
	h.freeSlots = h.slots - len(s.reserved)
	h.freeChunks = s.w.p.engine.CapacityChunks() - s.reservedChunks()
	h.running = len(s.reserved)
	h.link = s.link
	if s.queue.Len() > 0 {
		h.wait = s.queue.Wait(0, s.rate())
	}
	return h
}

func (s *decodeServer) reservedChunks() int {
	sum := 0
	for _, l := range s.reserved {
		sum += l.chunks
	}
	return sum
}

// reserve queues a leg or refuses it; the entry's message has arrived.
func (s *decodeServer) reserve(l *leg, usage float64) {
	if l.state == legEnded {
		return
	}
	if !s.up {
		s.refuse(l, true, 0)
		return
	}
	cost := l.cost
	l.item = &fairqueue.Item{
		Caller: l.req.caller.name, Source: l.entry.name, Share: l.req.caller.share, Cost: cost,
		Usage: usage, Deadline: l.deadline, MaxYield: s.w.p.settings.maxYield, Value: l,
	}
	if d := s.admit(l, cost); !d.Accept {
		s.refuse(l, false, d.RetryAfter)
		return
	}
	s.queue.Push(s.w.now, l.item)
	if l.req.delivered == 0 {
		s.w.at(admit.RefusalDeadline(l.req.arrival, s.w.p.settings.queueLimit), func() { s.overdue(l) })
	}
	s.grant()
}

func (s *decodeServer) admit(l *leg, cost float64) admit.Decision {
	if s.queue.Len() == 0 || l.req.delivered > 0 {
		return admit.Decision{Accept: true}
	}
	rate := s.rate()
	return admit.Decide(admit.Input{
		QueueWait:  s.queue.Wait(cost, rate),
		CallerWait: s.queue.CallerWait(l.req.caller.name, l.req.caller.share, cost, rate),
		QueueLimit: s.w.p.settings.queueLimit,
	})
}

// overdue refuses a leg that has waited for longer than the limit.
func (s *decodeServer) overdue(l *leg) {
	if l.state != legQueued {
		return
	}
	s.end(l)
	s.refuse(l, false, 0)
}

func (s *decodeServer) refuse(l *leg, down bool, retryAfter time.Duration) {
	l.state = legEnded
	s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.refused(l, down, retryAfter) })
}

// grant reserves for as many queued legs as the forecast allows.
func (s *decodeServer) grant() {
	for s.up {
		it := s.queue.Pop(s.w.now, s.fits())
		if it == nil {
			return
		}
		s.drained.Add(s.w.now, it.Cost)
		l := it.Value.(*leg)
		s.book(l)
		l.state = legGranted
		s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.granted(l) })
	}
}

func (s *decodeServer) book(l *leg) {
	l.grantedAt = s.w.now
	l.startsAt = s.w.now + l.prefill
	s.reserved = append(s.reserved, l)
}

func (s *decodeServer) fits() func(*fairqueue.Item) bool {
	streams := make([]reserve.Stream, 0, len(s.reserved))
	for _, l := range s.reserved {
		streams = append(streams, reserve.Stream{
			RemainingTokens: float64(l.predicted - l.req.delivered), Chunks: l.chunks, StartsAt: l.startsAt,
		})
	}
	free := s.w.p.engine.CapacityChunks() - s.reservedChunks()
	step := s.step()
	return func(it *fairqueue.Item) bool {
		l := it.Value.(*leg)
		need := reserve.Request{Chunks: l.chunks, FreeChunks: free, FreeSlots: s.w.p.engine.Slots - len(s.reserved), Prefill: l.prefill}
		_, ok := reserve.ForecastGrant(streams, s.w.now, step, need, s.w.anticipation)
		return ok
	}
}

// start imports the prefill output as soon as there is room.
func (s *decodeServer) start(l *leg, j *prefillJob) {
	if l.state == legEnded {
		return
	}
	if !s.up {
		s.lose(l)
		return
	}
	l.job = j
	l.state = legReady
	s.ready = append(s.ready, l)
	s.w.at(max(s.w.now, j.until)+1, func() { s.expired(l, j) })
	s.admitReady()
}

// expired reports an output that was evicted while it waited for room.
func (s *decodeServer) expired(l *leg, j *prefillJob) {
	if l.state != legReady || l.job != j || j.state != jobGone {
		return
	}
	s.ready = slices.DeleteFunc(s.ready, func(x *leg) bool { return x == l })
	l.state = legGranted
	s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.importFailed(l, j) })
}

func (s *decodeServer) admitReady() {
	for i := 0; i < len(s.ready); {
		l := s.ready[i]
		if s.slots >= s.w.p.engine.Slots || s.chunks+l.chunks > s.w.p.engine.CapacityChunks() {
			i++
			continue
		}
		s.ready = slices.Delete(s.ready, i, i+1)
		s.transfer(l)
	}
}

// transfer moves the KV cache; each link carries one transfer at a time.
func (s *decodeServer) transfer(l *leg) {
	j := l.job
	if j.state != jobHeld {
		l.state = legGranted
		s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.importFailed(l, j) })
		return
	}
	if !slices.Contains(s.reserved, l) {
		s.book(l) // without reservation
	}
	j.state, l.state = jobSending, legImporting
	s.slots++
	s.chunks += l.chunks
	size := s.w.p.engine.TransferTime(s.w.p.engine.KVBytes(j.tokens), 1)
	begin := max(s.w.now, s.link, j.srv.link)
	end := begin + size
	s.transfers++
	l.transfer = s.transfers
	number := l.transfer
	if s.w.faults.stalls() {
		end = begin + s.w.transferDeadline(size)
		s.w.at(end, func() { s.stalled(l, number) })
	} else {
		s.w.at(end, func() { s.imported(l, number) })
	}
	s.link, j.srv.link = end, end
}

func (s *decodeServer) imported(l *leg, number uint64) {
	if l.state != legImporting || l.transfer != number {
		return
	}
	if l.job.state != jobSending {
		s.free(l)
		l.state = legGranted
		j := l.job
		s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.importFailed(l, j) })
		return
	}
	l.job.srv.drop(l.job)
	l.state = legRunning
	l.startsAt = s.w.now
	s.w.m.decoding(l.req)
	s.joining = append(s.joining, l)
	s.turn()
}

// stalled ends a transfer at its deadline; both ends are free again.
func (s *decodeServer) stalled(l *leg, number uint64) {
	if l.state != legImporting || l.transfer != number {
		return
	}
	j := l.job
	s.free(l)
	l.state = legGranted
	if j.state == jobSending {
		j.state = jobHeld
		s.w.at(j.until, func() { j.srv.evict(j) })
	}
	s.w.trace("stalled", l.req)
	s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.importFailed(l, j) })
	s.admitReady()
}

// turn starts a decode step when none is under way.
func (s *decodeServer) turn() {
	s.running = append(s.running, s.joining...)
	s.joining = s.joining[:0]
	if s.stepping || len(s.running) == 0 {
		return
	}
	s.stepping = true
	epoch := s.epoch
	s.w.after(s.w.p.engine.StepTime(len(s.running)), func() { s.stepped(epoch) })
}

func (s *decodeServer) stepped(epoch int) {
	if epoch != s.epoch {
		return
	}
	s.stepping = false
	ended := false
	for _, l := range slices.Clone(s.running) {
		if l.state == legRunning && s.emit(l) {
			ended = true
		}
	}
	if ended {
		s.admitReady()
	}
	s.grant()
	s.turn()
}

// emit puts out one token and reports whether the stream ended or was paused.
func (s *decodeServer) emit(l *leg) bool {
	r := l.req
	r.delivered++
	s.w.m.token(r, s.w.now)
	if r.delivered >= r.output {
		s.end(l)
		s.predictor.Observe(r.caller.name, modelName, r.output)
		s.queue.AdjustCharge(r.caller.name, r.cost(r.output)-l.cost)
		s.w.reply(s.domain, l.entry, s.name, s.hint(), func() { l.entry.done(l) })
		return true
	}
	if r.delivered >= l.predicted {
		l.predicted = s.predictor.OutputLength(r.caller.name, modelName, r.delivered, 0)
	}
	return s.grow(l)
}

// grow takes a further chunk when the stream outgrows its reservation.
func (s *decodeServer) grow(l *leg) bool {
	if s.w.p.engine.ChunksFor(l.req.prompt+l.req.delivered+1) <= l.chunks {
		return false
	}
	if s.chunks >= s.w.p.engine.CapacityChunks() {
		return s.preempt()
	}
	l.chunks++
	s.chunks++
	return false
}
