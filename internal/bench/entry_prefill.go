package bench

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

// prefillPrompt describes the tokens to prefill. Once a decode server is granted,
// its failure domain is preferred, because the KV cache is transferred to it.
func (e *entry) prefillPrompt(r *request) choose.Prompt {
	domain := e.domain
	if r.attempt != nil {
		domain = r.attempt.server.domain
	}
	return choose.Prompt{Tokens: r.contextTokens(), Hashes: r.hashes, TokensPerSecond: e.sim.profile.engine.PrefillTokensPerSecond, Domain: domain}
}

func (e *entry) prefillCandidates(r *request) ([]choose.PrefillCandidate, []*prefillServer) {
	var list []choose.PrefillCandidate
	var servers []*prefillServer
	for _, s := range e.sim.prefills {
		if e.isDown(s.name) {
			continue
		}
		list = append(list, choose.PrefillCandidate{
			Name: s.name, Domain: s.domain, Wait: e.estimatedWait(s.name), HintAge: e.sim.now - e.views[s.name].hint.sentAt,
			CachedTokens: e.cache.CachedTokens(s.name, r.hashes),
		})
		servers = append(servers, s)
	}
	return list, servers
}

// prefill selects a prefill server and sends the prompt to it.
func (e *entry) prefill(r *request) {
	candidates, servers := e.prefillCandidates(r)
	i := e.choosePrefill(candidates, servers, r)
	if i < 0 {
		e.retryPrefill(r, "")
		return
	}
	s := servers[i]
	estimate := e.sim.profile.engine.PrefillTime(max(1, r.contextTokens()-candidates[i].CachedTokens))
	j := &prefillJob{req: r, entry: e, server: s, attempt: r.attempts, tokens: r.contextTokens(), estimate: estimate}
	transfer := e.sim.profile.engine.TransferTime(e.sim.profile.engine.KVBytes(j.tokens), 1)
	j.deadline = r.arrival + e.sim.profile.settings.ttftTarget - estimate - transfer - deadlineMargin
	r.job = j
	view := e.views[s.name]
	view.unacknowledged = append(view.unacknowledged, sentWork{sentAt: e.sim.now, work: estimate})
	usage := e.usageElsewhere(r.caller.name, s.name, e.sim.prefillNames)
	e.recordUsage(r.caller.name, s.name, float64(j.tokens))
	e.sim.send(e.domain, s.domain, func() { s.submit(j, usage) })
}

// choosePrefill returns the index of the server that the policy selects, or a negative
// value if there is none.
func (e *entry) choosePrefill(candidates []choose.PrefillCandidate, servers []*prefillServer, r *request) int {
	switch {
	case len(servers) == 0:
		return -1
	case e.sim.usesFescueslip:
		return choose.SelectPrefillUpstream(candidates, e.prefillPrompt(r))
	case e.sim.cfg.Policy == PolicyRandomFCFS:
		return e.rnd.IntN(len(servers))
	}
	return e.leastLoaded(len(servers), func(i int) int { return int(e.estimatedWait(servers[i].name)) })
}

// leastLoaded returns the index with the lowest load. It breaks ties at random.
func (e *entry) leastLoaded(n int, load func(int) int) int {
	best, bestLoad, ties := 0, 0, 0
	for i := range n {
		x := load(i)
		switch {
		case i == 0 || x < bestLoad:
			best, bestLoad, ties = i, x, 1
		case x == bestLoad:
			ties++
			if e.rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// retryPrefill starts another prefill after retryDelay, or gives up after
// maxPrefillAttempts.
func (e *entry) retryPrefill(r *request, server string) {
	r.job = nil
	if r.attempts >= maxPrefillAttempts {
		e.giveUp(r)
		return
	}
	r.attempts++
	e.sim.after(retryDelay, func() {
		if r.outcome == inProgress && r.job == nil && (r.attempt != nil || !e.sim.usesFescueslip) {
			e.prefill(r)
		}
	})
}

// maxPrefillAttempts is the number of attempts after which a request whose prefill
// failed is given up. It counts all attempts of the request, also those that failed
// after the prefill and those that found no prefill server.
const maxPrefillAttempts = 6

func (e *entry) handlePrefillLoss(j *prefillJob) {
	if j.req.outcome == inProgress && j.req.job == j {
		e.retryPrefill(j.req, j.server.name)
	}
}

// movePrefill asks the server of a queued job to return it if another server would
// finish it more than minMoveGain earlier. Both estimates include the wait and the
// prefill. A request moves at most maxMoves times.
func (e *entry) movePrefill(j *prefillJob, queueWait time.Duration) {
	r := j.req
	if r.outcome != inProgress || r.job != j || r.moves >= maxMoves {
		return
	}
	candidates, servers := e.prefillCandidates(r)
	current := queueWait + j.estimate
	for i, candidate := range candidates {
		if servers[i] == j.server {
			continue
		}
		alternative := candidate.Wait + e.sim.profile.engine.PrefillTime(max(1, r.contextTokens()-candidate.CachedTokens))
		if alternative+minMoveGain < current {
			r.moves++
			e.sim.send(e.domain, j.server.domain, func() { j.server.returnQueued(j) })
			return
		}
	}
}

// handlePrefillReturn selects another server for a job that its server returned.
func (e *entry) handlePrefillReturn(j *prefillJob) {
	if j.req.outcome == inProgress && j.req.job == j {
		e.prefill(j.req)
	}
}

const (
	maxMoves    = 3
	minMoveGain = 30 * time.Millisecond
)

// handlePrefillRefusal ends a request that a full queue refused.
func (e *entry) handlePrefillRefusal(j *prefillJob) {
	if j.req.outcome == inProgress && j.req.job == j {
		e.finish(j.req, refusedNotExecuted)
	}
}

// handlePrefillOutput updates the cache index and starts the import on the granted
// decode server. The baselines select the decode server only now. If the request no
// longer needs the output, the job is cancelled instead.
func (e *entry) handlePrefillOutput(j *prefillJob, cached int) {
	r := j.req
	expected := e.cache.CachedTokens(j.server.name, r.hashes)
	if cached < expected {
		e.removeCachedBlocks(j.server.name, r.hashes[cached/choose.BlockTokens:expected/choose.BlockTokens])
	}
	e.cache.RecordPrefill(j.server.name, r.hashes)
	if r.outcome != inProgress || r.job != j {
		e.cancelJob(j)
		return
	}
	r.usefulPrefillTokens = j.computedTokens
	if r.attempt == nil && !e.sim.usesFescueslip {
		e.selectBaselineDecode(r)
	}
	if a := r.attempt; a != nil {
		e.sim.send(e.domain, a.server.domain, func() { a.server.startImport(a, j) })
	}
}

// removeCachedBlocks removes blocks from the cache index that a reply has shown not
// to be cached on the server.
func (e *entry) removeCachedBlocks(server string, hashes []uint64) {
	events := make([]choose.Event, len(hashes))
	for i, h := range hashes {
		events[i] = choose.Event{Kind: choose.Evicted, Prefix: h}
	}
	e.cache.Apply(server, events, false)
}

// selectBaselineDecode selects the decode server after the prefill. Only the baseline
// policies (random-fcfs, least-loaded) use it. It gives up if all servers are down.
func (e *entry) selectBaselineDecode(r *request) {
	var up []*decodeServer
	for _, s := range e.sim.decodes {
		if !e.isDown(s.name) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		e.giveUp(r)
		return
	}
	s := up[e.chooseDecode(up)]
	view := e.views[s.name]
	view.unacknowledged = append(view.unacknowledged, sentWork{sentAt: e.sim.now})
	r.attempt = &decodeAttempt{
		req: r, entry: e, server: s, state: attemptGranted, predictedTokens: r.predictedTokens,
		chunks: reserve.ChunksFor(r.promptTokens + max(r.predictedTokens, r.deliveredTokens)),
	}
}

// chooseDecode returns the index of the server that the baseline policy selects.
func (e *entry) chooseDecode(up []*decodeServer) int {
	if e.sim.cfg.Policy == PolicyRandomFCFS {
		return e.rnd.IntN(len(up))
	}
	return e.leastLoaded(len(up), func(i int) int {
		view := e.views[up[i].name]
		n, _ := view.pendingWork()
		return view.hint.running + view.hint.queued + n
	})
}
