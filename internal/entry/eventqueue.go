package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// event is a frame received from one of a request's streams, the end of such a
// stream, or a change of the quarantine.
type event struct {
	decodeConn        *decodeConn
	decodeReply       *wire.DecodeReply
	prefillConn       *prefillConn
	prefillReply      *wire.PrefillReply
	err               error
	quarantineChanged bool // the quarantine record changed, possibly for this request
}

// eventQueue holds the pending events of a request. Its length is not bounded: a
// caller that reads slowly must not keep heartbeats from being read, and the
// request's token limit bounds its output.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

func (q *eventQueue) push(e event) {
	q.mu.Lock()
	q.events = append(q.events, e)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop removes and returns the first event without waiting. It reports false if
// there is none.
func (q *eventQueue) pop() (event, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return event{}, false
	}
	e := q.events[0]
	q.events[0] = event{}
	q.events = q.events[1:]
	return e, true
}

// errTick reports that the ticker fired before an event arrived.
var errTick = errors.New("tick")

// next waits for the next event. It returns errTick if tick fires first, and the
// cause of the context's cancellation if ctx ends first.
func (q *eventQueue) next(ctx context.Context, tick <-chan time.Time) (event, error) {
	for {
		if e, ok := q.pop(); ok {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return event{}, context.Cause(ctx)
		case <-tick:
			return event{}, errTick
		case <-q.wake:
		}
	}
}
