package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// maxCompleted bounds the number of remembered fingerprints of completed
// requests.
const maxCompleted = 4096

// duplicateTracker tracks the requests in flight by fingerprint. Until one
// request with a fingerprint has completed, all its duplicates at this entry use
// the same prefill upstream and the same decode upstream. Otherwise a request
// that crashes engines and is sent many times at once could crash one engine per
// duplicate before the first crash is known.
type duplicateTracker struct {
	mu             sync.Mutex
	sets           map[quarantine.Fingerprint]*duplicateSet
	completed      map[quarantine.Fingerprint]bool
	completedOrder []quarantine.Fingerprint
}

// duplicateSet holds the requests in flight that share a fingerprint, and the
// upstreams at which they run.
type duplicateSet struct {
	runners         map[*runner]bool
	prefill, decode target
}

func newDuplicateTracker() *duplicateTracker {
	return &duplicateTracker{sets: make(map[quarantine.Fingerprint]*duplicateSet), completed: make(map[quarantine.Fingerprint]bool)}
}

func (t *duplicateTracker) add(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.sets[r.req.Fingerprint]
	if set == nil {
		set = &duplicateSet{runners: make(map[*runner]bool)}
		t.sets[r.req.Fingerprint] = set
	}
	set.runners[r] = true
}

func (t *duplicateTracker) remove(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.sets[r.req.Fingerprint]
	delete(set.runners, r)
	if len(set.runners) == 0 {
		delete(t.sets, r.req.Fingerprint)
	}
}

// markCompleted records that a request completed, after which its duplicates may
// run at any upstream.
func (t *duplicateTracker) markCompleted(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := r.req.Fingerprint
	if t.completed[f] {
		return
	}
	t.completed[f] = true
	t.completedOrder = append(t.completedOrder, f)
	if len(t.completedOrder) > maxCompleted {
		delete(t.completed, t.completedOrder[0])
		t.completedOrder = t.completedOrder[1:]
	}
}

// sharedSet returns the set of a request that must run at the same upstreams as
// its duplicates, or nil if it may run anywhere. The caller holds the lock.
func (t *duplicateTracker) sharedSet(r *runner) *duplicateSet {
	set := t.sets[r.req.Fingerprint]
	if t.completed[r.req.Fingerprint] || r.req.Suspect || len(set.runners) < 2 {
		return nil
	}
	return set
}

// prefillTarget returns the upstream at which a request prefills: the one that
// its duplicates use, if it must share with them and that one is still usable,
// and preferred otherwise.
func (t *duplicateTracker) prefillTarget(r *runner, preferred target) target {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.sets[r.req.Fingerprint]
	if t.sharedSet(r) != nil && set.prefill.upstream != "" && !r.avoid[set.prefill.upstream] && !r.prefillTried[set.prefill.upstream] {
		return set.prefill
	}
	set.prefill = preferred
	return preferred
}

// claimDecode reports whether a request may use its reservation at an upstream.
// A request that need not follow its duplicates may use it, and then makes this
// upstream the one at which the duplicates decode.
func (t *duplicateTracker) claimDecode(r *runner, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.sets[r.req.Fingerprint]
	if t.sharedSet(r) == nil || set.decode.upstream == "" || r.movedToDuplicates || r.avoid[set.decode.upstream] || !r.isCandidate(set.decode.upstream) {
		set.decode = target{upstream: upstream}
		return true
	}
	return set.decode.upstream == upstream
}

// decodeUpstream returns the decode upstream that the duplicates of a request
// share.
func (t *duplicateTracker) decodeUpstream(r *runner) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sets[r.req.Fingerprint].decode.upstream
}

// notifyCrashed pushes an event to every request in flight whose fingerprint has
// a recorded crash.
func (t *duplicateTracker) notifyCrashed(k *quarantine.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, crash := range k.Record().Crashes {
		set := t.sets[crash.Fingerprint]
		if set == nil {
			continue
		}
		for r := range set.runners {
			r.queue.push(event{quarantineChanged: true})
		}
	}
}

// suspectedPollInterval is how often waitUntilSuspected checks whether an attempt
// that began before the first crash was known is still running.
const suspectedPollInterval = 5 * time.Millisecond

// waitUntilSuspected waits until every attempt of a fingerprint that began at
// this entry before the first crash was known has ended, or until ctx ends. The
// attempts that still run then run as suspects.
func (t *duplicateTracker) waitUntilSuspected(ctx context.Context, f quarantine.Fingerprint) {
	tick := time.NewTicker(suspectedPollInterval)
	defer tick.Stop()
	for !t.allSuspected(f) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// allSuspected reports whether every attempt of the fingerprint that began at
// this entry before the first crash was known has ended.
func (t *duplicateTracker) allSuspected(f quarantine.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.sets[f]
	if set == nil {
		return true
	}
	for r := range set.runners {
		if r.runsUnsuspected.Load() {
			return false
		}
	}
	return true
}

// isCandidate reports whether the upstream was a decode candidate when the
// attempt began.
func (r *runner) isCandidate(upstream string) bool {
	for _, t := range r.allCandidates {
		if t.upstream == upstream {
			return true
		}
	}
	return false
}

// moveToDuplicates gives a reservation back and asks for one at the upstream at
// which the duplicates of the request decode.
func (r *runner) moveToDuplicates(c *decodeConn) error {
	upstream := r.entry.duplicates.decodeUpstream(r)
	r.movedToDuplicates = true
	r.dropPending(c, "a copy of the request decodes elsewhere")
	for _, p := range r.pending {
		if p.target.upstream == upstream {
			return nil
		}
	}
	for _, t := range r.allCandidates {
		if t.upstream == upstream {
			r.candidates = append([]target{t}, r.candidates...)
		}
	}
	r.reserveNext()
	return r.checkPending()
}
