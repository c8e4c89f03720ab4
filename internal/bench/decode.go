package bench

import (
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/admit"
	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
	"github.com/fescueslip/fescueslip/internal/policy/predict"
	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

// decodeAttemptState is the progress of a decodeAttempt on its server.
type decodeAttemptState int

const (
	attemptQueued         decodeAttemptState = iota
	attemptGranted                           // The reservation is made; the prefill has not arrived.
	attemptAwaitingMemory                    // The prefill output waits for a slot and chunks.
	attemptImporting                         // The KV cache is being transferred; slot and chunks are held.
	attemptRunning
	attemptEnded
)

// decodeAttempt is the attempt to decode a request on one server, from the
// reservation to the last token.
type decodeAttempt struct {
	req             *request
	entry           *entry
	server          *decodeServer
	item            *fairqueue.Item
	state           decodeAttemptState
	chunks          int           // KV cache memory in units of costmodel.Params.ChunkTokens tokens
	predictedTokens int           // predicted length of the complete output
	cost            float64       // tokenCost charged at the grant
	prefill         time.Duration // estimated time from the grant to the end of the import
	deadline        time.Duration // latest grant with which the first-token target can be met
	startsAt        time.Duration // estimated start of decoding; the actual one once it runs
	grantedAt       time.Duration
	job             *prefillJob
	transferID      uint64 // identifies the current transfer; callbacks of earlier ones are ignored
}

// decodeServer models a decode engine and its sidecar.
type decodeServer struct {
	sim            *simulation
	name           string
	domain         string
	up             bool
	queue          *fairqueue.Queue
	reserved       []*decodeAttempt // granted attempts until they end, in order of the grant
	awaitingMemory []*decodeAttempt // in order of arrival
	streams        []*decodeAttempt
	joiningStreams []*decodeAttempt
	stepping       bool
	usedSlots      int // held by imports and streams
	usedChunks     int // held by imports and streams
	linkFreeAt     time.Duration
	drainUsage     fairqueue.Usage
	lastTransferID uint64
	incarnation    int
	predictor      *predict.Predictor
}

func (s *decodeServer) stepTime() time.Duration {
	return s.sim.profile.engine.StepTime(max(1, len(s.streams)))
}

// drainRate returns the token cost per second at which the queue drains. It is the
// greater of the predicted rate of the granted attempts and the recent rate.
func (s *decodeServer) drainRate() float64 {
	rate := 0.0
	for _, a := range s.reserved {
		total := time.Duration(max(1, a.predictedTokens-a.req.deliveredTokens)) * s.stepTime()
		rate += a.req.tokenCost(a.predictedTokens) / (total + a.prefill).Seconds()
	}
	return max(rate, s.drainUsage.At(s.sim.now)/fairqueue.UsageTimeConstant.Seconds(), 1)
}

func (s *decodeServer) hint() loadHint {
	h := loadHint{sentAt: s.sim.now, up: s.up, slots: s.sim.profile.engine.Slots, queued: s.queue.Len() + len(s.awaitingMemory)}
	h.freeSlots = h.slots - len(s.reserved)
	h.freeChunks = s.sim.profile.engine.CapacityChunks() - s.reservedChunks()
	h.running = len(s.reserved)
	h.linkFreeAt = s.linkFreeAt
	if s.queue.Len() > 0 {
		h.wait = s.queue.Wait(0, s.drainRate())
	}
	return h
}

func (s *decodeServer) reservedChunks() int {
	sum := 0
	for _, a := range s.reserved {
		sum += a.chunks
	}
	return sum
}

// reserve queues an attempt or refuses it when the entry's request arrives.
func (s *decodeServer) reserve(a *decodeAttempt, usage float64) {
	if a.state == attemptEnded {
		return
	}
	if !s.up {
		s.refuse(a, true, 0)
		return
	}
	cost := a.cost
	a.item = &fairqueue.Item{
		Caller: a.req.caller.name, Source: a.entry.name, Share: a.req.caller.share, Cost: cost,
		Usage: usage, Deadline: a.deadline, MaxYield: s.sim.profile.settings.maxYield, Value: a,
	}
	if d := s.admit(a, cost); !d.Accept {
		s.refuse(a, false, d.RetryAfter)
		return
	}
	s.queue.Push(s.sim.now, a.item)
	if a.req.deliveredTokens == 0 {
		s.sim.at(admit.RefusalDeadline(a.req.arrival, s.sim.profile.settings.queueLimit), func() { s.refuseOverdue(a) })
	}
	s.grantQueued()
}

func (s *decodeServer) admit(a *decodeAttempt, cost float64) admit.Decision {
	if s.queue.Len() == 0 || a.req.deliveredTokens > 0 {
		return admit.Decision{Accept: true}
	}
	rate := s.drainRate()
	return admit.Decide(admit.Input{
		QueueWait:  s.queue.Wait(cost, rate),
		CallerWait: s.queue.CallerWait(a.req.caller.name, a.req.caller.share, cost, rate),
		QueueLimit: s.sim.profile.settings.queueLimit,
	})
}

// refuseOverdue refuses an attempt that is still queued at its refusal deadline.
func (s *decodeServer) refuseOverdue(a *decodeAttempt) {
	if a.state != attemptQueued {
		return
	}
	s.endAttempt(a)
	s.refuse(a, false, 0)
}

func (s *decodeServer) refuse(a *decodeAttempt, down bool, retryAfter time.Duration) {
	a.state = attemptEnded
	s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleRefusal(a, down, retryAfter) })
}

// grantQueued makes reservations for as many queued attempts as the forecast allows.
func (s *decodeServer) grantQueued() {
	for s.up {
		it := s.queue.Pop(s.sim.now, s.newFitCheck())
		if it == nil {
			return
		}
		s.drainUsage.Add(s.sim.now, it.Cost)
		a := it.Value.(*decodeAttempt)
		s.addReservation(a)
		a.state = attemptGranted
		s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleGrant(a) })
	}
}

func (s *decodeServer) addReservation(a *decodeAttempt) {
	a.grantedAt = s.sim.now
	a.startsAt = s.sim.now + a.prefill
	s.reserved = append(s.reserved, a)
}

// newFitCheck returns a function that reports whether the forecast allows a
// reservation for a queued attempt.
func (s *decodeServer) newFitCheck() func(*fairqueue.Item) bool {
	streams := make([]reserve.Stream, 0, len(s.reserved))
	for _, a := range s.reserved {
		streams = append(streams, reserve.Stream{
			RemainingTokens: float64(a.predictedTokens - a.req.deliveredTokens), Chunks: a.chunks, StartsAt: a.startsAt,
		})
	}
	free := s.sim.profile.engine.CapacityChunks() - s.reservedChunks()
	step := s.stepTime()
	return func(it *fairqueue.Item) bool {
		a := it.Value.(*decodeAttempt)
		need := reserve.Request{Chunks: a.chunks, FreeChunks: free, FreeSlots: s.sim.profile.engine.Slots - len(s.reserved), Prefill: a.prefill}
		_, ok := reserve.ForecastGrant(streams, s.sim.now, step, need, s.sim.anticipation)
		return ok
	}
}

// startImport imports the prefill output as soon as a slot and chunks are free.
func (s *decodeServer) startImport(a *decodeAttempt, job *prefillJob) {
	if a.state == attemptEnded {
		return
	}
	if !s.up {
		s.interrupt(a)
		return
	}
	a.job = job
	a.state = attemptAwaitingMemory
	s.awaitingMemory = append(s.awaitingMemory, a)
	s.sim.at(max(s.sim.now, job.heldUntil)+1, func() { s.checkEvicted(a, job) })
	s.startTransfers()
}

// checkEvicted reports to the entry that the prefill output was evicted while the
// attempt waited for memory.
func (s *decodeServer) checkEvicted(a *decodeAttempt, job *prefillJob) {
	if a.state != attemptAwaitingMemory || a.job != job || job.state != jobDropped {
		return
	}
	s.awaitingMemory = slices.DeleteFunc(s.awaitingMemory, func(x *decodeAttempt) bool { return x == a })
	a.state = attemptGranted
	s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleImportFailure(a, job) })
}

// startTransfers starts the transfers of the waiting attempts for which a slot and
// chunks are free.
func (s *decodeServer) startTransfers() {
	for i := 0; i < len(s.awaitingMemory); {
		a := s.awaitingMemory[i]
		if s.usedSlots >= s.sim.profile.engine.Slots || s.usedChunks+a.chunks > s.sim.profile.engine.CapacityChunks() {
			i++
			continue
		}
		s.awaitingMemory = slices.Delete(s.awaitingMemory, i, i+1)
		s.startTransfer(a)
	}
}

// startTransfer schedules the transfer of the KV cache, or reports the failure of the
// import if the prefill output is no longer held. Each link carries one transfer at a
// time.
func (s *decodeServer) startTransfer(a *decodeAttempt) {
	job := a.job
	if job.state != jobHeld {
		a.state = attemptGranted
		s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleImportFailure(a, job) })
		return
	}
	if !slices.Contains(s.reserved, a) {
		s.addReservation(a) // the baselines make no reservation before the transfer
	}
	job.state, a.state = jobSending, attemptImporting
	s.usedSlots++
	s.usedChunks += a.chunks
	size := s.sim.profile.engine.TransferTime(s.sim.profile.engine.KVBytes(job.tokens), 1)
	begin := max(s.sim.now, s.linkFreeAt, job.server.linkFreeAt)
	end := begin + size
	s.lastTransferID++
	a.transferID = s.lastTransferID
	transferID := a.transferID
	if s.sim.faults.drawStall() {
		end = begin + s.sim.transferTimeout(size)
		s.sim.at(end, func() { s.abortStalledTransfer(a, transferID) })
	} else {
		s.sim.at(end, func() { s.finishTransfer(a, transferID) })
	}
	s.linkFreeAt, job.server.linkFreeAt = end, end
}

// finishTransfer makes the attempt a running stream, or reports the failure of the
// import if the prefill output was lost during the transfer.
func (s *decodeServer) finishTransfer(a *decodeAttempt, transferID uint64) {
	if a.state != attemptImporting || a.transferID != transferID {
		return
	}
	if a.job.state != jobSending {
		s.freeMemory(a)
		a.state = attemptGranted
		job := a.job
		s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleImportFailure(a, job) })
		return
	}
	a.job.server.dropOutput(a.job)
	a.state = attemptRunning
	a.startsAt = s.sim.now
	s.sim.metrics.recordDecodeStart(a.req)
	s.joiningStreams = append(s.joiningStreams, a)
	s.startStep()
}

// abortStalledTransfer ends a stalled transfer at its timeout and frees both links
// and the decode server's memory.
func (s *decodeServer) abortStalledTransfer(a *decodeAttempt, transferID uint64) {
	if a.state != attemptImporting || a.transferID != transferID {
		return
	}
	job := a.job
	s.freeMemory(a)
	a.state = attemptGranted
	if job.state == jobSending {
		job.state = jobHeld
		s.sim.at(job.heldUntil, func() { job.server.evict(job) })
	}
	s.sim.traceEvent("stalled", a.req)
	s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleImportFailure(a, job) })
	s.startTransfers()
}

// startStep starts a decode step unless one is running.
func (s *decodeServer) startStep() {
	s.streams = append(s.streams, s.joiningStreams...)
	s.joiningStreams = s.joiningStreams[:0]
	if s.stepping || len(s.streams) == 0 {
		return
	}
	s.stepping = true
	incarnation := s.incarnation
	s.sim.after(s.sim.profile.engine.StepTime(len(s.streams)), func() { s.finishStep(incarnation) })
}

func (s *decodeServer) finishStep(incarnation int) {
	if incarnation != s.incarnation {
		return
	}
	s.stepping = false
	ended := false
	for _, a := range slices.Clone(s.streams) {
		if a.state == attemptRunning && s.emitToken(a) {
			ended = true
		}
	}
	if ended {
		s.startTransfers()
	}
	s.grantQueued()
	s.startStep()
}

// emitToken delivers one token and reports whether a stream ended or was preempted.
func (s *decodeServer) emitToken(a *decodeAttempt) bool {
	r := a.req
	r.deliveredTokens++
	s.sim.metrics.recordToken(r, s.sim.now)
	if r.deliveredTokens >= r.outputTokens {
		s.endAttempt(a)
		s.predictor.Observe(r.caller.name, modelName, r.outputTokens)
		s.queue.AdjustCharge(r.caller.name, r.tokenCost(r.outputTokens)-a.cost)
		s.sim.reply(s.domain, a.entry, s.name, s.hint(), func() { a.entry.handleCompletion(a) })
		return true
	}
	if r.deliveredTokens >= a.predictedTokens {
		a.predictedTokens = s.predictor.OutputLength(r.caller.name, modelName, r.deliveredTokens, 0)
	}
	return s.growReservation(a)
}

// growReservation takes another chunk when the stream outgrows its chunks. If none
// is free, it preempts a stream and reports whether it did.
func (s *decodeServer) growReservation(a *decodeAttempt) bool {
	if s.sim.profile.engine.ChunksFor(a.req.promptTokens+a.req.deliveredTokens+1) <= a.chunks {
		return false
	}
	if s.usedChunks >= s.sim.profile.engine.CapacityChunks() {
		return s.preempt()
	}
	a.chunks++
	s.usedChunks++
	return false
}
