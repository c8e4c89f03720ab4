package bench

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

func (e *entry) promptOf(r *request) choose.Prompt {
	domain := e.domain
	if r.leg != nil {
		domain = r.leg.srv.domain
	}
	return choose.Prompt{Tokens: r.tokens(), Hashes: r.hashes, TokensPerSecond: e.w.p.engine.PrefillTokensPerSecond, Domain: domain}
}

func (e *entry) prefillCandidates(r *request) ([]choose.PrefillCandidate, []*prefillServer) {
	var list []choose.PrefillCandidate
	var servers []*prefillServer
	for _, s := range e.w.prefills {
		if e.isDown(s.name) {
			continue
		}
		list = append(list, choose.PrefillCandidate{
			Name: s.name, Domain: s.domain, Wait: e.wait(s.name), HintAge: e.w.now - e.known[s.name].hint.at,
			CachedTokens: e.cache.CachedTokens(s.name, r.hashes),
		})
		servers = append(servers, s)
	}
	return list, servers
}

// prefill sends the prompt to a prefill server.
func (e *entry) prefill(r *request) {
	candidates, servers := e.prefillCandidates(r)
	i := e.choosePrefill(candidates, servers, r)
	if i < 0 {
		e.prefillAgain(r, "")
		return
	}
	s := servers[i]
	estimate := e.w.p.engine.PrefillTime(max(1, r.tokens()-candidates[i].CachedTokens))
	j := &prefillJob{req: r, entry: e, srv: s, attempt: r.attempts, tokens: r.tokens(), estimate: estimate}
	transfer := e.w.p.engine.TransferTime(e.w.p.engine.KVBytes(j.tokens), 1)
	j.deadline = r.arrival + e.w.p.settings.ttft - estimate - transfer - deadlineMargin
	r.job = j
	k := e.known[s.name]
	k.sent = append(k.sent, sent{at: e.w.now, work: estimate})
	usage := e.elsewhere(r.caller.name, s.name, e.w.prefillNames)
	e.served(r.caller.name, s.name, float64(j.tokens))
	e.w.send(e.domain, s.domain, func() { s.submit(j, usage) })
}

func (e *entry) choosePrefill(candidates []choose.PrefillCandidate, servers []*prefillServer, r *request) int {
	switch {
	case len(servers) == 0:
		return -1
	case e.w.fair:
		return choose.SelectPrefillUpstream(candidates, e.promptOf(r))
	case e.w.cfg.Policy == PolicyRandomFCFS:
		return e.rnd.IntN(len(servers))
	}
	return e.least(len(servers), func(i int) int { return int(e.wait(servers[i].name)) })
}

// least returns the index with the lowest load; ties are broken at random.
func (e *entry) least(n int, load func(int) int) int {
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

func (e *entry) prefillAgain(r *request, server string) {
	r.job = nil
	if r.attempts >= maxPrefillAttempts {
		e.giveUp(r)
		return
	}
	r.attempts++
	e.w.after(retryDelay, func() {
		if r.outcome == open && r.job == nil && (r.leg != nil || !e.w.fair) {
			e.prefill(r)
		}
	})
}

// maxPrefillAttempts bounds attempts including those that found no prefill server.
const maxPrefillAttempts = 6

func (e *entry) prefillLost(j *prefillJob) {
	if j.req.outcome == open && j.req.job == j {
		e.prefillAgain(j.req, j.srv.name)
	}
}

// prefillQueued moves a job whose real wait is longer than what another server
// promises.
func (e *entry) prefillQueued(j *prefillJob, ahead time.Duration) {
	r := j.req
	if r.outcome != open || r.job != j || r.moves >= maxMoves {
		return
	}
	candidates, servers := e.prefillCandidates(r)
	current := ahead + j.estimate
	for i, c := range candidates {
		if servers[i] == j.srv {
			continue
		}
		other := c.Wait + e.w.p.engine.PrefillTime(max(1, r.tokens()-c.CachedTokens))
		if other+moveMargin < current {
			r.moves++
			e.w.send(e.domain, j.srv.domain, func() { j.srv.release(j) })
			return
		}
	}
}

// prefillReleased sends a job elsewhere after its server gave it back.
func (e *entry) prefillReleased(j *prefillJob) {
	if j.req.outcome == open && j.req.job == j {
		e.prefill(j.req)
	}
}

const (
	maxMoves   = 3
	moveMargin = 30 * time.Millisecond
)

// prefillRefused ends a request that a full queue has turned away.
func (e *entry) prefillRefused(j *prefillJob) {
	if j.req.outcome == open && j.req.job == j {
		e.finish(j.req, refusedNotRun)
	}
}

// prefillReady starts the import on the granted decode server.
func (e *entry) prefillReady(j *prefillJob, cached int) {
	r := j.req
	believed := e.cache.CachedTokens(j.srv.name, r.hashes)
	if cached < believed {
		e.correct(j.srv.name, r.hashes[cached/choose.BlockTokens:believed/choose.BlockTokens])
	}
	e.cache.RecordPrefill(j.srv.name, r.hashes)
	if r.outcome != open || r.job != j {
		e.cancelJob(j)
		return
	}
	r.useful = j.computed
	if r.leg == nil && !e.w.fair {
		e.bind(r)
	}
	if l := r.leg; l != nil {
		e.w.send(e.domain, l.srv.domain, func() { l.srv.start(l, j) })
	}
}

// correct drops beliefs that a reply has shown to be wrong.
func (e *entry) correct(server string, hashes []uint64) {
	events := make([]choose.Event, len(hashes))
	for i, h := range hashes {
		events[i] = choose.Event{Kind: choose.Evicted, Prefix: h}
	}
	e.cache.Apply(server, events, false)
}

// bind chooses the decode server after the prefill, as the baselines do.
func (e *entry) bind(r *request) {
	var up []*decodeServer
	for _, s := range e.w.decodes {
		if !e.isDown(s.name) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		e.giveUp(r)
		return
	}
	s := up[e.chooseDecode(up)]
	k := e.known[s.name]
	k.sent = append(k.sent, sent{at: e.w.now})
	r.leg = &leg{
		req: r, entry: e, srv: s, state: legGranted, predicted: r.predicted,
		chunks: reserve.ChunksFor(r.prompt + max(r.predicted, r.delivered)),
	}
}

func (e *entry) chooseDecode(up []*decodeServer) int {
	if e.w.cfg.Policy == PolicyRandomFCFS {
		return e.rnd.IntN(len(up))
	}
	return e.least(len(up), func(i int) int {
		k := e.known[up[i].name]
		n, _ := k.pending()
		return k.hint.running + k.hint.queued + n
	})
}
