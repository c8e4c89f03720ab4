package revision

import (
	"sync"

	"github.com/go-faster/errors"
)

// ErrOutdated reports a response that the store gave before a restoration of which this
// process has heard since it sent the request.
var ErrOutdated = errors.New("the response is from before a restoration of the store")

// Tracker follows the generation of a store from the responses of all calls to it. The
// zero value is ready for use.
//
// The store tells its generation with each response. A response without a readable one
// counts as one of the generation known so far. Any other number than the one known is a
// restoration, also a lower one: the store is the authority, so a number that was read
// wrongly once does no harm for long. Only the response to a request that was sent before
// the last change cannot tell what the store is now.
type Tracker struct {
	// OnChange, if set, is called after each change of the generation.
	OnChange func(from, to uint64)
	// OnMalformed, if set, is called with a generation that cannot be read, once until
	// another one is read.
	OnMalformed func(text string, err error)

	mu        sync.Mutex
	current   uint64
	known     bool
	changes   uint64
	changed   chan struct{}
	malformed bool
}

// Call identifies a request to the store.
type Call struct {
	// changes is the number of changes of the generation before the request was sent.
	changes uint64
}

// BeginCall returns the identity of a request that is about to be sent.
func (t *Tracker) BeginCall() Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Call{changes: t.changes}
}

// Current returns the generation of the store, or 0 if it is not known.
func (t *Tracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Restorations returns the number of changes of the generation that were seen.
func (t *Tracker) Restorations() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Changed returns a channel that is closed at the next change of the generation.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Observe records the generation in the response to a call. It returns ErrOutdated if the
// response is older than the last change of the generation.
func (t *Tracker) Observe(c Call, generation uint64) error {
	from, changed, err := t.observe(c, generation)
	if changed && t.OnChange != nil {
		t.OnChange(from, generation)
	}
	return err
}

func (t *Tracker) observe(c Call, generation uint64) (from uint64, changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.malformed = false
	switch {
	case !t.known:
		t.current, t.known = generation, true
		return 0, false, nil
	case generation == t.current:
		return 0, false, nil
	case generation < t.current && c.changes != t.changes:
		return 0, false, ErrOutdated
	}
	from, t.current = t.current, generation
	t.changes++
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return from, true, nil
}

// ObserveMalformed records a generation that cannot be read.
func (t *Tracker) ObserveMalformed(text string, err error) {
	t.mu.Lock()
	first := !t.malformed
	t.malformed = true
	t.mu.Unlock()
	if first && t.OnMalformed != nil {
		t.OnMalformed(text, err)
	}
}
