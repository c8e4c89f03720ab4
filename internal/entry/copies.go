package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// maxProven bounds the memory of fingerprints that ran to their end.
const maxProven = 4096

// copies tracks the requests in flight by fingerprint. Until one of them has run
// to its end, all copies at this entry use the same prefill and the same decode
// upstream: a request that crashes engines and arrives many times at once must
// not crash one engine for each copy before the first crash is known.
type copies struct {
	mu     sync.Mutex
	sets   map[quarantine.Fingerprint]*copySet
	proven map[quarantine.Fingerprint]bool
	order  []quarantine.Fingerprint
}

// copySet is the requests in flight of one fingerprint and where they run.
type copySet struct {
	runners         map[*runner]bool
	prefill, decode target
}

func newCopies() *copies {
	return &copies{sets: make(map[quarantine.Fingerprint]*copySet), proven: make(map[quarantine.Fingerprint]bool)}
}

func (c *copies) join(r *runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.sets[r.req.Fingerprint]
	if set == nil {
		set = &copySet{runners: make(map[*runner]bool)}
		c.sets[r.req.Fingerprint] = set
	}
	set.runners[r] = true
}

func (c *copies) leave(r *runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.sets[r.req.Fingerprint]
	delete(set.runners, r)
	if len(set.runners) == 0 {
		delete(c.sets, r.req.Fingerprint)
	}
}

// proved notes that a request ran to its end: its copies may run anywhere.
func (c *copies) proved(r *runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := r.req.Fingerprint
	if c.proven[f] {
		return
	}
	c.proven[f] = true
	c.order = append(c.order, f)
	if len(c.order) > maxProven {
		delete(c.proven, c.order[0])
		c.order = c.order[1:]
	}
}

// shared returns the set of a request that has to stay with its copies, or nil.
func (c *copies) shared(r *runner) *copySet {
	set := c.sets[r.req.Fingerprint]
	if c.proven[r.req.Fingerprint] || r.req.Suspect || len(set.runners) < 2 {
		return nil
	}
	return set
}

// prefillOf returns where a request prefills: at t, or where its copies do.
func (c *copies) prefillOf(r *runner, t target) target {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.sets[r.req.Fingerprint]
	if c.shared(r) != nil && set.prefill.upstream != "" && !r.avoid[set.prefill.upstream] && !r.prefillTried[set.prefill.upstream] {
		return set.prefill
	}
	set.prefill = t
	return t
}

// mayDecode reports whether a request may use its reservation at an upstream.
func (c *copies) mayDecode(r *runner, upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.sets[r.req.Fingerprint]
	if c.shared(r) == nil || set.decode.upstream == "" || r.followed || r.avoid[set.decode.upstream] || !r.offers(set.decode.upstream) {
		set.decode = target{upstream: upstream}
		return true
	}
	return set.decode.upstream == upstream
}

// decodeOf returns the upstream at which the copies of a request decode.
func (c *copies) decodeOf(r *runner) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sets[r.req.Fingerprint].decode.upstream
}

// wake tells the requests in flight whose verdict is no longer clear.
func (c *copies) wake(k *quarantine.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range k.Record().Crashes {
		set := c.sets[crash.Fingerprint]
		if set == nil {
			continue
		}
		for r := range set.runners {
			r.inbox.put(event{suspected: true})
		}
	}
}

// settlePoll is how often settle looks again.
const settlePoll = 5 * time.Millisecond

// settle waits until no copy of a fingerprint runs any more that began before
// it was suspected.
func (c *copies) settle(ctx context.Context, f quarantine.Fingerprint) {
	tick := time.NewTicker(settlePoll)
	defer tick.Stop()
	for !c.settled(f) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *copies) settled(f quarantine.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.sets[f]
	if set == nil {
		return true
	}
	for r := range set.runners {
		if r.unsuspected.Load() {
			return false
		}
	}
	return true
}

func (r *runner) offers(upstream string) bool {
	for _, t := range r.offered {
		if t.upstream == upstream {
			return true
		}
	}
	return false
}

// followCopy gives a reservation back and asks for one where the copies of the
// request decode.
func (r *runner) followCopy(c *decodeConn) error {
	upstream := r.entry.copies.decodeOf(r)
	r.followed = true
	r.dropPending(c, "a copy of the request decodes elsewhere")
	for _, p := range r.pending {
		if p.target.upstream == upstream {
			return nil
		}
	}
	for _, t := range r.offered {
		if t.upstream == upstream {
			r.candidates = append([]target{t}, r.candidates...)
		}
	}
	r.reserveNext()
	return r.checkPending()
}
